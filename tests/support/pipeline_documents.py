"""Documents of pipelines in the test tree."""

PLANS = "workspaces/desks/pipelines/plans"
DRAFTS = "workspaces/counters/pipelines/drafts"


def plans_text(requests_per_s: int) -> str:
    """Return a document of a pipeline that limits its requests per second."""
    return (
        f"[pipeline]\nmodel = small\nversion = v1\nrequests_per_s = {requests_per_s}\n"
    )
