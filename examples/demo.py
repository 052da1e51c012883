"""Starts an embedded marketplace and sends it a handful of real requests.

Prints every answer and what went where. With SERVE=1 in the environment it goes on
serving afterwards.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from geventhttpclient import HTTPClient  # noqa: E402

from chervilstall.commands.router import serve_until_stopped  # noqa: E402
from chervilstall.standin.embedded import (  # noqa: E402
    EmbeddedRouter,
    read_embedded_settings,
    start_embedded,
)

HERE = Path(__file__).parent
TOKEN = "counters-token"


def send(
    router: EmbeddedRouter, method: str, path: str, body: object = None, **headers: str
) -> None:
    """Send one request, and print the answer and the route."""
    address = router.server.caller_address
    client = HTTPClient(address.host, address.port)
    sent = {"Authorization": f"Bearer {TOKEN}"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    data = json.dumps(body).encode() if body is not None else b""
    response = client.request(method, path, body=data, headers=sent)
    text = response.read().decode()
    print(f"\n{method} {path} -> {response.status_code}")
    print(summarize(text))
    request = response["x-request-id"]
    explanation = router.runtime.explanations.get(request)
    for step in explanation.steps if explanation else ():
        print(f"  attempt {step.attempt}: {' -> '.join(step.targets)} ({step.reason})")
    client.close()


def summarize(text: str) -> str:
    """Return a streamed answer as its text, anything else as it is."""
    if not text.startswith("data: "):
        return f"  {text}"
    tokens = []
    for line in text.split("\n\n"):
        if not line or line.endswith("[DONE]"):
            continue
        for choice in json.loads(line.removeprefix("data: "))["choices"]:
            tokens.append(choice["delta"].get("content") or "")
    return f"  streamed {len(tokens)} chunks: {''.join(tokens)}"


def main() -> int:
    """Run the demo."""
    router = start_embedded(*read_embedded_settings(HERE / "demo.ini"))
    send(router, "GET", "/services/lookup/parcels/SK-1842")
    draft = {
        "model": "claim-drafts",
        "messages": [{"role": "user", "content": "Summarize claim SK-1842."}],
        "max_tokens": 24,
        "stream": True,
    }
    send(router, "POST", "/v1/chat/completions", draft, Idempotency_Key="claim-1842")
    hold = {"row": "C", "seat": 14}
    send(router, "POST", "/services/holds/seats", hold, Idempotency_Key="hold-1")
    send(router, "POST", "/services/holds/seats", hold, Idempotency_Key="hold-1")
    runs = len(router.target_cluster.ledger.service_runs)
    print(f"\nThe services ran {runs} calls: the second hold repeated the first.")
    if os.environ.get("SERVE") == "1":
        return int(serve_until_stopped(router.server))
    router.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
