"""Random faults among voters, lease candidates and clients: `python -m tests.fleet.owners --seeds 200`.

All of them are real processes. Each schedule has three voters, four candidates for the leases of two jobs,
and three clients. Faults, chosen by the seed, overlap; in the end all are undone. Checked: the clients'
history is linearizable, the acts of lease holders are fenced correctly, and answers and acts continue after
the last fault.
"""

from __future__ import annotations

import random
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from lichencleat.testkit.checkers.linear import check_key_value_history
from lichencleat.testkit.cluster.receiver import Receiver
from lichencleat.testkit.cluster.rig import Rig, Writer

JOBS = ["deal", "plan"]
FAULTS, SPAN = (2, 6), (0.1, 2.5)  # ranges: number of faults in a schedule, s that a fault lasts
BETWEEN = 0.6  # s: longest time between two faults
KINDS = ["power", "power", "power of most", "power of all", "stop voter", "apart", "one way", "slow", "reset"]
KINDS += ["kill owner", "stop owner", "stop owner", "voter's clock", "owner's clock", "disk full"]
# Range of clock rates within the tolerated drift; largest step of Unix time in s.
RATES, STEP = (0.95, 1.05), 30.0


@dataclass
class ScheduleResult:
    """Outcome of a schedule: the violation, if any, the faults, and the numbers of calls and acts."""

    seed: int
    wrong: str | None = None
    faults: list[str] = field(default_factory=list)
    calls: int = 0
    acts: int = 0
    refused: int = 0


class Schedule:
    """Injects random faults, and undoes each after a random time."""

    def __init__(self, rig: Rig, receiver: Receiver, rng: random.Random, result: ScheduleResult) -> None:
        self.rig, self.receiver, self.rng, self.result = rig, receiver, rng, result
        self.port = receiver.port.getHost().port
        self.workers = {}
        self.started = 0
        self.undo: list[tuple[float, object]] = []

    def worker(self) -> None:
        """Start another candidate."""
        name = f"w{self.started}"
        self.started += 1
        child = self.rig.worker(name, self.rng.choice("xy"), self.port)
        self.workers[f"{name}-{child.pid}"] = child

    def schedule_undo(self, undo) -> None:
        """Call a function that undoes a fault after a random time."""
        self.undo.append((time.monotonic() + self.rng.uniform(*SPAN), undo))

    def run_due_undos(self, include_all: bool = False) -> None:
        """Undo the faults whose time has passed, or all of them."""
        for each in list(self.undo):
            if include_all or each[0] <= time.monotonic():
                self.undo.remove(each)
                each[1]()

    def restore_disk(self, voter) -> None:
        """Free the voter's disk; restart the voter, as an operator does, if it has exited."""
        voter.empty_disk()
        if voter.running.poll() is not None:
            voter.start()

    def inject_fault(self) -> None:
        """Inject a random fault."""
        kind = self.rng.choice(KINDS)
        voters = self.rng.sample(list(self.rig.voters.values()), 3)
        self.result.faults.append(f"{kind} {voters[0].name}")
        if kind.startswith("power"):
            cut = voters[: {"power": 1, "power of most": 2, "power of all": 3}[kind]]
            for each in cut:
                each.kill()
            self.schedule_undo(lambda: [each.start() for each in cut if each.running.poll() is not None])
        elif kind == "stop voter":
            voters[0].stop()
            self.schedule_undo(voters[0].resume)
        elif kind == "apart":
            pairs = self.rig.isolate(voters[:1], clients=self.rng.random() < 0.5)
            self.schedule_undo(lambda: self.rig.heal(pairs))
        elif kind == "one way":
            pairs = {(voters[0].name, each.name) for each in voters[1:]}
            self.rig.relays.block(pairs)
            self.schedule_undo(lambda: self.rig.heal(pairs))
        elif kind == "slow":
            pairs = {(a.name, b.name) for a in voters[:1] for b in voters[1:]}
            self.rig.relays.set_delay(pairs, self.rng.uniform(0.01, 0.3))
            self.schedule_undo(lambda: self.rig.relays.set_delay(pairs, 0.0))
        elif kind == "reset":
            self.rig.relays.reset(voters[0].name)
        elif kind == "voter's clock":
            self.rig.clock(voters[0].name, self.rng.uniform(*RATES), self.rng.uniform(-STEP, STEP))
        elif kind == "disk full":
            voters[0].fill_disk()
            self.schedule_undo(lambda: self.restore_disk(voters[0]))
        elif kind == "owner's clock":
            name = self.receiver.last_holder.get(self.rng.choice(JOBS), "").partition("-")[0]
            self.rig.clock(name, self.rng.uniform(*RATES), self.rng.uniform(-STEP, STEP))
        else:
            child = self.workers.get(self.receiver.last_holder.get(self.rng.choice(JOBS), ""))
            if child is None or child.poll() is not None:
                return
            if kind == "kill owner":
                child.kill()
                self.worker()
            else:
                child.send_signal(19)  # SIGSTOP
                self.schedule_undo(lambda: child.send_signal(18))


def run(seed: int) -> ScheduleResult:
    """Play the schedule of a seed."""
    result = ScheduleResult(seed)
    rng = random.Random(f"rig {seed}")
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder))
        try:
            rig.form()
            for job in JOBS:
                rig.command("owners", "define", str(rig.voters["v1"].file), job, "--near", rng.choice("xy"))
            receiver = rig.relays.call(Receiver, rig.relays.reactor)
            schedule = Schedule(rig, receiver, rng, result)
            for _ in range(4):
                schedule.worker()
            rig.until(lambda: set(receiver.last_holder) == set(JOBS), "an act on each job")
            writers = [Writer(rig, f"c{number}") for number in range(3)]
            for _ in range(rng.randint(*FAULTS)):
                schedule.inject_fault()
                time.sleep(rng.uniform(0, BETWEEN))
                schedule.run_due_undos()
            while schedule.undo:
                time.sleep(0.05)
                schedule.run_due_undos()
            before = [each.count() for each in writers]
            rig.until(
                lambda: all(w.count() >= had + 10 for w, had in zip(writers, before, strict=True)),
                "answers after the last fault",
            )
            acts = receiver.watch.accepted
            rig.until(lambda: receiver.watch.accepted > acts + 50, "acts after the last fault")
            for each in writers:
                each.on = False
            rig.until(lambda: all(each.client.is_idle for each in writers), "the last calls")
            history = [call for each in writers for call in each.history]
            result.calls, result.acts, result.refused = (
                len(history),
                receiver.watch.accepted,
                receiver.watch.refused,
            )
            result.wrong = receiver.watch.wrong or check_key_value_history(history)
        except AssertionError as wrong:
            result.wrong = str(wrong)
        finally:
            rig.close()
    return result


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--side-by-side", default=2, show_default=True, help="Rigs at once; each has eight processes.")
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Play random schedules and print the violations."""
    total = ScheduleResult(0)
    wrong = []
    with ProcessPoolExecutor(side_by_side) as pool:
        for result in pool.map(run, range(first, first + seeds)):
            total.calls, total.acts = total.calls + result.calls, total.acts + result.acts
            total.refused += result.refused
            total.faults += result.faults
            if result.wrong is not None:
                wrong.append(result)
                click.echo(f"seed {result.seed}: {', '.join(result.faults)}\n{result.wrong}")
    click.echo(
        f"{seeds} schedules, {len(total.faults)} faults, {total.calls} calls, {total.acts} acts accepted, "
        f"{total.refused} refused, {len(wrong)} wrong"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
