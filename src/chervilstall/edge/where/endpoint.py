"""Answers the question where a request would go, on the listeners for operators."""

import time
from dataclasses import dataclass, replace

import msgspec

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.traffic_split import choose_service
from chervilstall.edge.where.admission import AdmissionForecast
from chervilstall.edge.where.paths import PlainRanking, StreamRanking
from chervilstall.edge.where.targets import TargetExclusions
from chervilstall.fleet.records import Route, RouterConfiguration
from chervilstall.http_response import HttpResponse, json_response
from chervilstall.ids import PartId, RequestId, VmId, WorkspaceName, ZoneName
from chervilstall.platform.headers import read_request_fields
from chervilstall.process_limits.memory import ClientMemory, Holding, HoldingKind
from chervilstall.where_answer import (
    UnknownName,
    WhereAnswer,
    WhereQuestion,
    first_excluded,
    parse_question,
    where_error,
)


@dataclass
class WhereEndpoint:
    """Answers one question at a time, as each takes many path searches."""

    app: EdgeApplication
    vm: VmId
    zone: ZoneName
    _is_busy: bool = False

    def respond(self, query: str) -> HttpResponse:
        """Return the response to a query string."""
        if self._is_busy:
            return where_error(429, "another question is being answered")
        self._is_busy = True
        try:
            return self._respond(query)
        finally:
            self._is_busy = False

    def _respond(self, query: str) -> HttpResponse:
        configuration = self.app.fleet_view.configuration
        try:
            question = parse_question(query)
            if not question.host or not question.path:
                raise ValueError("host and path are needed")
            if question.model:
                raise ValueError("model is for chervilstall-router only")
            if configuration is None:
                return where_error(503, "no configuration is known yet")
            answer = self._answer(configuration, question)
        except ValueError as error:
            return where_error(400, str(error))
        except UnknownName as error:
            return where_error(404, str(error))
        return json_response(200, msgspec.to_builtins(answer))

    def _answer(
        self, configuration: RouterConfiguration, question: WhereQuestion
    ) -> WhereAnswer:
        request, notes = self._describe(configuration, question)
        service = request.service
        streams = StreamRanking.of(self.app, request)
        ranking: StreamRanking | PlainRanking = streams
        if service.pipeline is None:
            ranking = PlainRanking.of(self.app, request)
        forecast = AdmissionForecast(
            self.app,
            request,
            streams.chooser,
            streams.rate_limiter,
            lambda: bool(ranking.found),
        )
        admission = forecast.answer()
        paths = ranking.ranked()
        exclusions = TargetExclusions(
            self.app.fleet_view,
            streams.rate_limiter,
            streams.chooser.load,
            ranking.usable(),
        )
        excluded, excluded_more = first_excluded(exclusions.find(service))
        return WhereAnswer(
            router=self.vm,
            zone=self.zone,
            version=configuration.version,
            route=request.route.name,
            service=service.name,
            workspace=request.workspace or "",
            priority=str(request.priority),
            prompt_tokens=question.prompt_tokens,
            answer_tokens=question.answer_tokens,
            admission=admission,
            paths=paths,
            excluded=excluded,
            excluded_more=excluded_more,
            notes=(*notes, *ranking.notes()),
        )

    def _describe(
        self, configuration: RouterConfiguration, question: WhereQuestion
    ) -> tuple[EdgeRequest, list[str]]:
        """Return the request that a question is about, and notes on it."""
        host = question.host.rpartition(":")[0] or question.host
        route = configuration.find_route(host.lower(), question.path.partition("?")[0])
        if route is None:
            raise UnknownName(f"no route matches {question.host}{question.path}")
        workspace = _find_workspace(configuration, question)
        name = choose_service(route, RequestId(""))
        service = configuration.services.get(name)
        if service is None:
            raise UnknownName(f"the service {name} of the route is not configured")
        fields = replace(
            read_request_fields([]),
            host=question.host,
            prompt_tokens=float(question.prompt_tokens),
            answer_tokens=float(question.answer_tokens),
            prompt_parts=tuple(map(PartId, question.parts)),
        )
        priority = question.priority
        if priority is None:
            priority = configuration.priority(route, workspace)
        now_s = time.monotonic()
        request = EdgeRequest(
            fields,
            "POST",
            question.path,
            b"",
            route,
            service,
            workspace,
            priority,
            now_s,
            now_s + route.timeout_s,
            Holding(ClientMemory(0, 0, 0), HoldingKind.ANSWER),
        )
        return request, _notes(configuration, route, request)


def _find_workspace(
    configuration: RouterConfiguration, question: WhereQuestion
) -> WorkspaceName | None:
    if not question.workspace:
        return None
    workspace = WorkspaceName(question.workspace)
    if workspace not in configuration.workspaces.values():
        raise UnknownName(f"there is no workspace {workspace}")
    return workspace


def _notes(
    configuration: RouterConfiguration, route: Route, request: EdgeRequest
) -> list[str]:
    notes: list[str] = []
    needs_key = configuration.has_workspaces and not route.is_public
    if needs_key and request.workspace is None:
        notes.append(
            "The route needs an API key: without one a request is refused with 401. "
            "The answer is for a request without a workspace."
        )
    if len(route.weighted_services) > 1:
        shares = ", ".join(
            f"{each.service} {each.weight:g}" for each in route.weighted_services
        )
        notes.append(
            f"The route splits requests by their ID ({shares}); the answer is for "
            f"{request.service.name}."
        )
    stated = request.fields.prompt_tokens + request.fields.answer_tokens
    if request.service.pipeline is not None and not stated:
        notes.append(
            f"Without sizes, {request.expected_tokens:g} tokens are assumed, as usual "
            "for the model."
        )
    return notes
