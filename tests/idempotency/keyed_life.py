"""A node's lives over one faulty disk and one interpreter, without sockets: real host, decisions, keeper."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lichencleat.admission.types import Effect, NodeSpec, Outcome, Request, RequestClass
from lichencleat.idempotency.book import Book
from lichencleat.idempotency.keeper import Keeper
from lichencleat.idempotency.whose import NotOursError
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.host import Case, Host
from lichencleat.node.report import Report
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance

SECOND = 1_000_000
LOOK = RequestClass("look", latency_objective=2 * SECOND, deadline=6 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, 2 * SECOND, 6 * SECOND, window=30 * SECOND)


class World:
    """What outlives the node's process: disk, interpreter, time."""

    def __init__(self, forgets=False):
        self.disk, self.forgets = FaultyDisk(), forgets
        self.clock_off = 0  # s
        self.reactor = Clock()
        self.reactor.advance(1_000)
        self.runs, self.made = [], []  # what was begun: ident, request_class, body; results
        self.going = {}  # ident -> body

    def runs_of(self, body):
        return [each for each in self.runs if each[2].startswith(body)]


class FakeInterpreter:
    def __init__(self, world):
        self.world, self.runs, self.early = world, {}, {}

    def apply(self, run, request_class, body, pure):
        self.runs[run.ident] = run
        self.world.runs.append((run.ident, request_class, body))
        self.world.going[run.ident] = body

    def adopt(self, ident, ended):
        if ident in (self.early or {}):
            ended(*self.early.pop(ident))
        else:
            self.runs[ident] = type("Adopted", (), {"ended": staticmethod(ended)})

    def halt(self, run):
        pass

    def gauges(self):
        return None


class Hands:
    """The store's threads: each call waits until the test lets the disk work."""

    def __init__(self):
        self.calls, self.cut = [], False

    def __call__(self, call, *args):
        told = Deferred()
        self.calls.append((told, call, args))
        return told

    def work(self):
        told, call, args = self.calls.pop(0)
        if self.cut:
            return
        try:
            result = call(*args)
        except PowerCutError:
            self.cut = True
        except Exception:
            told.errback()
        else:
            told.callback(result)


class Life:
    def __init__(self, world, name="n1", place=7, entries=1_000):
        self.world, self.name, self.place, self.entries = world, name, place, entries
        self.answers, self.cases, self.refused = {}, {}, ""
        self.reactor = world.reactor

    def clock(self):
        """Unix time, as this machine has it."""
        return int((self.reactor.seconds() + self.world.clock_off) * SECOND)

    def start(self, stand=True, interpreter_age=500 * SECOND):
        reactor, world = self.reactor, self.world
        self.report = Report(self.name, self.clock)
        self.report.write = lambda line: None
        self.deadlines = Deadlines(reactor, self.report.trouble)
        self.interpreter = FakeInterpreter(world)
        machine = NodeSpec(
            cores=2,
            max_concurrency_per_core=8.0,
            memory_kb=1e6,
            max_retry_after_us=SECOND,
            request_classes=[LOOK, SAVE],
        )
        self.host = Host(machine, [], "1", self.clock, self.deadlines, self.interpreter, None, self.report)
        self.host.able = False
        book = Book(self.entries, 1 << 20)
        self.keeper = self.host.keyed = Keeper(
            self.name, self.host, self.deadlines, self.report, self.clock, book
        )
        self.host.begin(False)
        self.hands = Hands()
        try:
            engine = Engine.open(
                world.disk, self.clock, random.Random(1), StoreLimits(64 << 10, 8 << 20), True
            )
        except (StoreError, PowerCutError, OSError):
            self.refused = "no store"
            return
        self.store = Store(reactor, engine, self.hands, self.hands, maintenance=False)
        self.started = self.keeper.start(self.store, self.place)
        self.started.addErrback(self.cant)
        self.interpreter_age = interpreter_age
        if stand:
            self.stand()

    def cant(self, failure):
        failure.trap(NotOursError, StoreError)
        self.refused = failure.getErrorMessage()

    def stand(self):
        self.disk_works()
        self.turn()
        self.keeper.interpreter_began(self.interpreter_age)
        self.turn()

    def turn(self):
        for _ in range(4):
            self.reactor.advance(0)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.reactor.advance(0.05)

    def disk_works(self, most=100):
        """So many calls of the disk are done; true if there was one."""
        did = False
        while self.hands.calls and most > 0 and not self.hands.cut:
            most -= 1
            did = True
            self.hands.work()
            self.turn()
        return did

    def ask(self, number, body=b"x", key=b"key", pure=False):
        from hashlib import blake2b

        request_class, now = (LOOK if pure else SAVE), self.clock()
        request = Request(request_class, now, now + request_class.deadline, size_kb=1.0)
        whole = b"" if pure else key + blake2b(b"save " + body, digest_size=16).digest()
        ident = b"%s-%d" % (b"%d" % id(self), number)

        def reply(answer, result, span, last):
            assert number not in self.answers, "answered twice"
            self.answers[number] = (answer.value, result)

        self.cases[number] = case = Case(request, ident, key + body, whole, reply)
        self.host.arrives(case)
        self.turn()

    def caller_goes(self, number):
        self.host.caller_left(self.cases[number])
        self.turn()

    def run_ends(self, number=1):
        """So many runs at the interpreter come to their end, oldest first."""
        world = self.world
        for ident in list(world.going)[:number]:
            del world.going[ident]
            result = b"result %d" % (len(world.made) + 1)
            world.made.append(result)
            run = self.interpreter.runs.pop(ident, None)
            if run is not None:
                run.ended(Outcome.COMPLETED, 1_000, result)
        self.turn()

    def script(self, first=0):
        """Asked, run, asked again: as far as the disk goes."""
        for number in (first + 1, first + 2):
            if self.refused:
                return
            self.ask(number, body=b"x")
            for _ in range(3):
                self.disk_works()
                self.run_ends()
            self.advance(0.1)

    def cut(self, rng=None):
        """The power goes; the next life finds what had reached the disk."""
        for each in self.reactor.getDelayedCalls():
            each.cancel()
        self.world.disk = self.world.disk.after_cut(by_chance(rng or random.Random(1)))
        if self.world.forgets:
            self.world.going.clear()
        return Life(self.world, self.name, self.place)
