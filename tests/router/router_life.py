"""Random simulation of one router's decisions with nodes, callers and time, and a checker; no sockets."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from lichencleat.admission.types import CapacitySignal, Effect, RequestClass
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.router.core import ANSWER_MARGIN_US, Router
from lichencleat.router.terms import Action, AttemptOutcome, RoutedRequest

SECOND = 1_000_000
LOOK = RequestClass("look", Effect.IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, latency_objective=SECOND, deadline=4 * SECOND, window=10 * SECOND)
BURN = RequestClass("burn", Effect.NON_IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
REQUEST_CLASSES = [LOOK, LOOK, SAVE, SAVE, BURN]
NODES = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2", "b3"]}
OUTCOMES = [
    AttemptOutcome.SERVED,
    AttemptOutcome.DEFERRED,
    AttemptOutcome.FAILED,
    AttemptOutcome.UNSENT,
    AttemptOutcome.LOST,
]
MAX_LATENESS_US = 5_000  # of the host, after a due time


@dataclass
class RequestHistory:
    """What the checker has seen of one request."""

    request: RoutedRequest
    due: int  # as the caller computes it
    arrived_at: int
    sent: list[str] = field(default_factory=list)  # node of each attempt
    ran: list[bool] = field(default_factory=list)  # whether each attempt may have run
    outcome: AttemptOutcome | None = None
    answer: Action | None = None
    caller_left: bool = False


class World:
    """A router, its nodes and callers; `violation` holds the first broken rule."""

    def __init__(self, seed: int, make=Router, steps: int = 400) -> None:
        self.rng = random.Random(f"router {seed}")
        self.now, self.steps = 1_000 * SECOND, steps
        zones = {"a": Zone("", 0.0, {"b": 20_000}), "b": Zone("", 0.0, {})}
        capacity_signal = self.rng.choice(list(CapacitySignal))
        grace = self.rng.choice([0, 200_000])
        self.core = make("a", zones, NODES, capacity_signal, random.Random(seed), self.now, 2, grace)
        self.histories: dict[RoutedRequest, RequestHistory] = {}
        self.open_attempts: dict[RoutedRequest, int] = {}  # number of the attempt in flight
        self.events: list[tuple] = []
        self.serial = 0
        self.faulty = {name: self.rng.random() < 0.3 for zone in NODES.values() for name in zone}
        self.keys = [b"%032d" % number for number in range(12)]
        self.bound: dict[bytes, dict[str, int]] = {}  # key -> node where it may have run -> end of the window
        self.violation: str | None = None
        self.counts: Counter = Counter()
        self.stop_at: int | None = None
        self.wake_number = 0

    def report_violation(self, what: str) -> None:
        self.violation = self.violation or f"at {self.now}: {what}"

    def schedule(self, when: int, *event) -> None:
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, event))

    # -- events ------------------------------------------------------------------------------------------

    def play(self) -> World:
        for _ in range(self.steps):
            self.schedule(self.now + self.rng.randrange(20 * SECOND), "on_arrival")
        for _ in range(self.rng.randrange(6)):
            self.schedule(self.now + self.rng.randrange(20 * SECOND), "on_plan")
            self.schedule(self.now + self.rng.randrange(20 * SECOND), "toggle_fault")
        if self.rng.random() < 0.5:
            self.schedule(self.now + self.rng.randrange(22 * SECOND), "start_draining")
        self.pull()
        while self.events and self.violation is None:
            self.now, _, event = heapq.heappop(self.events)
            if event[0] == "wake" and event[1] != self.wake_number:
                continue
            getattr(self, event[0])(*event[1:])
            self.pull()
        for history in self.histories.values():
            if history.answer is None and not history.caller_left:
                self.report_violation(f"{history.request.ident!r} was never answered")
        if self.core.in_flight:
            self.report_violation(f"{len(self.core.in_flight)} requests are still in flight")
        return self

    def on_arrival(self) -> None:
        request_class = self.rng.choice(REQUEST_CLASSES)
        arrived = self.now - self.rng.randrange(20_000)
        due = arrived + request_class.deadline
        request = RoutedRequest(
            request_class, b"%016x" % self.rng.getrandbits(64), arrived, due, rank=self.rng.random()
        )
        if request_class is SAVE:
            request.key = self.rng.choice(self.keys)
            request.is_retry = any(each.request.key == request.key for each in self.histories.values())
            request.is_retry |= self.rng.random() < 0.2  # first sent through another router
        self.histories[request] = RequestHistory(request, due, self.now)
        self.core.on_request(self.now, request)
        if self.rng.random() < 0.1:
            self.schedule(self.now + self.rng.randrange(SECOND), "on_caller_left", request)

    def on_caller_left(self, request: RoutedRequest) -> None:
        history = self.histories[request]
        if history.answer is None:
            history.caller_left = True
            self.core.on_caller_left(self.now, request)

    def toggle_fault(self) -> None:
        name = self.rng.choice(list(self.faulty))
        self.faulty[name] = not self.faulty[name]

    def on_plan(self) -> None:
        plan = self.core.locality.plan
        roles = {name: self.rng.choice(list(ZoneRole)) for name in NODES if self.rng.random() < 0.4}
        spillover = {name: self.rng.choice([0.0, 5.0, 500.0]) for name in NODES}
        version = max(0, plan.version + self.rng.choice([-1, 0, 1, 1, 2]))
        applied = self.core.apply_plan(self.now, RoutingPlan(version, 1, roles, spillover))
        if applied != (version >= plan.version):
            self.report_violation("an older routing plan was applied")

    def start_draining(self) -> None:
        self.stop_at = self.now + 3 * SECOND
        self.core.start_draining(self.now, self.stop_at)

    def on_outcome(self, request: RoutedRequest, attempt: int, outcome: AttemptOutcome) -> None:
        if self.open_attempts.get(request) != attempt:
            return  # the attempt was cancelled
        del self.open_attempts[request]
        history = self.histories[request]
        history.outcome = outcome
        self.record_outcome(history, outcome)
        retry_after_us = self.rng.choice([0, 0, 100_000])
        self.core.on_attempt_finished(self.now, request, outcome, retry_after_us, self.rng.random() < 0.1)

    def record_outcome(self, history: RequestHistory, outcome: AttemptOutcome) -> None:
        history.ran[-1] = outcome not in (AttemptOutcome.DEFERRED, AttemptOutcome.UNSENT)
        key, node = history.request.key, history.sent[-1]
        if key and not history.ran[-1]:
            self.release_key(key, node, history.request)

    def release_key(self, key: bytes, node: str, request: RoutedRequest) -> None:
        """The attempt did not run; free the key unless another attempt with it may have run on the node."""
        others = [
            each
            for each in self.histories.values()
            if each.request.key == key
            and each.request is not request
            and any(n == node and ran for n, ran in zip(each.sent, each.ran, strict=True))
        ]
        if not others:
            self.bound.get(key, {}).pop(node, None)

    # -- decisions -----------------------------------------------------------------------------------------

    def pull(self) -> None:
        while (decision := self.core.next_decision(self.now)) is not None:
            self.counts[decision.action] += 1
            if decision.action is Action.WAKE:
                self.wake_number += 1  # only the last one counts, as with the host's single timer
                if self.core.in_flight:
                    self.schedule(self.now + decision.delay_us, "wake", self.wake_number)
                continue
            request = decision.request
            history = self.histories[request]
            if decision.action is Action.SEND:
                self.send(history, decision)
            elif decision.action is Action.CANCEL:
                if self.open_attempts.pop(request, None) is None:
                    self.report_violation("an attempt is cancelled that is not in flight")
            else:
                self.check_answer(history, decision)

    def wake(self, number: int) -> None:
        """Do nothing: the pull after each event makes the decisions that are due."""

    def send(self, history: RequestHistory, decision) -> None:
        request, node = history.request, decision.node
        if history.answer is not None or history.caller_left:
            self.report_violation("a finished request is sent")
        if request in self.open_attempts:
            self.report_violation("two attempts of one request are in flight")
        if history.sent and request.request_class is not LOOK and any(history.ran):
            self.report_violation(f"{request.request_class.name} is retried though it may have run")
        if self.stop_at is not None and self.now > self.stop_at - 3 * SECOND + self.core.grace:
            self.report_violation("sent after the drain grace")
        if request.key:
            until = request.arrived + request.request_class.window
            bound = {n for n, end in self.bound.get(request.key, {}).items() if end >= self.now and n != node}
            if bound:
                self.report_violation(f"{request.key!r} is sent to {node} and may have run on {bound}")
            if request.is_retry and request.key not in self.bound:
                self.report_violation("a retry with an unknown key is sent")
            kept = self.bound.setdefault(request.key, {})
            kept[node] = max(kept.get(node, 0), until)
        history.sent.append(node)
        history.ran.append(True)
        self.open_attempts[request] = len(history.sent)
        outcome = self.rng.choice(OUTCOMES) if self.faulty[node] else AttemptOutcome.SERVED
        if self.rng.random() < 0.1:
            outcome = AttemptOutcome.DEFERRED
        response_time = (
            int(self.rng.expovariate(1 / 60_000)) if not self.faulty[node] else self.rng.randrange(6 * SECOND)
        )
        if self.rng.random() < 0.1:
            self.core.on_capacity(node, self.rng.choice([0.0, 0.3, 1.0, 4.0]))
        self.schedule(self.now + response_time, "on_outcome", request, len(history.sent), outcome)

    def check_answer(self, history: RequestHistory, decision) -> None:
        if history.answer is not None:
            self.report_violation("answered twice")
        if history.caller_left:
            self.report_violation("answered though the caller has left")
        if history.request in self.open_attempts:
            self.report_violation("answered while an attempt is in flight")
        if self.now > history.due + MAX_LATENESS_US:
            self.report_violation(f"answered {self.now - history.due} µs after it was due")
        if self.stop_at is not None and self.now > max(self.stop_at, history.arrived_at):
            self.report_violation("answered after the stop")
        if decision.action is Action.SERVE and history.outcome is not AttemptOutcome.SERVED:
            self.report_violation("served with a result that no node sent")
        if decision.action is Action.REJECT and any(history.ran):
            self.report_violation("rejected though it may have run")
        if decision.action is not Action.SERVE and history.outcome is AttemptOutcome.SERVED:
            self.report_violation("a result is discarded")
        history.answer = decision.action


__all__ = ["ANSWER_MARGIN_US", "NODES", "SECOND", "World"]
