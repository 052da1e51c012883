"""Steps for settings files, reference pages and the programs that read them."""

import doctest
import importlib
import pkgutil
import tempfile
from pathlib import Path

from behave import then
from behave.runner import Context

import chervilstall
from chervilstall.errors import ERROR_RESPONSES, ErrorKind, ExecutionState
from chervilstall.settings.ini import read_sections
from chervilstall.settings.problems import InvalidSettings
from chervilstall.settings.processes import ROUTER_SECTIONS
from chervilstall.settings.reference import reference_page
from tests.support.programs import ROOT, run_program


@then("a router file with five mistakes reports all five")
def check_mistakes(context: Context) -> None:
    text = (
        "[vm]\nvm = vm-1\n[listen]\ncallers = nowhere\nbody_max_byte = 5\n"
        "[retry]\nbudget_share = 7\n[qeue]\nx = 1\n"
    )
    try:
        read_sections(text, "router.ini", ROUTER_SECTIONS)
    except InvalidSettings as errors:
        texts = [str(mistake) for mistake in errors.exceptions]
    assert len(texts) == 5, texts
    assert all(text.startswith("router.ini: ") for text in texts)
    joined = "\n".join(texts)
    for part in ("host:port", "body_max_bytes", "at most 1", "required", "unknown sec"):
        assert part in joined, (part, joined)


@then("{program:w} exits 0 for --help and names its exit codes")
def check_help(context: Context, program: str) -> None:
    result = run_program(program, "--help")
    assert result.returncode == 0 and "Exit codes" in result.stdout, result


@then("{program:w} exits 3 for a bad file")
def check_bad_file(context: Context, program: str) -> None:
    path = Path(tempfile.mkdtemp()) / "bad.ini"
    path.write_text("[nonsense]\na = 1\n[vm x]\nzone = !\n")
    result = run_program(program, str(path), "--check")
    assert result.returncode == 3 and "nonsense" in result.stderr, result


@then("the table of answers is complete")
def check_answers(context: Context) -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, answer in ERROR_RESPONSES.items():
        if kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STREAM_BROKEN):
            assert (
                answer.execution is ExecutionState.UNKNOWN and not answer.is_retryable
            )
        if answer.status == 429:
            assert answer.execution is ExecutionState.NO and answer.is_retryable


@then("the committed reference page is the generated one")
def check_reference(context: Context) -> None:
    committed = (ROOT / "docs" / "configuration.md").read_text()
    assert committed.strip() == reference_page().strip(), "run make docs"


@then("every doctest passes")
def check_doctests(context: Context) -> None:
    example_count = 0
    for module in pkgutil.walk_packages(chervilstall.__path__, "chervilstall."):
        if ".commands" in module.name or ".helpers" in module.name:
            continue
        result = doctest.testmod(importlib.import_module(module.name))
        assert not result.failed, module.name
        example_count += result.attempted
    assert example_count > 20, example_count
