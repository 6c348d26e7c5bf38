"""Model checking of the real router logic: two zones with one router each, and requests with a single key.

All orders of attempts, retries, attempt outcomes, routing plans and router restarts are tried.
`python -m lichencleat.testkit.explore_router` prints the depth that was reached and the bugs that were found.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable
from typing import Any

import click

from lichencleat.admission.types import CapacitySignal, Effect, RequestClass
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.router.core import ANSWER_MARGIN_US, MAX_ATTEMPTS, Router
from lichencleat.router.terms import Action, AttemptOutcome, Decision, RoutedRequest
from lichencleat.testkit.explore import Explored, explore

SECOND = 1_000_000
START = 1_000 * SECOND  # µs of Unix time
SAVE = RequestClass("save", Effect.KEYED, latency_objective=SECOND, deadline=4 * SECOND, window=60 * SECOND)
NODES = {"a": ["a1", "a2"], "b": ["b1"]}
GUESTS = {"a": 1_000.0, "b": 1_000.0}
PLANS = [
    RoutingPlan(1, 1, {}, GUESTS),
    RoutingPlan(2, 1, {"a": ZoneRole.DRAINING}, GUESTS),
    RoutingPlan(3, 1, {"b": ZoneRole.FENCED}, GUESTS),
]
# Limits of one history: retries by the client, router restarts, and deliveries of a routing plan.
RETRIES, RESTARTS, PLAN_DELIVERIES = 2, 1, 3
OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.DEFERRED, AttemptOutcome.UNSENT, AttemptOutcome.LOST)


class First:
    """Random number generator without randomness: samples the first items and returns 0.5 for each draw."""

    def random(self) -> float:
        return 0.5

    def sample(self, of: list[Any], count: int) -> list[Any]:
        return of[:count]


def make_router(kind: type[Router], zone: str) -> Router:
    """Return a new router of the class `kind` for the zone, with the initial routing plan."""
    ways = {"a": Zone("", 0.0, {"b": 5_000}), "b": Zone("", 0.0, {"a": 5_000})}
    router = kind(zone, ways, NODES, CapacitySignal.NONE, First(), START, 2)  # type: ignore[arg-type]
    router.apply_plan(START, RoutingPlan(0, 1, {}, GUESTS))
    router.locality.refill_spillover(START)
    return router


class World:
    """State of the setting."""

    kind: type[Router] = Router

    def __init__(self) -> None:
        self.routers = {zone: make_router(self.kind, zone) for zone in NODES}
        self.now = START
        self.open: list[tuple[str, RoutedRequest]] = []  # (zone of the router, request without an answer)
        self.tries: dict[int, str] = {}  # position in `open` -> node of the attempt in flight; not used
        self.may_run: set[str] = set()  # nodes that may have run the request with the key; not used
        self.sent: dict[str, int] = {}  # node -> number of attempts sent there that may run
        self.first, self.retries, self.restarts, self.plan_deliveries = 1, RETRIES, RESTARTS, PLAN_DELIVERIES
        self.wrong: str | None = None

    # -- methods of explore.World --------------------------------------------------------------------

    def after(self, action: Any) -> World:
        """Return the state that follows the action; this state stays unchanged."""
        twin = copy.deepcopy(self)
        getattr(twin, action[0])(*action[1:])
        return twin

    def violation(self) -> str | None:
        """Return the description of the violated rule, or None."""
        return self.wrong

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures."""
        routers = tuple(
            (
                each.locality.plan.version,
                tuple(
                    (known.node, known.open_attempts, known.may_have_run)
                    for known in each.keys.bindings.values()
                ),
                round(each.retry_budget.available, 1),
                tuple(
                    tuple(sorted(z.nodes[n].backoff_until > self.now for n in z.nodes))
                    for z in each.nodes.zones.values()
                ),
            )
            for each in self.routers.values()
        )
        open_ = tuple(
            (zone, r.is_retry, r.attempts, r.node, tuple(r.attempted_nodes), r.may_have_run)
            for zone, r in self.open
        )
        left = self.first, self.retries, self.restarts, self.plan_deliveries
        return routers, open_, tuple(sorted(self.sent.items())), self.now, left

    def actions(self) -> Iterable[Hashable]:
        """Yield all actions that are possible in this state, in a fixed order."""
        if self.first:
            yield from (("asks", zone, False) for zone in NODES)
        elif self.retries:
            yield from (("asks", zone, True) for zone in NODES)
        if self.plan_deliveries:
            yield from (("orders", zone, at) for zone in NODES for at in range(len(PLANS)))
        for at, (_, request) in enumerate(self.open):
            yield from (("comes", at, came) for came in OUTCOMES if request.node)
            yield ("leaves", at)
        if self.restarts:
            yield from (("restarts_at", zone) for zone in NODES)
        if self.open:
            yield ("time",)

    # -- actions ------------------------------------------------------------------------------------

    def asks(self, zone: str, again: bool) -> None:
        """The client sends its request to the router of the zone; `again` marks a retry."""
        if again:
            self.retries -= 1
        else:
            self.first -= 1
        ident = b"%d" % (self.first + self.retries)
        request = RoutedRequest(SAVE, ident, self.now, self.now + SAVE.deadline, key=b"k", is_retry=again)
        self.open.append((zone, request))
        self.routers[zone].on_request(self.now, request)
        self.pull(zone)

    def orders(self, zone: str, at: int) -> None:
        """The router of the zone receives the routing plan `PLANS[at]`."""
        self.plan_deliveries -= 1
        before = self.routers[zone].locality.plan.version
        self.routers[zone].apply_plan(self.now, PLANS[at])
        if self.routers[zone].locality.plan.version < before:
            self.wrong = f"an older order is followed: {PLANS[at].version} after {before}"

    def comes(self, at: int, came: AttemptOutcome) -> None:
        """The open request number `at` receives the outcome of its attempt."""
        zone, request = self.open[at]
        node = request.node
        if came in (AttemptOutcome.DEFERRED, AttemptOutcome.UNSENT):
            self.sent[node] -= 1
        self.routers[zone].on_attempt_finished(self.now, request, came)
        self.pull(zone)

    def leaves(self, at: int) -> None:
        """The client cancels the open request number `at`."""
        zone, request = self.open[at]
        self.routers[zone].on_caller_left(self.now, request)
        self.pull(zone)
        self.close(request)

    def restarts_at(self, zone: str) -> None:
        """The router of the zone restarts without its state; the attempts that it sent may still run."""
        self.restarts -= 1
        self.routers[zone] = make_router(self.kind, zone)
        self.open = [each for each in self.open if each[0] != zone]

    def time(self) -> None:
        """Advance the clock to the earliest due time of an open request, less the answer margin."""
        self.now = min(request.due for _, request in self.open) - ANSWER_MARGIN_US
        for zone in NODES:
            self.pull(zone)
        late = [request for _, request in self.open if request.due - ANSWER_MARGIN_US <= self.now]
        if late:
            self.wrong = self.wrong or "a request that is due is not answered"

    # -- decisions of the routers --------------------------------------------------------------------

    def pull(self, zone: str) -> None:
        """Carry out all decisions of the router."""
        while (decision := self.routers[zone].next_decision(self.now)) is not None:
            if decision.request is not None:
                self.carry_out(decision)

    def carry_out(self, decision: Decision) -> None:
        """Carry out one decision and check that the key can run on only one node."""
        request, node = decision.request, decision.node
        assert request is not None
        if decision.action is Action.SEND:
            others = {name for name, count in self.sent.items() if count and name != node}
            if others:
                self.wrong = (
                    self.wrong or f"the key goes to {node} and may run at {', '.join(sorted(others))}"
                )
            self.sent[node] = self.sent.get(node, 0) + 1
        elif decision.action is Action.REJECT and request.may_have_run:
            self.wrong = self.wrong or "it is told that it never ran, and it may have"
        if decision.action in (Action.REJECT, Action.FAIL, Action.SERVE):
            self.close(request)

    def close(self, request: RoutedRequest) -> None:
        """Remove an answered or cancelled request from the open requests."""
        self.open = [each for each in self.open if each[1] is not request]


# -- injected bugs -----------------------------------------------------------------------------------


class RepeatsWhatMayHaveRun(Router):
    """Injected bug: retries attempts that may have run, on any node."""

    def acquire_retry(self, now: int, request: RoutedRequest, came: AttemptOutcome, last: bool) -> bool:
        return request.attempts < MAX_ATTEMPTS and request.due - ANSWER_MARGIN_US > now

    def route_keyed(self, now: int, request: RoutedRequest) -> Decision:
        if request.attempts:
            self.keys.bindings.pop(request.key, None)
        return super().route_keyed(now, request)


class Forgets(Router):
    """Injected bug: forgets the node that ran a key once no attempt is open."""

    def route_keyed(self, now: int, request: RoutedRequest) -> Decision:
        known = self.keys.get(now, request.key)
        if known is not None and not known.open_attempts:
            known.node, known.may_have_run = "", False
        return super().route_keyed(now, request)


class TrustsFurtherTries(Router):
    """Injected bug: sends the retry of an unknown key to any node."""

    def route_keyed(self, now: int, request: RoutedRequest) -> Decision:
        if self.keys.get(now, request.key) is None:
            return self.route_in_zone(now, request, self.choose_zone(now, request))
        return super().route_keyed(now, request)


class TakesAnyOrder(Router):
    """Injected bug: applies a routing plan even if the plan is older than the current one."""

    def apply_plan(self, now: int, plan: RoutingPlan) -> bool:
        self.locality.plan = plan
        self.locality.refill_spillover(now)
        return True


class SaysThatNothingRan(Router):
    """Injected bug: reports after each attempt that the request cannot have run."""

    def finish_attempt(self, now: int, request: RoutedRequest, came: AttemptOutcome, span: int) -> None:
        super().finish_attempt(now, request, came, span)
        request.may_have_run = False


MISTAKES = {
    "what may have run is sent again": (RepeatsWhatMayHaveRun, "the key goes to"),
    "where a key ran is forgotten": (Forgets, "the key goes to"),
    "a further try of an unknown key is sent": (TrustsFurtherTries, "the key goes to"),
    "an older order is followed": (TakesAnyOrder, "an older order"),
}


def play(kind: type[Router], depth: int, most: int = 60_000) -> Explored:
    """Explore all orders of up to `depth` actions, at most `most` states."""
    world = type("Setting", (World,), {"kind": kind})()
    return explore(world, depth, most)


@click.command()
@click.option("--depth", default=8, show_default=True)
@click.option("--most", default=400_000, show_default=True, help="Maximum number of states.")
def main(depth: int, most: int) -> None:
    """Check the router and the injected bugs in all orders of up to `depth` actions."""
    click.echo(f"as it is: {play(Router, depth, most)}")
    for name, (kind, _) in MISTAKES.items():
        found = play(kind, depth, most)
        click.echo(f"{name}: {found}")
        for step in found.history:
            click.echo(f"    {step}")


if __name__ == "__main__":
    main()
