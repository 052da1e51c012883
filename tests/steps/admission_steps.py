"""Steps for the admission queue, and for retries after the loss of every engine."""

import time

import gevent
from behave import then, when
from behave.runner import Context

from chervilstall.admission.queue import AdmissionQueue
from chervilstall.errors import ChervilstallError
from chervilstall.ids import WorkspaceName
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings
from tests.support.agent_fleet import eventually
from tests.support.chat import CHAT, chat_body


@when("one workspace queues 200 requests and nine queue 10 each")
def queue_many(context: Context) -> None:
    queue = AdmissionQueue(AdmissionSettings(concurrency=10_000))
    has_capacity = [False]
    start_order: list[str] = []

    def submit(name: str) -> None:
        queue.acquire(
            WorkspaceName(name),
            RequestClass.DRAFT,
            1.0,
            1.0,
            lambda: start_order.append(name) or True if has_capacity[0] else None,
            time.monotonic() + 30.0,
        )

    tasks = []
    for name, count in [("large", 200)] + [(f"small-{n}", 10) for n in range(9)]:
        tasks += [gevent.spawn(submit, name) for _ in range(count)]
    eventually(lambda: queue.waiting(RequestClass.DRAFT) == 290)
    has_capacity[0] = True
    queue.dispatch()
    # Tasks left behind would delay those of the next scenario.
    gevent.joinall(tasks, raise_error=True)
    context.start_order = start_order


@then("the first {count:d} requests started serve every workspace {times:d} times")
def check_fair_order(context: Context, count: int, times: int) -> None:
    first = context.start_order[:count]
    assert len(set(first)) == 10
    assert all(first.count(name) == times for name in set(first)), first


@then("urgent requests start before waiting drafts, and a draft starts under load")
def check_classes(context: Context) -> None:
    admission_settings = AdmissionSettings(concurrency=10, draft_floor_share=0.1)
    queue = AdmissionQueue(admission_settings)
    started: list[RequestClass] = []

    def submit(request_class: RequestClass) -> None:
        queue.acquire(
            WorkspaceName("w"),
            request_class,
            1.0,
            1.0,
            lambda: started.append(request_class) or True,
            time.monotonic() + 30.0,
        )

    tasks: list[gevent.Greenlet] = []

    def is_settled() -> bool:
        # Every request waits in the queue or its task has got its reservation.
        waiting = sum(queue.waiting(request_class) for request_class in RequestClass)
        admitted = sum(task.successful() for task in tasks)
        return admitted == len(started) and admitted + waiting == len(tasks)

    tasks += [gevent.spawn(submit, RequestClass.DRAFT) for _ in range(20)]
    eventually(is_settled)
    drafts = started.count(RequestClass.DRAFT)
    assert drafts == 8, drafts
    tasks += [gevent.spawn(submit, RequestClass.URGENT) for _ in range(12)]
    eventually(is_settled)
    assert started.count(RequestClass.URGENT) == 2
    for _ in range(3):
        queue.finish(RequestClass.DRAFT)
    eventually(is_settled)
    assert started[10:] == [RequestClass.URGENT] * 3, started[10:]
    for _ in range(5):
        queue.finish(RequestClass.URGENT)
        queue.finish(RequestClass.DRAFT)
    eventually(is_settled)
    assert queue.running(RequestClass.DRAFT) >= 1


@then('the queue refuses a request with {case} as "{kind}" without waiting')
def check_refusal(context: Context, case: str, kind: str) -> None:
    queue = AdmissionQueue(AdmissionSettings(queue_length=1))
    queue._queues[RequestClass.DRAFT].wait_s = 60.0

    def submit(seconds: float) -> None:
        queue.acquire(
            WorkspaceName("w"),
            RequestClass.DRAFT,
            1.0,
            1.0,
            lambda: None,
            time.monotonic() + seconds,
        )

    if case.startswith("a wait"):
        queue.settings = AdmissionSettings(queue_length=5)
    gevent.spawn(submit, 100.0)
    eventually(lambda: queue.waiting(RequestClass.DRAFT) == 1)
    with gevent.Timeout(
        5.0, AssertionError("the request was queued instead of refused")
    ):
        try:
            submit(30.0)
        except ChervilstallError as error:
            assert error.kind.value == kind, error
            assert error.response.execution.value == "no"
            return
    raise AssertionError("the request was admitted")


@when("every engine dies and {count:d} requests are sent")
def kill_all_engines(context: Context, count: int) -> None:
    router_harness = context.router_harness
    for server in router_harness.engines.values():
        server.kill()
    tasks = []
    for _ in range(count):
        body = chat_body(model="drafts")
        headers = {"Chervilstall_Deadline_S": "2"}
        tasks.append(gevent.spawn(router_harness.send, "POST", CHAT, body, **headers))
    gevent.joinall(tasks, raise_error=True)
    context.responses = [task.value for task in tasks]


@then("retries stay within the budget, and every answer says that nothing ran")
def check_retries_bounded(context: Context) -> None:
    runtime = context.router_harness.router.runtime
    assert runtime.retry_budget.spent <= runtime.settings.retry.budget_floor
    for response in context.responses:
        assert response.status in (503, 504), response
        assert response.error()["ran"] == "no", response
    assert not context.router_harness.ledger.layer_runs
