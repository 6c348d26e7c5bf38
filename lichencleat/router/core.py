"""Decisions of a router on each request: the node it goes to, its retries and its answer; no I/O.

Inputs only update the state; the host, `door.RouterEngine`, then pulls the decisions and carries them out.
Invariants:

- each request gets one final answer before it is due;
- a keyed request is sent a second time only if no attempt can have run, or to the node of its key's binding;
- a request is served only with a result that a node sent for this request.

`failover.locality_routing` chooses the zone of a request, `failover.retry_budget` limits the retries.
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
from lichencleat.router.keys import KeyBindings
from lichencleat.router.nodes import Nodes
from lichencleat.router.terms import Action, AttemptOutcome, Decision, RoutedRequest

# Each request is answered this long before it is due: the answer takes a few ms to reach the caller. A node
# answers some 100 ms before the request is due.
ANSWER_MARGIN_US = 30_000
MAX_IN_FLIGHT = 4_096  # requests, some 20 MB with their bodies; further requests are rejected at once
MAX_ATTEMPTS = 3  # attempts of a request; further attempts cost more than the answer is worth
# An idempotent request is retried on another node after this many typical response times without an answer.
SLOW_ATTEMPT_FACTOR = 6
# Minimum time without an answer before an idempotent request is retried on another node; a shorter time would
# duplicate many requests that only wait in a queue.
MIN_SLOW_ATTEMPT_US = 300_000
DEFAULT_RETRY_AFTER_US = 300_000  # retry-after for callers if no node gave one
# retry-after for a caller's retry with a key that this router does not know, but another router may know
UNKNOWN_KEY_RETRY_AFTER_US = 100_000
# time over which arrivals are counted as the offered load: several polls of the failover controller
OFFERED_LOAD_WINDOW_US = 1_000_000
STOP_MARGIN_US = 300_000  # time before the stop by which all requests are answered
MAX_STALE_DUE_TIMES = 256  # entries of answered requests in the heap of due times before it is rebuilt
SECOND = 1_000_000  # µs


class Router:
    """Makes the decisions of one router.

    Args:
        zone: The router's own zone.
        zones: All zones by name, with the round-trip times from the router's own zone.
        nodes: Names of the nodes by zone.
        capacity_signal: What the nodes' advertised capacity means.
        rng: Source of randomness.
        now: The current time, µs of Unix time.
        router_count: Number of routers in all zones.
        grace: µs after the start of a drain in which attempts are still sent.
    """

    def __init__(
        self,
        zone: str,
        zones: dict[str, Zone],
        nodes: dict[str, list[str]],
        capacity_signal: CapacitySignal,
        rng: random.Random,
        now: int,
        router_count: int = 1,
        grace: int = 0,
    ) -> None:
        self.zone, self.rng, self.grace = zone, rng, grace
        self.locality = LocalityRouter(zone, zones, rng)
        self.locality.router_count = router_count
        self.locality.plan_received_at = now
        self.nodes = Nodes(nodes, capacity_signal, rng)
        self.keys = KeyBindings()
        self.retry_budget = RetryBudget(now)
        self.counts: Counter[str] = Counter()
        self.in_flight: dict[RoutedRequest, None] = {}  # requests without an answer, in order of arrival
        self.unrouted: deque[RoutedRequest] = deque()  # requests whose next attempt has no node yet
        self.pending_decisions: deque[Decision] = deque()
        # heap: the time by which a request is answered, a serial number, the request
        self.due_times: list[tuple[int, int, RoutedRequest]] = []
        # heap: the time at which an attempt counts as slow, a serial number, the request, the attempt number
        self.slow_times: list[tuple[int, int, RoutedRequest, int]] = []
        self.serial = 0
        self.update_at = now + UPDATE_INTERVAL_US
        self.attempt_counts: dict[str, AttemptCounts] = {}  # by zone, since the last health report
        self.recent_arrivals: deque[int] = deque()  # times of arrival, within the window of the offered load
        # while draining: when all requests are answered, and after which time no attempt is sent; else None
        self.answer_all_by: int | None = None
        self.no_send_after: int | None = None
        self.round: Iterator[Decision] | None = None  # the current round of decisions

    # -- inputs ------------------------------------------------------------------------------------------

    def on_request(self, now: int, request: RoutedRequest) -> None:
        """Accept a request from a caller."""
        self.in_flight[request] = None
        self.unrouted.append(request)
        if self.answer_all_by is not None:
            request.due = min(request.due, self.answer_all_by + ANSWER_MARGIN_US)
        self.serial += 1
        heapq.heappush(self.due_times, (request.due - ANSWER_MARGIN_US, self.serial, request))
        if len(self.due_times) > 2 * len(self.in_flight) + MAX_STALE_DUE_TIMES:
            self.due_times = [entry for entry in self.due_times if not entry[2].is_finished]
            heapq.heapify(self.due_times)
        self.recent_arrivals.append(now)
        self.drop_old_arrivals(now)
        self.retry_budget.record_first_attempt(now)

    def on_attempt_finished(
        self,
        now: int,
        request: RoutedRequest,
        outcome: AttemptOutcome,
        retry_after_us: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Record the outcome of the attempt in flight, then retry or answer the request.

        `no_retry`: the node asks not to retry the request on another node.
        """
        if not request.node:
            return
        is_first_attempt = request.attempts == 1
        self.finish_attempt(now, request, outcome, retry_after_us)
        if request.is_finished:
            return
        if is_first_attempt:
            self.count_first_attempt(request.zone, outcome)
        if outcome is AttemptOutcome.SERVED:
            self.finish(request, Decision(Action.SERVE, request))
            return
        request.retry_after_us = retry_after_us
        if self.acquire_retry(now, request, outcome, no_retry):
            self.counts["tried again"] += 1
            self.unrouted.append(request)
        elif not request.may_have_run:
            self.finish(
                request,
                Decision(
                    Action.REJECT,
                    request,
                    delay_us=retry_after_us or DEFAULT_RETRY_AFTER_US,
                    no_retry=no_retry,
                ),
            )
        else:
            self.counts[f"given up: {outcome.name.lower()}"] += 1
            self.finish(request, Decision(Action.FAIL, request))

    def finish_attempt(
        self, now: int, request: RoutedRequest, outcome: AttemptOutcome, retry_after_us: int
    ) -> None:
        """Record the outcome of the attempt in flight for its node, its key and its request."""
        self.nodes.on_finished(now, request.node, outcome, retry_after_us, now - request.sent_at)
        may_have_run = outcome not in (AttemptOutcome.DEFERRED, AttemptOutcome.UNSENT)
        request.may_have_run |= may_have_run
        if request.key:
            self.keys.on_finished(request.key, may_have_run)
        request.node = ""

    def count_first_attempt(self, zone: str, outcome: AttemptOutcome) -> None:
        """Count the outcome of a request's first attempt for locality routing and the next health report."""
        succeeded, rejected = outcome is AttemptOutcome.SERVED, outcome is AttemptOutcome.DEFERRED
        self.locality.record_attempt(zone, succeeded, rejected)
        self.attempt_counts.setdefault(zone, AttemptCounts()).record(succeeded, rejected)

    def on_caller_left(self, now: int, request: RoutedRequest) -> None:
        """Finish a request whose caller has left; its key stays bound, as an attempt may still run."""
        if not request.is_finished:
            self.cancel_attempt(now, request, AttemptOutcome.CANCELLED)
            self.finish(request, None)

    def on_capacity(self, node: str, capacity: float) -> None:
        """Record the capacity that the node advertises."""
        self.nodes.on_capacity(node, capacity)

    def apply_plan(self, now: int, plan: RoutingPlan) -> bool:
        """Apply a routing plan; return false if the plan is older than the current plan."""
        return self.locality.apply_plan(now, plan, self.locality.router_count)

    def start_draining(self, now: int, stop_at: int) -> None:
        """Start to drain: send no attempts after the grace, and answer all requests before the stop."""
        self.answer_all_by, self.no_send_after = stop_at - STOP_MARGIN_US, now + self.grace
        for request in self.in_flight:
            request.due = min(request.due, self.answer_all_by + ANSWER_MARGIN_US)
            self.serial += 1
            heapq.heappush(self.due_times, (request.due - ANSWER_MARGIN_US, self.serial, request))

    # -- decisions ----------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision of this round, or None at the end of the round."""
        if self.round is None:
            self.round = self.decide(now)
        decision = next(self.round, None)
        if decision is None:
            self.round = None
        return decision

    def decide(self, now: int) -> Iterator[Decision]:
        """Yield the decisions of one round; the last decision is a WAKE."""
        if now >= self.update_at:
            self.update_at = now + UPDATE_INTERVAL_US
            self.locality.update(now)
        self.fail_due(now)
        self.retry_slow(now)
        while self.unrouted or self.pending_decisions:
            while self.pending_decisions:
                yield self.pending_decisions.popleft()
            if self.unrouted:
                request = self.unrouted.popleft()
                if not request.is_finished:
                    yield self.route(now, request)
        yield Decision(Action.WAKE, delay_us=max(1, self.wake_at() - now))

    def wake_at(self) -> int:
        """Return the time at which the next decision is due if no input arrives before."""
        for heap in (self.due_times, self.slow_times):
            while heap and self.is_stale(heap[0]):
                heapq.heappop(heap)
        heads = [heap[0][0] for heap in (self.due_times, self.slow_times) if heap]
        return min([self.update_at, *heads])

    @staticmethod
    def is_stale(entry: tuple) -> bool:
        """Return whether a heap entry belongs to a finished request or to an attempt no longer in flight."""
        request = entry[2]
        return request.is_finished or (len(entry) == 4 and (request.attempts != entry[3] or not request.node))

    def route(self, now: int, request: RoutedRequest) -> Decision:
        """Send the request to a node, or answer it at once, as the router has no queue."""
        if len(self.in_flight) > MAX_IN_FLIGHT:
            return self.reject(request, "too many are in hand")
        if self.no_send_after is not None and now > self.no_send_after:
            return self.reject(request, "the router leaves")
        if request.key:
            return self.route_keyed(now, request)
        return self.route_in_zone(now, request, self.choose_zone(now, request))

    def route_keyed(self, now: int, request: RoutedRequest) -> Decision:
        """Send a keyed request to the node that its key is bound to; route a request with a free key."""
        binding = self.keys.get(now, request.key)
        if binding is not None and binding.node:
            return self.send(now, request, binding.node)
        if binding is None and request.is_retry:
            # The request may have run through another router, which knows the key; this router can't tell.
            return self.reject(request, "a further try of an unknown key", UNKNOWN_KEY_RETRY_AFTER_US)
        if binding is None and not self.keys.has_room(now):
            return self.reject(request, "too many keys are in their windows")
        return self.route_in_zone(now, request, self.choose_zone(now, request))

    def choose_zone(self, now: int, request: RoutedRequest) -> str | None:
        """Return the zone for the request's next attempt, or None if no zone can serve the request.

        Locality routing chooses the zone of a first attempt. A retry stays in the zone of the previous
        attempt if a node is available there, and otherwise goes to another zone.
        """
        time_left = request.due - ANSWER_MARGIN_US - now
        if request.attempts == 0:
            return self.locality.choose_zone(now, time_left, self.nodes.typical_response_time(self.zone))
        if request.zone in self.nodes.zones and self.nodes.available(
            now, request.zone, request.rank, request.attempted_nodes
        ):
            return request.zone
        return self.locality.choose_remote_zone(time_left - self.nodes.typical_response_time(self.zone))

    def route_in_zone(self, now: int, request: RoutedRequest, zone: str | None) -> Decision:
        """Send the request to a node of the zone, or reject the request if no node accepts it."""
        if zone is None:
            return self.reject(request, "no zone can carry it")
        node = (
            self.nodes.choose(now, zone, request.rank, request.attempted_nodes)
            if zone in self.nodes.zones
            else None
        )
        if node is None:
            backoff = self.nodes.backoff_remaining(now, zone)
            return self.reject(request, f"no node of {zone} takes it", backoff or DEFAULT_RETRY_AFTER_US)
        return self.send(now, request, node)

    def send(self, now: int, request: RoutedRequest, node: str) -> Decision:
        """Record a new attempt at the node, and return the decision to send it."""
        request.node, request.sent_at = node, now
        request.zone = self.nodes.zone_of.get(node, request.zone)
        request.attempts += 1
        request.attempted_nodes.append(node)
        self.nodes.on_sent(node)
        if request.key:
            self.keys.on_sent(now, request.key, node, request.arrived + request.request_class.window)
        elif request.request_class.effect is Effect.IDEMPOTENT and request.attempts < MAX_ATTEMPTS:
            typical = self.nodes.typical_response_time(request.zone)
            if typical:
                self.serial += 1
                slow_at = now + max(MIN_SLOW_ATTEMPT_US, SLOW_ATTEMPT_FACTOR * typical)
                heapq.heappush(self.slow_times, (slow_at, self.serial, request, request.attempts))
        return Decision(Action.SEND, request, node, is_first_attempt=request.attempts == 1)

    def reject(
        self, request: RoutedRequest, reason: str, retry_after_us: int = DEFAULT_RETRY_AFTER_US
    ) -> Decision:
        """Finish a request that is not sent: as rejected, or as failed if an earlier attempt may have run.

        `reason` is part of the name of a counter.
        """
        self.counts[f"deferred: {reason}"] += 1
        request.is_finished = True
        self.in_flight.pop(request, None)
        if request.may_have_run:
            return Decision(Action.FAIL, request)
        return Decision(Action.REJECT, request, delay_us=request.retry_after_us or retry_after_us)

    def acquire_retry(
        self, now: int, request: RoutedRequest, outcome: AttemptOutcome, no_retry: bool
    ) -> bool:
        """Take a retry from the budget; return false if the request can't be retried.

        After an attempt that may have run, only an idempotent request is retried.
        """
        is_safe = (
            outcome in (AttemptOutcome.DEFERRED, AttemptOutcome.UNSENT)
            or request.request_class.effect is Effect.IDEMPOTENT
        )
        if no_retry or not is_safe or request.attempts >= MAX_ATTEMPTS:
            return False
        binding = self.keys.bindings.get(request.key) if request.key else None
        if binding is not None and binding.node:  # an attempt may have run on the key's node
            return False
        if request.due - ANSWER_MARGIN_US - now <= self.nodes.typical_response_time(request.zone):
            return False
        if self.no_send_after is not None and now > self.no_send_after:
            return False
        return self.retry_budget.acquire(now, False)

    def fail_due(self, now: int) -> None:
        """Answer requests as failed shortly before they are due, so that no answer is late.

        Attempts in flight of these requests are cancelled.
        """
        while self.due_times and (self.due_times[0][0] <= now or self.due_times[0][2].is_finished):
            _, _, request = heapq.heappop(self.due_times)
            if not request.is_finished:
                self.counts["given up as due"] += 1
                if request.node and request.attempts == 1:
                    self.count_first_attempt(request.zone, AttemptOutcome.TIMED_OUT)
                self.cancel_attempt(now, request, AttemptOutcome.TIMED_OUT)
                self.finish(request, Decision(Action.FAIL, request))

    def retry_slow(self, now: int) -> None:
        """Retry idempotent requests on another node if their attempt is slow.

        Cost: if all nodes are slow, work is done twice. The retry budget limits this work, and the last
        attempt of a request continues until the request is due.
        """
        while self.slow_times and (self.slow_times[0][0] <= now or self.is_stale(self.slow_times[0])):
            entry = heapq.heappop(self.slow_times)
            request = entry[2]
            if self.is_stale(entry) or not self.has_alternative(now, request):
                continue
            if not self.acquire_retry(now, request, AttemptOutcome.TIMED_OUT, False):
                continue
            self.counts["tries given up as slow"] += 1
            if request.attempts == 1:
                self.count_first_attempt(request.zone, AttemptOutcome.TIMED_OUT)
            self.cancel_attempt(now, request, AttemptOutcome.TIMED_OUT)
            self.unrouted.append(request)

    def has_alternative(self, now: int, request: RoutedRequest) -> bool:
        """Return whether a node that the request was not sent to is available."""
        zone = self.choose_zone(now, request)
        return bool(zone and self.nodes.available(now, zone, request.rank, request.attempted_nodes))

    def cancel_attempt(self, now: int, request: RoutedRequest, outcome: AttemptOutcome) -> None:
        """Cancel the request's attempt in flight, if there is one; a later answer to it is ignored."""
        if request.node:
            self.pending_decisions.append(Decision(Action.CANCEL, request, request.node))
            self.finish_attempt(now, request, outcome, 0)

    def finish(self, request: RoutedRequest, decision: Decision | None) -> None:
        """Finish the request with the decision that answers it, or None if the caller has left."""
        request.is_finished = True
        self.in_flight.pop(request, None)
        if decision is not None:
            self.pending_decisions.append(decision)

    # -- observations -------------------------------------------------------------------------------------

    def take_observations(self, now: int) -> tuple[float, dict[str, ZoneObservation]]:
        """Return the arrivals per second, and by zone the outcomes of first attempts since the last call."""
        self.drop_old_arrivals(now)
        counts, self.attempt_counts = self.attempt_counts, {}
        observations = {
            zone: ZoneObservation(
                each.sent,
                each.succeeded,
                each.rejected,
                each.lost,
                self.nodes.typical_response_time(zone),
            )
            for zone, each in counts.items()
        }
        return len(self.recent_arrivals) * SECOND / OFFERED_LOAD_WINDOW_US, observations

    def drop_old_arrivals(self, now: int) -> None:
        """Remove arrivals before the window of the offered load."""
        while self.recent_arrivals and self.recent_arrivals[0] < now - OFFERED_LOAD_WINDOW_US:
            self.recent_arrivals.popleft()

    def advertised_capacity(self, now: int, callers: int) -> float | None:
        """Return the capacity that the router advertises to each of its callers."""
        return self.nodes.advertised_capacity(now, self.zone, callers)

    def status(self) -> str:
        """Return the state of the router in one line for the log."""
        locality = self.locality
        return (
            f"{len(self.in_flight)} in flight, plan {locality.plan.version}, {locality.spill:.0%} spilled, "
            f"{len(self.keys.bindings)} keys bound, {self.retry_budget.available:.0f} retries left"
        )
