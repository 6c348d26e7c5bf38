"""Admission control for one node: what it queues, runs, rejects or fails, and what callers are told.

A host makes one `AdmissionController` at each start and calls it when something happens (`on_request`,
`on_timer`, `start_draining` and so on), which only updates what is known. After each lot of calls it pulls
`next_decision` until that gives None. The types of that interface stand in `types.py`.

The design (docs/design.md) decides the ordinary path: `concurrency.py` moves the concurrency limit by
integral feedback on the length of the queue. The other modules of this package each hold one more concern;
this one owns them all, and runs the round of decisions.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from lichencleat.admission.backpressure import TOLD_IDLE, Backpressure
from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.connections import IdleTimeout
from lichencleat.admission.deadlines import DeadlineGuard, objective_end
from lichencleat.admission.downstream import CALL_TRIES, DownstreamCalls
from lichencleat.admission.draining import Draining
from lichencleat.admission.memory import MemoryBudget
from lichencleat.admission.outliers import READ_LATE, OutlierDetector
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.queueing import Queue
from lichencleat.admission.records import IdempotencyRecords, find_original, has_run
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.slow_start import SlowStart
from lichencleat.admission.tenant_quotas import TenantQuotas
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import (
    Action,
    Decision,
    Effect,
    NodeSpec,
    Outcome,
    Request,
    RequestClass,
    RequestState,
    ResourceUsage,
)

BUSY = 0.9  # of the cores, as the host measures it: nothing to gain from more runs


class AdmissionController:
    """Owns the state of one node's admission control and decides in rounds; times are in µs."""

    def __init__(self, spec: NodeSpec, chance: random.Random) -> None:
        self.cores = spec.cores
        self.timing = Timing(spec)
        self.pools = RequestPools()
        self.slow_start = SlowStart(spec)
        self.draining = Draining(spec, self.timing)
        self.quotas = TenantQuotas(spec)
        self.connections = IdleTimeout(spec)
        self.service_times = ServiceTimes(spec, self.pools)
        self.records = IdempotencyRecords(spec, self.timing, self.pools)
        self.memory = MemoryBudget(spec, self.pools, self.records)
        self.calls = DownstreamCalls(spec, self.timing, self.pools)
        self.queue = Queue(spec, self.timing, self.pools, self.service_times, self.quotas)
        self.concurrency = ConcurrencyLimit(
            spec, self.timing, self.slow_start, self.pools, self.service_times
        )
        self.outliers = OutlierDetector(
            spec, self.timing, self.pools, self.service_times, self.concurrency, self.calls
        )
        self.deadlines = DeadlineGuard(
            spec, self.timing, self.pools, self.service_times, self.concurrency, self.outliers
        )
        self.backpressure = Backpressure(
            spec, chance, self.timing, self.slow_start, self.pools, self.concurrency
        )
        self.usage = ResourceUsage()
        self.is_healthy = True
        self.to_abort: dict[Request, None] = {}  # running requests that nobody may wait for
        self.next_update = 0
        self.wake_at = 0  # when the timer that is set fires; 0 for none
        self._round: Iterator[Decision] | None = None  # what is left to pull
        # told once that it is healthy, a node's health checks are answered from store
        self._reported_health = None if spec.health_checks_do_work else True
        self._reported_idle_timeout = spec.idle_timeout_us

    # --- events: they only update what is known ---

    def on_request(self, now: int, request: Request) -> None:
        """Take in an arrival."""
        self.pools.new[request] = None
        self.service_times.add_cost(request)
        self.outliers.on_read(now, request)
        self.connections.recent_callers.append(request.caller)

    def on_run_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Take in the end of a run; an aborted one that is owed an answer is queued again."""
        if outcome is Outcome.COMPLETED and request in self.pools.running:
            self.service_times.add(request.request_class, took)
        if outcome in (Outcome.COMPLETED, Outcome.FAILED):
            request.answered = True
        request.succeeded = outcome is Outcome.COMPLETED
        if request.succeeded and now <= objective_end(request):
            self.outliers.on_time_at = now
        self.outliers.progress_at = now
        self.pools.end(request)
        if not request.answered and outcome is Outcome.ABORTED:
            self.pools.move(request, self.pools.queued, RequestState.QUEUED)

    def seed_run_time(self, _now: int, request_class: RequestClass, took: int) -> None:
        """Take in the usual time in the process before: a first guess, if no run has ended in this one."""
        self.service_times.seed(request_class, took)

    def on_outcome_pending(self, now: int, request: Request, took: int) -> None:
        """Take in that a run has ended and its outcome is being recorded: `on_run_completed` follows."""
        self.service_times.add(request.request_class, took)
        self.outliers.progress_at = now
        self.pools.move(request, self.pools.coalesced, RequestState.COALESCED)

    def set_recording_available(self, _now: int, is_available: bool) -> None:
        """Say whether the host is able to make idempotency records."""
        self.records.is_available = is_available

    def set_admitted_share(self, _now: int, share: float) -> None:
        """Say which share of its arrivals the node may admit while the fleet recovers."""
        self.backpressure.admitted_share = share

    def on_record_failed(self, _now: int, request: Request) -> None:
        """Take in that the record of a request could not be made, so its run was not begun."""
        self.records.expiry.pop(request, None)
        request.started = None
        self.pools.move(request, self.pools.queued, RequestState.QUEUED)

    def on_call_needed(self, now: int, request: Request) -> None:
        """Take in that a run waits for its call."""
        self.outliers.progress_at = now
        self.pools.move(request, self.pools.awaiting_call, RequestState.AWAITING_CALL)
        request.call_not_before = now
        request.failed_calls = 0

    def on_call_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Take in the end of a call: the run goes on, or the call may be tried again."""
        if request not in self.pools.calling:
            return
        self.calls.on_completed(now, request, outcome, took)
        if outcome is Outcome.COMPLETED:
            self.pools.move(request, self.pools.running, RequestState.RUNNING)
        else:
            self.pools.move(request, self.pools.awaiting_call, RequestState.AWAITING_CALL)

    def set_call_quota(self, _now: int, quota: float) -> None:
        """Say how many calls may be in flight, as agreed with other nodes; those that are may stay."""
        self.calls.granted_quota = quota

    def on_caller_gone(self, _now: int, request: Request) -> None:
        """Take in that nobody waits for a request any more."""
        request.answered = True
        waits_for_run = request.state is RequestState.COALESCED and request.started is None
        if request in self.pools.running:
            self.to_abort[request] = None
        elif request.state is RequestState.QUEUED or waits_for_run:
            self.pools.end(request)

    def start_draining(self, now: int, stops_at: int) -> None:
        """Take in the notice that the process is stopped at that time."""
        self.draining.start(now, stops_at)
        self.is_healthy = False
        pools = self.pools
        for request in (*pools.new, *pools.queued, *pools.started(), *pools.coalesced):
            self.draining.advance_due_time(request)

    def on_timer(self, _now: int, usage: ResourceUsage) -> None:
        """Take in that the timer fired, with what the node measured."""
        self.usage = usage
        self.wake_at = 0

    # --- decisions, pulled one by one ---

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision of the round; None at its end."""
        self._round = self._round or self.decide(now)
        decision = next(self._round, None)
        if decision is None:
            self._round = None
        return decision

    def abandon_round(self) -> None:
        """Drop what is left of a round, after an error in it."""
        self._round = None

    def decide(self, now: int) -> Iterator[Decision]:
        """Run one round: each step looks once at what it may have to decide on."""
        if self.slow_start.started_at is None:
            self.slow_start.started_at = now
            self.outliers.reset_progress(now)
        if now >= self.next_update:
            self.update(now)
        yield from self.answer_due(now)
        yield from self.abort_unwanted(now)
        yield from self.delete_unrun_records()
        yield from self.admit_new(now)
        yield from self.review_queue(now)
        yield from self.release_calls(now)
        yield from self.start_queued(now)
        yield from self.notify_callers(now)

    def update(self, now: int) -> None:
        """Move all limits by one period."""
        self.next_update = now + self.timing.period - self.timing.resolution
        self.quotas.update(self.timing.period)
        running = len(self.pools.running)
        runnable = running if self.usage.runnable is None else self.usage.runnable
        self.concurrency.update(now, runnable)
        self.queue.update(now, self.concurrency.limit)
        is_idle = self.is_healthy and not self.pools.queued and (self.usage.busy or 0.0) < TOLD_IDLE
        self.backpressure.update(is_idle, self.outliers.read_time(now) > READ_LATE)
        self.connections.update(now, runnable - running)
        self.update_health(now)
        self.to_abort.update(
            (each, None) for each in self.pools.running if each.answered
        )  # a hang ignores it
        self.records.expire(now)

    def update_health(self, now: int) -> None:
        """Judge whether this node does worse than the others may.

        Guards the fleet: a crowd of attempts strikes all nodes alike, and those that leave the list send it
        to the rest. Harm: a node struck alone stays in the list while connections take its cores.
        """
        is_outlier = self.outliers.is_drowned(now) or self.outliers.is_sick(now)
        self.is_healthy = not self.draining.is_active and (self.connections.is_crowded or not is_outlier)

    def answer_due(self, now: int) -> Iterator[Decision]:
        """Answer whatever is due before the next round: this guards the first rule."""
        pools = self.pools
        stalled = self.outliers.is_stalled(now)  # then a caller may still find another node in time
        reads_late = self.outliers.read_time(now) > READ_LATE * self.timing.scale
        crowded = bool(pools.queued) or reads_late
        ran = (*pools.running, *pools.calling, *pools.awaiting_call)
        for request in (*ran, *pools.queued, *pools.coalesced):
            if request.answered:
                continue
            idempotent = request.request_class.effect is Effect.IDEMPOTENT
            stuck = stalled and idempotent and request in pools.running
            if self.deadlines.is_due(now, request) or stuck:
                yield self.fail(request)
            elif crowded and request in ran and self.deadlines.is_worthless(now, request):
                yield self.reject(now, request)

    def abort_unwanted(self, now: int) -> Iterator[Decision]:
        """Abort work for which nobody waits, unless a repeat waits for its outcome.

        Nor is a keyed run aborted within its objective: its caller mostly asks again, to share it, while
        an aborted one can neither run again nor be rejected. Harm: one run for nobody.
        """
        unwanted = self.to_abort
        self.to_abort = {}
        shared = {each.original for each in self.pools.coalesced}
        for request in unwanted if self.deadlines.can_abort else ():
            keyed = request.request_class.effect is Effect.KEYED
            kept = keyed and now < objective_end(request)
            if request in self.pools.running and not kept and request not in shared:
                yield Decision(Action.ABORT, request)

    def delete_unrun_records(self) -> Iterator[Decision]:
        """Delete the records that guard nothing and take memory."""
        for request in self.records.pop_unrun():
            yield Decision(Action.DELETE_RECORD, request)

    def admit_new(self, now: int) -> Iterator[Decision]:
        """Queue an arrival if the limit and the rules allow, else reject it at once."""
        for request in list(self.pools.new):
            self.draining.advance_due_time(request)
            if request.original or request.original_unknown:
                yield from self.admit_repeat(now, request)
                continue
            if not self.may_queue(now, request):
                yield self.reject(now, request)
                continue
            if self.is_full():
                rejected = self.queue.choose_rejected(request)
                yield self.reject(now, rejected)
                if rejected is request:
                    continue
            self.pools.move(request, self.pools.queued, RequestState.QUEUED)
            self.backpressure.on_queued()

    def admit_repeat(self, now: int, request: Request) -> Iterator[Decision]:
        """Queue a repeat, which may then share the run of the attempt that it repeats.

        Guards the memory against a storm of repeats that wait for one run. Harm: they are not told
        how it ends, and may ask again. One whose first attempt is over is answered in this round, and
        at once where it is due before the next: sharing takes work, too.
        """
        original = request.original
        if self.deadlines.is_due(now, request):
            yield self.fail(request)
        elif (original and original.state is RequestState.ENDED) or not self.memory.is_exceeded():
            self.pools.move(request, self.pools.queued, RequestState.QUEUED)
        elif original and original.started is None:
            yield self.reject(now, request)
        else:
            yield self.fail(request)

    def may_queue(self, now: int, request: Request) -> bool:
        """Return whether an arrival is of use here and all rules allow it."""
        shut_out = self.backpressure.is_shut_out()
        return not (
            shut_out
            or self.deadlines.is_due(now, request)
            or self.deadlines.would_be_late(now, request, len(self.pools.queued))
            or not self.draining.may_run(request)
            or self.outliers.is_stalled(now)
            or self.memory.is_exceeded()
        )

    def is_full(self) -> bool:
        """Return whether the concurrency limit is reached, and more runs would gain nothing."""
        queued = len(self.pools.queued)
        running = len(self.pools.running)
        busy = running >= self.cores or (self.usage.busy or 0.0) > BUSY or self.calls.are_clogged()
        return bool(queued) and busy and queued + running >= self.concurrency.limit

    def review_queue(self, now: int) -> Iterator[Decision]:
        """Let repeats share a run that there is, answer what is of no use any more, record the rest."""
        for request in list(self.pools.queued):
            original = request.original = find_original(request)
            if request.original_unknown or (original is not None and original.started is not None):
                if original is None or original.state is not RequestState.ENDED or original.succeeded:
                    self.pools.move(request, self.pools.coalesced, RequestState.COALESCED)
                    yield Decision(Action.COALESCE, request)
                    continue
                if request.request_class.effect is not Effect.IDEMPOTENT:
                    yield self.fail(request)  # it ran and came to nothing: neither rerun nor rejected
                    continue
            if original is not None:
                if original.state is not RequestState.ENDED:
                    continue  # its original is queued here: that one runs, and this one shares
                self.records.replace(original, request)
            yield from self.review_first_attempt(now, request)

    def review_first_attempt(self, now: int, request: Request) -> Iterator[Decision]:
        """Answer a queued request that is of no use, else make its record if it needs one."""
        lacks_record = self.takes_record(request) and request not in self.records.expiry
        keyed = request.request_class.effect is Effect.KEYED
        if has_run(request):
            yield self.fail(request)
        elif (
            (lacks_record and keyed and not self.records.is_available)
            or not self.draining.may_run(request)
            or self.deadlines.would_be_late(now, request)
            or self.outliers.is_stalled(now)
        ):
            yield self.reject(now, request)
        elif lacks_record:  # however it came into the queue: without, it never starts
            yield Decision(Action.ADD_RECORD, request, duration_us=self.records.add(now, request))

    def takes_record(self, request: Request) -> bool:
        """Return whether a request is to have a record before its run."""
        shares_read = self.records.freshness > 0 and request.has_key and self.memory.can_record_read()
        return shares_read or request.request_class.effect is Effect.KEYED

    def release_calls(self, now: int) -> Iterator[Decision]:
        """Let calls go out by what they add to the value, under the limit; skip some where they clog."""

        def added_value(each: Request) -> float:
            return self.queue.value(each) * (1 - each.request_class.value_share_without_call)

        ordered = sorted(self.pools.awaiting_call, key=added_value, reverse=True)
        for position, request in enumerate(ordered):
            if request.answered:
                self.pools.move(request, self.pools.calling, RequestState.CALLING)  # the host ends it
            elif self.is_call_given_up(now, request, position):
                yield self.finish_without_call(now, request)
            elif self.calls.can_call(now, request):
                self.pools.move(request, self.pools.calling, RequestState.CALLING)
                request.called_at = now
                duration = self.calls.duration(now, request, self.call_use_ends(now, request))
                yield Decision(Action.CALL, request, duration_us=duration)

    def is_call_given_up(self, now: int, request: Request, position: int) -> bool:
        """Return whether a call is of no use any more, or waits too long where it can be skipped."""
        if request.failed_calls >= CALL_TRIES:
            return True
        if earns_nothing_late(request) and now >= objective_end(request):
            return True
        return request.request_class.value_share_without_call > 0 and self.calls.would_wait_long(position)

    def finish_without_call(self, now: int, request: Request) -> Decision:
        """Let a run go on without its call where that still earns, else fail it."""
        if request.request_class.value_share_without_call > 0 and now < objective_end(request):
            self.pools.move(request, self.pools.running, RequestState.RUNNING)
            return Decision(Action.SKIP_CALL, request)
        return self.fail(request)

    def call_use_ends(self, now: int, request: Request) -> int:
        """Return the time after which the answer to a call is of no use."""
        if earns_nothing_late(request):
            return min(request.due, max(objective_end(request), now + self.timing.period))
        return request.due

    def start_queued(self, now: int) -> Iterator[Decision]:
        """Start queued requests under the running limit and what the node survives."""
        for request in self.queue.start_order(now):
            if len(self.pools.running) >= round(self.concurrency.running_limit):
                return
            if self.pools.count_started() >= self.slow_start.concurrency_bound(now):
                return
            if not self.can_start(request):
                continue
            self.pools.move(request, self.pools.running, RequestState.RUNNING)
            if len(self.pools.running) == 1:
                self.outliers.reset_progress(now)
            request.started = now
            self.quotas.on_start(request)
            yield Decision(Action.START, request)

    def can_start(self, request: Request) -> bool:
        """Return whether nothing but the limits keeps a queued request from starting."""
        if request.original is not None or not self.records.may_start(request):
            return False
        request_class = request.request_class
        if (
            request_class.calls_downstream
            and not request_class.value_share_without_call
            and self.calls.are_clogged()
        ):
            return False
        return self.memory.can_start(request)

    def notify_callers(self, now: int) -> Iterator[Decision]:
        """Report what has changed of health, capacity and idle timeout, and set the timer."""
        if self.is_healthy != self._reported_health:
            self._reported_health = self.is_healthy
            yield Decision(Action.REPORT_HEALTH, is_healthy=self.is_healthy)
        capacity = self.backpressure.take_changed_capacity(now)
        if capacity is not None:
            yield Decision(Action.ADVERTISE_CAPACITY, capacity=capacity)
        idle_timeout = self.connections.current()
        if idle_timeout != self._reported_idle_timeout:
            self._reported_idle_timeout = idle_timeout
            yield Decision(Action.SET_IDLE_TIMEOUT, duration_us=idle_timeout)
        if not self.wake_at:
            self.wake_at = now + self.timing.period
            yield Decision(Action.SET_TIMER, duration_us=self.timing.period)

    # --- answers ---

    def reject(self, now: int, request: Request) -> Decision:
        """Answer that a request did not run, and when and where its caller may try again."""
        self.fail(request)
        fails_alone = (
            self.outliers.is_stalled(now)
            or self.draining.is_active
            or self.outliers.is_slow(now, request.request_class)
        )
        self.backpressure.on_rejected()
        duration, is_last = self.backpressure.retry_after(now, fails_alone)
        return Decision(Action.REJECT, request, duration_us=duration, is_last=is_last)

    def fail(self, request: Request) -> Decision:
        """Answer that a request failed, and drop it unless it runs or is at a call."""
        request.answered = True
        if request in self.pools.running:
            self.to_abort[request] = None
        elif request in self.pools.awaiting_call:
            # dropped when the host says that it ended
            self.pools.move(request, self.pools.calling, RequestState.CALLING)
        elif request not in self.pools.calling:
            self.pools.end(request)
        return Decision(Action.FAIL, request)


def earns_nothing_late(request: Request) -> bool:
    """Return whether an answer after the objective is worth nothing, and another run does no harm."""
    request_class = request.request_class
    return request_class.effect is Effect.IDEMPOTENT and not request_class.late_value_share
