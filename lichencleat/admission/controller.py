"""The decisions of one node: what it holds, runs, defers, gives up, calls below and tells its callers.

A host makes one `AdmissionController` at each start, calls it when something happens (`on_request`, `on_timer`,
`start_draining` and so on), which only updates what is known, and after each lot pulls `next_decision` until it
gives None. The types of that interface stand in `admission/types.py`.

The design (docs/design.md) decides the ordinary path: a cap on held and running requests, moved each
period by integral feedback on the length of the hold, and a running limit. Beside it stand:
  1. the due guard: every answer goes out a period before it is due, running work included;
  2. the receipt table: a receipted request runs once, and its repeats share that run;
  3. room: memory, and the crowd that may come back to the cores at once, less while cold;
  4. calls: a moving bound, paced where it is under one, let out by payoff; repeated only if harmless;
  5. late work: what cannot end within its soft limit is not begun; a slow, stalled or sick node passes it on;
  6. what callers are told: to stay away or try elsewhere, the free value, and how long connections may idle.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from math import exp
from statistics import median

from lichencleat.admission.types import (
    Action,
    CapacitySignal,
    Decision,
    Downstream,
    Effect,
    NodeSpec,
    Outcome,
    Preemption,
    Request,
    RequestClass,
    RequestState,
    ResourceUsage,
)

PERIOD = 100_000  # µs: a tenth of the shortest wait that matters, and ten wake-ups a second cost little
SOFT_USUAL = 1_300_000  # µs: the shortest soft limit that these spans suit; shorter ones shorten them alike
PACE_LEAST = 0.2  # of those spans: quicker rounds would cost more than they gain
GAIN = 0.2  # cap per held request and period: low, as the paper prefers; its range takes about a second
HOLD_WAIT = 0.2  # of the shortest soft limit, for the wait in the hold: the run and its calls need the rest
CLIMB = 1 / 3  # of the cores, added to the running limit per period: doubles it in a third of a second
STEP_BACK = 1 / 6  # of the cores, off the running limit per period: gentler, the crowd comes and goes
CROWDED = 1.34  # wanting a core, per core: beyond a third more than cores, more runs only slow each other
LIMIT_LEAST = 1 / 3  # of the cores: reading and connections may take the rest
BUSY = 0.9  # of the cores, as the host gauges it: nothing to gain from more runs
CROWD_PART = 0.6  # of the crowd a node survives: what waits on calls may come back to the cores at once
MEMORY_PART = 0.85  # of the memory: leaves room for what is being read while decisions are made
ENTRY_PART = 0.5  # of the memory part: entries of pure requests only save work, so runs come first
CALLS_PART = 0.7  # of this node's part of what the dependency survives: cold nodes call more, calls linger
CALLS_LEAST = 0.25  # of the calls part, where that is under one: keeps a slowed dependency at work
CALLS_AHEAD = 300_000  # µs by which they may be ahead of that part: usual calls are not held up by it
CALLS_CUT = 0.8  # of the bound, once for each round of calls that comes back slow or failed
CALLS_SLOW = 5  # last few calls, in the quick quarter of those kept: beyond chance, it is crowded below
CALLS_KEPT = 64  # last call times: some ten seconds' worth, so that the quick quarter outlasts a slow spell
CALLS_FEW = 8  # of them tell how calls go now: fewer would mistake one long call for a crowd
CLOGGED = 0.25  # of the longest soft limit, for the wait at a call: half of the shortest, mostly
CALL_TRIES = 3  # of one call: further ones have cost more than the answer is worth
CALL_PATIENCE = 6  # times the median of recent calls: few usual ones are that long, and the longest earn most
CALL_PATIENCE_LEAST = 300_000  # µs: three wake-ups, under which a repeat gains nothing
FAR = 3_600_000_000  # µs: longer than any limit
CALL_PAUSE = 50_000  # µs before a call that never ran is tried again: lets the layer below take in answers
RUNS_KEPT = 16  # last run times of each request_class: a few seconds' worth on a busy node
RUNS_FEW = 4  # of one request_class: with fewer, all request_classes' runs tell more
STALL_LEAST = 700_000  # µs without any progress on full cores: far over the gap between two ends of runs
SICK_RUNS = 0.5  # of the running limit: with fewer runs, chance alone may keep them all late
STALL_RUNS = 3  # median run times without progress
FULL_LONG = 1_000_000  # µs of a full hold before the newest go first: several turns of the hold
TOLD_UP = 0.08  # free value, per period with deferrals: callers hear it about once a second
TOLD_DOWN = 0.02  # per period without: gentler, so that the load does not come back in one wave
TOLD_MOST = 0.85  # leaves the best-paid callers a way in
TOLD_IDLE = 0.75  # of the cores: with that little to do, callers keep back what could be honoured
TOLD_STEP = 0.02  # a smaller change is not worth saying
WINDOW_WIDE = 3  # times what a node can have in hand: callers differ much in what they send
WINDOW_LEAST = 0.2  # outstanding for each caller: below it a node would hear from nobody
READ_LATE = 150_000  # µs from arrival to reading: several readings' worth, the cores are short for reading
DROWNED = 0.5  # of the longest soft limit, from arrival to reading: half is gone before anything begins
READS_KEPT = 16  # last such times: about a second's arrivals
READS_SPAN = 3_000_000  # µs that they count: a node that clears its unread lot must not go on looking drowned
ADVICE = 300_000  # µs to stay away when full: a few run times, the hold will have turned over
CALLERS_KEPT = 64  # last arrivals: some ten seconds' worth on two cores
CALLERS_BACK = 0.5  # of them from a caller seen among them: with fewer, callers are strangers
IDLE_SOON = 100_000  # µs after which strangers' idle connections are closed: nothing more will come on them
IDLE_PERIOD = 1_000_000  # µs between changes of that span: some ten arrivals' worth
IDLE_GAIN = 3  # of its logarithm, by what wants a core beside runs: e-fold within a third of a core too much
IDLE_STEPS = (2 / 3, 8)  # times, at the most in one change: open again gently, shut in two or three
BESIDE = 1.5  # wanting a core beside runs, per core: reading is one at the most, the rest opens connections
SHED_FEW = 0.5  # of the last arrivals: with fewer deferred, others may have room, so callers may try them
SHARE_SPAN = 3  # s over which a tenant's starts are held against its share: a few of the smallest tenant's
LEAVE_MARGIN = 300_000  # µs before the stop by which all is answered: three wake-ups


class AdmissionController:
    def __init__(self, machine: NodeSpec, chance: random.Random) -> None:
        self.chance = chance
        self.cores, self.crowd = machine.cores, machine.crowd
        self.memory_kb = machine.memory_kb * MEMORY_PART or float("inf")
        self.running_memory_factor, self.record_kb = machine.running_memory_factor, machine.record_kb
        self.cold_from = machine.cold_speed_share if machine.cold else 1.0
        self.warmup_us = machine.warmup_us if machine.cold else 0
        self.can_stop, self.value_by_work = machine.halt is not Preemption.NONE, machine.value_by_work
        self.told, self.callers, self.max_retry_after_us = (
            machine.told,
            max(1, machine.callers),
            machine.max_retry_after_us,
        )
        self.few_callers = 0 < machine.callers <= CALLERS_BACK * CALLERS_KEPT
        shared = machine.below is Downstream.SHARED and machine.call_quota > 0
        self.calls_ceiling = machine.call_quota * CALLS_PART if shared else float("inf")
        self.calls_most = min(self.calls_ceiling, float(machine.cores))
        self.calls_least = min(1.0, self.calls_ceiling * CALLS_LEAST)
        self.calls_granted = float("inf")
        self.calls_cut_at = self.call_next_at = 0
        self.calls_longest = (
            self.calls_ceiling * machine.call_quota_window_us if self.calls_ceiling < 1 else FAR
        )
        self.fresh, self.hedges = machine.fresh, machine.below is Downstream.TIER
        self.shortest_soft_limit = min(
            (each.latency_objective for each in machine.request_classes), default=SOFT_USUAL
        )
        self.longest_soft_limit = max(
            (each.latency_objective for each in machine.request_classes), default=STALL_LEAST
        )
        self.grace, self.resolution, self.callers_send_deadline = (
            machine.grace,
            machine.resolution,
            machine.callers_send_deadline,
        )
        # Guards against judging quick work by slow work's spans. Harm: more wake-ups, down to 20 ms apart.
        self.pace = min(1.0, max(PACE_LEAST, self.shortest_soft_limit / SOFT_USUAL))
        self.period = int(PERIOD * self.pace)
        self.guard = self.period + 2 * machine.resolution  # an answer due sooner than this goes out now
        self.started_at: int | None = None
        self.round: Iterator[Decision] | None = None  # what is left to pull
        # the design's loop
        self.reference = self.limit = float(machine.cores)
        self.cap = 2.0 * machine.cores
        self.next_sample = self.wake_at = 0
        # what is in hand, each in the order in which it came there
        self.new: dict[Request, None] = {}
        self.held: dict[Request, None] = {}
        self.running: dict[Request, None] = {}
        self.asking: dict[Request, None] = {}
        self.calling: dict[Request, None] = {}
        self.sharing: dict[Request, None] = {}
        self.to_stop: dict[Request, None] = {}
        self.receipts: dict[Request, int] = {}  # until when each entry lives
        self.able_to_record = True
        self.open_share = 1.0  # of the arrivals: less while the fleet returns
        self.unrun = False  # some request ended without a run since the receipts were looked through
        # what is known
        self.gauges = ResourceUsage()
        self.run_times: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=RUNS_KEPT) for each in machine.request_classes
        }
        self.costs: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=RUNS_KEPT) for each in machine.request_classes
        }
        self.usual_runs: dict[RequestClass | None, float] = {}  # worked out since the last run ended
        self.call_times: deque[tuple[int, bool]] = deque(maxlen=CALLS_KEPT)  # and whether it came back
        self.patience: int | None = None  # worked out since the last call ended
        self.read_times: deque[tuple[int, int]] = deque(maxlen=READS_KEPT)  # when, and how long after arrival
        self.progress_at = self.on_time_at = 0
        self.full_since: int | None = None
        self.deferred_lately = 0
        self.judged: deque[bool] = deque([False] * READS_KEPT, READS_KEPT)  # was it deferred
        self.leaves_at: int | None = None
        self.no_run_after: int | None = None
        self.healthy = True
        self.said_healthy = (
            None if machine.health_checks_do_work else True
        )  # told once, checks are answered from store
        # Guards a cold node against all who hear it: each keeps back the share that it can't do yet, however
        # many they are. Harm: for its first second an idle one is told to be able to do less than it is.
        self.ease = min(TOLD_MOST, 1 - self.cold_from)  # share of their load that callers are to keep back
        self.said = -1.0  # the free value that they heard
        self.shares, self.over_quota_value_share = machine.shares, machine.over_quota_value_share
        self.begun_lately: dict[str, float] = {}  # starts of each tenant, less its share of the time since
        self.callers_seen: deque[int] = deque(maxlen=CALLERS_KEPT)
        self.connections_idle = self.said_idle = machine.connections_idle
        self.strangers_idle = float(IDLE_SOON)
        self.idle_next = self.beside = self.beside_samples = 0
        self.crowded_beside = False  # runs, over the last such period

    # --- inputs: they only update what is known ---

    def on_request(self, now: int, request: Request) -> None:
        self.new[request] = None
        if request.cost:
            self.costs.setdefault(request.request_class, deque(maxlen=RUNS_KEPT)).append(request.cost)
        self.read_times.append((now, now - request.arrived))
        self.callers_seen.append(request.caller)

    def on_run_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        if outcome is Outcome.COMPLETED and request in self.running:
            self.run_times.setdefault(request.request_class, deque(maxlen=RUNS_KEPT)).append(took)
            self.usual_runs.clear()
        if outcome in (Outcome.COMPLETED, Outcome.FAILED):
            request.answered = True
        request.succeeded = outcome is Outcome.COMPLETED
        if request.succeeded and now <= self.objective_end(request):
            self.on_time_at = now
        self.progress_at = now
        self.end(request)
        if not request.answered and outcome is Outcome.ABORTED:
            self.move(request, self.held, RequestState.QUEUED)

    def seed_run_time(self, now: int, request_class: RequestClass, took: int) -> None:
        """The usual time in the node's life before: a first guess, if none has run in this one."""
        if not self.run_times.setdefault(request_class, deque(maxlen=RUNS_KEPT)):
            self.run_times[request_class].append(took)
            self.usual_runs.clear()

    def on_outcome_pending(self, now: int, request: Request, took: int) -> None:
        """It has run, and its outcome is being recorded: it holds no core, and `on_run_completed` follows."""
        self.run_times.setdefault(request.request_class, deque(maxlen=RUNS_KEPT)).append(took)
        self.usual_runs.clear()
        self.progress_at = now
        self.move(request, self.sharing, RequestState.COALESCED)

    def set_recording_available(self, now: int, able: bool) -> None:
        self.able_to_record = able

    def set_admitted_share(self, now: int, share: float) -> None:
        self.open_share = share

    def on_record_failed(self, now: int, request: Request) -> None:
        """Its entry could not be made, so it was not begun."""
        self.receipts.pop(request, None)
        request.started = None
        self.move(request, self.held, RequestState.QUEUED)

    def on_call_needed(self, now: int, request: Request) -> None:
        self.progress_at = now
        self.move(request, self.asking, RequestState.AWAITING_CALL)
        request.call_not_before, request.failed_calls = now, 0

    def on_call_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        if request not in self.calling:
            return
        well, pure = outcome is Outcome.COMPLETED, request.request_class.effect is Effect.IDEMPOTENT
        if not (self.hedges and outcome is Outcome.TIMED_OUT):  # that tells our patience, not how calls go
            self.call_times.append((took, well))
            self.patience = None
        # Guards the dependency against nodes with one call there each, but all at once: under a bound of one,
        # each pays back its time before the next. Harm: a receipted call abandoned for it is not repeated.
        if self.calls_most < 1:
            self.call_next_at = max(self.call_next_at, now) + int(took / self.calls_most)
        if self.calls_slow():
            if now - took >= self.calls_cut_at:
                self.calls_most = max(self.calls_least, self.calls_most * CALLS_CUT)
                self.calls_cut_at = now
        elif well and self.calls_out(now) >= self.calls_most - 1:
            step = min(1 / self.calls_most, self.calls_most)
            self.calls_most = min(self.calls_ceiling, self.calls_most + step)
        if well:
            self.move(request, self.running, RequestState.RUNNING)
            return
        self.move(request, self.asking, RequestState.AWAITING_CALL)
        never_ran = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        request.failed_calls += 1 if never_ran or pure else CALL_TRIES
        request.call_not_before = now + int(CALL_PAUSE * self.pace) * request.failed_calls

    def set_call_quota(self, now: int, most: int) -> None:
        """So many calls may be out from now on, as agreed with other nodes; those that are out may stay."""
        self.calls_granted = most

    def on_caller_gone(self, now: int, request: Request) -> None:
        request.answered = True
        if request in self.running:
            self.to_stop[request] = None
        elif request.state is RequestState.QUEUED or (
            request.state is RequestState.COALESCED and request.started is None
        ):
            self.end(request)

    def start_draining(self, now: int, at: int) -> None:
        self.leaves_at = at - LEAVE_MARGIN
        self.no_run_after = now + self.grace
        self.healthy = False
        for request in (*self.new, *self.held, *self.running, *self.asking, *self.calling, *self.sharing):
            request.due = min(request.due, self.leaves_at + self.guard)

    def on_timer(self, now: int, gauges: ResourceUsage) -> None:
        self.gauges = gauges
        self.wake_at = 0

    # --- figures worked out when needed ---

    def crowd_bound(self, now: int) -> float:
        """A part of the crowd that the node survives at the least speed it may have since a cold start."""
        return self.survives(now) * CROWD_PART

    def survives(self, now: int) -> float:
        return self.cores * (1 + (self.crowd - 1) * self.speed(now))

    def speed(self, now: int) -> float:
        """The least that it may have since a cold start, 1 where it is warm."""
        age = 0 if self.started_at is None else now - self.started_at
        return min(1.0, self.cold_from + (1 - self.cold_from) * age / max(1, self.warmup_us))

    def used_kb(self) -> float:
        ran = sum(each.size_kb for each in (*self.running, *self.asking, *self.calling))
        waiting = sum(each.size_kb for each in (*self.new, *self.held, *self.sharing))
        return ran * self.running_memory_factor + waiting + len(self.receipts) * self.record_kb

    def usual_run(self, request_class: RequestClass | None = None) -> float:
        """The usual time of a run, of this request_class if enough of it is known."""
        own = self.run_times.get(request_class, ()) if request_class else ()
        request_class = request_class if len(own) >= RUNS_FEW else None
        if request_class not in self.usual_runs:
            times = own if request_class else [took for times in self.run_times.values() for took in times]
            self.usual_runs[request_class] = median(times or [0.0])
        return self.usual_runs[request_class]

    def run_time(self, now: int, request_class: RequestClass | None = None) -> float:
        """The usual time of a run; what is under way tells sooner than what has ended."""
        begun = (*self.running, *self.asking, *self.calling)
        under_way = [now - each.started for each in begun if each.started]
        return max(self.usual_run(request_class), median(under_way) if len(under_way) >= self.cores else 0.0)

    def read_time(self, now: int) -> float:
        """How long arrivals wait to be read, by those of the last while."""
        return median([took for at, took in self.read_times if now - at <= READS_SPAN] or [0.0])

    def calls_slow(self) -> bool:
        """Guards against quick refusals below: counted as quick calls, they made all others look slow."""
        last = list(self.call_times)[-CALLS_FEW:]
        good = [took for took, well in last if well]
        if len(last) < CALLS_FEW or len(good) <= CALLS_FEW / 2:
            return len(last) == CALLS_FEW
        back = sorted(took for took, well in self.call_times if well)
        return median(good) > CALLS_SLOW * back[len(back) // 4]

    def calls_out(self, now: int) -> int:
        """Calls that count for the bound: not those far over their time, at lost nodes of a tier."""
        since = now - self.call_patience() if self.hedges else 0
        return sum(each.called_at >= since for each in self.calling)

    def call_patience(self) -> int:
        """After this a pure call to one of many nodes does better with another: some are slow or silent.

        Harm where all are slow: work is done twice, so it follows recent calls, and the last try waits on.
        """
        if self.patience is None:
            back = sorted(took for took, well in self.call_times if well)
            usual = back[len(back) // 2] if len(back) >= CALLS_FEW else FAR
            self.patience = min(FAR, max(int(CALL_PATIENCE_LEAST * self.pace), CALL_PATIENCE * usual))
        return self.patience

    def stalled(self, now: int) -> bool:
        """No run ended or reached a call for long, though the cores have work: a hang, or all but one.

        Guards against any standstill, whatever its cause. It does harm where the few requests that run are
        all many times the usual size: arrivals then go elsewhere until one of them ends.
        """
        long = max(STALL_LEAST * self.pace, STALL_RUNS * self.run_time(now))
        return len(self.running) >= min(self.cores, int(self.limit)) and now - self.progress_at > long

    def sick(self, now: int) -> bool:
        """Cores at work, and nothing in its soft limit for the longest of them: a hang, or far too slow.

        Guards against any trouble of this node alone, for the others may still honour what it cannot. An
        overloaded node still ends some in time. It does harm where all nodes are struck at once.
        """
        return self.stalled(now) or (
            len(self.running) >= min(self.cores, self.limit) * SICK_RUNS
            and now - self.on_time_at > self.longest_soft_limit
        )

    def too_late(self, now: int, request: Request, ahead: int = 0) -> bool:
        """With so many before it, it would not end within its soft limit; an idle core tries all the same.

        Guards against work that earns nothing. The idle core is how a node learns that it is no longer slow.
        """
        spare = 0 if ahead else self.cores - len(self.running)
        if spare > 0 and (not self.running or not self.slow(now, request.request_class)):
            return False
        wait = self.run_time(now) * ahead / max(self.limit, self.cores)
        own = self.run_time(now, request.request_class) * self.relative_size(request)
        return now + wait + own > min(request.due, self.objective_end(request))

    def slow(self, now: int, request_class: RequestClass) -> bool:
        """Here it would be late even alone, and that is not for its calls: other nodes may do better."""
        return self.run_time(now, request_class) > request_class.latency_objective and not self.calls_slow()

    def relative_size(self, request: Request) -> float:
        """How its work, as told, compares with that of its request_class."""
        costs = self.costs.get(request.request_class, ())
        known = request.cost and len(costs) >= RUNS_FEW
        return request.cost / max(1.0, median(costs)) if known else 1.0

    def objective_end(self, request: Request) -> int:
        request_class = request.request_class
        latency_objective = request_class.latency_objective + int(request_class.stretch * request.cost)
        return request.arrived + min(request_class.deadline, latency_objective)

    def is_worthless(self, now: int, request: Request) -> bool:
        """A pure request whose soft limit is past and that earns nothing after it."""
        earns = now < self.objective_end(request) or request.request_class.late_value_share
        return not earns and request.request_class.effect is Effect.IDEMPOTENT and self.can_stop

    def payoff(self, request: Request) -> float:
        """For the core time that it takes."""
        own = 0 if self.value_by_work else self.usual_run(request.request_class)
        part = self.over_quota_value_share if self.over_share(request) else 1.0
        return request.request_class.payoff * part * (self.usual_run() / own if own else 1)

    def over_share(self, request: Request) -> bool:
        """What was begun here for its tenant lately is all that its share allows.

        The share is counted over the fleet; this node takes an equal part of it as its own. That fails where
        a tenant's callers come to few nodes only, which then hold it to less than it has. It decides nothing
        but which of two requests goes first, so work beyond a share still runs where there is room.
        """
        return self.begun_lately.get(request.tenant, 0.0) >= self.share_begun(request)

    def share_begun(self, request: Request) -> float:
        return max(1.0, self.shares.get(request.tenant, float("inf")) * SHARE_SPAN)

    def sends_on(self) -> bool:
        """A caller whose time left is told may try elsewhere, the less often the more is deferred here.

        Guards against losses by chance while others idle. Harm: each try is read again."""
        return self.callers_send_deadline and self.chance.random() * SHED_FEW >= sum(self.judged) / READS_KEPT

    def has_run(self, request: Request) -> bool:
        return request.started is not None and request.request_class.effect is not Effect.IDEMPOTENT

    def may_run(self, request: Request) -> bool:
        return self.no_run_after is None or request.arrived <= self.no_run_after

    # --- decisions, pulled one by one ---

    def next_decision(self, now: int) -> Decision | None:
        self.round = self.round or self.decide(now)
        decision = next(self.round, None)
        if decision is None:
            self.round = None
        return decision

    def decide(self, now: int) -> Iterator[Decision]:
        """One round: each step looks once at what it may have to decide on."""
        if self.started_at is None:
            self.started_at = self.progress_at = self.on_time_at = now
        if now >= self.next_sample:
            self.sample(now)
        yield from self.answer_due(now)
        yield from self.stop_unwanted(now)
        yield from self.strike_unrun()
        yield from self.judge_new(now)
        yield from self.review_held(now)
        yield from self.let_out_calls(now)
        yield from self.start_held(now)
        yield from self.tell(now)

    def sample(self, now: int) -> None:
        """The design's step, u += Ki (ref - QL), and the running limit's climb."""
        self.next_sample = now + self.period - self.resolution
        left = {each: n - self.shares[each] * self.period / 1e6 for each, n in self.begun_lately.items()}
        self.begun_lately = {each: n for each, n in left.items() if n > 0}
        waits = len(self.held)
        wanting = len(self.running) if self.gauges.runnable is None else self.gauges.runnable
        if wanting > self.cores * CROWDED:
            self.limit = max(self.cores * LIMIT_LEAST, self.limit - self.cores * STEP_BACK)
        elif waits and len(self.running) >= round(self.limit) and wanting <= self.cores:
            self.limit = min(self.crowd_bound(now), self.limit + self.cores * CLIMB)
        self.limit = max(1.0, min(self.limit, self.crowd_bound(now)))
        fits = self.limit * self.shortest_soft_limit * HOLD_WAIT / max(1.0, self.run_time(now))
        self.reference = max(1.0, min(float(self.cores), fits))
        self.cap += GAIN * (self.reference - waits)
        self.cap = max(self.limit, min(self.cap, len(self.held) + len(self.running) + self.limit))
        if not waits or len(self.held) + len(self.running) < self.cap - 1:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now
        pressed = self.deferred_lately or self.read_time(now) > READ_LATE
        idle = self.healthy and not waits and (self.gauges.busy or 0.0) < TOLD_IDLE
        self.ease += (-TOLD_UP if idle else TOLD_UP if pressed else -TOLD_DOWN) * self.pace
        self.ease = min(TOLD_MOST, max(0.0, self.ease))
        self.deferred_lately = 0
        self.judge_connections(now, wanting)
        drowned = self.read_time(now) > self.longest_soft_limit * DROWNED  # its answers come too late
        # Guards the fleet: a crowd of attempts strikes all nodes alike, and those that leave the list send it
        # to the rest. Harm: a node struck alone stays in the list while connections take its cores.
        alone = not self.crowded_beside and (drowned or self.sick(now))
        self.healthy = self.leaves_at is None and not alone
        self.to_stop.update((each, None) for each in self.running if each.answered)  # a hang ignores it
        self.receipts = {each: until for each, until in self.receipts.items() if until > now}

    def judge_connections(self, now: int, wanting: float) -> None:
        """Integral feedback on the logarithm of the span for which strangers' idle connections are kept.

        Where opening connections and reading take the cores, a table left full turns callers away for
        nothing; where they take little, it is emptied, as it takes capacity and keeps callers out. Guards
        against any crowd of attempts: walks through the list, clients' retries, a caller's burst. Harm: a
        caller that makes one attempt finds no room while the table is full.
        """
        self.beside += max(0, wanting - len(self.running))
        self.beside_samples += 1
        if now < self.idle_next:
            return
        over = self.beside / self.beside_samples / self.cores - BESIDE
        self.crowded_beside = over > 0
        least, most = IDLE_STEPS
        span = self.strangers_idle * min(most, max(least, exp(min(most, IDLE_GAIN * over))))
        self.strangers_idle = max(IDLE_SOON, min(span, self.connections_idle))
        self.idle_next, self.beside, self.beside_samples = now + IDLE_PERIOD, 0, 0

    def answer_due(self, now: int) -> Iterator[Decision]:
        """Guards the first rule: whatever is due before the next wake-up is answered now."""
        stalled = self.stalled(now)  # then a caller of a pure run may still find another node in time
        crowded = bool(self.held) or self.read_time(now) > READ_LATE * self.pace
        ran = (*self.running, *self.calling, *self.asking)
        for request in (*ran, *self.held, *self.sharing):
            if request.answered:
                continue
            pure = request.request_class.effect is Effect.IDEMPOTENT
            if request.due <= now + self.guard or (stalled and pure and request in self.running):
                yield self.give_up(request)
            elif crowded and request in ran and self.is_worthless(now, request):
                yield self.defer(now, request)

    def stop_unwanted(self, now: int) -> Iterator[Decision]:
        """Work for which nobody waits frees its core, unless a repeat waits for its outcome.

        Nor is a receipted run stopped within its soft limit: its caller mostly asks again, to share it, while
        a stopped one can neither run again nor be deferred. Harm: one run for nobody.
        """
        unwanted, self.to_stop = self.to_stop, {}
        shared = {each.repeats for each in self.sharing}
        for request in unwanted if self.can_stop else ():
            kept = request.request_class.effect is Effect.KEYED and now < self.objective_end(request)
            if request in self.running and not kept and request not in shared:
                yield Decision(Action.ABORT, request)

    def judge_new(self, now: int) -> Iterator[Decision]:
        """An arrival is held if the cap and the rules allow, else deferred at once."""
        for request in list(self.new):
            if self.leaves_at is not None:
                request.due = min(request.due, self.leaves_at + self.guard)
            if request.repeats or request.original_unknown:
                # Guards the memory against a storm of repeats that wait for one run. Harm: they are not told
                # how it ends, and may ask again. One whose first try is over is answered in this round, and
                # at once where it is due before the next look: sharing takes work, too.
                first = request.repeats
                if request.due <= now + self.guard:
                    yield self.give_up(request)
                elif (first and first.state is RequestState.ENDED) or self.used_kb() <= self.memory_kb:
                    self.move(request, self.held, RequestState.QUEUED)
                elif first and first.started is None:
                    yield self.defer(now, request)
                else:
                    yield self.give_up(request)
                continue
            shut = self.open_share < 1 and self.chance.random() >= self.open_share
            no_use = request.due <= now + self.guard or self.too_late(now, request, len(self.held))
            if (
                shut
                or no_use
                or not self.may_run(request)
                or self.stalled(now)
                or self.used_kb() > self.memory_kb
            ):
                yield self.defer(now, request)
                continue
            if self.full():
                worst = min(self.held, key=lambda each: (self.payoff(each), -each.arrived))
                free = not (self.has_run(worst) or worst.repeats)
                if not free or self.payoff(worst) >= self.payoff(request):
                    worst = request
                yield self.defer(now, worst)
                if worst is request:
                    continue
            self.move(request, self.held, RequestState.QUEUED)
            self.judged.append(False)

    def full(self) -> bool:
        busy = len(self.running) >= self.cores or (self.gauges.busy or 0.0) > BUSY or self.clogged()
        return bool(self.held) and busy and len(self.held) + len(self.running) >= self.cap

    def clogged(self) -> bool:
        """What is begun now would wait long at its call."""
        ahead = len(self.asking) + len(self.running)
        return bool(self.asking) and (len(self.asking) >= self.calls_bound() or self.waits_long(ahead))

    def waits_long(self, ahead: int) -> bool:
        """With so many before it, and calls as slow as the last few."""
        return ahead * self.usual_call() / self.calls_bound() > self.longest_soft_limit * CLOGGED

    def calls_bound(self) -> float:
        return min(self.calls_most, max(self.calls_granted, CALLS_LEAST))

    def usual_call(self) -> float:
        return median([took for took, _ in self.call_times][-CALLS_FEW:] or [0.0])

    def record(self, now: int, request: Request) -> Decision:
        """The entry is there before the run, and covers the window counted from the arrival."""
        lasts = request.request_class.window if request.request_class.effect is Effect.KEYED else self.fresh
        until = request.arrived + lasts + self.guard
        self.receipts[request] = until
        return Decision(Action.ADD_RECORD, request, span=max(until - now, self.guard))

    def review_held(self, now: int) -> Iterator[Decision]:
        """Repeats share a run that there is; what is no use any more goes; the rest has its entry."""
        for request in list(self.held):
            first = request.repeats = self.first_try(request)
            if request.original_unknown or (first is not None and first.started is not None):
                if first is None or first.state is not RequestState.ENDED or first.succeeded:
                    self.move(request, self.sharing, RequestState.COALESCED)
                    yield Decision(Action.COALESCE, request)
                    continue
                if request.request_class.effect is not Effect.IDEMPOTENT:
                    yield self.give_up(request)  # it ran and came to nothing: neither rerun nor deferred
                    continue
            if first is not None:
                if first.state is not RequestState.ENDED:
                    continue  # its first try is held here: that one runs, and this one shares
                # Guards against two repeats of one deferred try that are read together: the first of them
                # takes its place, and the second repeats that one.
                first.successor, request.repeats = request, None
                self.receipts.pop(first, None)
            bare = self.takes_entry(request) and request not in self.receipts
            no_entry = bare and not self.able_to_record and request.request_class.effect is Effect.KEYED
            if self.has_run(request):
                yield self.give_up(request)
            elif no_entry or not self.may_run(request) or self.too_late(now, request) or self.stalled(now):
                yield self.defer(now, request)
            elif bare:
                yield self.record(now, request)  # however it came into the hold: without, it never starts

    def first_try(self, request: Request) -> Request | None:
        """The try that it repeats, or the one that took its place.

        Guards the windows of several tries of one key that were read out of their order: a repeat runs only
        where each of those that it repeats has ended without a run.
        """
        first = request.repeats
        while first is not None:
            if first.successor is not None:
                first = first.successor
            elif first.state is RequestState.ENDED and first.started is None and request.other_originals:
                first = request.other_originals.pop()
            else:
                break
        return first

    def takes_entry(self, request: Request) -> bool:
        shared = self.fresh > 0 and request.has_key and self.used_kb() < self.memory_kb * ENTRY_PART
        return shared or request.request_class.effect is Effect.KEYED

    def strike_unrun(self) -> Iterator[Decision]:
        """The entry of a try that ended without a run guards nothing and takes memory."""
        ended, self.unrun = list(self.receipts) if self.unrun else (), False
        for request in ended:
            if request.state is RequestState.ENDED and request.started is None:
                del self.receipts[request]
                yield Decision(Action.DELETE_RECORD, request)

    def let_out_calls(self, now: int) -> Iterator[Decision]:
        """Calls go out by what they add to the payoff, under the bound; some are omitted where they clog."""

        def adds(each: Request) -> float:
            return self.payoff(each) * (1 - each.request_class.value_share_without_call)

        for place, request in enumerate(sorted(self.asking, key=adds, reverse=True)):
            if request.answered:
                self.move(request, self.calling, RequestState.CALLING)  # the host ends it
                continue
            pure, soft = request.request_class.effect is Effect.IDEMPOTENT, self.objective_end(request)
            late = pure and not request.request_class.late_value_share
            spent = request.failed_calls >= CALL_TRIES or (late and now >= soft)
            without = request.request_class.value_share_without_call > 0
            if spent or (without and self.waits_long(place)):
                if without and now < soft:
                    self.move(request, self.running, RequestState.RUNNING)
                    yield Decision(Action.SKIP_CALL, request)
                else:
                    yield self.give_up(request)
                continue
            paced = now < max(request.call_not_before, self.call_next_at - CALLS_AHEAD)
            if paced or self.calls_out(now) >= self.calls_most or len(self.calling) >= self.calls_granted:
                continue
            self.move(request, self.calling, RequestState.CALLING)
            request.called_at = now
            until = min(request.due, max(soft, now + self.period) if late else request.due)
            span = min(max(until - now, self.guard), int(self.calls_longest))
            if pure and self.hedges and request.failed_calls < CALL_TRIES - 1:
                span = min(span, self.call_patience())
            yield Decision(Action.CALL, request, span=span)

    def start_held(self, now: int) -> Iterator[Decision]:
        """Oldest first; newest first once the hold has stood full for long."""
        newest_first = self.full_since is not None and now - self.full_since > FULL_LONG * self.pace
        order = list(self.held)
        for request in reversed(order) if newest_first else order:
            begun = len(self.running) + len(self.asking) + len(self.calling)
            if len(self.running) >= round(self.limit) or begun >= self.crowd_bound(now):
                return
            stuck = (
                request.request_class.calls
                and not request.request_class.value_share_without_call
                and self.clogged()
            )
            bare = request.request_class.effect is Effect.KEYED and request not in self.receipts
            if request.repeats is not None or bare or stuck:
                continue
            if self.used_kb() + request.size_kb * (self.running_memory_factor - 1) > self.memory_kb:
                continue
            self.move(request, self.running, RequestState.RUNNING)
            if len(self.running) == 1:
                self.progress_at = self.on_time_at = now
            request.started = now
            if request.tenant in self.shares:  # what it owes is forgotten within two such spans
                begun = self.begun_lately.get(request.tenant, 0.0) + 1
                self.begun_lately[request.tenant] = min(begun, 2 * self.share_begun(request))
            yield Decision(Action.START, request)

    def tell(self, now: int) -> Iterator[Decision]:
        if self.healthy != self.said_healthy:
            self.said_healthy = self.healthy
            yield Decision(Action.REPORT_HEALTH, flag=self.healthy)
        amount = self.free_value(now)
        if amount is not None and abs(amount - self.said) > TOLD_STEP * max(1.0, abs(self.said)):
            self.said = amount
            yield Decision(Action.ADVERTISE_CAPACITY, amount=amount)
        idle = self.idle_after()
        if idle != self.said_idle:
            self.said_idle = idle
            yield Decision(Action.SET_IDLE_TIMEOUT, span=idle)
        if not self.wake_at:
            self.wake_at = now + self.period
            yield Decision(Action.SET_TIMER, span=self.period)

    def idle_after(self) -> int:
        """Connections are kept for callers known to come back, or so few that they will be.

        Guards against a table full of idle connections, which also slows the node. Harm: handshakes.
        """
        seen = self.callers_seen
        if self.few_callers or len(seen) - len(set(seen)) >= CALLERS_BACK * CALLERS_KEPT:
            return self.connections_idle
        return int(min(self.strangers_idle, self.connections_idle))

    def free_value(self, now: int) -> float | None:
        if self.told is CapacitySignal.PRIORITY_THRESHOLD:
            return round(self.ease, 2)
        if self.told is CapacitySignal.PROBABILITY:
            return round(1 - self.ease, 2)
        if self.told is CapacitySignal.WINDOW:
            outstanding = len(self.asking) + len(self.calling) + self.limit + self.reference
            wide = max(WINDOW_LEAST, WINDOW_WIDE * outstanding * (1 - self.ease) / self.callers)
            # cold, all windows together let in what it survives, as all may be used at once
            return round(wide if self.speed(now) == 1 else min(wide, self.survives(now) / self.callers), 3)
        return None

    # --- answers ---

    def defer(self, now: int, request: Request) -> Decision:
        self.give_up(request)
        alone = self.stalled(now) or self.leaves_at is not None or self.slow(now, request.request_class)
        self.deferred_lately += 1
        self.judged.append(True)
        span = self.max_retry_after_us if alone else min(ADVICE, self.max_retry_after_us)
        if self.open_share < 1:  # drawn over the span: those that come back at once would be a herd
            span, alone = int(self.max_retry_after_us * (1 + 3 * self.chance.random()) / 4), True
        elif self.speed(now) < 1:  # likewise, over half to three times the usual one
            span = min(self.max_retry_after_us, int(span * (1 + 5 * self.chance.random()) / 2))
        return Decision(Action.REJECT, request, span=span, flag=not (alone or self.sends_on()))

    def give_up(self, request: Request) -> Decision:
        request.answered = True
        if request in self.running:
            self.to_stop[request] = None
        elif request in self.asking:
            self.move(
                request, self.calling, RequestState.CALLING
            )  # off our hands when the host says that it ended
        elif request not in self.calling:
            self.end(request)
        return Decision(Action.FAIL, request)

    def move(self, request: Request, pool: dict[Request, None], state: RequestState) -> None:
        self.leave(request)
        pool[request] = None
        request.state = state

    def end(self, request: Request) -> None:
        self.leave(request)
        request.state = RequestState.ENDED
        self.unrun = self.unrun or request.started is None

    def leave(self, request: Request) -> None:
        for pool in (self.new, self.held, self.running, self.asking, self.calling, self.sharing):
            pool.pop(request, None)
