"""Admission control for one node: which requests it queues, runs, rejects or fails, and what it reports.

A host makes one `AdmissionController` at each start and reports events to it (`on_request`, `on_timer`,
`start_draining` and so on), which only update the controller's state. After each batch of events the host
calls `next_decision` until it returns None. `types.py` defines the types of this interface.

The ordinary path follows docs/design.md: `concurrency.py` moves the concurrency limit by integral feedback on
the length of the queue. Each other module of this package handles one further concern; this module owns all
of them and runs the decision rounds.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from lichencleat.admission.backpressure import MAX_IDLE_UTILIZATION, Backpressure
from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.connections import IdleTimeout
from lichencleat.admission.deadlines import DeadlineGuard, objective_end
from lichencleat.admission.downstream import MAX_CALL_ATTEMPTS, DownstreamCalls
from lichencleat.admission.draining import Draining
from lichencleat.admission.memory import MemoryBudget
from lichencleat.admission.outliers import LATE_READ_DELAY_US, OutlierDetector
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.queueing import Queue
from lichencleat.admission.records import IdempotencyRecords, find_original, has_unrepeatable_run
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

MIN_BUSY_UTILIZATION = 0.9  # fraction of the cores in use; above it, further runs gain nothing


class AdmissionController:
    """Owns the state of one node's admission control and decides in rounds; times are in µs."""

    def __init__(self, spec: NodeSpec, rng: random.Random) -> None:
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
            spec, rng, self.timing, self.slow_start, self.pools, self.concurrency
        )
        self.usage = ResourceUsage()
        self.is_healthy = True
        self.to_abort: dict[Request, None] = {}  # running requests whose callers may no longer wait
        self.next_update = 0  # time of the next update of the limits
        self.wake_at = 0  # time at which the current timer fires, 0 if no timer is set
        self._round: Iterator[Decision] | None = None  # the remaining decisions of the current round
        # The health that the host knows. Once health has been reported, the host answers health checks from
        # the last report. Where health checks do work on the node, None causes a first report in any case.
        self._reported_health = None if spec.health_checks_do_work else True
        self._reported_idle_timeout = spec.idle_timeout_us

    # --- event handlers: they update the state and make no decisions ---

    def on_request(self, now: int, request: Request) -> None:
        """Handle the arrival of a request."""
        self.pools.new[request] = None
        self.service_times.add_cost(request)
        self.outliers.on_read(now, request)
        self.connections.recent_callers.append(request.caller)

    def on_run_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Handle the end of a run; an aborted request that is not answered yet is queued again."""
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
        """Use a service time of the previous process as the first sample of a class that has none yet."""
        self.service_times.seed(request_class, took)

    def on_outcome_pending(self, now: int, request: Request, took: int) -> None:
        """Handle the end of a run whose outcome the host is still recording; `on_run_completed` follows."""
        self.service_times.add(request.request_class, took)
        self.outliers.progress_at = now
        self.pools.move(request, self.pools.coalesced, RequestState.COALESCED)

    def set_recording_available(self, _now: int, is_available: bool) -> None:
        """Set whether the host can make idempotency records."""
        self.records.is_available = is_available

    def set_admitted_share(self, _now: int, share: float) -> None:
        """Set the fraction of its arrivals that the node may admit while the fleet recovers."""
        self.backpressure.admitted_share = share

    def on_record_failed(self, _now: int, request: Request) -> None:
        """Queue a request again that was not run because the host could not make its record."""
        self.records.expiry.pop(request, None)
        request.started = None
        self.pools.move(request, self.pools.queued, RequestState.QUEUED)

    def on_call_needed(self, now: int, request: Request) -> None:
        """Handle a run that has reached its downstream call and waits for it."""
        self.outliers.progress_at = now
        self.pools.move(request, self.pools.awaiting_call, RequestState.AWAITING_CALL)
        request.call_not_before = now
        request.failed_calls = 0

    def on_call_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Handle the end of a downstream call: the run continues, or the call may be retried."""
        if request not in self.pools.calling:
            return
        self.calls.on_completed(now, request, outcome, took)
        if outcome is Outcome.COMPLETED:
            self.pools.move(request, self.pools.running, RequestState.RUNNING)
        else:
            self.pools.move(request, self.pools.awaiting_call, RequestState.AWAITING_CALL)

    def set_call_quota(self, _now: int, quota: float) -> None:
        """Set the number of calls in flight that the fleet grants to this node; calls in flight continue."""
        self.calls.granted_quota = quota

    def on_caller_gone(self, _now: int, request: Request) -> None:
        """Handle a caller that no longer waits for its request."""
        request.answered = True
        waits_for_run = request.state is RequestState.COALESCED and request.started is None
        if request in self.pools.running:
            self.to_abort[request] = None
        elif request.state is RequestState.QUEUED or waits_for_run:
            self.pools.end(request)

    def start_draining(self, now: int, stops_at: int) -> None:
        """Handle the notice that the process will be stopped at `stops_at`."""
        self.draining.start(now, stops_at)
        self.is_healthy = False
        pools = self.pools
        for request in (*pools.new, *pools.queued, *pools.started(), *pools.coalesced):
            self.draining.advance_due_time(request)

    def on_timer(self, _now: int, usage: ResourceUsage) -> None:
        """Handle the expiry of the timer, which the host reports together with the node's measurements."""
        self.usage = usage
        self.wake_at = 0

    # --- decision rounds ---

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision of the current round, None at the end of the round."""
        self._round = self._round or self.decide(now)
        decision = next(self._round, None)
        if decision is None:
            self._round = None
        return decision

    def abandon_round(self) -> None:
        """Drop the remaining decisions of the current round, in which an error occurred."""
        self._round = None

    def decide(self, now: int) -> Iterator[Decision]:
        """Run one decision round; each step looks once at the requests that it may decide on."""
        if self.slow_start.started_at is None:
            self.slow_start.started_at = now
            self.outliers.reset_progress(now)
        if now >= self.next_update:
            self.update(now)
        yield from self.answer_due(now)
        yield from self.abort_unwanted(now)
        yield from self.delete_unstarted_records()
        yield from self.admit_new(now)
        yield from self.review_queue(now)
        yield from self.release_calls(now)
        yield from self.start_queued(now)
        yield from self.notify_callers(now)

    def update(self, now: int) -> None:
        """Update all limits, once per period."""
        self.next_update = now + self.timing.period - self.timing.resolution
        self.quotas.update(self.timing.period)
        running = len(self.pools.running)
        runnable = running if self.usage.runnable is None else self.usage.runnable
        self.concurrency.update(now, runnable)
        self.queue.update(now, self.concurrency.limit)
        is_idle = (
            self.is_healthy and not self.pools.queued and (self.usage.busy or 0.0) < MAX_IDLE_UTILIZATION
        )
        self.backpressure.update(is_idle, self.outliers.read_delay(now) > LATE_READ_DELAY_US)
        self.connections.update(now, runnable - running)
        self.update_health(now)
        # A hung run ignores an abort, so answered runs are aborted again.
        self.to_abort.update((each, None) for each in self.pools.running if each.answered)
        self.records.expire(now)

    def update_health(self, now: int) -> None:
        """Update whether this node is healthy; it is unhealthy if other nodes may serve its requests better.

        A node that is overloaded by connection attempts stays healthy: such attempts hit all nodes alike, and
        a node that leaves the endpoint list sends its load to the others. Cost: a node that is hit alone
        stays in the list while connections take up its cores.
        """
        is_outlier = self.outliers.is_read_delay_excessive(now) or self.outliers.is_missing_objectives(now)
        self.is_healthy = not self.draining.is_active and (self.connections.is_overloaded or not is_outlier)

    def answer_due(self, now: int) -> Iterator[Decision]:
        """Answer requests that are due before the next round, so that each is answered in time."""
        pools = self.pools
        # On a stalled node, idempotent runs fail early, so that callers may reach another node in time.
        stalled = self.outliers.is_stalled(now)
        is_reading_late = self.outliers.read_delay(now) > LATE_READ_DELAY_US * self.timing.scale
        is_contended = bool(pools.queued) or is_reading_late
        started = (*pools.running, *pools.calling, *pools.awaiting_call)
        for request in (*started, *pools.queued, *pools.coalesced):
            if request.answered:
                continue
            idempotent = request.request_class.effect is Effect.IDEMPOTENT
            is_stuck = stalled and idempotent and request in pools.running
            if self.deadlines.is_due(now, request) or is_stuck:
                yield self.fail(request)
            elif (
                is_contended and request in started and self.deadlines.is_expired_and_abortable(now, request)
            ):
                yield self.reject(now, request)

    def abort_unwanted(self, now: int) -> Iterator[Decision]:
        """Abort runs for which nobody waits, unless a repeat waits for the outcome.

        A keyed run is not aborted within its objective. Its caller mostly repeats the request, and the repeat
        shares the run; after an abort, the keyed request could neither run again nor be rejected. Cost: some
        runs finish although nobody waits.
        """
        unwanted = self.to_abort
        self.to_abort = {}
        shared = {each.original for each in self.pools.coalesced}
        for request in unwanted if self.deadlines.can_abort else ():
            keyed = request.request_class.effect is Effect.KEYED
            keeps_running = keyed and now < objective_end(request)
            if request in self.pools.running and not keeps_running and request not in shared:
                yield Decision(Action.ABORT, request)

    def delete_unstarted_records(self) -> Iterator[Decision]:
        """Delete the records of requests that ended without a run, to free their memory."""
        for request in self.records.pop_unstarted():
            yield Decision(Action.DELETE_RECORD, request)

    def admit_new(self, now: int) -> Iterator[Decision]:
        """Queue new arrivals that the limits and rules allow; reject the others at once."""
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
        """Queue a repeat (a further attempt of a request), which may then share the earlier attempt's run.

        While the memory budget is exceeded, repeats of an unfinished attempt are answered at once. This
        bounds the memory that repeats of one run take. Cost: the callers do not learn the outcome and may
        repeat again. A repeat of an ended attempt takes memory only until the end of this round, so it is
        queued in any case. A repeat that is due before the next round fails at once, as sharing a run takes
        work too.
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
        """Return whether an arrival can be answered in time here and all rules allow it."""
        rejected_for_recovery = self.backpressure.draw_recovery_rejection()
        return not (
            rejected_for_recovery
            or self.deadlines.is_due(now, request)
            or self.deadlines.would_be_late(now, request, len(self.pools.queued))
            or not self.draining.may_run(request)
            or self.outliers.is_stalled(now)
            or self.memory.is_exceeded()
        )

    def is_full(self) -> bool:
        """Return whether the concurrency limit is reached and further runs would gain nothing."""
        queued = len(self.pools.queued)
        running = len(self.pools.running)
        busy = (
            running >= self.cores
            or (self.usage.busy or 0.0) > MIN_BUSY_UTILIZATION
            or self.calls.are_congested()
        )
        return bool(queued) and busy and queued + running >= self.concurrency.limit

    def review_queue(self, now: int) -> Iterator[Decision]:
        """Let repeats share an existing run, answer requests that can't succeed, make the others' records."""
        for request in list(self.pools.queued):
            original = request.original = find_original(request)
            if request.original_unknown or (original is not None and original.started is not None):
                if original is None or original.state is not RequestState.ENDED or original.succeeded:
                    self.pools.move(request, self.pools.coalesced, RequestState.COALESCED)
                    yield Decision(Action.COALESCE, request)
                    continue
                if request.request_class.effect is not Effect.IDEMPOTENT:
                    # The original's run failed. The repeat must not cause a second run, and must not be
                    # rejected, because a rejection states that the request never ran.
                    yield self.fail(request)
                    continue
            if original is not None:
                if original.state is not RequestState.ENDED:
                    continue  # the original is queued here: it will run, and this repeat shares the run
                self.records.replace(original, request)
            yield from self.review_first_attempt(now, request)

    def review_first_attempt(self, now: int, request: Request) -> Iterator[Decision]:
        """Answer a queued request that can't succeed; otherwise make the record that the request needs."""
        lacks_record = self.needs_record(request) and request not in self.records.expiry
        keyed = request.request_class.effect is Effect.KEYED
        if has_unrepeatable_run(request):
            yield self.fail(request)
        elif (
            (lacks_record and keyed and not self.records.is_available)
            or not self.draining.may_run(request)
            or self.deadlines.would_be_late(now, request)
            or self.outliers.is_stalled(now)
        ):
            yield self.reject(now, request)
        elif lacks_record:  # a keyed request never starts without a record, however it came into the queue
            yield Decision(Action.ADD_RECORD, request, duration_us=self.records.add(now, request))

    def needs_record(self, request: Request) -> bool:
        """Return whether a request must have an idempotency record before its run."""
        records_idempotent = (
            self.records.freshness > 0 and request.has_key and self.memory.can_record_idempotent()
        )
        return records_idempotent or request.request_class.effect is Effect.KEYED

    def release_calls(self, now: int) -> Iterator[Decision]:
        """Send downstream calls up to the call limit, highest added value first; give up useless calls."""

        def added_value(each: Request) -> float:
            return self.queue.value(each) * (1 - each.request_class.value_share_without_call)

        ordered = sorted(self.pools.awaiting_call, key=added_value, reverse=True)
        for position, request in enumerate(ordered):
            if request.answered:
                self.pools.move(request, self.pools.calling, RequestState.CALLING)  # the host ends the call
            elif self.is_call_given_up(now, request, position):
                yield self.finish_without_call(now, request)
            elif self.calls.can_call(now, request):
                self.pools.move(request, self.pools.calling, RequestState.CALLING)
                request.called_at = now
                duration = self.calls.duration(now, request, self.call_deadline(now, request))
                yield Decision(Action.CALL, request, duration_us=duration)

    def is_call_given_up(self, now: int, request: Request, position: int) -> bool:
        """Return whether to give up a call.

        A call is given up if it has failed too often, comes too late to earn value, or may be skipped and
        would wait too long.
        """
        if request.failed_calls >= MAX_CALL_ATTEMPTS:
            return True
        if has_no_late_value(request) and now >= objective_end(request):
            return True
        return request.request_class.value_share_without_call > 0 and self.calls.would_wait_long(position)

    def finish_without_call(self, now: int, request: Request) -> Decision:
        """Continue a run without its call if the run still earns value, otherwise fail the request."""
        if request.request_class.value_share_without_call > 0 and now < objective_end(request):
            self.pools.move(request, self.pools.running, RequestState.RUNNING)
            return Decision(Action.SKIP_CALL, request)
        return self.fail(request)

    def call_deadline(self, now: int, request: Request) -> int:
        """Return the time after which the answer to a call is useless."""
        if has_no_late_value(request):
            return min(request.due, max(objective_end(request), now + self.timing.period))
        return request.due

    def start_queued(self, now: int) -> Iterator[Decision]:
        """Start queued requests, up to the running limit and the concurrency that the node survives."""
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
        """Return whether a queued request may start, apart from the limits on the number of runs."""
        if request.original is not None or not self.records.may_start(request):
            return False
        request_class = request.request_class
        if (
            request_class.calls_downstream
            and not request_class.value_share_without_call
            and self.calls.are_congested()
        ):
            return False
        return self.memory.can_start(request)

    def notify_callers(self, now: int) -> Iterator[Decision]:
        """Report changes of health, capacity and idle timeout, and set the timer."""
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
        """Reject a request, and state when and where its caller may retry."""
        self.fail(request)
        is_local_problem = (
            self.outliers.is_stalled(now)
            or self.draining.is_active
            or self.outliers.is_slow(now, request.request_class)
        )
        self.backpressure.on_rejected()
        duration, no_retry_elsewhere = self.backpressure.retry_after(now, is_local_problem)
        return Decision(Action.REJECT, request, duration_us=duration, no_retry_elsewhere=no_retry_elsewhere)

    def fail(self, request: Request) -> Decision:
        """Answer that a request failed; drop the request unless it runs or waits for a call."""
        request.answered = True
        if request in self.pools.running:
            self.to_abort[request] = None
        elif request in self.pools.awaiting_call:
            # The request is dropped when the host reports the end of the call.
            self.pools.move(request, self.pools.calling, RequestState.CALLING)
        elif request not in self.pools.calling:
            self.pools.end(request)
        return Decision(Action.FAIL, request)


def has_no_late_value(request: Request) -> bool:
    """Return whether an answer after the objective earns nothing, and a second run does no harm."""
    request_class = request.request_class
    return request_class.effect is Effect.IDEMPOTENT and not request_class.late_value_share
