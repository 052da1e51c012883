"""The admin listener: health, readiness, state, histograms and explanations."""

import msgspec

from chervilstall.gateway.runtime import RouterRuntime, RouterState
from chervilstall.gateway.where import answer_where
from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.ids import RequestId
from chervilstall.settings.documents import RequestClass
from chervilstall.where_answer import WHERE_PATH
from chervilstall.wsgi import Environ

EXPLAIN_PREFIX = "/explain/"


class AdminApplication:
    """WSGI application for operators and the load balancer of one router."""

    def __init__(self, runtime: RouterRuntime) -> None:
        self.runtime = runtime

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Serve one request."""
        path, query = environ["PATH_INFO"], environ["QUERY_STRING"]
        return self._respond(path, query).start(start_response)

    def _respond(self, path: str, query: str) -> HttpResponse:
        if path.startswith(EXPLAIN_PREFIX):
            return self._explain(path.removeprefix(EXPLAIN_PREFIX))
        match path:
            case "/healthz":
                return json_response(200, {"ok": True})
            case "/readyz":
                is_ready = self.runtime.state is RouterState.READY
                body = {"state": self.runtime.state.value}
                return json_response(200 if is_ready else 503, body)
            case "/histograms":
                return json_response(200, self.runtime.metrics.summary())
            case "/state":
                return json_response(200, self._state())
            case "/bound":
                return json_response(200, self._throughput_bounds())
            case _ if path == WHERE_PATH:
                return answer_where(self.runtime, query)
        return json_response(404, {"error": "no such path"})

    def _explain(self, request_id: str) -> HttpResponse:
        explanation = self.runtime.explanations.get(RequestId(request_id))
        if explanation is None:
            return json_response(404, {"error": "the request is not remembered here"})
        return json_response(200, explanation)

    def _state(self) -> dict[str, object]:
        runtime = self.runtime
        queues = {}
        for request_class in RequestClass:
            queues[request_class.value] = {
                "waiting": runtime.queue.waiting(request_class),
                "running": runtime.queue.running(request_class),
            }
        targets = {}
        for target, load in runtime.selector.load_table.loads.items():
            targets[target] = {
                "in_flight": load.in_flight,
                "limit": round(load.limit, 1),
                "health": load.health.value,
                "is_leaving": load.is_leaving,
            }
        return {
            "vm": runtime.settings.vm.vm,
            "zone": runtime.settings.vm.zone,
            "state": runtime.state.value,
            "revision": runtime.tree.revision,
            "running": runtime.request_tracker.running,
            "queues": queues,
            "targets": targets,
            "counters": dict(runtime.metrics.counters),
            "relay": msgspec.to_builtins(vars(runtime.relay.counters)),
            "longest_stall_ms": round(runtime.longest_stall_s * 1e3, 2),
            "retry_budget": {
                "balance": round(runtime.retry_budget.balance, 2),
                "spent": runtime.retry_budget.spent,
                "denied": runtime.retry_budget.denied,
            },
        }

    def _throughput_bounds(self) -> list[dict[str, object]]:
        rows: list[dict[str, object]] = []
        for capability, plan in self.runtime.selector.plans().items():
            spilling = self.runtime.selector.spilling_priorities(capability)
            chains = []
            for template in plan.templates:
                stages = [
                    f"{item.stage_class.zone}/{item.stage_class.accelerator}"
                    f" {item.first_layer}..{item.end_layer}"
                    for item in template.slices
                ]
                chain = {"stages": stages, "tokens_per_s": template.tokens_per_s}
                chains.append(chain)
            rows.append(
                {
                    "model": capability.model,
                    "version": capability.version,
                    "adapter": capability.adapter,
                    "bound_tokens_per_s": plan.bound_tokens_per_s,
                    "limited_by": plan.limited_by,
                    "spilling": [item.name.lower() for item in spilling],
                    "chains": chains,
                }
            )
        return rows
