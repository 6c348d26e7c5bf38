"""Request classes and runs that tests of learned service times share."""

from lichencleat.admission.types import Outcome, Request, State, Tariff

SECOND = 1_000_000
LONGEST = {"look": 5 * SECOND, "save": 9 * SECOND}
TARIFFS = [Tariff(name, soft_limit=SECOND, hard_limit=longest) for name, longest in LONGEST.items()]


def complete_run(node, tariff, took):
    request = Request(tariff, 0, 5 * SECOND)
    node.running[request], request.state = None, State.RUNNING
    node.run_ended(0, request, Outcome.COMPLETED, took)
