"""What a router does with each request: where it goes, when it is tried again, how it is answered; no I/O.

As with the node, inputs only update what is known, and the host then pulls decisions. The rules are kept
here: one final answer before the request is due; a receipted request is sent a second time only where no try
of it can have run, or to the node that it is bound to; nothing is honoured but with what a node sent for it.

Around it: the zone is chosen by `failover.locality_routing`, retries are bounded by `failover.retry_budget`.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Iterator

from lichencleat.admission.types import CapacitySignal, Effect
from lichencleat.failover.locality_routing import UPDATE_INTERVAL_US, AttemptCounts, LocalityRouter
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneObservation
from lichencleat.failover.retry_budget import RetryBudget
from lichencleat.router.keys import Keys
from lichencleat.router.nodes import Nodes
from lichencleat.router.terms import Act, Came, Carried, Decision

GUARD = 30_000  # µs before a request is due: a node answers some 100 before, and the way back takes a few
IN_HAND_MOST = 4_096  # requests: some 20 MB with their bodies; what comes beyond is deferred at once
TRIES_MOST = 3  # of one request: further ones have cost more than the answer is worth
PATIENCE = 6  # times the usual time of an answer, after which a pure try is made elsewhere
PATIENCE_LEAST = 300_000  # µs of that: quicker would be a second copy of much that only waits its turn
DEFER_SPAN = 300_000  # µs that callers are asked to stay away where no node said how long
REPEAT_SPAN = 100_000  # µs likewise, for a further try that this router can't place: another one may know it
OFFERED_SPAN = 1_000_000  # µs over which what comes is counted: some looks of the judge
LEAVE_MARGIN = 300_000  # µs before the stop by which all is answered
DEAD_MOST = 256  # due times of answered requests that are kept: a heap is built anew for each so many
SECOND = 1_000_000  # µs


class Router:
    def __init__(
        self,
        zone: str,
        zones: dict[str, Zone],
        nodes: dict[str, list[str]],
        told: CapacitySignal,
        rng: random.Random,
        now: int,
        routers: int = 1,
        grace: int = 0,
    ) -> None:
        """`zones`: with the way to each from this one; `nodes`: names by zone; `routers`: of all zones."""
        self.zone, self.rng, self.grace = zone, rng, grace
        self.locality = LocalityRouter(zone, zones, rng)
        self.locality.router_count = routers
        self.locality.plan_received_at = now
        self.nodes = Nodes(nodes, told, rng)
        self.keys = Keys()
        self.budget = RetryBudget(now)
        self.counts: Counter[str] = Counter()
        self.in_hand: dict[Carried, None] = {}
        self.ready: deque[Carried] = deque()  # to be placed
        self.closed: deque[Decision] = deque()  # answers that are clear
        self.dues: list[tuple[int, int, Carried]] = []
        self.waits: list[tuple[int, int, Carried, int]] = []  # patience of pure tries, and which try it was
        self.serial = 0
        self.step_at = now + UPDATE_INTERVAL_US
        self.sums: dict[str, AttemptCounts] = {}  # since the voters were told last
        self.came_lately: deque[int] = deque()
        self.leaves_at: int | None = None
        self.no_send_after: int | None = None
        self.round: Iterator[Decision] | None = None

    # -- inputs ------------------------------------------------------------------------------------------

    def arrives(self, now: int, request: Carried) -> None:
        self.in_hand[request] = None
        self.ready.append(request)
        if self.leaves_at is not None:
            request.due = min(request.due, self.leaves_at + GUARD)
        self.serial += 1
        heapq.heappush(self.dues, (request.due - GUARD, self.serial, request))
        if len(self.dues) > 2 * len(self.in_hand) + DEAD_MOST:
            self.dues = [entry for entry in self.dues if not entry[2].ended]
            heapq.heapify(self.dues)
        self.came_lately.append(now)
        self.forget_arrivals(now)
        self.budget.record_first_attempt(now)

    def came(self, now: int, request: Carried, came: Came, span: int = 0, last: bool = False) -> None:
        """The try under way has come to its end. `span`: µs that the node asked to stay away; `last`: it
        wishes no try elsewhere.
        """
        if not request.node:
            return
        first = request.tries == 1
        self.try_over(now, request, came, span)
        if request.ended:
            return
        if first:
            self.tell_first(request.zone, came)
        if came is Came.HONOURED:
            self.end(request, Decision(Act.HONOUR, request))
            return
        request.span = span
        if self.may_try_again(now, request, came, last):
            self.counts["tried again"] += 1
            self.ready.append(request)
        elif not request.may_have_run:
            self.end(request, Decision(Act.DEFER, request, span=span or DEFER_SPAN, last=last))
        else:
            self.counts[f"given up: {came.name.lower()}"] += 1
            self.end(request, Decision(Act.GIVE_UP, request))

    def try_over(self, now: int, request: Carried, came: Came, span: int) -> None:
        self.nodes.over(now, request.node, came, span, now - request.sent_at)
        may_have_run = came not in (Came.DEFERRED, Came.UNSENT)
        request.may_have_run |= may_have_run
        if request.key:
            self.keys.over(request.key, may_have_run)
        request.node = ""

    def tell_first(self, zone: str, came: Came) -> None:
        well, turned = came is Came.HONOURED, came is Came.DEFERRED
        self.locality.record_attempt(zone, well, turned)
        self.sums.setdefault(zone, AttemptCounts()).record(well, turned)

    def caller_left(self, now: int, request: Carried) -> None:
        """Nobody waits any more. A receipted try that is under way may run: its key stays bound."""
        if not request.ended:
            self.quit(now, request, Came.ABANDONED)
            self.end(request, None)

    def says(self, node: str, value: float) -> None:
        self.nodes.says(node, value)

    def apply_plan(self, now: int, plan: RoutingPlan) -> bool:
        """The newest plan that was received; false for an older one than is known."""
        return self.locality.apply_plan(now, plan, self.locality.router_count)

    def must_leave(self, now: int, at: int) -> None:
        """The notice: from the grace on nothing more is sent, and all is answered before the stop at `at`."""
        self.leaves_at, self.no_send_after = at - LEAVE_MARGIN, now + self.grace
        for request in self.in_hand:
            request.due = min(request.due, self.leaves_at + GUARD)
            self.serial += 1
            heapq.heappush(self.dues, (request.due - GUARD, self.serial, request))

    # -- what follows from them ---------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        if self.round is None:
            self.round = self.decide(now)
        found = next(self.round, None)
        if found is None:
            self.round = None
        return found

    def decide(self, now: int) -> Iterator[Decision]:
        if now >= self.step_at:
            self.step_at = now + UPDATE_INTERVAL_US
            self.locality.update(now)
        self.give_up_due(now)
        self.lose_patience(now)
        while self.ready or self.closed:
            while self.closed:
                yield self.closed.popleft()
            if self.ready:
                request = self.ready.popleft()
                if not request.ended:
                    yield self.place(now, request)
        yield Decision(Act.WAKE, span=max(1, self.wake_at() - now))

    def wake_at(self) -> int:
        """The next time at which something is to be done though nothing comes."""
        for heap in (self.dues, self.waits):
            while heap and self.is_void(heap[0]):
                heapq.heappop(heap)
        heads = [heap[0][0] for heap in (self.dues, self.waits) if heap]
        return min([self.step_at, *heads])

    @staticmethod
    def is_void(entry: tuple) -> bool:
        request = entry[2]
        return request.ended or (len(entry) == 4 and (request.tries != entry[3] or not request.node))

    def place(self, now: int, request: Carried) -> Decision:
        """Sends it, or answers it at once: nothing is held here."""
        if len(self.in_hand) > IN_HAND_MOST:
            return self.deferred(request, "too many are in hand")
        if self.no_send_after is not None and now > self.no_send_after:
            return self.deferred(request, "the router leaves")
        if request.key:
            return self.place_receipted(now, request)
        return self.place_in(now, request, self.zone_for(now, request))

    def place_receipted(self, now: int, request: Carried) -> Decision:
        known = self.keys.get(now, request.key)
        if known is not None and known.node:
            return self.send(now, request, known.node)
        if known is None and request.further_try:
            # it may have run by another router's doing, and nobody here can know; another one may
            return self.deferred(request, "a further try of an unknown key", REPEAT_SPAN)
        if known is None and not self.keys.room(now):
            return self.deferred(request, "too many keys are in their windows")
        return self.place_in(now, request, self.zone_for(now, request))

    def zone_for(self, now: int, request: Carried) -> str | None:
        """A first try's zone comes from the shares; a further one stays in the zone of the one before, unless
        nothing there may be tried any more.
        """
        left = request.due - GUARD - now
        if request.tries == 0:
            return self.locality.choose_zone(now, left, self.nodes.usual(self.zone))
        if request.zone in self.nodes.zones and self.nodes.fit(
            now, request.zone, request.place, request.spent
        ):
            return request.zone
        return self.locality.choose_remote_zone(left - self.nodes.usual(self.zone))

    def place_in(self, now: int, request: Carried, zone: str | None) -> Decision:
        if zone is None:
            return self.deferred(request, "no zone can carry it")
        node = (
            self.nodes.choose(now, zone, request.place, request.spent) if zone in self.nodes.zones else None
        )
        if node is None:
            span = self.nodes.away(now, zone)
            return self.deferred(request, f"no node of {zone} takes it", span or DEFER_SPAN)
        return self.send(now, request, node)

    def send(self, now: int, request: Carried, node: str) -> Decision:
        request.node, request.sent_at = node, now
        request.zone = self.nodes.zone_of.get(node, request.zone)
        request.tries += 1
        request.spent.append(node)
        self.nodes.sent(node)
        if request.key:
            self.keys.sent(now, request.key, node, request.arrived + request.request_class.window)
        elif request.request_class.effect is Effect.IDEMPOTENT and request.tries < TRIES_MOST:
            usual = self.nodes.usual(request.zone)
            if usual:
                self.serial += 1
                at = now + max(PATIENCE_LEAST, PATIENCE * usual)
                heapq.heappush(self.waits, (at, self.serial, request, request.tries))
        return Decision(Act.SEND, request, node, first=request.tries == 1)

    def deferred(self, request: Carried, why: str, span: int = DEFER_SPAN) -> Decision:
        self.counts[f"deferred: {why}"] += 1
        request.ended = True
        self.in_hand.pop(request, None)
        if request.may_have_run:
            return Decision(Act.GIVE_UP, request)
        return Decision(Act.DEFER, request, span=request.span or span)

    def may_try_again(self, now: int, request: Carried, came: Came, last: bool) -> bool:
        """By the budget of all repeats; a try that may have run is repeated only where that does no harm."""
        harmless = came in (Came.DEFERRED, Came.UNSENT) or request.request_class.effect is Effect.IDEMPOTENT
        if last or not harmless or request.tries >= TRIES_MOST:
            return False
        known = self.keys.known.get(request.key) if request.key else None
        if known is not None and known.node:  # bound to a node that has just turned it away
            return False
        if request.due - GUARD - now <= self.nodes.usual(request.zone):
            return False
        if self.no_send_after is not None and now > self.no_send_after:
            return False
        return self.budget.acquire(now, False)

    def give_up_due(self, now: int) -> None:
        """Guards each answer's time. What may still run there is told that nobody waits."""
        while self.dues and (self.dues[0][0] <= now or self.dues[0][2].ended):
            _, _, request = heapq.heappop(self.dues)
            if not request.ended:
                self.counts["given up as due"] += 1
                if request.node and request.tries == 1:
                    self.tell_first(request.zone, Came.SILENT)
                self.quit(now, request, Came.SILENT)
                self.end(request, Decision(Act.GIVE_UP, request))

    def lose_patience(self, now: int) -> None:
        """Guards pure requests against nodes that are silent or far too slow, whatever the cause.

        Harm where all are slow: work is done twice, so the budget bounds it, and the last try waits on.
        """
        while self.waits and (self.waits[0][0] <= now or self.is_void(self.waits[0])):
            entry = heapq.heappop(self.waits)
            request = entry[2]
            if self.is_void(entry) or not self.another(now, request):
                continue
            if not self.may_try_again(now, request, Came.SILENT, False):  # which counts it as a repeat
                continue
            self.counts["tries given up as slow"] += 1
            if request.tries == 1:
                self.tell_first(request.zone, Came.SILENT)
            self.quit(now, request, Came.SILENT)
            self.ready.append(request)

    def another(self, now: int, request: Carried) -> bool:
        """Is there a node that it could go to instead?"""
        zone = self.zone_for(now, request)
        return bool(zone and self.nodes.fit(now, zone, request.place, request.spent))

    def quit(self, now: int, request: Carried, came: Came) -> None:
        """The try under way, if any: its node is told, and what it comes to counts for nothing."""
        if request.node:
            self.closed.append(Decision(Act.QUIT, request, request.node))
            self.try_over(now, request, came, 0)

    def end(self, request: Carried, decision: Decision | None) -> None:
        request.ended = True
        self.in_hand.pop(request, None)
        if decision is not None:
            self.closed.append(decision)

    # -- what others are told -----------------------------------------------------------------------------

    def evidence(self, now: int) -> tuple[float, dict[str, ZoneObservation]]:
        """Requests a second that come, and what first tries to each zone came to since the last look."""
        self.forget_arrivals(now)
        sums, self.sums = self.sums, {}
        seen = {
            zone: ZoneObservation(each.sent, each.succeeded, each.rejected, each.lost, self.nodes.usual(zone))
            for zone, each in sums.items()
        }
        return len(self.came_lately) * SECOND / OFFERED_SPAN, seen

    def forget_arrivals(self, now: int) -> None:
        while self.came_lately and self.came_lately[0] < now - OFFERED_SPAN:
            self.came_lately.popleft()

    def value(self, now: int, callers: int) -> float | None:
        return self.nodes.value(now, self.zone, callers)

    def beliefs(self) -> str:
        locality = self.locality
        return (
            f"{len(self.in_hand)} in hand, order {locality.plan.version}, {locality.spill:.0%} spilled, "
            f"{len(self.keys.known)} keys bound, {self.budget.available:.0f} repeats left"
        )
