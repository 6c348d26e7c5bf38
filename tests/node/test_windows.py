"""Random attempts with few keys against the real request engine and admission controller.

Guards against a key that runs twice within its window, and against unanswered or wrongly answered attempts.
The stated arrival times (`s`) lie inside and outside of the window.
"""

import random

import pytest
from net_parts import SECOND, Reactor

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.types import Effect, NodeSpec, Outcome, Preemption, Request, RequestClass
from lichencleat.node.catalogue import Catalogue
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.host import RequestEngine
from lichencleat.node.interpreter import Interpreter
from lichencleat.node.pending_request import Answer, PendingRequest
from lichencleat.node.report import Report

DEADLINE = 1_500_000  # µs
SLACK = 50_000  # µs by which every limit is extended on sockets, by the protocol
KEYS = (b"a" * 48, b"b" * 48)


class SimulatedNode:
    """One node's request engine, with a record of attempts, runs and answers."""

    def __init__(self, window, rng, cores=1):
        self.reactor, self.rng, self.attempts = Reactor(), rng, []
        self.reactor.advance(1_000)
        self.now = lambda: int(self.reactor.seconds() * SECOND)
        report = Report("n1", self.now)
        report.write = lambda line: None
        deadlines = Deadlines(self.reactor, report.log_exception)
        self.request_class = RequestClass("save", Effect.KEYED, 700_000, DEADLINE, window=window)
        machine = NodeSpec(
            cores=cores,
            max_concurrency_per_core=8.0 if cores > 1 else 2.0,
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
        self.started = []  # attempts, in the order in which their runs started
        apply = interpreter.apply
        interpreter.apply = lambda run, *rest: (
            self.started.append(self.by_ident(run.ident)),
            apply(run, *rest),
        )

    def by_ident(self, ident):
        return next(each for each in self.attempts if each["ident"] == ident)

    def send_request(self):
        now = self.now()
        arrived = now - self.rng.choice([0, 0, 1, 20_000, 120_000])
        attempt = {
            "key": self.rng.choice(KEYS),
            "s": arrived,
            "ident": b"%016x" % len(self.attempts),
            "answers": [],
        }
        request = Request(self.request_class, arrived, max(arrived + DEADLINE, now), size_kb=20.0)
        record_answer = attempt["answers"].append
        reply = lambda answer, result, span, last: record_answer((answer, result, self.now()))  # noqa: E731
        attempt["pending"] = PendingRequest(request, attempt["ident"], b"x", attempt["key"], reply)
        attempt["left"] = False
        self.attempts.append(attempt)
        self.engine.on_request_received(attempt["pending"])

    def end_run(self):
        runs = list(self.interpreter.runs.values())
        if not runs:
            return
        run = self.rng.choice(runs)
        del self.interpreter.runs[run.ident]
        end = self.rng.choice([Outcome.COMPLETED] * 4 + [Outcome.FAILED, Outcome.UNREACHABLE])
        if end is Outcome.UNREACHABLE:  # provably never ran
            self.started = [each for each in self.started if each["ident"] != run.ident]
        run.on_ended(end, 100_000, run.ident if end is Outcome.COMPLETED else b"")

    def disconnect_caller(self):
        waiting = [each for each in self.attempts if each["pending"].open]
        if waiting:
            gone = self.rng.choice(waiting)
            gone["left"] = True
            self.engine.on_caller_gone(gone["pending"])

    def advance(self, span):
        while span > 0:
            step = min(span, 10_000)
            self.reactor.advance(step / SECOND)
            self.reactor.advance(0)
            span -= step


def check_invariants(node, window):
    for at, started_run in enumerate(node.started):
        for later in node.started[at + 1 :]:
            if later["key"] == started_run["key"]:
                assert not 0 <= later["s"] - started_run["s"] <= window, "a key ran twice in its window"
    for attempt in node.attempts:
        assert len(attempt["answers"]) == (0 if attempt["left"] else 1), "not exactly one answer"
        for answer, result, at in attempt["answers"]:
            assert at <= max(attempt["s"] + DEADLINE, attempt["pending"].request.arrived) + SLACK, (
                "answered late"
            )
            started_run = attempt in node.started
            assert not (started_run and answer is Answer.REJECTED), "an attempt that ran was rejected"
            if answer is Answer.SERVED:
                made = node.by_ident(result)
                assert made["key"] == attempt["key"] and made in node.started, (
                    "served with a result of no run"
                )
    assert not node.report.counts["node errors"]


@pytest.mark.parametrize("window", [100_000, 900_000, DEADLINE, 5_000_000])
def test_random_attempts_run_a_key_once_per_window_and_are_all_answered(window):
    for seed in range(60):
        rng = random.Random(f"{window} {seed}")
        node = SimulatedNode(window, rng)
        for _ in range(40):
            rng.choice([node.send_request] * 4 + [node.end_run] * 2 + [node.disconnect_caller])()
            node.advance(rng.choice([0, 0, 5_000, 60_000, 200_000, window // 2]))
        for _ in range(30):
            node.end_run()
            node.advance(100_000)
        check_invariants(node, window)
        assert not len(node.engine.pending_requests)
        node.advance(window + 2 * DEADLINE + 12 * SECOND)
        assert not node.engine.records.by_key


@pytest.mark.parametrize("withdrawn", [[0], [0, 1], [1, 0]])
def test_attempts_of_one_turn_run_once_though_the_first_is_taken_back(withdrawn):
    """Guards against two runs of a key whose record went with its first attempt, as the repeat had none."""
    node = SimulatedNode(5 * SECOND, random.Random(1))
    node.rng.choice = lambda options: options[0]  # one key, and all attempts arrive now
    for _ in range(3):
        node.send_request()
    for number in withdrawn:
        node.attempts[number]["left"] = True
        node.engine.on_caller_gone(node.attempts[number]["pending"])
    node.send_request()
    for _ in range(5):
        node.advance(20_000)
        node.end_run()
    check_invariants(node, 5 * SECOND)
    assert len(node.started) == 1
    served = [attempt for attempt in node.attempts if attempt["answers"]]
    assert [attempt["answers"][0][0] for attempt in served] == [Answer.SERVED] * (4 - len(withdrawn))


@pytest.mark.parametrize("ends_first", [True, False])
def test_attempts_around_the_end_of_a_window_run_once_though_the_first_never_ran(ends_first):
    """Guards against two runs of a key, a late repeat and a later attempt: the record covered only one."""
    window = 100_000
    node = SimulatedNode(window, random.Random(1))
    node.rng.choice = lambda options: options[0]
    node.send_request()
    node.advance(window + node.engine.node.timing.guard + 10_000)
    (run,) = node.interpreter.runs.values()

    def lose_run():
        node.rng.choice = lambda options: Outcome.UNREACHABLE if Outcome.UNREACHABLE in options else run
        node.end_run()

    if ends_first:
        lose_run()
    node.rng.choice = lambda options: 20_000 if 20_000 in options else KEYS[0]  # within the window
    node.send_request()
    node.rng.choice = lambda options: options[0]  # 20 ms later, after the window
    node.send_request()
    if not ends_first:
        lose_run()
    node.rng.choice = lambda options: options[0]
    for _ in range(5):
        node.advance(20_000)
        node.end_run()
    check_invariants(node, window)
    assert [attempt["answers"][0][0] for attempt in node.attempts[1:]] == [Answer.SERVED] * 2


@pytest.mark.parametrize("window", [100_000, 900_000, DEADLINE, 5_000_000])
def test_random_attempts_read_in_few_turns_run_a_key_once_per_window(window):
    """Guards against attempts that miss each other where many are read and taken back in one turn."""
    for seed in range(100):
        rng = random.Random(f"few turns {window} {seed}")
        node = SimulatedNode(window, rng, cores=rng.choice([1, 2, 4]))
        for _ in range(60):
            rng.choice([node.send_request] * 4 + [node.end_run] + [node.disconnect_caller] * 2)()
            node.advance(rng.choice([0] * 8 + [5_000, 60_000, 200_000, window // 2]))
        for _ in range(40):
            node.end_run()
            node.advance(100_000)
        check_invariants(node, window)
        assert not len(node.engine.pending_requests) and not node.engine.records.linked
