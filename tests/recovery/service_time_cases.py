"""Request classes and runs for the tests of learned service times."""

from lichencleat.admission.types import Outcome, Request, RequestClass, RequestState

SECOND = 1_000_000
MAX_RUN_TIMES = {"look": 5 * SECOND, "save": 9 * SECOND}  # µs, by request class
REQUEST_CLASSES = [
    RequestClass(name, latency_objective=SECOND, deadline=max_run_time)
    for name, max_run_time in MAX_RUN_TIMES.items()
]


def complete_run(node, request_class, took):
    request = Request(request_class, 0, 5 * SECOND)
    node.pools.running[request], request.state = None, RequestState.RUNNING
    node.on_run_completed(0, request, Outcome.COMPLETED, took)
