"""Drives the admission controller: reports events to it, pulls its decisions and carries them out.

This module does not depend on a wire protocol. A listener such as `dispatchers.py` passes each request as a
`PendingRequest` with a callback for the answer; the interpreter and the catalogue report how runs and calls
end.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
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
    RequestState,
    ResourceUsage,
)
from lichencleat.node.catalogue import Call, Catalogue
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.idempotency_records import IdempotencyRecords
from lichencleat.node.interpreter import Interpreter, Run
from lichencleat.node.pending_request import Answer, PendingRequest
from lichencleat.node.report import Report
from lichencleat.node.slots import Slots

# µs for which a timer event waits for the gauges: well below the timer's period, far above a usual reply time
GAUGES_TIMEOUT = 40_000
# The load of a node depends on this number of recent calls, and increases by FAILED_CALLS_LOAD if all of them
# failed. The number is small, so that failures show early.
LOAD_CALLS, FAILED_CALLS_LOAD = 16, 6.0
ROUND_RETRY_DELAY = 50_000  # µs from a round of decisions that raised an error to the next round


class ClientListener(Protocol):
    """The methods of a listener for clients that the engine calls."""

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set the time after which clients are asked to close idle connections."""
        ...


class RequestEngine:
    """Owns the pending requests and carries out the decisions on them; only `release` removes a request."""

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
        self.records = IdempotencyRecords(deadlines)
        self.pending_requests: Slots[PendingRequest] = Slots()
        self.pending_ids: set[bytes] = set()
        self.node: AdmissionController | None = None  # None until the interpreter is up
        self.stop_at: int | None = None  # µs of Unix time by which the process ends; None before a drain
        self.drain_started_at = 0  # µs of Unix time; the drain grace counts from this time
        self.decisions_scheduled = False
        # repeats that were coalesced with a request that had ended; answered after the round of decisions
        self.finished_repeats: list[PendingRequest] = []
        self.is_serving = True
        self.free_value: float | None = None  # advertised capacity; None: not advertised
        self.listeners: list[ClientListener] = []  # one for each client protocol
        self.call_quota: int | None = None  # maximum number of concurrent calls; None: no quota
        # returns a call's duration (µs), shortened to end with the quota grant
        self.limit_call_duration: Callable[[int], int] = lambda duration_us: duration_us
        self.keyed: Any = None  # an idempotency.service.IdempotencyService, if records survive a restart
        # Keyed requests are admitted only if records can be stored (`can_record`) and the recovery after a
        # restart allows keyed requests (`may_record`).
        self.can_record = self.may_record = True
        self.admitted_share = 1.0  # fraction of the requests that is admitted
        self.handlers = {
            Action.START: self.start_run,
            Action.ABORT: self.stop_run,
            Action.REJECT: self.reject,
            Action.FAIL: self.answer_failed,
            Action.CALL: self.place_call,
            Action.SKIP_CALL: self.answer_failed,  # this interpreter can't continue a run without the call
            Action.ADD_RECORD: self.add_record,
            Action.DELETE_RECORD: self.delete_record,
            Action.COALESCE: self.coalesce,
            Action.REPORT_HEALTH: self.set_health,
            Action.ADVERTISE_CAPACITY: self.set_free_value,
            Action.SET_IDLE_TIMEOUT: self.set_idle_timeout,
            Action.SET_TIMER: self.set_timer,
            Action.LOG: self.log_text,
        }

    # --- events ----------------------------------------------------------------------------------

    def on_interpreter_ready(self, cold: bool) -> None:
        """Create the admission controller, now that the interpreter is up.

        `cold`: the interpreter has loaded nothing yet, so the first runs are slow.
        """
        self.machine.starts_cold = cold
        self.node = AdmissionController(self.machine, random.Random(self.seed))
        if self.call_quota is not None:
            self.node.set_call_quota(self.clock(), self.call_quota)
        self.node.set_recording_available(self.clock(), self.can_record and self.may_record)
        self.node.set_admitted_share(self.clock(), self.admitted_share)
        if self.stop_at is not None:
            self.node.start_draining(self.drain_started_at, self.stop_at)
        self.schedule_decisions()

    def on_request_received(self, pending: PendingRequest) -> None:
        """Admit a new request, or have the idempotency service look up its key first."""
        self.report.count("host", "requests")
        if self.node is None:
            self.answer(pending, Answer.FAILED)
            return
        pending.request.number = self.pending_requests.acquire(pending)
        self.pending_ids.add(pending.ident)
        if self.keyed is None or not pending.key or self.keyed.on_arrival(pending):
            self.submit_request(pending)

    def submit_request(self, pending: PendingRequest) -> None:
        """Pass a request to the admission controller; the key of a keyed request was looked up before."""
        request = pending.request
        if pending.key and (originals := self.records.find_all(pending.key, request)):
            *request.other_originals, request.original = originals
            request.original_unknown = False
            self.records.add_repeat(request.original, request)
        elif pending.key and not request.original_unknown:
            self.records.add(pending.key, request)
        self.node.on_request(self.clock(), request)
        self.schedule_decisions()

    def fail_request(self, pending: PendingRequest) -> None:
        """Answer a request as failed before the admission controller has received it."""
        self.answer(pending, Answer.FAILED)
        self.release(pending)

    def on_caller_gone(self, pending: PendingRequest) -> None:
        """Drop the request of a caller that cancelled it or closed its connection."""
        if pending.open:
            pending.open = False
            self.report.count("host", "abandoned")
            self.report_caller_gone(pending)
            self.release(pending)
            self.schedule_decisions()

    def report_caller_gone(self, pending: PendingRequest) -> None:
        """Report to the controller and the records that the caller is gone, and cancel the request's call."""
        self.node.on_caller_gone(self.clock(), pending.request)
        self.records.remove_waiter(pending.request.original, pending)
        self.cancel_call(pending)

    def on_call_needed(self, pending: PendingRequest, body: bytes) -> None:
        """Ask the controller for a call to the catalogue, for which the run waits."""
        pending.call_body = body
        self.node.on_call_needed(self.clock(), pending.request)
        self.schedule_decisions()

    def on_outcome_recorded(
        self, pending: PendingRequest, outcome: Outcome, took: int, result: bytes
    ) -> None:
        """End a request with the outcome of its run, which is now on disk or can't be stored."""
        pending.awaiting_storage = False
        self.on_run_ended(pending, outcome, took, result, True)

    def on_run_ended(
        self, pending: PendingRequest, outcome: Outcome, took: int, result: bytes, is_recorded: bool = False
    ) -> None:
        """Store the outcome of a run if it must survive a restart, otherwise end the request with it.

        `took`: duration of the run in µs; `is_recorded`: the outcome is stored or can't be stored.
        """
        now, request, run = self.clock(), pending.request, pending.run
        pending.run = None
        self.cancel_call(pending)
        if self.keyed is not None and pending.key and not is_recorded:
            if outcome in (Outcome.COMPLETED, Outcome.FAILED):
                pending.awaiting_storage = True
                self.node.on_outcome_pending(now, request, took)
                self.schedule_decisions()
                self.keyed.intents.on_run_completed(
                    pending,
                    outcome,
                    result,
                    partial(self.run_guarded, pending, self.on_outcome_recorded, outcome, took, result),
                )
                return
            if outcome is not Outcome.UNREACHABLE:
                self.keyed.intents.on_run_lost(pending)
        if outcome in (Outcome.ABORTED, Outcome.SUPERSEDED) and not (run and run.is_stopping):
            # the node did not stop the run, so the run was aborted because its caller is gone
            self.node.on_caller_gone(now, request)
        if outcome is Outcome.UNREACHABLE:
            request.started = None  # the run never started: a repeat of the request may run
        self.node.on_run_completed(now, request, outcome, took)
        succeeded = outcome is Outcome.COMPLETED
        if succeeded:
            self.answer(pending, Answer.SERVED, result)
        if request.state is RequestState.ENDED:
            self.answer(pending, Answer.FAILED)
            for waiter in self.records.complete(request, result if succeeded else None):
                self.complete_repeat(waiter, result if succeeded else None)
            self.release(pending)
        self.schedule_decisions()

    def on_call_ended(self, pending: PendingRequest, call: Call, outcome: Outcome, reply: bytes) -> None:
        """Pass the reply of a call to the run, and the outcome of the call to the controller."""
        if pending.call is not call:
            return
        pending.call = None
        now = self.clock()
        if outcome is Outcome.COMPLETED and pending.run is not None:
            self.interpreter.resolve(pending.run, reply)
        self.node.on_call_completed(now, pending.request, outcome, now - pending.request.called_at)
        self.schedule_decisions()

    def set_call_quota(self, max_calls: int) -> None:
        """Limit the number of concurrent calls."""
        self.call_quota = max_calls
        if self.node is not None:
            self.node.set_call_quota(self.clock(), max_calls)
            self.schedule_decisions()

    def call_demand(self) -> tuple[int, int]:
        """Return the number of calls in flight, and that number plus the calls that wait to be sent."""
        out = sum(pending.call is not None for pending in self.pending_requests)
        waiting = sum(
            pending.request.state is RequestState.AWAITING_CALL for pending in self.pending_requests
        )
        return out, out + waiting

    def start_draining(self, at: int) -> None:
        """Start to drain; the process ends by `at`, µs of Unix time."""
        if self.stop_at is None:
            self.stop_at, self.drain_started_at = at, self.clock()
            if self.node is not None:
                self.node.start_draining(self.drain_started_at, at)
                self.schedule_decisions()

    def on_timer(self) -> None:
        """Read the gauges, then run the timer event with the readings; without any if they take too long."""
        gauge_request = self.interpreter.request_gauges()
        if gauge_request is None:
            self.on_gauges(None)
            return
        timer = self.deadlines.after(GAUGES_TIMEOUT, gauge_request.cancel)
        gauge_request.addCallback(self.on_gauges, timer)

    def on_gauges(self, readings: list[float] | None, timer: Any = None) -> None:
        """Run the controller's timer event with the gauges' readings; None: no readings."""
        self.deadlines.cancel(timer)
        if readings is None:
            self.report.count("host", "wake-ups without gauges")
        self.node.on_timer(self.clock(), read_gauges(self.gauges, readings) if readings else ResourceUsage())
        self.schedule_decisions()

    def run_guarded(self, pending: PendingRequest, handler: Callable[..., None], *values: Any) -> None:
        """Call a handler of a request; an error in the handler fails this request alone."""
        try:
            handler(pending, *values)
        except Exception:
            self.report.log_exception(handler.__name__)
            self.abort_request(pending)

    def abort_request(self, pending: PendingRequest) -> None:
        """Fail a request after an internal error, and stop its run."""
        self.answer(pending, Answer.FAILED)
        self.cancel_call(pending)
        if pending.run is not None:
            self.interpreter.stop_run(pending.run)
        elif pending.request.number >= 0:
            self.node.on_run_completed(self.clock(), pending.request, Outcome.FAILED, 0)
            self.release(pending)
        self.schedule_decisions()

    # --- decisions --------------------------------------------------------------------------------

    def schedule_decisions(self) -> None:
        """Schedule one round of decisions for all the input that the reactor reads in this iteration."""
        if not self.decisions_scheduled:
            self.decisions_scheduled = True
            self.deadlines.after(0, self.run_decisions)

    def run_decisions(self) -> None:
        """Pull and carry out all decisions, then answer the repeats of finished requests."""
        self.decisions_scheduled = False
        now = self.clock()
        self.report.count("host", "rounds")
        try:
            while (decision := self.node.next_decision(now)) is not None:
                self.execute(decision)
        except Exception:
            self.report.log_exception("a round of decisions")
            self.node.abandon_round()
            self.deadlines.after(ROUND_RETRY_DELAY, self.schedule_decisions)
        finished, self.finished_repeats = self.finished_repeats, []
        for pending in finished:
            record = self.records.by_request.get(pending.request.original)
            self.complete_repeat(pending, record.result if record else None)

    def execute(self, decision: Decision) -> None:
        """Carry out one decision; an error fails the request of the decision alone."""
        pending = None
        try:
            if decision.request is not None and decision.action is not Action.DELETE_RECORD:
                pending = self.pending_requests.get(decision.request.number)
                if pending is None or pending.request is not decision.request:
                    self.report.count("host", f"decisions on ended requests: {decision.action.name}")
                    return
            self.handlers[decision.action](decision, pending)
        except Exception:
            self.report.log_exception(f"carrying out {decision.action.name}")
            if pending is not None:
                self.answer(pending, Answer.FAILED)
                self.deadlines.after(0, self.abort_request, pending)

    def set_recording_available(self, can_record: bool) -> None:
        """Set whether idempotency records can be stored."""
        self.can_record = can_record
        if self.node is not None:
            self.node.set_recording_available(self.clock(), self.can_record and self.may_record)
            self.schedule_decisions()

    def set_allowance(self, share: float, admit_keyed: bool) -> None:
        """Set the fraction of requests that is admitted, and whether keyed requests are admitted at all."""
        self.admitted_share, self.may_record = share, admit_keyed
        if self.node is not None:
            self.node.set_admitted_share(self.clock(), share)
            self.set_recording_available(self.can_record)

    def ready(self) -> bool:
        """Return whether the interpreter is up and connected."""
        return self.node is not None and self.interpreter.link is not None

    def load(self) -> float:
        """Return the load of the node: 0 if idle, 0.5 at the running limit, 2 if unhealthy.

        The fraction of recent calls that failed is multiplied by `FAILED_CALLS_LOAD` and added.
        """
        node = self.node
        if node is None or not node.is_healthy:
            return 2.0
        last = [succeeded for _, succeeded in node.calls.times][-LOAD_CALLS:]
        failed = last.count(False) / len(last) if len(last) == LOAD_CALLS else 0.0
        return (
            0.5 * min(1.0, len(node.pools.running) / max(1.0, node.concurrency.running_limit))
            + FAILED_CALLS_LOAD * failed
        )

    def speed(self) -> float:
        """Return the runs per second and core according to recent service times; 1 if there are none."""
        usual = self.node.service_times.usual() if self.node is not None else 0.0
        return 1_000_000 / usual if usual else 1.0

    def on_start_withdrawn(self, pending: PendingRequest) -> None:
        """Handle a start that was withdrawn, as the record was not stored; the controller decides again."""
        pending.awaiting_storage = False
        if pending.request.state is not RequestState.ENDED:
            self.records.clear_expiry(pending.request)
            self.node.on_record_failed(self.clock(), pending.request)
        self.release(pending)
        self.schedule_decisions()

    def fail_start(self, pending: PendingRequest) -> None:
        """Fail a request that can't run, as another request with its key has a record; so do its repeats."""
        pending.awaiting_storage = False
        request = pending.request
        request.started = None
        if request.state is not RequestState.ENDED:
            for repeat in (pending, *self.records.complete(request, None)):
                self.complete_repeat(repeat, None)
        self.release(pending)

    def on_run_abandoned(self, pending: PendingRequest) -> None:
        """End a request whose run was abandoned before it started."""
        pending.awaiting_storage = False
        self.on_run_ended(pending, Outcome.UNREACHABLE, 0, b"")

    def adopt_run(self, ident: bytes, ended: Callable[[Outcome, int, bytes], None]) -> bool:
        """Have `ended` called at the end of a run that an earlier incarnation of this node started.

        Until then, no request may have the id of the run. Return False if a request has that id already.
        """
        if ident in self.pending_ids:
            return False
        self.pending_ids.add(ident)

        def on_ended(outcome: Outcome, took: int, result: bytes) -> None:
            self.pending_ids.discard(ident)
            ended(outcome, took, result)

        self.interpreter.adopt_run(ident, on_ended)
        return True

    def drop_adopted_run(self, ident: bytes) -> None:
        """Stop waiting for the end of an adopted run."""
        self.pending_ids.discard(ident)
        self.interpreter.drop_adopted_run(ident)

    def end_adoption(self) -> None:
        """Drop the outcomes that were kept for runs still to be adopted."""
        self.interpreter.early_outcomes = None

    def start_run(self, decision: Decision, pending: PendingRequest) -> None:
        """Start the run; for a keyed request, first store the intent to run it on disk."""
        if self.keyed is not None and pending.key:
            pending.awaiting_storage = True
            self.keyed.intents.start_run(pending)
        else:
            self.begin_run(pending)

    def begin_run(self, pending: PendingRequest) -> None:
        """Start the run at the interpreter."""
        pending.awaiting_storage = False
        pending.run = Run(
            pending.ident,
            partial(self.run_guarded, pending, self.on_call_needed),
            partial(self.run_guarded, pending, self.on_run_ended),
        )
        request_class = pending.request.request_class
        self.interpreter.apply(
            pending.run, request_class.name.encode(), pending.body, request_class.effect is Effect.IDEMPOTENT
        )

    def stop_run(self, decision: Decision, pending: PendingRequest) -> None:
        if pending.run is not None:
            self.interpreter.stop_run(pending.run)

    def reject(self, decision: Decision, pending: PendingRequest) -> None:
        """Answer that the request was rejected, with the delay before a retry."""
        self.cancel_call(pending)
        self.answer(
            pending,
            Answer.REJECTED,
            retry_after_us=decision.duration_us,
            no_retry=decision.no_retry_elsewhere,
        )
        for waiter in self.records.complete(pending.request, None) if self.keyed is not None else ():
            self.complete_repeat(waiter, None)  # the run that the repeats waited for never started
        self.release(pending)

    def answer_failed(self, decision: Decision, pending: PendingRequest) -> None:
        """Answer that the request failed."""
        self.cancel_call(pending)
        self.records.remove_waiter(pending.request.original, pending)
        self.answer(pending, Answer.FAILED)
        self.release(pending)

    def place_call(self, decision: Decision, pending: PendingRequest) -> None:
        """Send the request's call to the catalogue."""
        timeout_us = self.limit_call_duration(decision.duration_us)
        pending.call = self.catalogue.fetch(pending.ident, timeout_us, pending.call_body, pending.used_links)
        pending.used_links.append(pending.call.link)
        pending.call.ended.addCallback(
            lambda ended, call: self.run_guarded(pending, self.on_call_ended, call, *ended), pending.call
        )

    def cancel_call(self, pending: PendingRequest) -> None:
        """Cancel the request's call in flight, if there is one."""
        call, pending.call = pending.call, None
        if call is not None:
            call.ended.cancel()

    def add_record(self, decision: Decision, pending: PendingRequest) -> None:
        """Confirm the idempotency record of a request, and queue the intent to run it for a write to disk."""
        self.records.set_expiry(self.clock(), pending.key, pending.request, decision.duration_us)
        if self.keyed is not None and pending.key:
            self.keyed.intents.record_intent(pending, decision.duration_us)

    def delete_record(self, decision: Decision, pending: PendingRequest | None) -> None:
        """Delete the idempotency record of a request, in memory and on disk."""
        self.records.delete(decision.request)
        if self.keyed is not None:
            self.keyed.intents.delete_intent(decision.request)

    def coalesce(self, decision: Decision, pending: PendingRequest) -> None:
        """Make a repeat wait for the outcome of its original request.

        If the original has ended, the repeat is answered after this round of decisions, as no event may reach
        the controller during a round.
        """
        original = pending.request.original
        if original is None and self.keyed is not None:
            self.keyed.answer_repeat(pending)
            return
        self.records.add_waiter(original, pending)
        if original is None or original.state is RequestState.ENDED:
            self.finished_repeats.append(pending)

    def complete_repeat(self, pending: PendingRequest, result: bytes | None) -> None:
        """Answer a repeat with the result of its original request; None: the original failed."""
        outcome = Outcome.FAILED if result is None else Outcome.COMPLETED
        self.node.on_run_completed(self.clock(), pending.request, outcome, 0)
        self.answer(pending, Answer.FAILED if result is None else Answer.SERVED, result or b"")
        self.release(pending)
        self.schedule_decisions()

    def set_health(self, decision: Decision, pending: PendingRequest | None) -> None:
        """Set and log the answer to health checks."""
        self.is_serving = decision.is_healthy
        self.report.note("health " + ("on" if decision.is_healthy else "off"))

    def set_free_value(self, decision: Decision, pending: PendingRequest | None) -> None:
        """Set the advertised capacity, which each answer carries."""
        self.free_value = decision.capacity

    def set_idle_timeout(self, decision: Decision, pending: PendingRequest | None) -> None:
        """Set the idle timeout of all listeners."""
        for listener in self.listeners:
            listener.set_idle_timeout(decision.duration_us)

    def set_timer(self, decision: Decision, pending: PendingRequest | None) -> None:
        """Schedule the controller's next timer event."""
        self.deadlines.after(decision.duration_us, self.on_timer)

    def log_text(self, decision: Decision, pending: PendingRequest | None) -> None:
        self.report.note(decision.text)

    # --- answers ----------------------------------------------------------------------------------

    def answer(
        self,
        pending: PendingRequest,
        answer: Answer,
        result: bytes = b"",
        retry_after_us: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Answer the request unless it was answered before; all answers are sent here.

        For a rejected request, `retry_after_us` is the delay before a retry, 0 for none; `no_retry` asks the
        client not to retry on another node.
        """
        if pending.open:
            pending.open = False
            self.report.count("host", answer.value)
            pending.reply(answer, result, retry_after_us, no_retry)

    def release(self, pending: PendingRequest) -> None:
        """Remove the request if it is answered or abandoned, does not run and awaits no write to disk."""
        if pending.open or pending.run is not None or pending.awaiting_storage or pending.request.number < 0:
            return
        if self.keyed is not None and pending.key and pending.request.started is None:
            self.keyed.intents.delete_intent(pending.request)
        for waiter in self.records.discard_unconfirmed(pending.request):
            # the run that it waits for never starts
            self.deadlines.after(0, self.complete_repeat, waiter, None)
        self.pending_ids.discard(pending.ident)
        self.pending_requests.release(pending.request.number)
        pending.request.number = -1

    def describe(self) -> str:
        """Return the engine's part of the status line."""
        states = Counter(each.request.state.value for each in self.pending_requests)
        held = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
        value = "none" if self.free_value is None else f"{self.free_value:.2f}"
        health = "on" if self.is_serving else "off"
        return (
            f"in hand: {held or 'nothing'}, {self.unanswered_count()} owed; "
            f"health {health}, free value {value}"
        )

    def unanswered_count(self) -> int:
        """Return the number of pending requests without an answer."""
        return sum(pending.open for pending in self.pending_requests)
