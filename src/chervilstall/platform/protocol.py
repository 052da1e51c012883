"""Header names, paths and store keys of the platform's protocol.

Constants are named after their meaning. The platform's own name may differ from it:
`Hop-Count`, for example, carries the path of a request through a pipeline.
"""

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
CREDENTIAL = "Credential"
WORKSPACE = "Tenant"
EXPECTED_TARGET = "Expect-Instance"
SERVER_SIGNATURE = "Server-Signature"
NOT_EXECUTED = "Not-Executed"
RETRY_AFTER = "Retry-After"
RATE_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
LAST_EVENT_ID = "Last-Event-Id"
PIPELINE_PATH = "Hop-Count"
FAULTY_TARGET = "At-Server"
ANSWERING_TARGET = "Instance-Id"
TOKEN_COUNT = "Token-Count"
PROMPT_PARTS = "Prefix-Hash"
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"

STORE_ERA = "Store-Era"

READY_PATH = "/chervilstall/readyz"
REPORT_PATH = "/chervilstall/report"
ORDER_PATH = "/chervilstall/order"

CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
ROUTER_KEYS_PREFIX = "chervilstall/"
NODE_FILE_VARIABLE = "CHERVILSTALL_NODE_FILE"
EVENT_STREAM_TYPE = "text/event-stream"
"""Content type of a response that is a stream of events."""

KEEP_ALIVE = "Keep-Alive"

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that apply to one connection only. They are not forwarded; the length of the
body is set again for each connection.
"""

ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        CREDENTIAL,
        WORKSPACE,
        EXPECTED_TARGET,
        DEADLINE,
        PIPELINE_PATH,
        PRIORITY,
    )
)
"""Headers that the router sets itself or doesn't forward."""
