"""The agent's HTTP interface for operators and workspace teams.

An operator's token may write every path. A team's token, whose digest is in the
workspace's grant, may write the subtree of that workspace except the grant itself.
Both may read everything.
"""

import hmac
import time
from collections.abc import Callable
from urllib.parse import parse_qs, unquote

import gevent

from chervilstall.agent.runtime import AgentRuntime
from chervilstall.configuration.check import check_tree
from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import read_tree_file
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.auth import bearer_token_digest
from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.ids import ChangeId, Revision, WorkspaceName, new_change_id
from chervilstall.process_limits.derived import OPERATOR_CONNECTIONS_MAX
from chervilstall.settings.problems import InvalidSettings
from chervilstall.wsgi import Environ, Server, read_body

SETTINGS_PREFIX = "/v1/settings/"
IN_FORCE_POLL_INTERVAL_S = 0.1
WAIT_MAX_S = 60.0


class OperatorApplication:
    """WSGI application to read and write the settings tree and show the status."""

    def __init__(self, runtime: AgentRuntime) -> None:
        self.runtime = runtime
        self.configuration = ConfigurationStore(runtime.store)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Serve one request; errors become JSON responses."""
        try:
            http_response = self._respond(environ)
        except InvalidSettings as errors:
            mistakes = [str(mistake) for mistake in errors.exceptions]
            body = {"error": "invalid_settings", "mistakes": mistakes}
            http_response = json_response(422, body)
        except ChervilstallError as error:
            body = {"error": error.kind.value, "message": error.message}
            http_response = json_response(error.response.status, body)
        return http_response.start(start_response)

    def _respond(self, environ: Environ) -> HttpResponse:
        method = environ["REQUEST_METHOD"]
        path = unquote(environ["PATH_INFO"])
        query = {
            name: values[-1]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        if path == "/healthz":
            return json_response(200, {"ok": True})
        digest = bearer_token_digest(environ.get("HTTP_AUTHORIZATION", ""))
        authorize = self._new_authorizer(digest, path.removeprefix(SETTINGS_PREFIX))
        if path.startswith(SETTINGS_PREFIX):
            document = path.removeprefix(SETTINGS_PREFIX)
            if method in ("PUT", "DELETE"):
                text = read_body(environ).decode() if method == "PUT" else None
                return self._write(document, text, query, digest, authorize)
            self._require_reader(digest)
            return self._read(document, query)
        self._require_reader(digest)
        match path:
            case "/v1/settings":
                return self._list(query.get("prefix", ""))
            case "/v1/history":
                return json_response(200, self.configuration.history())
            case "/v1/status":
                return json_response(200, self._status())
            case "/v1/check":
                return self._check(read_body(environ).decode())
        raise ChervilstallError(ErrorKind.NOT_FOUND, "no such path")

    # Authorization

    def _is_operator(self, digest: str) -> bool:
        operator_digests = self.runtime.settings.operators.token_sha256
        return any(
            [
                hmac.compare_digest(operator_digest, digest)
                for operator_digest in operator_digests
            ]
        )

    def _find_owned_workspace(self, digest: str, tree: Tree) -> WorkspaceName | None:
        for workspace, grant in tree.grants().items():
            for owner_digest in grant.owner_sha256:
                if hmac.compare_digest(owner_digest, digest):
                    return workspace
        return None

    def _require_reader(self, digest: str) -> None:
        if self._is_operator(digest):
            return
        if self._find_owned_workspace(digest, self.runtime.replica.tree) is None:
            raise ChervilstallError(ErrorKind.UNAUTHENTICATED, "the token is not known")

    def _new_authorizer(self, digest: str, path: str) -> Callable[[Tree], None]:
        def authorize(tree: Tree) -> None:
            if self._is_operator(digest):
                return
            workspace = self._find_owned_workspace(digest, tree)
            if workspace is None:
                raise ChervilstallError(
                    ErrorKind.UNAUTHENTICATED, "the token is not known"
                )
            workspace_prefix = f"workspaces/{workspace}/"
            if (
                not path.startswith(workspace_prefix)
                or path == workspace_prefix + "grant"
            ):
                raise ChervilstallError(
                    ErrorKind.FORBIDDEN,
                    f"this token writes below {workspace_prefix} only",
                )

        return authorize

    # Writing

    def _write(
        self,
        path: str,
        text: str | None,
        query: dict[str, str],
        digest: str,
        authorize: Callable[[Tree], None],
    ) -> HttpResponse:
        base = query.get("base")
        author = query.get("author") or f"token {digest[:8]}"
        proposed = ProposedChange(
            ChangeId(query.get("change") or new_change_id()),
            path,
            text,
            author,
            Revision(int(base)) if base is not None else None,
        )
        revision = self.configuration.accept(proposed, authorize)
        body: dict[str, object] = {"revision": revision, "change": proposed.change}
        wait_s = min(float(query.get("wait_s", "0")), WAIT_MAX_S)
        if wait_s > 0.0:
            body["unconfirmed"] = self._wait_in_force(revision, wait_s)
        return json_response(200, body)

    def _wait_in_force(self, revision: Revision, wait_s: float) -> list[str]:
        ends_at_s = time.monotonic() + wait_s
        while True:
            unconfirmed = self._unconfirmed_zones(revision)
            if not unconfirmed or time.monotonic() >= ends_at_s:
                return unconfirmed
            gevent.sleep(IN_FORCE_POLL_INTERVAL_S)

    def _unconfirmed_zones(self, revision: Revision) -> list[str]:
        zones = {record.zone for record in self.runtime.table.vm_list()}
        zones |= {update.zone for update in self.runtime.table.live_members()}
        confirmed = {
            record.zone: record for record in self.configuration.read_watermarks()
        }
        unconfirmed_zones = []
        for zone in sorted(zones):
            record = confirmed.get(zone)
            if record is None:
                unconfirmed_zones.append(f"{zone}: no record")
            elif record.revision < revision:
                behind = ", ".join(record.unconfirmed) or "not yet known"
                unconfirmed_zones.append(
                    f"{zone}: at {record.revision}; behind: {behind}"
                )
        return unconfirmed_zones

    # Reading

    def _read(self, path: str, query: dict[str, str]) -> HttpResponse:
        if "revision" in query:
            revision = Revision(int(query["revision"]))
            text = self.configuration.text_at(path, revision)
        else:
            tree = self.configuration.read_tree(self.configuration.read_head().head)
            revision = tree.revision
            text = tree.texts.get(path)
        if text is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "nothing is at this path")
        return json_response(200, {"path": path, "revision": revision, "text": text})

    def _list(self, prefix: str) -> HttpResponse:
        tree = self.configuration.read_tree(self.configuration.read_head().head)
        paths = [path for path in sorted(tree.texts) if path.startswith(prefix)]
        return json_response(200, {"revision": tree.revision, "paths": paths})

    def _check(self, text: str) -> HttpResponse:
        texts = read_tree_file(text, "proposed")
        check_tree(Tree.build(Revision(1), texts))
        return json_response(200, {"documents": len(texts)})

    def _status(self) -> dict[str, object]:
        runtime = self.runtime
        members = []
        for item in runtime.table.others():
            update = item.update
            members.append(
                {
                    "vm": update.vm,
                    "zone": update.zone,
                    "state": update.state.value,
                    "roles": [role.name for role in update.roles],
                }
            )
        body: dict[str, object] = {
            "vm": runtime.table.own.vm,
            "zone": runtime.table.own.zone,
            "revision": runtime.replica.revision,
            "roles": [role.name for role in runtime.table.own.roles],
            "members": members,
            "store_failures": runtime.distributor.store_failures,
            "failed_pulls": runtime.distributor.failed_pulls,
            "stale_reads": runtime.replica.stale_reads,
        }
        try:
            body["in_force"] = self.configuration.read_watermarks()
            body["is_cut_off"] = False
        except ChervilstallError as error:
            body["in_force"] = []
            body["is_cut_off"] = True
            body["store"] = str(error)
        return body


class OperatorServer:
    """The operator listener of one agent."""

    def __init__(self, runtime: AgentRuntime) -> None:
        self.server = Server(
            runtime.settings.operators.listen,
            OperatorApplication(runtime),
            OPERATOR_CONNECTIONS_MAX,
        )

    def start(self) -> None:
        """Bind the listener and start serving."""
        self.server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.kill_connections()
