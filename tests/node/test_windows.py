"""A key's window, by drawn tries through the real host and decisions: `s` inside it and outside it."""

import random

import pytest
from net_parts import SECOND, Reactor

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.types import Effect, NodeSpec, Outcome, Preemption, Request, RequestClass
from lichencleat.node.catalogue import Catalogue
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.host import Answer, PendingRequest, RequestEngine
from lichencleat.node.interpreter import Interpreter
from lichencleat.node.report import Report

DEADLINE = 1_500_000  # µs
SLACK = 50_000  # µs that every limit is longer on sockets, by the protocol
KEYS = (b"a" * 48, b"b" * 48)


class World:
    """One node's host; what was tried, run and answered."""

    def __init__(self, window, rng):
        self.reactor, self.rng, self.tries = Reactor(), rng, []
        self.reactor.advance(1_000)
        self.now = lambda: int(self.reactor.seconds() * SECOND)
        report = Report("n1", self.now)
        report.write = lambda line: None
        deadlines = Deadlines(self.reactor, report.log_exception)
        self.request_class = RequestClass("save", Effect.KEYED, 700_000, DEADLINE, window=window)
        machine = NodeSpec(
            cores=1,
            memory_kb=2_000.0,
            running_memory_factor=4,
            preemption=Preemption.ABORT,
            request_classes=[self.request_class],
        )
        interpreter = Interpreter(self.reactor, ("", 0), deadlines, report)
        catalogue = Catalogue(self.reactor, ("", 0), deadlines, report)
        self.engine = RequestEngine(machine, [], "5", self.now, deadlines, interpreter, catalogue, report)
        self.engine.node = AdmissionController(machine, rng)
        self.engine.schedule_decisions()
        self.report, self.interpreter = report, interpreter
        self.begun = []  # tries, in the order in which their runs began
        apply = interpreter.apply
        interpreter.apply = lambda run, *rest: (
            self.begun.append(self.by_ident(run.ident)),
            apply(run, *rest),
        )

    def by_ident(self, ident):
        return next(each for each in self.tries if each["ident"] == ident)

    def arrives(self):
        now = self.now()
        came = now - self.rng.choice([0, 0, 1, 20_000, 120_000])
        tried = {"key": self.rng.choice(KEYS), "s": came, "ident": b"%016x" % len(self.tries), "answers": []}
        request = Request(self.request_class, came, max(came + DEADLINE, now), size_kb=20.0)
        tell = tried["answers"].append
        reply = lambda answer, result, span, last: tell((answer, result, self.now()))  # noqa: E731
        tried["pending"] = PendingRequest(request, tried["ident"], b"x", tried["key"], reply)
        tried["left"] = False
        self.tries.append(tried)
        self.engine.on_request_received(tried["pending"])

    def run_ends(self):
        runs = list(self.interpreter.runs.values())
        if not runs:
            return
        run = self.rng.choice(runs)
        del self.interpreter.runs[run.ident]
        end = self.rng.choice([Outcome.COMPLETED] * 4 + [Outcome.FAILED, Outcome.UNREACHABLE])
        if end is Outcome.UNREACHABLE:  # proved: it never ran
            self.begun = [each for each in self.begun if each["ident"] != run.ident]
        run.on_ended(end, 100_000, run.ident if end is Outcome.COMPLETED else b"")

    def caller_leaves(self):
        waiting = [each for each in self.tries if each["pending"].open]
        if waiting:
            left = self.rng.choice(waiting)
            left["left"] = True
            self.engine.on_caller_gone(left["pending"])

    def passes(self, span):
        while span > 0:
            step = min(span, 10_000)
            self.reactor.advance(step / SECOND)
            self.reactor.advance(0)
            span -= step


def judge(world, window):
    for at, ran in enumerate(world.begun):
        for later in world.begun[at + 1 :]:
            if later["key"] == ran["key"]:
                assert not 0 <= later["s"] - ran["s"] <= window, "an effect twice in its window"
    for tried in world.tries:
        assert len(tried["answers"]) == (0 if tried["left"] else 1), "not one answer"
        for answer, result, at in tried["answers"]:
            assert at <= max(tried["s"] + DEADLINE, tried["pending"].request.arrived) + SLACK, "answered late"
            ran = tried in world.begun
            assert not (ran and answer is Answer.REJECTED), "what ran was turned away"
            if answer is Answer.SERVED:
                made = world.by_ident(result)
                assert made["key"] == tried["key"] and made in world.begun, "served with what no run made"
    assert not world.report.counts["node errors"]


@pytest.mark.parametrize("window", [100_000, 900_000, DEADLINE, 5_000_000])
def test_no_drawn_tries_run_a_key_twice_in_its_window_or_go_unanswered(window):
    for seed in range(60):
        rng = random.Random(f"{window} {seed}")
        world = World(window, rng)
        for _ in range(40):
            rng.choice([world.arrives] * 4 + [world.run_ends] * 2 + [world.caller_leaves])()
            world.passes(rng.choice([0, 0, 5_000, 60_000, 200_000, window // 2]))
        for _ in range(30):
            world.run_ends()
            world.passes(100_000)
        judge(world, window)
        assert not len(world.engine.pending_requests)
        world.passes(window + 2 * DEADLINE + 12 * SECOND)
        assert not world.engine.records.by_key
