"""What makes two requests the same: path, caller, prompt and body.

A repeat has another request ID, may come at another router and over another connection,
with its body in one piece or in chunks.

Example::

    digest = request_digest("shop.example", "POST", "/codes/7", workspace, "", b"")
    is_request(digest)    # True
"""

import hashlib

from chervilstall.ids import PartId, WorkspaceName

DIGEST_BYTES = 16
REQUEST_PREFIX = "request:"
"""Parts of prompts contain no colon, so that no caller can name one like a request."""


def request_digest(
    host: str,
    method: str,
    target: str,
    workspace: WorkspaceName | None,
    prompt: str,
    body: bytes,
) -> PartId:
    """Return a digest of a request as a whole.

    `workspace` stands for the caller, None on routes without one. `prompt` names the
    parts of its prompt, with its own, where the body doesn't hold it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (host.lower(), method, target, workspace or "", prompt):
        digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return PartId(REQUEST_PREFIX + digest.hexdigest())


def is_request(part: PartId) -> bool:
    """Return whether a part stands for a request as a whole."""
    return part.startswith(REQUEST_PREFIX)
