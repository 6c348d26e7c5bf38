"""Incarnations of a node with one faulty disk and one interpreter, without sockets; the service is real."""

import random
from hashlib import blake2b

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lichencleat.admission.types import Effect, NodeSpec, Outcome, Request, RequestClass
from lichencleat.idempotency.errors import ForeignDirectoryError
from lichencleat.idempotency.index import RecordIndex
from lichencleat.idempotency.service import IdempotencyService
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.host import RequestEngine
from lichencleat.node.pending_request import PendingRequest
from lichencleat.node.report import Report
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance

SECOND = 1_000_000
LOOK = RequestClass("look", latency_objective=2 * SECOND, deadline=6 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, 2 * SECOND, 6 * SECOND, window=30 * SECOND)


class Environment:
    """The parts that outlive the node's process: disk, interpreter, clock."""

    def __init__(self, interpreter_forgets=False):
        self.disk, self.interpreter_forgets = FaultyDisk(), interpreter_forgets
        self.clock_offset_s = 0  # by which the system clock is wrong
        self.reactor = Clock()
        self.reactor.advance(1_000)
        self.runs, self.made = [], []  # started runs (ident, request class, body); results
        self.running = {}  # body by ident

    def runs_of(self, body):
        return [each for each in self.runs if each[2].startswith(body)]


class FakeInterpreter:
    def __init__(self, environment):
        self.environment, self.runs, self.early_outcomes = environment, {}, {}

    def apply(self, run, request_class, body, pure):
        self.runs[run.ident] = run
        self.environment.runs.append((run.ident, request_class, body))
        self.environment.running[run.ident] = body

    def adopt_run(self, ident, ended):
        if ident in (self.early_outcomes or {}):
            ended(*self.early_outcomes.pop(ident))
        else:
            self.runs[ident] = type("Adopted", (), {"on_ended": staticmethod(ended)})

    def drop_adopted_run(self, ident):
        self.runs.pop(ident, None)

    def stop_run(self, run):
        pass

    def request_gauges(self):
        return None


class ManualThreads:
    """The store's threads; each call waits until the test runs it."""

    def __init__(self):
        self.calls, self.cut = [], False

    def __call__(self, call, *args):
        finished = Deferred()
        self.calls.append((finished, call, args))
        return finished

    def run_next(self):
        finished, call, args = self.calls.pop(0)
        if self.cut:
            return
        try:
            result = call(*args)
        except PowerCutError:
            self.cut = True
        except Exception:
            finished.errback()
        else:
            finished.callback(result)


class NodeIncarnation:
    def __init__(self, environment, name="n1", inode=7, entries=1_000, keyed_class=SAVE):
        self.keyed_class = keyed_class
        self.environment, self.name, self.inode, self.entries = environment, name, inode, entries
        self.answers, self.cases, self.start_error = {}, {}, ""
        self.reactor = environment.reactor

    def clock(self):
        """Return µs of Unix time by the machine's clock, which may be off."""
        return int((self.reactor.seconds() + self.environment.clock_offset_s) * SECOND)

    def start(self, load=True, interpreter_age=500 * SECOND):
        reactor, environment = self.reactor, self.environment
        self.report = Report(self.name, self.clock)
        self.report.write = lambda line: None
        self.deadlines = Deadlines(reactor, self.report.log_exception)
        self.interpreter = FakeInterpreter(environment)
        machine = NodeSpec(
            cores=2,
            max_concurrency_per_core=8.0,
            memory_kb=1e6,
            max_retry_after_us=SECOND,
            request_classes=[LOOK, self.keyed_class],
        )
        self.host = RequestEngine(
            machine, [], "1", self.clock, self.deadlines, self.interpreter, None, self.report
        )
        self.host.can_record = False
        index = RecordIndex(self.entries, 1 << 20)
        self.service = self.host.keyed = IdempotencyService(
            self.name, self.host, self.deadlines, self.report, self.clock, index
        )
        self.host.on_interpreter_ready(False)
        self.threads = ManualThreads()
        try:
            engine = Engine.open(
                environment.disk, self.clock, random.Random(1), StoreLimits(64 << 10, 8 << 20), True
            )
        except (StoreError, PowerCutError, OSError):
            self.start_error = "no store"
            return
        self.store = Store(reactor, engine, self.threads, self.threads, maintenance=False)
        self.started = self.service.start(self.store, self.inode)
        self.started.addErrback(self.on_start_failed)
        self.interpreter_age = interpreter_age
        if load:
            self.load_index()

    def on_start_failed(self, failure):
        failure.trap(ForeignDirectoryError, StoreError)
        self.start_error = failure.getErrorMessage()

    def load_index(self):
        self.run_disk_calls()
        self.run_turn()
        self.service.on_interpreter_started(self.interpreter_age)
        self.run_turn()

    def run_turn(self):
        for _ in range(4):
            self.reactor.advance(0)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.reactor.advance(0.05)

    def run_disk_calls(self, max_calls=100):
        """Run up to `max_calls` pending disk calls; return whether there was one."""
        has_run = False
        while self.threads.calls and max_calls > 0 and not self.threads.cut:
            max_calls -= 1
            has_run = True
            self.threads.run_next()
            self.run_turn()
        return has_run

    def send_request(self, number, body=b"x", key=b"key", pure=False):
        self.receive_request(number, body, key, pure)
        self.run_turn()

    def receive_request(self, number, body=b"x", key=b"key", pure=False, arrived=None):
        """Pass a request to the engine without a reactor turn, as when several are read in one turn."""
        request_class = LOOK if pure else self.keyed_class
        now = self.clock() if arrived is None else arrived
        request = Request(request_class, now, now + request_class.deadline, size_kb=1.0)
        request_key = b"" if pure else key + blake2b(b"save " + body, digest_size=16).digest()
        ident = b"%s-%d" % (b"%d" % id(self), number)

        def reply(answer, result, span, last):
            assert number not in self.answers, "answered twice"
            self.answers[number] = (answer.value, result)

        self.cases[number] = case = PendingRequest(request, ident, key + body, request_key, reply)
        self.host.on_request_received(case)

    def disconnect_caller(self, number):
        self.host.on_caller_gone(self.cases[number])
        self.run_turn()

    def complete_runs(self, number=1):
        """Complete `number` runs at the interpreter, oldest first."""
        environment = self.environment
        for ident in list(environment.running)[:number]:
            del environment.running[ident]
            result = b"result %d" % (len(environment.made) + 1)
            environment.made.append(result)
            run = self.interpreter.runs.pop(ident, None)
            if run is not None:
                run.on_ended(Outcome.COMPLETED, 1_000, result)
        self.run_turn()

    def run_script(self, first=0):
        """Send a request, run it and send a repeat, as far as the disk works."""
        for number in (first + 1, first + 2):
            if self.start_error:
                return
            self.send_request(number, body=b"x")
            for _ in range(3):
                self.run_disk_calls()
                self.complete_runs()
            self.advance(0.1)

    def crash(self, rng=None):
        """Cut the power; the next incarnation finds the data that had reached the disk."""
        for each in self.reactor.getDelayedCalls():
            each.cancel()
        self.environment.disk = self.environment.disk.after_cut(by_chance(rng or random.Random(1)))
        if self.environment.interpreter_forgets:
            self.environment.running.clear()
        return NodeIncarnation(self.environment, self.name, self.inode, keyed_class=self.keyed_class)
