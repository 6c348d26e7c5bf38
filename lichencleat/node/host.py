"""Drives the admission controller: turns what happened into calls, pulls decisions, carries them out.

It knows no wire. What reads requests (`dispatchers.py`, or another protocol beside it) hands each in as a
`Case` with a way to answer it; the interpreter and the catalogue tell how runs and calls end.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any, Protocol

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import read_gauges
from lichencleat.admission.types import (
    Action,
    Decision,
    Effect,
    NodeSpec,
    Outcome,
    Request,
    RequestState,
    ResourceUsage,
)
from lichencleat.node.catalogue import Call, Catalogue
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.interpreter import Interpreter, Run
from lichencleat.node.receipts import Receipts
from lichencleat.node.report import Report
from lichencleat.node.slots import Slots

GAUGES_WAIT = 40_000  # µs for the gauges at a wake-up: well under its period, and far over a usual answer
STRAIN_CALLS, STRAIN_FAILED = 16, 6.0  # last calls, and strain for all of them failed: few are told early
AFTER_ERROR = 50_000  # µs to the next round after one that failed


class Answer(Enum):
    HONOURED = "honoured"
    DEFERRED = "deferred"
    GIVEN_UP = "given up"


class Case:
    """A request in hand, and what the host needs to carry out what is decided on it."""

    __slots__ = (
        "request",
        "ident",
        "body",
        "key",
        "reply",
        "open",
        "run",
        "unsettled",
        "call",
        "call_body",
        "spent",
    )

    def __init__(
        self, request: Request, ident: bytes, body: bytes, key: bytes, reply: Callable[..., None]
    ) -> None:
        self.request, self.ident, self.body, self.key = request, ident, body, key
        self.reply = reply  # with the Answer, the result, the span to stay away, and whether to try elsewhere
        self.open = True  # an answer is owed
        self.run: Run | None = None
        self.unsettled = False  # its start or its outcome waits for the disk
        self.call: Call | None = None
        self.call_body = b""
        self.spent: list[Any] = []  # connections that carried a call of it


class Door(Protocol):
    """What reads requests, as far as the host has to know it."""

    def close_idle(self, span: int) -> None: ...


class Host:
    """Owns the cases in hand; each is given back in `release` alone."""

    def __init__(
        self,
        machine: NodeSpec,
        gauges: list[str | None],
        seed: str,
        clock: Callable[[], int],
        deadlines: Deadlines,
        interpreter: Interpreter,
        catalogue: Catalogue,
        report: Report,
    ) -> None:
        self.machine, self.gauges, self.seed = machine, gauges, seed
        self.clock, self.deadlines, self.report = clock, deadlines, report
        self.interpreter, self.catalogue = interpreter, catalogue
        self.request_classes = {each.name.encode(): each for each in machine.request_classes}
        self.receipts = Receipts(deadlines)
        self.cases: Slots[Case] = Slots()
        self.idents: set[bytes] = set()  # of the cases in hand
        self.node: AdmissionController | None = None
        self.leaves_at: int | None = None
        self.notice_at = 0  # when it was told to leave: the grace counts from then
        self.stirred = False
        self.shares: list[Case] = []  # whose outcome was there already when they were to share it
        self.healthy = True
        self.free_value: float | None = None
        self.doors: list[Door] = []  # one for each protocol that callers speak
        self.calls_granted: int | None = None  # None: nobody deals them out
        self.call_span: Callable[[int], int] = lambda span: span  # shortened where a grant ends before
        self.keyed: Any = None  # as idempotency.service.IdempotencyService, where receipts outlive a restart
        self.able = self.trusted = True  # to record receipted requests; both have to hold
        self.open_share = 1.0
        self.carries_out = {
            Action.START: self.start_run,
            Action.ABORT: self.stop_run,
            Action.REJECT: self.defer,
            Action.FAIL: self.give_up,
            Action.CALL: self.place_call,
            Action.SKIP_CALL: self.give_up,  # this interpreter knows no way to go on without the call
            Action.ADD_RECORD: self.record,
            Action.DELETE_RECORD: self.strike,
            Action.COALESCE: self.share,
            Action.REPORT_HEALTH: self.tell_health,
            Action.ADVERTISE_CAPACITY: self.tell_free_value,
            Action.SET_IDLE_TIMEOUT: self.tell_idle,
            Action.SET_TIMER: self.ask_wake,
            Action.LOG: self.note,
        }

    # --- what happened ----------------------------------------------------------------------------

    def begin(self, cold: bool) -> None:
        """The interpreter is up: from now on there is something to decide on."""
        self.machine.starts_cold = cold
        self.node = AdmissionController(self.machine, random.Random(self.seed))
        if self.calls_granted is not None:
            self.node.set_call_quota(self.clock(), self.calls_granted)
        self.node.set_recording_available(self.clock(), self.able and self.trusted)
        self.node.set_admitted_share(self.clock(), self.open_share)
        if self.leaves_at is not None:
            self.node.start_draining(self.notice_at, self.leaves_at)
        self.stir()

    def arrives(self, case: Case) -> None:
        self.report.count("host", "requests")
        if self.node is None:
            self.answer(case, Answer.GIVEN_UP)
            return
        case.request.number = self.cases.take(case)
        self.idents.add(case.ident)
        if self.keyed is None or not case.key or self.keyed.on_arrival(case):
            self.submit_request(case)

    def submit_request(self, case: Case) -> None:
        """What is known of its key was looked up: now it is for the decisions."""
        request = case.request
        if case.key and (tries := self.receipts.tries(case.key, request)):
            *request.other_originals, request.original = tries
            request.original_unknown = False
        elif case.key and not request.original_unknown:
            self.receipts.enter(case.key, request)
        self.node.on_request(self.clock(), request)
        self.stir()

    def fail_request(self, case: Case) -> None:
        """It is given up before the decisions hear of it."""
        self.answer(case, Answer.GIVEN_UP)
        self.release(case)

    def caller_left(self, case: Case) -> None:
        """The caller is known to be gone: no answer is owed any more."""
        if case.open:
            case.open = False
            self.report.count("host", "abandoned")
            self.tell_left(case)
            self.release(case)
            self.stir()

    def tell_left(self, case: Case) -> None:
        self.node.on_caller_gone(self.clock(), case.request)
        self.receipts.unshare(case.request.original, case)
        self.drop_call(case)

    def run_waits(self, case: Case, body: bytes) -> None:
        case.call_body = body
        self.node.on_call_needed(self.clock(), case.request)
        self.stir()

    def recorded(self, case: Case, outcome: Outcome, took: int, result: bytes) -> None:
        """Its result survives a cut, or never will: now it may be told."""
        case.unsettled = False
        self.run_ended(case, outcome, took, result, True)

    def run_ended(
        self, case: Case, outcome: Outcome, took: int, result: bytes, recorded: bool = False
    ) -> None:
        now, request, run = self.clock(), case.request, case.run
        case.run = None
        self.drop_call(case)
        if self.keyed is not None and case.key and not recorded:
            if outcome in (Outcome.COMPLETED, Outcome.FAILED):
                case.unsettled = True
                self.node.on_outcome_pending(now, request, took)
                self.stir()
                self.keyed.intents.on_run_completed(
                    case, outcome, result, partial(self.tend, case, self.recorded, outcome, took, result)
                )
                return
            if outcome is not Outcome.UNREACHABLE:
                self.keyed.intents.on_run_lost(case)
        if outcome in (Outcome.ABORTED, Outcome.SUPERSEDED) and not (run and run.stopping):
            self.node.on_caller_gone(now, request)  # it ends by itself only where nobody waits any more
        if outcome is Outcome.UNREACHABLE:
            request.started = None  # proved: a repeat of it may run
        self.node.on_run_completed(now, request, outcome, took)
        well = outcome is Outcome.COMPLETED
        if well:
            self.answer(case, Answer.HONOURED, result)
        if request.state is RequestState.ENDED:
            self.answer(case, Answer.GIVEN_UP)
            for sharer in self.receipts.ended(request, result if well else None):
                self.complete_repeat(sharer, result if well else None)
            self.release(case)
        self.stir()

    def call_ended(self, case: Case, call: Call, outcome: Outcome, reply: bytes) -> None:
        if case.call is not call:
            return
        case.call = None
        now = self.clock()
        if outcome is Outcome.COMPLETED and case.run is not None:
            self.interpreter.resolve(case.run, reply)
        self.node.on_call_completed(now, case.request, outcome, now - case.request.called_at)
        self.stir()

    def may_call(self, most: int) -> None:
        self.calls_granted = most
        if self.node is not None:
            self.node.set_call_quota(self.clock(), most)
            self.stir()

    def calls_wanted(self) -> tuple[int, int]:
        """How many are out, and how many would be if they might."""
        out = sum(case.call is not None for case in self.cases)
        waiting = sum(case.request.state is RequestState.AWAITING_CALL for case in self.cases)
        return out, out + waiting

    def must_leave(self, at: int) -> None:
        if self.leaves_at is None:
            self.leaves_at, self.notice_at = at, self.clock()
            if self.node is not None:
                self.node.start_draining(self.notice_at, at)
                self.stir()

    def wake(self) -> None:
        """Guards against old readings: the decisions wake with those asked for now, or with none."""
        asked = self.interpreter.gauges()
        if asked is None:
            self.woken(None)
            return
        limit = self.deadlines.after(GAUGES_WAIT, asked.cancel)
        asked.addCallback(self.woken, limit)

    def woken(self, readings: list[float] | None, limit: Any = None) -> None:
        self.deadlines.cancel(limit)
        if readings is None:
            self.report.count("host", "wake-ups without gauges")
        self.node.on_timer(self.clock(), read_gauges(self.gauges, readings) if readings else ResourceUsage())
        self.stir()

    def tend(self, case: Case, happened: Callable[..., None], *values: Any) -> None:
        """Guards the node against an error with one request: that one fails, the others go on."""
        try:
            happened(case, *values)
        except Exception:
            self.report.trouble(happened.__name__)
            self.fail(case)

    def fail(self, case: Case) -> None:
        self.answer(case, Answer.GIVEN_UP)
        self.drop_call(case)
        if case.run is not None:
            self.interpreter.halt(case.run)
        elif case.request.number >= 0:
            self.node.on_run_completed(self.clock(), case.request, Outcome.FAILED, 0)
            self.release(case)
        self.stir()

    # --- decisions --------------------------------------------------------------------------------

    def stir(self) -> None:
        """Decisions are pulled once for all that the reactor reads in one turn."""
        if not self.stirred:
            self.stirred = True
            self.deadlines.after(0, self.pull)

    def pull(self) -> None:
        self.stirred = False
        now = self.clock()
        self.report.count("host", "rounds")
        try:
            while (decision := self.node.next_decision(now)) is not None:
                self.carry_out(decision)
        except Exception:
            self.report.trouble("a round of decisions")
            self.node.abandon_round()
            self.deadlines.after(AFTER_ERROR, self.stir)
        shares, self.shares = self.shares, []
        for case in shares:
            receipt = self.receipts.by_request.get(case.request.original)
            self.complete_repeat(case, receipt.result if receipt else None)

    def carry_out(self, decision: Decision) -> None:
        """Guards the node against an error with one request: that one is given up, the others go on."""
        case = None
        try:
            if decision.request is not None and decision.action is not Action.DELETE_RECORD:
                case = self.cases.get(decision.request.number)
                if case is None or case.request is not decision.request:
                    self.report.count("host", f"decisions on ended requests: {decision.action.name}")
                    return
            self.carries_out[decision.action](decision, case)
        except Exception:
            self.report.trouble(f"carrying out {decision.action.name}")
            if case is not None:
                self.answer(case, Answer.GIVEN_UP)
                self.deadlines.after(0, self.fail, case)

    def set_recording_available(self, able: bool) -> None:
        self.able = able
        if self.node is not None:
            self.node.set_recording_available(self.clock(), self.able and self.trusted)
            self.stir()

    def set_allowance(self, share: float, receipted: bool) -> None:
        """As the fleet says, or this node by itself: so much of what comes, and whether what is receipted."""
        self.open_share, self.trusted = share, receipted
        if self.node is not None:
            self.node.set_admitted_share(self.clock(), share)
            self.set_recording_available(self.able)

    def ready(self) -> bool:
        return self.node is not None and self.interpreter.link is not None

    def load(self) -> float:
        """0: idle; 0.5: all it can do; above 1: it fails at it. Each of the last calls that failed adds."""
        node = self.node
        if node is None or not node.is_healthy:
            return 2.0
        last = [well for _, well in node.calls.times][-STRAIN_CALLS:]
        failed = last.count(False) / len(last) if len(last) == STRAIN_CALLS else 0.0
        return (
            0.5 * min(1.0, len(node.pools.running) / max(1.0, node.concurrency.running_limit))
            + STRAIN_FAILED * failed
        )

    def speed(self) -> float:
        """Runs a second and core, as the last ones went; 1 where none did."""
        usual = self.node.service_times.usual() if self.node is not None else 0.0
        return 1_000_000 / usual if usual else 1.0

    def on_start_withdrawn(self, case: Case) -> None:
        """Its entry could not be made: nothing was begun, and the decisions are asked again."""
        case.unsettled = False
        if case.request.state is not RequestState.ENDED:
            self.receipts.unrecord(case.request)
            self.node.on_record_failed(self.clock(), case.request)
        self.release(case)
        self.stir()

    def on_run_abandoned(self, case: Case) -> None:
        """Nobody waits for it any more, and it was not begun yet: that it never ran is proved."""
        case.unsettled = False
        self.run_ended(case, Outcome.UNREACHABLE, 0, b"")

    def adopt_run(self, ident: bytes, ended: Callable[[Outcome, int, bytes], None]) -> None:
        self.interpreter.adopt(ident, ended)

    def end_adoption(self) -> None:
        self.interpreter.early = None

    def start_run(self, decision: Decision, case: Case) -> None:
        if self.keyed is not None and case.key:
            case.unsettled = True
            self.keyed.intents.start_run(case)
        else:
            self.begin_run(case)

    def begin_run(self, case: Case) -> None:
        case.unsettled = False
        case.run = Run(
            case.ident,
            partial(self.tend, case, self.run_waits),
            partial(self.tend, case, self.run_ended),
        )
        request_class = case.request.request_class
        self.interpreter.apply(
            case.run, request_class.name.encode(), case.body, request_class.effect is Effect.IDEMPOTENT
        )

    def stop_run(self, decision: Decision, case: Case) -> None:
        if case.run is not None:
            self.interpreter.halt(case.run)

    def defer(self, decision: Decision, case: Case) -> None:
        self.drop_call(case)
        self.answer(case, Answer.DEFERRED, span=decision.duration_us, last=decision.no_retry_elsewhere)
        for sharer in self.receipts.ended(case.request, None) if self.keyed is not None else ():
            self.complete_repeat(sharer, None)  # they waited for a run that was not begun after all
        self.release(case)

    def give_up(self, decision: Decision, case: Case) -> None:
        self.drop_call(case)
        self.receipts.unshare(case.request.original, case)
        self.answer(case, Answer.GIVEN_UP)
        self.release(case)

    def place_call(self, decision: Decision, case: Case) -> None:
        span = self.call_span(decision.duration_us)
        case.call = self.catalogue.fetch(case.ident, span, case.call_body, case.spent)
        case.spent.append(case.call.link)
        case.call.ended.addCallback(
            lambda ended, call: self.tend(case, self.call_ended, call, *ended), case.call
        )

    def drop_call(self, case: Case) -> None:
        call, case.call = case.call, None
        if call is not None:
            call.ended.cancel()

    def record(self, decision: Decision, case: Case) -> None:
        self.receipts.record(self.clock(), case.key, case.request, decision.duration_us)
        if self.keyed is not None and case.key:
            self.keyed.intents.record_intent(case, decision.duration_us)

    def strike(self, decision: Decision, case: Case | None) -> None:
        self.receipts.strike(decision.request)
        if self.keyed is not None:
            self.keyed.intents.delete_intent(decision.request)

    def share(self, decision: Decision, case: Case) -> None:
        """An outcome that is there already is answered after this round: inputs wait for its end."""
        first = case.request.original
        if first is None and self.keyed is not None:
            self.keyed.answer_repeat(case)
            return
        self.receipts.share(first, case)
        if first is None or first.state is RequestState.ENDED:
            self.shares.append(case)

    def complete_repeat(self, case: Case, result: bytes | None) -> None:
        outcome = Outcome.FAILED if result is None else Outcome.COMPLETED
        self.node.on_run_completed(self.clock(), case.request, outcome, 0)
        self.answer(case, Answer.GIVEN_UP if result is None else Answer.HONOURED, result or b"")
        self.release(case)
        self.stir()

    def tell_health(self, decision: Decision, case: Case | None) -> None:
        self.healthy = decision.is_healthy
        self.report.note("health " + ("on" if decision.is_healthy else "off"))

    def tell_free_value(self, decision: Decision, case: Case | None) -> None:
        self.free_value = decision.capacity

    def tell_idle(self, decision: Decision, case: Case | None) -> None:
        for door in self.doors:
            door.close_idle(decision.duration_us)

    def ask_wake(self, decision: Decision, case: Case | None) -> None:
        self.deadlines.after(decision.duration_us, self.wake)

    def note(self, decision: Decision, case: Case | None) -> None:
        self.report.note(decision.text)

    # --- answers ----------------------------------------------------------------------------------

    def answer(
        self, case: Case, answer: Answer, result: bytes = b"", span: int = 0, last: bool = False
    ) -> None:
        """The one place where an answer goes out: guards against a second one."""
        if case.open:
            case.open = False
            self.report.count("host", answer.value)
            case.reply(answer, result, span, last)

    def release(self, case: Case) -> None:
        """Gives the case back once it is neither owed an answer nor run."""
        if case.open or case.run is not None or case.unsettled or case.request.number < 0:
            return
        self.receipts.over(case.request)
        self.idents.discard(case.ident)
        self.cases.give_back(case.request.number)
        case.request.number = -1

    def beliefs(self) -> str:
        states = Counter(each.request.state.value for each in self.cases)
        held = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
        value = "none" if self.free_value is None else f"{self.free_value:.2f}"
        health = "on" if self.healthy else "off"
        return f"in hand: {held or 'nothing'}, {self.owed()} owed; health {health}, free value {value}"

    def owed(self) -> int:
        return sum(case.open for case in self.cases)
