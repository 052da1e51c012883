"""Which workspace a bearer token belongs to."""

import hashlib
import hmac
from dataclasses import dataclass, field

from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import WorkspaceName
from chervilstall.settings.documents import GrantDocument

BEARER_PREFIX = "bearer "


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token in hex, as it stands in a grant."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True)
class Caller:
    """An authenticated caller: its workspace and what it is granted."""

    workspace: WorkspaceName
    grant: GrantDocument


@dataclass
class Authenticator:
    """Finds the workspace of a token.

    Only digests are held. The digest is looked up by a part of it and the whole is
    compared in constant time.
    """

    _callers: dict[str, list[tuple[str, Caller]]] = field(default_factory=dict)

    def update(self, tree: Tree) -> None:
        """Take in the grants of a new revision."""
        callers: dict[str, list[tuple[str, Caller]]] = {}
        for workspace, grant in tree.grants().items():
            for digest in grant.token_sha256:
                entry = (digest, Caller(workspace, grant))
                callers.setdefault(digest[:8], []).append(entry)
        self._callers = callers

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller of an Authorization header, or raise UNAUTHENTICATED."""
        if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            raise ChervilstallError(
                ErrorKind.UNAUTHENTICATED, "a bearer token is required"
            )
        digest = token_digest(authorization[len(BEARER_PREFIX) :].strip())
        for known, caller in self._callers.get(digest[:8], ()):
            if hmac.compare_digest(known, digest):
                return caller
        raise ChervilstallError(ErrorKind.UNAUTHENTICATED, "the token is not known")
