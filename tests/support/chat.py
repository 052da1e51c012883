"""Chat requests to the gateway, and the texts that they are answered with."""

import json

from chervilstall.standin.text import answer_text
from tests.support.router_harness import Response

PROMPT = "Where is parcel 12?"
CHAT = "/v1/chat/completions"


def chat_body(model: str = "assistant", **changes: object) -> dict:
    """Return the body of a chat completion request."""
    body: dict = {
        "model": model,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": 3,
    }
    body.update(changes)
    return body


def expected_text(prompt: str, tokens: int, adapter: str = "") -> str:
    """Return the text the model generates for a chat with one user message."""
    return answer_text("small", "v1", adapter, f"user: {prompt}", tokens)


def streamed_text(response: Response) -> str:
    """Return the text of a streamed chat response that ends with `[DONE]`."""
    events = response.events()
    assert events[-1] == "[DONE]", events[-1]
    parts = []
    for event in events[:-1]:
        for choice in json.loads(event)["choices"]:
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)
