"""Request classes and runs that tests of learned service times share."""

from lichencleat.admission.types import Outcome, Request, RequestClass, RequestState

SECOND = 1_000_000
LONGEST = {"look": 5 * SECOND, "save": 9 * SECOND}
REQUEST_CLASSES = [
    RequestClass(name, latency_objective=SECOND, deadline=longest) for name, longest in LONGEST.items()
]


def complete_run(node, request_class, took):
    request = Request(request_class, 0, 5 * SECOND)
    node.pools.running[request], request.state = None, RequestState.RUNNING
    node.on_run_completed(0, request, Outcome.COMPLETED, took)
