"""Voters, candidates and clients of the real program through drawn faults: `python -m tests.fleet.owners
--seeds 200`.

Each schedule: three voters, four candidates for two jobs, three clients; faults drawn by the seed begin
while the others last; then all is healed, and the clients' history, the acts and the return to work are
judged.
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
FAULTS, SPAN = (2, 6), (0.1, 2.5)  # how many, and s that each lasts
BETWEEN = 0.6  # s from one to the next, at the most
KINDS = ["power", "power", "power of most", "power of all", "stop voter", "apart", "one way", "slow", "reset"]
KINDS += ["kill owner", "stop owner", "stop owner", "voter's clock", "owner's clock", "disk full"]
RATES, STEP = (0.95, 1.05), 30.0  # clocks run wrong within the stated drift; Unix time steps by s


@dataclass
class Ran:
    seed: int
    wrong: str | None = None
    faults: list[str] = field(default_factory=list)
    calls: int = 0
    acts: int = 0
    refused: int = 0


class Schedule:
    def __init__(self, rig: Rig, receiver: Receiver, rng: random.Random, ran: Ran) -> None:
        self.rig, self.receiver, self.rng, self.ran = rig, receiver, rng, ran
        self.port = receiver.port.getHost().port
        self.workers = {}
        self.started = 0
        self.undo: list[tuple[float, object]] = []

    def worker(self) -> None:
        name = f"w{self.started}"
        self.started += 1
        child = self.rig.worker(name, self.rng.choice("xy"), self.port)
        self.workers[f"{name}-{child.pid}"] = child

    def later(self, undo) -> None:
        self.undo.append((time.monotonic() + self.rng.uniform(*SPAN), undo))

    def due(self, all_of_it: bool = False) -> None:
        for each in list(self.undo):
            if all_of_it or each[0] <= time.monotonic():
                self.undo.remove(each)
                each[1]()

    def rewrite(self, voter) -> None:
        """There is room again; a voter that left, rather than lie, is started as an operator would."""
        voter.empty_disk()
        if voter.running.poll() is not None:
            voter.start()

    def begin(self) -> None:
        kind = self.rng.choice(KINDS)
        voters = self.rng.sample(list(self.rig.voters.values()), 3)
        self.ran.faults.append(f"{kind} {voters[0].name}")
        if kind.startswith("power"):
            cut = voters[: {"power": 1, "power of most": 2, "power of all": 3}[kind]]
            for each in cut:
                each.kill()
            self.later(lambda: [each.start() for each in cut if each.running.poll() is not None])
        elif kind == "stop voter":
            voters[0].stop()
            self.later(voters[0].go_on)
        elif kind == "apart":
            pairs = self.rig.apart(voters[:1], clients=self.rng.random() < 0.5)
            self.later(lambda: self.rig.heal(pairs))
        elif kind == "one way":
            pairs = {(voters[0].name, each.name) for each in voters[1:]}
            self.rig.relays.hold(pairs)
            self.later(lambda: self.rig.heal(pairs))
        elif kind == "slow":
            pairs = {(a.name, b.name) for a in voters[:1] for b in voters[1:]}
            self.rig.relays.slow(pairs, self.rng.uniform(0.01, 0.3))
            self.later(lambda: self.rig.relays.slow(pairs, 0.0))
        elif kind == "reset":
            self.rig.relays.reset(voters[0].name)
        elif kind == "voter's clock":
            self.rig.clock(voters[0].name, self.rng.uniform(*RATES), self.rng.uniform(-STEP, STEP))
        elif kind == "disk full":
            voters[0].fill_disk()
            self.later(lambda: self.rewrite(voters[0]))
        elif kind == "owner's clock":
            name = self.receiver.last.get(self.rng.choice(JOBS), "").partition("-")[0]
            self.rig.clock(name, self.rng.uniform(*RATES), self.rng.uniform(-STEP, STEP))
        else:
            child = self.workers.get(self.receiver.last.get(self.rng.choice(JOBS), ""))
            if child is None or child.poll() is not None:
                return
            if kind == "kill owner":
                child.kill()
                self.worker()
            else:
                child.send_signal(19)  # SIGSTOP
                self.later(lambda: child.send_signal(18))


def run(seed: int) -> Ran:
    ran = Ran(seed)
    rng = random.Random(f"rig {seed}")
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder))
        try:
            rig.form()
            for job in JOBS:
                rig.command("owners", "define", str(rig.voters["v1"].file), job, "--near", rng.choice("xy"))
            receiver = rig.relays.call(Receiver, rig.relays.reactor)
            schedule = Schedule(rig, receiver, rng, ran)
            for _ in range(4):
                schedule.worker()
            rig.until(lambda: set(receiver.last) == set(JOBS), "an act on each job")
            writers = [Writer(rig, f"c{number}") for number in range(3)]
            for _ in range(rng.randint(*FAULTS)):
                schedule.begin()
                time.sleep(rng.uniform(0, BETWEEN))
                schedule.due()
            while schedule.undo:
                time.sleep(0.05)
                schedule.due()
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
            ran.calls, ran.acts, ran.refused = len(history), receiver.watch.accepted, receiver.watch.refused
            ran.wrong = receiver.watch.wrong or check_key_value_history(history)
        except AssertionError as wrong:
            ran.wrong = str(wrong)
        finally:
            rig.close()
    return ran


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--side-by-side", default=2, show_default=True, help="Rigs at once; each has eight processes.")
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Plays drawn schedules, and tells what broke."""
    total = Ran(0)
    wrong = []
    with ProcessPoolExecutor(side_by_side) as pool:
        for ran in pool.map(run, range(first, first + seeds)):
            total.calls, total.acts = total.calls + ran.calls, total.acts + ran.acts
            total.refused += ran.refused
            total.faults += ran.faults
            if ran.wrong is not None:
                wrong.append(ran)
                click.echo(f"seed {ran.seed}: {', '.join(ran.faults)}\n{ran.wrong}")
    click.echo(
        f"{seeds} schedules, {len(total.faults)} faults, {total.calls} calls, {total.acts} acts accepted, "
        f"{total.refused} refused, {len(wrong)} wrong"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
