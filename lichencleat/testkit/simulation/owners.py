"""Owners in simulated time: candidates with clocks of their own, a log that is slow, forgets and answers
late, a receiver.

The log itself is a model here, as it is judged elsewhere: proposals are applied one by one, each once, some
of them lost, some of their answers. `python -m lichencleat.testkit.simulation.owners --seeds 10000 --cores 8`
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
from lichencleat.testkit.simulation.many import many

TROUBLE, CALM = 12_000_000, 8_000_000  # µs with faults, and after them
NAMES, JOBS, ZONES = ["a", "b", "c", "d"], ["j1", "j2", "j3"], ["x", "y"]
COMMITS = ((50, 500), (500, 40_000))  # µs from a proposal to its entry, and from there to the answer
LOOKS = (2_000, 50_000)  # µs between the leader's looks at who is gone, of a fast group and of a slow one
ACT = (1_000, 60_000)  # µs between two acts of an owner
TRY = 250_000  # µs that a candidate waits for the answer to a proposal
STEADY, WILD = 0.045, 0.6  # how far a clock's rate may be off: within the stated drift, and far beyond it


@dataclass(frozen=True, slots=True)
class Kinds:
    """The modules under test, or ones with a mistake planted."""

    jobs: type[LeaseState] = LeaseState
    expiry: type[CandidateExpiry] = CandidateExpiry
    leases: type[HeldLeases] = HeldLeases
    fence: type[Fence] = Fence


class LogModel:
    """What a group of voters looks like from outside, with a leader that changes."""

    def __init__(self, clockwork: Clockwork, rng: random.Random, kinds: Kinds, rate: float) -> None:
        self.clockwork, self.rng = clockwork, rng
        self.jobs, self.expiry = kinds.jobs(), kinds.expiry()
        self.clock = DriftingClock(clockwork, rng.randrange(1 << 40), rate)
        speed = rng.randrange(2)
        self.commit, self.look_each = COMMITS[speed], LOOKS[speed]
        self.index = 0
        self.busy_until = 0
        self.loss = 0.02
        self.down = False
        clockwork.after(self.look_each, self.look)

    def propose(self, what: Any, answer: Callable[[Any], None]) -> None:
        if self.rng.random() < self.loss or self.down:
            return
        at = max(self.busy_until + 1, self.clockwork.now + self.rng.randint(*self.commit))
        self.busy_until = at  # one order for all
        self.clockwork.after(at - self.clockwork.now, self.enter, what, answer)

    def enter(self, what: Any, answer: Callable[[Any], None]) -> None:
        self.index += 1
        told = self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))
        if self.rng.random() >= self.loss:
            self.clockwork.after(self.rng.randint(*self.commit), answer, told)

    def look(self) -> None:
        self.clockwork.after(self.look_each, self.look)
        if not self.down:
            for each in self.expiry.find_expired(self.clock(), self.jobs.candidates):
                self.propose(each, lambda told: None)

    def new_leader(self, rate: float) -> None:
        self.expiry.reset()
        self.clock.runs(rate)


class SimCandidate:
    """A process that wants jobs, and acts on those that it has."""

    def __init__(self, world: OwnersWorld, name: str, rng: random.Random) -> None:
        self.world, self.name, self.rng = world, name, rng
        self.zone = ZONES[len(world.candidates) % len(ZONES)]
        self.clock = DriftingClock(world.clockwork, rng.randrange(1 << 40), world.rate())
        self.life = 0
        self.up = self.cut = self.stopped = False
        self.missed: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def start(self) -> None:
        self.life += 1
        self.up, self.stopped, self.missed = True, False, []
        self.leases = self.world.kinds.leases(self.name, self.zone, self.rng.getrandbits(40))
        self.asked = 0
        self.later(0, self.step)
        for job in JOBS:
            self.later(self.rng.randint(*ACT), self.act, job)

    def later(self, span: int, call: Callable[..., None], *args: Any) -> None:
        self.world.clockwork.after(span, self.alive, self.life, call, args)

    def alive(self, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.up and life == self.life:
            if self.stopped:
                self.missed.append((call, args))
            else:
                call(*args)

    def go_on(self) -> None:
        if self.up and self.stopped:
            self.stopped = False
            missed, self.missed = self.missed, []
            for call, args in missed:
                call(*args)

    def propose(self, what: Any, answer: Callable[[Any], None]) -> None:
        """The proposal and its answer pass the cut, if there is one, when they come to it."""
        life = self.life

        def back(told: Any) -> None:
            if not self.cut:
                self.alive(life, answer, (told,))

        if not self.cut:
            self.world.log.propose(what, back)

    # -- the lease -----------------------------------------------------------------------------------

    def step(self) -> None:
        now = self.clock()
        self.leases.drop_expired(now)
        renewal = self.leases.next_renewal(now)
        if renewal is not None:
            self.asked += 1
            mark = self.asked
            self.propose(renewal, lambda told: self.answered(mark, told))
            self.later(TRY, self.silent, mark)
        self.world.look()
        span = max(1_000, min(self.clock.until(self.leases.next_action_at()), 100_000))
        self.later(span, self.step)

    def answered(self, mark: int, told: RenewalReply) -> None:
        if mark != self.asked or self.leases.requested_at is None:
            return
        for job, token in self.leases.on_renewed(self.clock(), told).items():
            self.world.watch.begins(job, token, (self.name, self.life))
        for job in list(self.leases.to_release):
            self.release(job, False)

    def silent(self, mark: int) -> None:
        if mark == self.asked and self.leases.requested_at is not None:
            self.leases.on_renewal_failed(self.clock())

    def release(self, job: str, crashed: bool) -> None:
        token = self.leases.start_release(job)
        if token is not None:
            self.send_release(job, token, crashed)

    def send_release(self, job: str, token: int, crashed: bool) -> None:
        if self.leases.releasing.get(job) == token:
            what = ReleaseJob(self.name, job, token, crashed)
            self.propose(what, lambda told: self.leases.on_released(job))
            self.later(TRY, self.send_release, job, token, crashed)

    def leave(self) -> None:
        self.leases.leave()
        self.propose(Leave(self.name, self.leases.incarnation), lambda told: None)

    # -- the work ------------------------------------------------------------------------------------

    def act(self, job: str) -> None:
        """Looks at its lease, may be held up, and acts: the token goes with the act."""
        token = self.leases.fencing_token(self.clock(), job)
        if token is not None:
            held_up = 0 if self.rng.random() < 0.9 else self.rng.randrange(3_000_000)
            self.later(held_up, self.reaches, job, token)
        self.later(self.rng.randint(*ACT), self.act, job)

    def reaches(self, job: str, token: int) -> None:
        self.world.clockwork.after(self.rng.randint(100, 5_000), self.world.receive, job, token, self)


class OwnersWorld:
    def __init__(self, seed: int, kinds: Kinds, wild: bool) -> None:
        self.rng = random.Random(f"owners {seed}")
        self.kinds, self.wild = kinds, wild
        self.clockwork = Clockwork()
        self.watch = OwnersWatch()
        own = random.Random(self.rng.randrange(1 << 60))
        self.log = LogModel(self.clockwork, own, kinds, self.rate())
        self.fence = kinds.fence()
        self.candidates: list[SimCandidate] = []
        for name in NAMES:
            self.candidates.append(SimCandidate(self, name, random.Random(self.rng.randrange(1 << 60))))
        for at, job in enumerate(JOBS):
            self.log.enter(DefineJob(job, ["", *ZONES][at]), lambda told: None)

    def look(self) -> None:
        """With clocks that keep the drift, no two may believe that a job is theirs."""
        if self.wild:
            return
        for job in JOBS:
            believe = [
                each.name
                for each in self.candidates
                if each.up and each.leases.fencing_token(each.clock(), job)
            ]
            self.watch.believe(job, believe)

    def receive(self, job: str, token: int, who: SimCandidate) -> None:
        self.look()
        self.watch.acts(job, token, (who.name, who.life), self.fence.accept(job, token), self.clockwork.now)

    # -- faults --------------------------------------------------------------------------------------

    def rate(self) -> float:
        span = WILD if self.wild else STEADY
        return 1 + self.rng.uniform(-span, span)

    def fault(self) -> str:
        who, rng = self.rng.choice(self.candidates), self.rng
        span = rng.randint(10_000, 4_000_000)
        kind = rng.choice(
            ["stop", "stop", "cut", "cut", "kill", "leave", "rate", "leader", "down", "loss", "move"]
        )
        after = self.clockwork.after
        if kind == "stop" and not who.stopped:
            who.stopped = who.up
            after(span, who.go_on)
        elif kind == "cut":
            who.cut = True
            after(span, lambda: setattr(who, "cut", False))
        elif kind in ("kill", "leave") and who.up:
            if kind == "leave":
                who.leave()
            who.up = False
            after(span, lambda: who.up or who.start())
        elif kind == "rate":
            who.clock.runs(self.rate())
        elif kind == "leader":
            self.log.new_leader(self.rate())
        elif kind == "down":
            self.log.down = True
            after(min(span, 1_500_000), lambda: setattr(self.log, "down", False))
        elif kind == "loss":
            self.log.loss = rng.uniform(0, 0.5)
            after(span, lambda: setattr(self.log, "loss", 0.02))
        elif kind == "move":
            self.log.propose(MoveJob(rng.choice(JOBS), rng.choice(NAMES)), lambda told: None)
        return kind


@dataclass(slots=True)
class Ran:
    seed: int
    wrong: str | None = None
    acts: int = 0
    refused: int = 0
    owners: int = 0
    gaps: list[int] = field(default_factory=list)  # µs without an accepted act, each over half a second


def run(seed: int, kinds: Kinds | None = None, wild: bool = False) -> Ran:
    world = OwnersWorld(seed, kinds or Kinds(), wild)
    for _ in range(world.rng.randint(1, 14)):
        world.clockwork.after(world.rng.randrange(TROUBLE), world.fault)
    world.clockwork.run(TROUBLE + 4_000_000, lambda: world.watch.wrong is not None)
    for each in world.candidates:
        each.cut = False
        each.go_on()
        each.clock.runs(1.0)
        if not each.up:
            each.start()
    over = world.clockwork.now
    world.clockwork.run(over + CALM, lambda: world.watch.wrong is not None)
    watch = world.watch
    watch.well_again(JOBS, world.clockwork.now, CALM // 2)
    return Ran(seed, watch.wrong, watch.accepted, watch.refused, len(watch.given), watch.gaps)


class FromTheAnswer(HeldLeases):
    """Counts its lease from the answer, not from before it asked."""

    def on_renewed(self, now: int, reply: RenewalReply) -> dict[str, int]:
        self.requested_at = now
        return super().on_renewed(now, reply)


class NoDrift(HeldLeases):
    """Believes that all clocks run alike; so does the leader."""

    def __init__(self, name: str, zone: str, life: int) -> None:
        super().__init__(name, zone, life, drift=0.0)


class NoDriftEither(CandidateExpiry):
    def __init__(self) -> None:
        super().__init__(drift=0.0)


class BeginsAgain(HeldLeases):
    """Lets an older renewal's answer begin what it is releasing."""

    def start_release(self, job: str) -> int | None:
        token = super().start_release(job)
        if token is not None:
            self.releasing[job] = -token
        return token


class Impatient(CandidateExpiry):
    """A leader that gives a lease away as soon as the lease itself is over."""

    def __init__(self) -> None:
        super().__init__(drift=-0.3)


class OldCount(LeaseState):
    """Believes a leader that has not seen the last renewal."""

    def expire(self, command: CandidateExpired) -> CommandReply:
        known = self.candidates.get(command.name)
        if known is not None:
            command = CandidateExpired(command.name, known.renewal_index)
        return super().expire(command)


class SameToken(LeaseState):
    """Gives a job away under the token that it had."""

    def grant(self, name: str, job: Job, holder: str, index: int) -> None:
        token = job.fencing_token
        super().grant(name, job, holder, index)
        job.fencing_token = token or index


class NoFence(Fence):
    """A receiver that does not look at the token."""

    def accept(self, job: str, token: int) -> bool:
        return True


VARIANTS = {
    "none": Kinds(),
    "FromTheAnswer": Kinds(leases=FromTheAnswer),
    "NoDrift": Kinds(leases=NoDrift, expiry=NoDriftEither),
    "BeginsAgain": Kinds(leases=BeginsAgain),
    "Impatient": Kinds(expiry=Impatient),
    "OldCount": Kinds(jobs=OldCount),
    "SameToken": Kinds(jobs=SameToken),
    "NoFence": Kinds(fence=NoFence),
}


def one(job: tuple[int, str, bool]) -> Ran:
    seed, variant, wild = job
    return run(seed, VARIANTS[variant], wild)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="A planted mistake.")
@click.option("--wild", is_flag=True, help="Clocks far beyond the stated drift: only the tokens hold then.")
@click.option("--most", default=3, show_default=True, help="Stop after so many failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, wild: bool, most: int) -> None:
    """Runs candidates through drawn faults, and tells what broke."""
    sums = dict.fromkeys(("acts", "refused", "owners"), 0)
    gaps: list[int] = []
    wrong: list[Ran] = []
    runs = 0
    jobs = [(seed, variant, wild) for seed in range(first, first + seeds)]
    for ran in many(one, jobs, cores, most):
        runs += 1
        gaps += ran.gaps
        for name in sums:
            sums[name] += getattr(ran, name)
        wrong += [ran] if ran.wrong is not None else []
    click.echo(f"{runs} runs, " + ", ".join(f"{count} {name}" for name, count in sums.items()))
    if gaps:
        gaps.sort()
        p50, p99 = gaps[len(gaps) // 2] / 1e6, gaps[len(gaps) * 99 // 100] / 1e6
        click.echo(f"{len(gaps)} spans over 0.5 s without an accepted act: p50 {p50:.2f} s, p99 {p99:.2f} s")
    for ran in wrong:
        click.echo(f"seed {ran.seed}: {ran.wrong}")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
