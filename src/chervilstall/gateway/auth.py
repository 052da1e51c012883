"""Authenticates callers by bearer token."""

import hashlib
import hmac
from dataclasses import dataclass, field

from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import WorkspaceName
from chervilstall.settings.documents import GrantDocument

BEARER_PREFIX = "bearer "


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token in hex, as grants store it."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_token_digest(authorization: str) -> str:
    """Return the digest of a header's token, or raise UNAUTHENTICATED."""
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        raise ChervilstallError(ErrorKind.UNAUTHENTICATED, "a bearer token is required")
    return token_digest(authorization[len(BEARER_PREFIX) :].strip())


@dataclass(frozen=True)
class Caller:
    """An authenticated caller: its workspace and the workspace's grant."""

    workspace: WorkspaceName
    grant: GrantDocument


@dataclass
class Authenticator:
    """Maps tokens to workspaces.

    Only digests are stored. A digest is looked up by its first 8 characters and then
    compared in constant time.
    """

    _callers: dict[str, list[tuple[str, Caller]]] = field(default_factory=dict)

    def update(self, tree: Tree) -> None:
        """Replace the known tokens by those of a new settings revision."""
        callers: dict[str, list[tuple[str, Caller]]] = {}
        for workspace, grant in tree.grants().items():
            for digest in grant.token_sha256:
                entry = (digest, Caller(workspace, grant))
                callers.setdefault(digest[:8], []).append(entry)
        self._callers = callers

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller of an Authorization header, or raise UNAUTHENTICATED."""
        digest = bearer_token_digest(authorization)
        for stored_digest, caller in self._callers.get(digest[:8], ()):
            if hmac.compare_digest(stored_digest, digest):
                return caller
        raise ChervilstallError(ErrorKind.UNAUTHENTICATED, "the token is not known")
