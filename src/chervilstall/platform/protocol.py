"""Header names and paths of the platform's protocol."""

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
KEY = "Credential"
WORKSPACE = "Tenant"
EXPECTED_TARGET = "Expect-Instance"
SIGNATURE = "Server-Signature"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
LAST_EVENT = "Last-Event-Id"
PATH = "Hop-Count"
FAULTY_TARGET = "At-Server"
ANSWERING_TARGET = "Instance-Id"
TOKENS = "Token-Count"
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"

READY_PATH = "/chervilstall/readyz"
REPORT_PATH = "/chervilstall/report"
ORDER_PATH = "/chervilstall/order"

CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
ROUTER_KEYS_PREFIX = "chervilstall/"
NODE_FILE_VARIABLE = "CHERVILSTALL_NODE_FILE"
STREAM_TYPE = "text/event-stream"
"""Content type that marks an answer as a stream of events."""

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
"""Headers of one connection, never passed on; lengths are set anew."""

OWN_HEADERS = frozenset(
    name.lower() for name in (KEY, WORKSPACE, EXPECTED_TARGET, DEADLINE, PATH, PRIORITY)
)
"""Headers that the router sets itself or keeps to itself."""
