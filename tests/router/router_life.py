"""A drawn life of one router's decisions, with nodes, callers, time and a judge of the rules; no sockets."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from lichencleat.admission.types import CapacitySignal, Effect, RequestClass
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.router.core import GUARD, Router
from lichencleat.router.terms import Act, Came, Carried

SECOND = 1_000_000
LOOK = RequestClass("look", Effect.IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, latency_objective=SECOND, deadline=4 * SECOND, window=10 * SECOND)
BURN = RequestClass("burn", Effect.NON_IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
REQUEST_CLASSES = [LOOK, LOOK, SAVE, SAVE, BURN]
NODES = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2", "b3"]}
OUTCOMES = [Came.HONOURED, Came.DEFERRED, Came.FAILED, Came.UNSENT, Came.LOST]
LATE = 5_000  # µs past a due time that the host may be


@dataclass
class Life:
    """What the judge has seen of one request."""

    carried: Carried
    due: int  # as its caller counts
    came_at: int
    sent: list[str] = field(default_factory=list)  # nodes
    ran: list[bool] = field(default_factory=list)  # might that try have run?
    came: Came | None = None
    answer: Act | None = None
    left: bool = False


class World:
    def __init__(self, seed: int, make=Router, steps: int = 400) -> None:
        self.rng = random.Random(f"router {seed}")
        self.now, self.steps = 1_000 * SECOND, steps
        zones = {"a": Zone("", 0.0, {"b": 20_000}), "b": Zone("", 0.0, {})}
        told = self.rng.choice(list(CapacitySignal))
        grace = self.rng.choice([0, 200_000])
        self.core = make("a", zones, NODES, told, random.Random(seed), self.now, 2, grace)
        self.lives: dict[Carried, Life] = {}
        self.trial: dict[Carried, int] = {}  # which try of it is under way
        self.events: list[tuple] = []
        self.serial = 0
        self.bad = {name: self.rng.random() < 0.3 for zone in NODES.values() for name in zone}
        self.keys = [b"%032d" % number for number in range(12)]
        self.bound: dict[bytes, dict[str, int]] = {}  # key -> nodes where it may have run, until when
        self.wrong: str | None = None
        self.counts: Counter = Counter()
        self.leaves_at: int | None = None
        self.woken = 0

    def says(self, what: str) -> None:
        self.wrong = self.wrong or f"at {self.now}: {what}"

    def at(self, when: int, *event) -> None:
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, event))

    # -- what happens ------------------------------------------------------------------------------------

    def play(self) -> World:
        for _ in range(self.steps):
            self.at(self.now + self.rng.randrange(20 * SECOND), "arrives")
        for _ in range(self.rng.randrange(6)):
            self.at(self.now + self.rng.randrange(20 * SECOND), "order")
            self.at(self.now + self.rng.randrange(20 * SECOND), "turns")
        if self.rng.random() < 0.5:
            self.at(self.now + self.rng.randrange(22 * SECOND), "leaves")
        self.pull()
        while self.events and self.wrong is None:
            self.now, _, event = heapq.heappop(self.events)
            if event[0] == "wake" and event[1] != self.woken:
                continue
            getattr(self, event[0])(*event[1:])
            self.pull()
        for life in self.lives.values():
            if life.answer is None and not life.left:
                self.says(f"{life.carried.ident!r} was never answered")
        if self.core.in_hand:
            self.says(f"{len(self.core.in_hand)} are still in hand")
        return self

    def arrives(self) -> None:
        request_class = self.rng.choice(REQUEST_CLASSES)
        arrived = self.now - self.rng.randrange(20_000)
        due = arrived + request_class.deadline
        made = Carried(
            request_class, b"%016x" % self.rng.getrandbits(64), arrived, due, place=self.rng.random()
        )
        if request_class is SAVE:
            made.key = self.rng.choice(self.keys)
            made.further_try = any(each.carried.key == made.key for each in self.lives.values())
            made.further_try |= self.rng.random() < 0.2  # first sent elsewhere
        self.lives[made] = Life(made, due, self.now)
        self.core.arrives(self.now, made)
        if self.rng.random() < 0.1:
            self.at(self.now + self.rng.randrange(SECOND), "gone", made)

    def gone(self, made: Carried) -> None:
        life = self.lives[made]
        if life.answer is None:
            life.left = True
            self.core.caller_left(self.now, made)

    def turns(self) -> None:
        name = self.rng.choice(list(self.bad))
        self.bad[name] = not self.bad[name]

    def order(self) -> None:
        plan = self.core.locality.plan
        duties = {name: self.rng.choice(list(ZoneRole)) for name in NODES if self.rng.random() < 0.4}
        guests = {name: self.rng.choice([0.0, 5.0, 500.0]) for name in NODES}
        number = max(0, plan.version + self.rng.choice([-1, 0, 1, 1, 2]))
        taken = self.core.apply_plan(self.now, RoutingPlan(number, 1, duties, guests))
        if taken != (number >= plan.version):
            self.says("an older order was taken")

    def leaves(self) -> None:
        self.leaves_at = self.now + 3 * SECOND
        self.core.must_leave(self.now, self.leaves_at)

    def comes(self, made: Carried, trial: int, came: Came) -> None:
        if self.trial.get(made) != trial:
            return  # its try was given up
        del self.trial[made]
        life = self.lives[made]
        life.came = came
        self.outcome(life, came)
        span = self.rng.choice([0, 0, 100_000])
        self.core.came(self.now, made, came, span, self.rng.random() < 0.1)

    def outcome(self, life: Life, came: Came) -> None:
        life.ran[-1] = came not in (Came.DEFERRED, Came.UNSENT)
        key, node = life.carried.key, life.sent[-1]
        if key and not life.ran[-1]:
            self.release(key, node, life.carried)

    def release(self, key: bytes, node: str, made: Carried) -> None:
        """That try never ran; others of the key may have, there."""
        others = [
            each
            for each in self.lives.values()
            if each.carried.key == key
            and each.carried is not made
            and any(n == node and ran for n, ran in zip(each.sent, each.ran, strict=True))
        ]
        if not others:
            self.bound.get(key, {}).pop(node, None)

    # -- what is decided ---------------------------------------------------------------------------------

    def pull(self) -> None:
        while (decision := self.core.next_decision(self.now)) is not None:
            self.counts[decision.act] += 1
            if decision.act is Act.WAKE:
                self.woken += 1  # the last word counts, as with the host's one timer
                if self.core.in_hand:
                    self.at(self.now + decision.span, "wake", self.woken)
                continue
            made = decision.request
            life = self.lives[made]
            if decision.act is Act.SEND:
                self.send(life, decision)
            elif decision.act is Act.QUIT:
                if self.trial.pop(made, None) is None:
                    self.says("a try is given up that is not under way")
            else:
                self.answers(life, decision)

    def wake(self, number: int) -> None:
        """The pull that follows does what is due."""

    def send(self, life: Life, decision) -> None:
        made, node = life.carried, decision.node
        if life.answer is not None or life.left:
            self.says("a request that is over is sent")
        if made in self.trial:
            self.says("two tries of one request are under way")
        if life.sent and made.request_class is not LOOK and any(life.ran):
            self.says(f"{made.request_class.name} is sent again though it may have run")
        if self.leaves_at is not None and self.now > self.leaves_at - 3 * SECOND + self.core.grace:
            self.says("sent after the grace")
        if made.key:
            until = made.arrived + made.request_class.window
            bound = {n for n, end in self.bound.get(made.key, {}).items() if end >= self.now and n != node}
            if bound:
                self.says(f"{made.key!r} goes to {node} and may have run on {bound}")
            if made.further_try and made.key not in self.bound:
                self.says("a further try of an unknown key is sent")
            kept = self.bound.setdefault(made.key, {})
            kept[node] = max(kept.get(node, 0), until)
        life.sent.append(node)
        life.ran.append(True)
        self.trial[made] = len(life.sent)
        outcome = self.rng.choice(OUTCOMES) if self.bad[node] else Came.HONOURED
        if self.rng.random() < 0.1:
            outcome = Came.DEFERRED
        took = int(self.rng.expovariate(1 / 60_000)) if not self.bad[node] else self.rng.randrange(6 * SECOND)
        if self.rng.random() < 0.1:
            self.core.says(node, self.rng.choice([0.0, 0.3, 1.0, 4.0]))
        self.at(self.now + took, "comes", made, len(life.sent), outcome)

    def answers(self, life: Life, decision) -> None:
        if life.answer is not None:
            self.says("answered twice")
        if life.left:
            self.says("answered though its caller has left")
        if life.carried in self.trial:
            self.says("answered while a try is under way")
        if self.now > life.due + LATE:
            self.says(f"answered {self.now - life.due} µs after it was due")
        if self.leaves_at is not None and self.now > max(self.leaves_at, life.came_at):
            self.says("answered after the stop")
        if decision.act is Act.HONOUR and life.came is not Came.HONOURED:
            self.says("honoured with what nobody sent")
        if decision.act is Act.DEFER and any(life.ran):
            self.says("deferred though it may have run")
        if decision.act is not Act.HONOUR and life.came is Came.HONOURED:
            self.says("a result is thrown away")
        life.answer = decision.act


__all__ = ["GUARD", "NODES", "SECOND", "World"]
