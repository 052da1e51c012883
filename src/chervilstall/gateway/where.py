"""Answers the question where a request would go, on the admin listener."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from chervilstall.admission.classes import default_deadline_s, priority_of
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.app import CHAT_PATH, SERVICES_PREFIX, TEXT_PATH
from chervilstall.gateway.parsing import MAX_TOKENS_DEFAULT
from chervilstall.gateway.runtime import RouterRuntime, RouterState
from chervilstall.http_response import HttpResponse, json_response
from chervilstall.ids import ServiceName, WorkspaceName
from chervilstall.routing.fleet import capability_of
from chervilstall.routing.reservation import ChainRequest
from chervilstall.routing.where import ChainRanking, InstanceRanking
from chervilstall.settings.documents import (
    PipelineDocument,
    RequestClass,
    ServiceDocument,
    TargetDocument,
    TargetKind,
)
from chervilstall.where_answer import (
    SCOPE_ALL,
    AdmissionAnswer,
    ExcludedTarget,
    RankedPath,
    UnknownName,
    WhereAnswer,
    WhereQuestion,
    first_excluded,
    parse_question,
    refused,
    where_error,
)


def answer_where(runtime: RouterRuntime, query: str) -> HttpResponse:
    """Return the response to a query string."""
    try:
        question = parse_question(query)
        _check_fields(question)
        if runtime.state is RouterState.STARTING:
            return where_error(503, "the router has no settings yet")
        answer = _AnswerBuilder(runtime, question).answer()
    except ValueError as error:
        return where_error(400, str(error))
    except UnknownName as error:
        return where_error(404, str(error))
    return json_response(200, msgspec.to_builtins(answer))


def _check_fields(question: WhereQuestion) -> None:
    """Raise ValueError for what this router doesn't decide by, or lacks."""
    if not question.path or not question.workspace:
        raise ValueError("path and workspace are needed")
    if question.priority is not None or question.parts:
        raise ValueError("priority and part are for chervilstall-edge only")


@dataclass
class _AnswerBuilder:
    """Builds the answer for one request."""

    runtime: RouterRuntime
    question: WhereQuestion

    def answer(self) -> WhereAnswer:
        """Return the answer. Raises ValueError and UnknownName."""
        path = self.question.path.partition("?")[0]
        if path in (CHAT_PATH, TEXT_PATH):
            return self._answer_completion()
        if path.startswith(SERVICES_PREFIX):
            return self._answer_service(
                path.removeprefix(SERVICES_PREFIX).partition("/")[0]
            )
        raise UnknownName(f"no request is routed by the path {path}")

    def _answer_completion(self) -> WhereAnswer:
        name = self.question.model
        if not name:
            raise ValueError("model is needed for a completion")
        workspace = WorkspaceName(self.question.workspace)
        pipeline = self.runtime.tree.pipeline(workspace, name)
        if pipeline is None:
            raise UnknownName(f"workspace {workspace} has no model {name}")
        tokens = self.question.answer_tokens or MAX_TOKENS_DEFAULT
        priority = priority_of(pipeline.request_class)
        capability = capability_of(pipeline)
        request = ChainRequest(capability, priority, float(tokens))
        ranking = ChainRanking(self.runtime.selector, request)
        paths = ranking.ranked()
        unserved = None
        if not self.runtime.selector.is_served(capability):
            unserved = "no chain of targets covers the model's layers"
        admission = self._admission(
            pipeline.request_class, paths, unserved, name, float(tokens)
        )
        notes = ranking.notes()
        if not self.question.answer_tokens:
            notes.append(f"Without a size, {tokens} answer tokens are assumed.")
        excluded = [*ranking.excluded(), *self._unused(pipeline, ranking.used())]
        return self._build(
            pipeline, capability.model, admission, paths, excluded, notes
        )

    def _answer_service(self, name: str) -> WhereAnswer:
        workspace = WorkspaceName(self.question.workspace)
        document = self.runtime.tree.service(workspace, name)
        if document is None:
            raise UnknownName(f"workspace {workspace} has no service {name}")
        service = ServiceName(document.service)
        instances = self.runtime.selector.instances
        priority = priority_of(document.request_class)
        ranking = InstanceRanking(instances, service, priority)
        paths = ranking.ranked()
        unserved = None
        if not instances.is_served(service):
            unserved = "no target serves the service"
        admission = self._admission(
            document.request_class, paths, unserved, name, tokens=0.0
        )
        excluded = [*ranking.excluded(), *self._unused(document, ranking.used())]
        return self._build(
            document, service, admission, paths, excluded, ranking.notes()
        )

    def _build(
        self,
        document: PipelineDocument | ServiceDocument,
        service: str,
        admission: AdmissionAnswer,
        paths: tuple[RankedPath, ...],
        excluded: list[ExcludedTarget],
        notes: list[str],
    ) -> WhereAnswer:
        first, more = first_excluded(excluded)
        question, vm = self.question, self.runtime.settings.vm
        return WhereAnswer(
            router=vm.vm,
            zone=vm.zone,
            version=self.runtime.tree.revision,
            route=question.path,
            service=service,
            workspace=question.workspace,
            priority=document.request_class.value,
            prompt_tokens=question.prompt_tokens,
            answer_tokens=question.answer_tokens,
            admission=admission,
            paths=paths,
            excluded=first,
            excluded_more=more,
            notes=tuple(notes),
        )

    # Admission

    def _admission(
        self,
        request_class: RequestClass,
        paths: tuple[RankedPath, ...],
        unserved: str | None,
        name: str,
        tokens: float,
    ) -> AdmissionAnswer:
        """Return what would become of a request before it is sent.

        `unserved` is the reason why no target serves the request, or None. `name` is
        the model or service and `tokens` the size that the workspace's limits count.
        """
        queue = self.runtime.queue
        longest_s = default_deadline_s(request_class, self.runtime.settings.admission)
        try:
            self.runtime.require_serving()
            workspace = WorkspaceName(self.question.workspace)
            snapshot = self.runtime.limits.snapshot(workspace, name)
            snapshot.admit(workspace, name, tokens)
            if unserved is not None:
                raise ChervilstallError(ErrorKind.NO_TARGET, unserved)
            queue.check(request_class, time.monotonic() + longest_s)
        except ChervilstallError as error:
            return refused(error)
        if paths and queue.may_start_immediately(request_class):
            return AdmissionAnswer("admitted", "it is sent at once")
        reason = "requests wait ahead of it, or the router's concurrency is used up"
        if not paths:
            reason = "no target has capacity"
        wait_s = round(queue.mean_wait_s(request_class), 3)
        return AdmissionAnswer(
            "waits", reason, expected_wait_s=wait_s, longest_wait_s=longest_s
        )

    # Targets that this router doesn't use

    def _unused(
        self, document: PipelineDocument | ServiceDocument, used: frozenset[str]
    ) -> Iterator[ExcludedTarget]:
        """Yield the targets of the settings that are in no subset of this router."""
        for name, target in self.runtime.tree.targets().items():
            if name in used or not _serves(target, document):
                continue
            reason, detail = "not in subset", "other routers use it"
            if target.is_leaving:
                reason, detail = "leaving", "by the settings"
            elif target.kind is TargetKind.ENGINE and (
                target.first_layer >= target.end_layer
            ):
                reason, detail = "no layers", "by the settings"
            yield ExcludedTarget(name, target.zone, reason, SCOPE_ALL, detail)


def _serves(
    target: TargetDocument, document: PipelineDocument | ServiceDocument
) -> bool:
    if isinstance(document, ServiceDocument):
        return target.service == document.service
    capability = capability_of(document)
    if (target.model, target.version) != (capability.model, capability.version):
        return False
    return not capability.adapter or capability.adapter in target.adapters
