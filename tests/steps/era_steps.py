"""Steps for the era that a store's responses name."""

from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from chervilstall.platform import kv
from chervilstall.platform.kv import EraChanged, PlatformStore
from chervilstall.settings.node import StoreAddress
from chervilstall.settings.option import Address
from chervilstall.target.calls import CallResponse

BODY = b'{"items": [], "at": 1}'
LONG_ERA = "9" * 9999


@given("a client of a store whose responses carry the eras {eras}")
def add_client(context: Context, eras: str) -> None:
    context.eras = [LONG_ERA if era == "9999-digits" else era for era in eras.split()]
    context.store = PlatformStore(StoreAddress(Address("127.0.0.1", 1), 20.0, 1.0))
    context.returns = context.failures = 0

    def count() -> None:
        context.returns += 1

    context.store.on_new_era = count


@when("it makes one call for each")
def call_for_each(context: Context) -> None:
    for era in context.eras:
        headers = {} if era == "none" else {"store-era": era}
        response = CallResponse(200, BODY, headers, 0.0, 0.0)
        with patch.object(kv, "call_store", lambda *arguments, r=response: r):
            try:
                context.store.recent_revision("key", 1.0)
            except EraChanged:
                context.failures += 1


@then("it has noticed {returns:d} returns, and failed as many calls")
def check_returns(context: Context, returns: int) -> None:
    assert (context.returns, context.failures) == (returns, returns)
