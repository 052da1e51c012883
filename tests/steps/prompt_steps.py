"""Steps for long prompts beside short ones, without a network."""

from pathlib import Path as FilePath

from behave import then
from behave.runner import Context

from chervilstall.paths.prompt_figures import prompt_delay
from tests.support.engine_pipeline import ENGINE_PIPELINE

NOTE = FilePath(__file__).parents[2] / "docs" / "design" / "prompts.md"


@then(
    "docs/design/prompts.md has the delays on each accelerator type "
    "beside 0 to 4 long prompts"
)
def check_note(context: Context) -> None:
    rows = [
        prompt_delay(ENGINE_PIPELINE, accelerator, long_prompts).row
        for accelerator in ENGINE_PIPELINE.accelerators
        for long_prompts in range(5)
    ]
    print("\n".join(rows))
    noted = NOTE.read_text().splitlines()
    missing = [row for row in rows if row not in noted]
    assert not missing, missing
