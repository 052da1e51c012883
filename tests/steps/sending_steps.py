"""Steps for what is known of a request whose send failed."""

import errno
import os
from unittest.mock import Mock

from behave import then, when
from behave.runner import Context

from chervilstall.target.sending import NothingSent, send_first


@when("a send over a connection ends with {error}")
def fail_send(context: Context, error: str) -> None:
    raised: OSError = TimeoutError()
    if error != "an exceeded deadline":
        number = getattr(errno, error)
        raised = OSError(number, os.strerror(number))
    try:
        send_first(Mock(send=Mock(side_effect=raised)), b"POST / HTTP/1.1")
    except NothingSent:
        context.outcome = "nothing sent"
    except TimeoutError:
        context.outcome = "timed out"


@then("it counts as {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome
