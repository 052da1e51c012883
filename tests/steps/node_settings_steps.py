"""Steps for the settings file of a node."""

import json

from behave import then
from behave.runner import Context

from chervilstall.platform.node import decode_node
from chervilstall.settings.problems import InvalidSettings

NODE = {
    "node-name": "edge-1",
    "zone": "ba-hall",
    "ip": "10.0.0.1",
    "listen": {"frontend": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "platform": {"address": "10.0.0.9:82"},
    "bounds": {"grace-s": 8},
}


@then("a settings file with three errors is refused with all three named")
def check_errors(context: Context) -> None:
    invalid = {**NODE, "zone": "", "bounds": {"grace-s": 0}}
    invalid["listen"] = {"frontend": "nowhere", "ready": "10.0.0.1:81"}
    try:
        decode_node(json.dumps(invalid).encode(), "boot.json")
    except InvalidSettings as errors:
        names = sorted(error.name for error in errors.exceptions)
        assert names == ["bounds.grace-s", "listen.frontend", "zone"], names
        return
    raise AssertionError("a settings file with errors was accepted")


@then("a settings file with unknown fields is read")
def check_unknown_fields(context: Context) -> None:
    content = json.dumps({**NODE, "later": {"more": 1}}).encode()
    assert decode_node(content, "boot.json").bounds.grace_s == 8.0
