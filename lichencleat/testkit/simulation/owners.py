"""Simulation of leases under random faults: candidates with drifting clocks, a replicated log and a receiver
that checks fencing tokens. `python -m lichencleat.testkit.simulation.owners --seeds 10000 --cores 8`

The replicated log is a model, because the consensus simulation checks the real log: the model applies each
proposal once and in order, delays proposals and answers, and loses some of both.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from lichencleat.leases.candidate_expiry import CandidateExpiry
from lichencleat.leases.fencing import Fence
from lichencleat.leases.held_leases import HeldLeases
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import (
    CandidateExpired,
    CommandReply,
    DefineJob,
    Job,
    Leave,
    MoveJob,
    ReleaseJob,
    RenewalReply,
)
from lichencleat.testkit.checkers.owners import OwnersWatch
from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock
from lichencleat.testkit.simulation.many import run_many

FAULT_PHASE_US, RECOVERY_PHASE_US = 12_000_000, 8_000_000  # time with faults; time to recover after them
CANDIDATES, JOBS, ZONES = ["a", "b", "c", "d"], ["j1", "j2", "j3"], ["x", "y"]
# time from a proposal to its log entry, and again from the entry to the answer, of a fast and of a slow group
COMMIT_RANGES_US = ((50, 500), (500, 40_000))
# time between two checks for expired candidates by the leader of a fast and of a slow group
EXPIRY_CHECK_INTERVALS_US = (2_000, 50_000)
ACT_INTERVAL_RANGE_US = (1_000, 60_000)  # time between two acts on a job by its holder
PROPOSAL_TIMEOUT_US = 250_000  # time that a candidate waits for the answer to a proposal
# largest clock rate error: within the drift that leases allow for, and far beyond it
MAX_DRIFT, MAX_EXCESSIVE_DRIFT = 0.045, 0.6


@dataclass(frozen=True, slots=True)
class Implementations:
    """The classes under test, or variants of them with an injected bug."""

    jobs: type[LeaseState] = LeaseState
    expiry: type[CandidateExpiry] = CandidateExpiry
    leases: type[HeldLeases] = HeldLeases
    fence: type[Fence] = Fence


class LogModel:
    """Model of a replicated log: it applies proposals in order, and loses and delays some messages."""

    def __init__(
        self, clockwork: Clockwork, rng: random.Random, implementations: Implementations, rate: float
    ) -> None:
        self.clockwork, self.rng = clockwork, rng
        self.jobs, self.expiry = implementations.jobs(), implementations.expiry()
        self.clock = DriftingClock(clockwork, rng.randrange(1 << 40), rate)
        speed = rng.randrange(2)
        self.commit_range, self.expiry_check_interval = (
            COMMIT_RANGES_US[speed],
            EXPIRY_CHECK_INTERVALS_US[speed],
        )
        self.index = 0
        self.busy_until = 0  # µs: time of the last scheduled entry
        self.loss = 0.02  # probability that a proposal or an answer is lost
        self.down = False
        clockwork.after(self.expiry_check_interval, self.check_expiry)

    def propose(self, command: Any, answer: Callable[[Any], None]) -> None:
        """Schedule a command for the log, unless the command is lost."""
        if self.rng.random() < self.loss or self.down:
            return
        at = max(self.busy_until + 1, self.clockwork.now + self.rng.randint(*self.commit_range))
        self.busy_until = at  # proposals are applied in the order in which they arrive
        self.clockwork.after(at - self.clockwork.now, self.apply, command, answer)

    def apply(self, command: Any, answer: Callable[[Any], None]) -> None:
        """Apply a command to the lease state and schedule the answer, unless the answer is lost."""
        self.index += 1
        reply = self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))
        if self.rng.random() >= self.loss:
            self.clockwork.after(self.rng.randint(*self.commit_range), answer, reply)

    def check_expiry(self) -> None:
        """Propose the expiry of candidates that have not renewed in time, at regular intervals."""
        self.clockwork.after(self.expiry_check_interval, self.check_expiry)
        if not self.down:
            for each in self.expiry.find_expired(self.clock(), self.jobs.candidates):
                self.propose(each, lambda reply: None)

    def new_leader(self, rate: float) -> None:
        """Change the leader: the new one has a clock with its own rate and saw no renewals."""
        self.expiry.reset()
        self.clock.set_rate(rate)


class SimCandidate:
    """A process that tries to obtain leases on jobs, and acts on the jobs that it holds."""

    def __init__(self, world: OwnersWorld, name: str, rng: random.Random) -> None:
        self.world, self.name, self.rng = world, name, rng
        self.zone = ZONES[len(world.candidates) % len(ZONES)]
        self.clock = DriftingClock(world.clockwork, rng.randrange(1 << 40), world.draw_rate())
        self.incarnation = 0
        self.up = self.cut = self.stopped = False
        self.deferred_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def start(self) -> None:
        """Start the process as a new incarnation without leases."""
        self.incarnation += 1
        self.up, self.stopped, self.deferred_calls = True, False, []
        self.leases = self.world.implementations.leases(self.name, self.zone, self.rng.getrandbits(40))
        self.attempt = 0
        self.call_later(0, self.step)
        for job in JOBS:
            self.call_later(self.rng.randint(*ACT_INTERVAL_RANGE_US), self.act, job)

    def call_later(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call `delay` µs from now, which runs only in the current process."""
        self.world.clockwork.after(delay, self.call_if_alive, self.incarnation, call, args)

    def call_if_alive(self, incarnation: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run a call unless its process has ended; defer the call while the process is suspended."""
        if self.up and incarnation == self.incarnation:
            if self.stopped:
                self.deferred_calls.append((call, args))
            else:
                call(*args)

    def resume(self) -> None:
        """Resume a suspended process and run the deferred calls."""
        if self.up and self.stopped:
            self.stopped = False
            deferred_calls, self.deferred_calls = self.deferred_calls, []
            for call, args in deferred_calls:
                call(*args)

    def propose(self, command: Any, answer: Callable[[Any], None]) -> None:
        """Propose a command. A cut connection drops the proposal at once, or the answer when it arrives."""
        incarnation = self.incarnation

        def deliver_answer(reply: Any) -> None:
            if not self.cut:
                self.call_if_alive(incarnation, answer, (reply,))

        if not self.cut:
            self.world.log.propose(command, deliver_answer)

    # -- leases --------------------------------------------------------------------------------------

    def step(self) -> None:
        """Drop expired leases, send a renewal if one is due, and schedule the next step."""
        now = self.clock()
        self.leases.drop_expired(now)
        renewal = self.leases.next_renewal(now)
        if renewal is not None:
            self.attempt += 1
            attempt = self.attempt
            self.propose(renewal, lambda reply: self.on_reply(attempt, reply))
            self.call_later(PROPOSAL_TIMEOUT_US, self.on_timeout, attempt)
        self.world.check_beliefs()
        delay = max(1_000, min(self.clock.until(self.leases.next_action_at()), 100_000))
        self.call_later(delay, self.step)

    def on_reply(self, attempt: int, reply: RenewalReply) -> None:
        """Process the reply to the latest renewal: start granted jobs, release unwanted ones."""
        if attempt != self.attempt or self.leases.requested_at is None:
            return
        for job, token in self.leases.on_renewed(self.clock(), reply).items():
            self.world.watch.begins(job, token, (self.name, self.incarnation))
        for job in list(self.leases.to_release):
            self.release(job, False)

    def on_timeout(self, attempt: int) -> None:
        """Report the latest renewal as failed if there is still no reply."""
        if attempt == self.attempt and self.leases.requested_at is not None:
            self.leases.on_renewal_failed(self.clock())

    def release(self, job: str, crashed: bool) -> None:
        token = self.leases.start_release(job)
        if token is not None:
            self.send_release(job, token, crashed)

    def send_release(self, job: str, token: int, crashed: bool) -> None:
        """Propose the release of a job again and again until the release is confirmed."""
        if self.leases.releasing.get(job) == token:
            command = ReleaseJob(self.name, job, token, crashed)
            self.propose(command, lambda reply: self.leases.on_released(job))
            self.call_later(PROPOSAL_TIMEOUT_US, self.send_release, job, token, crashed)

    def leave(self) -> None:
        self.leases.leave()
        self.propose(Leave(self.name, self.leases.incarnation), lambda reply: None)

    # -- acts ----------------------------------------------------------------------------------------

    def act(self, job: str) -> None:
        """Check the lease and act on the job under its fencing token. One act in ten is delayed by up to 3 s
        after the check.
        """
        token = self.leases.fencing_token(self.clock(), job)
        if token is not None:
            delay = 0 if self.rng.random() < 0.9 else self.rng.randrange(3_000_000)
            self.call_later(delay, self.send_act, job, token)
        self.call_later(self.rng.randint(*ACT_INTERVAL_RANGE_US), self.act, job)

    def send_act(self, job: str, token: int) -> None:
        """Send an act to the receiver over the network."""
        self.world.clockwork.after(self.rng.randint(100, 5_000), self.world.receive, job, token, self)


class OwnersWorld:
    """One simulated run: the log, the candidates, the receiver and the checker."""

    def __init__(self, seed: int, implementations: Implementations, wild: bool) -> None:
        self.rng = random.Random(f"owners {seed}")
        self.implementations, self.wild = implementations, wild
        self.clockwork = Clockwork()
        self.watch = OwnersWatch()
        own = random.Random(self.rng.randrange(1 << 60))
        self.log = LogModel(self.clockwork, own, implementations, self.draw_rate())
        self.fence = implementations.fence()
        self.candidates: list[SimCandidate] = []
        for name in CANDIDATES:
            self.candidates.append(SimCandidate(self, name, random.Random(self.rng.randrange(1 << 60))))
        for at, job in enumerate(JOBS):
            self.log.apply(DefineJob(job, ["", *ZONES][at]), lambda reply: None)

    def check_beliefs(self) -> None:
        """Check that no two candidates believe that they hold the same job. The rule holds only for clocks
        within the allowed drift.
        """
        if self.wild:
            return
        for job in JOBS:
            believers = [
                each.name
                for each in self.candidates
                if each.up and each.leases.fencing_token(each.clock(), job)
            ]
            self.watch.believe(job, believers)

    def receive(self, job: str, token: int, candidate: SimCandidate) -> None:
        """Check the fencing token of an act that arrives at the receiver, and record the act."""
        self.check_beliefs()
        self.watch.acts(
            job,
            token,
            (candidate.name, candidate.incarnation),
            self.fence.accept(job, token),
            self.clockwork.now,
        )

    # -- faults --------------------------------------------------------------------------------------

    def draw_rate(self) -> float:
        """Return a random clock rate."""
        max_error = MAX_EXCESSIVE_DRIFT if self.wild else MAX_DRIFT
        return 1 + self.rng.uniform(-max_error, max_error)

    def fault(self) -> str:
        """Start a random fault that ends after a random time, and return its kind."""
        candidate, rng = self.rng.choice(self.candidates), self.rng
        duration = rng.randint(10_000, 4_000_000)
        kind = rng.choice(
            ["stop", "stop", "cut", "cut", "kill", "leave", "rate", "leader", "down", "loss", "move"]
        )
        after = self.clockwork.after
        if kind == "stop" and not candidate.stopped:
            candidate.stopped = candidate.up
            after(duration, candidate.resume)
        elif kind == "cut":
            candidate.cut = True
            after(duration, lambda: setattr(candidate, "cut", False))
        elif kind in ("kill", "leave") and candidate.up:
            if kind == "leave":
                candidate.leave()
            candidate.up = False
            after(duration, lambda: candidate.up or candidate.start())
        elif kind == "rate":
            candidate.clock.set_rate(self.draw_rate())
        elif kind == "leader":
            self.log.new_leader(self.draw_rate())
        elif kind == "down":
            self.log.down = True
            after(min(duration, 1_500_000), lambda: setattr(self.log, "down", False))
        elif kind == "loss":
            self.log.loss = rng.uniform(0, 0.5)
            after(duration, lambda: setattr(self.log, "loss", 0.02))
        elif kind == "move":
            self.log.propose(MoveJob(rng.choice(JOBS), rng.choice(CANDIDATES)), lambda reply: None)
        return kind


@dataclass(slots=True)
class RunResult:
    """The outcome of one run, with its counts."""

    seed: int
    wrong: str | None = None  # the first violation found
    acts: int = 0
    refused: int = 0
    owners: int = 0
    gaps: list[int] = field(default_factory=list)  # µs between accepted acts on a job, if over 0.5 s


def run(seed: int, implementations: Implementations | None = None, wild: bool = False) -> RunResult:
    """Play one run. With `wild`, clock rates exceed the drift that leases allow for."""
    world = OwnersWorld(seed, implementations or Implementations(), wild)
    for _ in range(world.rng.randint(1, 14)):
        world.clockwork.after(world.rng.randrange(FAULT_PHASE_US), world.fault)
    world.clockwork.run(FAULT_PHASE_US + 4_000_000, lambda: world.watch.wrong is not None)
    for each in world.candidates:
        each.cut = False
        each.resume()
        each.clock.set_rate(1.0)
        if not each.up:
            each.start()
    recovery_start = world.clockwork.now
    world.clockwork.run(recovery_start + RECOVERY_PHASE_US, lambda: world.watch.wrong is not None)
    watch = world.watch
    watch.well_again(JOBS, world.clockwork.now, RECOVERY_PHASE_US // 2)
    return RunResult(seed, watch.wrong, watch.accepted, watch.refused, len(watch.holders), watch.gaps)


class LeaseCountedFromReply(HeldLeases):
    """Injected bug: the lease term starts with the reply instead of the request."""

    def on_renewed(self, now: int, reply: RenewalReply) -> dict[str, int]:
        self.requested_at = now
        return super().on_renewed(now, reply)


class LeaseWithoutDrift(HeldLeases):
    """Injected bug: the holder makes no allowance for clock drift, and neither does the leader."""

    def __init__(self, name: str, zone: str, incarnation: int) -> None:
        super().__init__(name, zone, incarnation, drift=0.0)


class ExpiryWithoutDrift(CandidateExpiry):
    """Injected bug: the leader makes no allowance for clock drift."""

    def __init__(self) -> None:
        super().__init__(drift=0.0)


class RestartsReleasedJob(HeldLeases):
    """Injected bug: the reply to an older renewal can restart a job whose release is in progress."""

    def start_release(self, job: str) -> int | None:
        token = super().start_release(job)
        if token is not None:
            self.releasing[job] = -token
        return token


class ExpiryTooEarly(CandidateExpiry):
    """Injected bug: the leader expires a lease after 70% of its duration."""

    def __init__(self) -> None:
        super().__init__(drift=-0.3)


class ExpiryIgnoresLatestRenewal(LeaseState):
    """Injected bug: an expiry proposal is accepted although a newer renewal has been applied."""

    def expire(self, command: CandidateExpired) -> CommandReply:
        known = self.candidates.get(command.name)
        if known is not None:
            command = CandidateExpired(command.name, known.renewal_index)
        return super().expire(command)


class TokenReused(LeaseState):
    """Injected bug: a job keeps its fencing token when its holder changes."""

    def grant(self, name: str, job: Job, holder: str, index: int) -> None:
        token = job.fencing_token
        super().grant(name, job, holder, index)
        job.fencing_token = token or index


class FenceAcceptsAll(Fence):
    """Injected bug: the receiver accepts every fencing token."""

    def accept(self, job: str, token: int) -> bool:
        return True


VARIANTS = {
    "none": Implementations(),
    "FromTheAnswer": Implementations(leases=LeaseCountedFromReply),
    "NoDrift": Implementations(leases=LeaseWithoutDrift, expiry=ExpiryWithoutDrift),
    "BeginsAgain": Implementations(leases=RestartsReleasedJob),
    "Impatient": Implementations(expiry=ExpiryTooEarly),
    "OldCount": Implementations(jobs=ExpiryIgnoresLatestRenewal),
    "SameToken": Implementations(jobs=TokenReused),
    "NoFence": Implementations(fence=FenceAcceptsAll),
}


def run_one(job: tuple[int, str, bool]) -> RunResult:
    """Play one run with a variant given by its name."""
    seed, variant, wild = job
    return run(seed, VARIANTS[variant], wild)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="Injected bug.")
@click.option(
    "--wild",
    is_flag=True,
    help="Clock rates far beyond the allowed drift: only fencing tokens are checked then.",
)
@click.option("--most", default=3, show_default=True, help="Stop after this number of failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, wild: bool, most: int) -> None:
    """Run lease candidates under random faults, one run per seed, and report violations."""
    sums = dict.fromkeys(("acts", "refused", "owners"), 0)
    gaps: list[int] = []
    wrong: list[RunResult] = []
    runs = 0
    jobs = [(seed, variant, wild) for seed in range(first, first + seeds)]
    for result in run_many(run_one, jobs, cores, most):
        runs += 1
        gaps += result.gaps
        for name in sums:
            sums[name] += getattr(result, name)
        wrong += [result] if result.wrong is not None else []
    click.echo(f"{runs} runs, " + ", ".join(f"{count} {name}" for name, count in sums.items()))
    if gaps:
        gaps.sort()
        p50, p99 = gaps[len(gaps) // 2] / 1e6, gaps[len(gaps) * 99 // 100] / 1e6
        click.echo(f"{len(gaps)} spans over 0.5 s without an accepted act: p50 {p50:.2f} s, p99 {p99:.2f} s")
    for result in wrong:
        click.echo(f"seed {result.seed}: {result.wrong}")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
