"""Configuration distribution under random faults: `python -m tests.fleet.distribution --seeds 1-100`.

Each schedule runs three voters, two regions, two zones with two relays each, and nodes that record the
configuration that they have in force. Batches are published throughout. The seed determines the faults, of
which several may be active at once; at the end all faults are removed. The checks cover every
version that a node recorded or acknowledged, and that all nodes reach the newest version in time.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from lichencleat.testkit.cluster.distribution import DistributionRig
from lichencleat.testkit.cluster.distribution_parts import Child, RelayProcess

# range of the number of faults; range of a fault's duration in s; most s between the starts of two faults
FAULT_COUNT, FAULT_DURATION, MAX_FAULT_INTERVAL = (3, 9), (0.2, 4.0), 1.0
CHECK_INTERVAL = 0.05  # s between two checks of the output
# s in which all nodes must reach the newest version after the faults; relays use the delays of production
RECOVERY_TIMEOUT = 30.0
# range of the rates of clocks, within the allowed drift; largest step of Unix time in s
CLOCK_RATES, MAX_CLOCK_STEP = (0.95, 1.05), 30.0
# kinds of faults; a kind is drawn more often if it is listed several times
KINDS = ["kill", "kill", "kill", "stop", "stop", "cut region", "cut", "cut", "one way", "slow", "reset"]
KINDS += [
    "spoilt link",
    "spoilt link",
    "spoilt file",
    "torn file",
    "half a write",
    "old copy",
    "old copy",
    "disk full",
]
KINDS += ["clock", "kill voter", "kill voters", "stop voter", "cut voter", "other group"]


@dataclass
class ScheduleResult:
    """Faults and result of one schedule."""

    seed: int
    failure: str | None = None  # the failure, None if the schedule passed
    faults: list[str] = field(default_factory=list)
    lines: int = 0  # lines written by nodes
    acknowledgements: int = 0  # acknowledgements of nodes
    batches: int = 0  # confirmed batches
    recovery_time: float = 0.0  # s from the end of faults until all nodes had the newest version
    corrupted_bytes: int = 0  # bytes changed on network links
    snapshots: int = 0  # requests that begin a snapshot


class Schedule:
    """Injects random faults and ends each one after a random time."""

    def __init__(
        self,
        rig: DistributionRig,
        other: RelayProcess,
        rng: random.Random,
        result: ScheduleResult,
        kinds: list[str],
    ) -> None:
        self.rig, self.other, self.rng, self.result, self.kinds = rig, other, rng, result, kinds
        self.undo: list[tuple[float, Any]] = []
        self.copies: dict[str, Path] = {}

    def undo_later(self, undo: Any) -> None:
        """Schedule the end of a fault after a random duration."""
        self.undo.append((time.monotonic() + self.rng.uniform(*FAULT_DURATION), undo))

    def end_due_faults(self) -> None:
        """End the faults whose duration has passed."""
        for each in list(self.undo):
            if each[0] <= time.monotonic():
                self.undo.remove(each)
                each[1]()

    def run_for(self, span: float) -> None:
        """Wait `span` seconds; meanwhile publish batches, check the output and end faults that are due."""
        end = time.monotonic() + span
        while True:
            self.rig.publish_in_background()
            self.end_due_faults()
            self.rig.check_output()
            if time.monotonic() >= end:
                return
            time.sleep(CHECK_INTERVAL)

    def coin(self) -> int:
        """Return 0 or 1 at random."""
        return self.rng.randrange(2)

    @staticmethod
    def ensure_started(each: Child) -> None:
        """Start a process unless it is running."""
        if not each.is_up():
            each.start()

    def inject_fault(self) -> None:
        """Inject a random fault."""
        rig, rng = self.rig, self.rng
        kind = rng.choice(self.kinds)
        group: list[Child] = list((rig.relay_processes, rig.watchers)[self.coin()].values())
        each = rng.choice(group)
        voters = rng.sample(list(rig.voters.values()), 2)
        self.result.faults.append(f"{kind} {voters[0].name if 'voter' in kind else each.name}")
        if kind == "kill":
            each.kill()
            self.undo_later(lambda: self.ensure_started(each))
        elif kind == "stop":
            each.stop()
            self.undo_later(each.resume)
        elif kind.startswith("kill voter"):
            killed = voters if kind == "kill voters" else voters[:1]
            for one in killed:
                one.kill()
            self.undo_later(lambda: [one.start() for one in killed if one.running.poll() is not None])
        elif kind == "stop voter":
            voters[0].stop()
            self.undo_later(voters[0].resume)
        elif kind.startswith("cut") or kind == "one way":
            self.inject_network_fault(kind, each, voters[0].name)
        elif kind in ("slow", "reset", "spoilt link"):
            self.inject_link_fault(kind, rng.choice([*rig.relay_processes.values(), voters[0]]).name)
        elif kind == "other group":
            relay = rng.choice(list(rig.relay_processes.values()))
            rig.redirect(relay, self.other.port)
            self.undo_later(lambda: rig.redirect(relay, relay.port))
        elif kind == "clock":
            name = rng.choice([each.name, voters[0].name])
            rig.clock(name, rng.uniform(*CLOCK_RATES), rng.uniform(-MAX_CLOCK_STEP, MAX_CLOCK_STEP))
        else:
            self.inject_disk_fault(kind, each)

    def inject_network_fault(self, kind: str, each: Child, voter: str) -> None:
        """Block network traffic of a process, a voter or a region."""
        rig = self.rig
        if kind == "one way":
            pairs = {(each.name, name) for name in (*rig.relay_processes, *rig.voters)}
            rig.relays.block(pairs)
        else:
            zone = self.rng.choice(rig.zones)
            here = {"cut region": rig.processes_in_region(zone), "cut": {each.name}, "cut voter": {voter}}[
                kind
            ]
            pairs = rig.block_traffic(here)
        self.undo_later(lambda: rig.heal(pairs))

    def inject_link_fault(self, kind: str, name: str) -> None:
        """Reset, corrupt or delay the connections to the named process."""
        rig = self.rig
        callers = {link.caller for link in list(rig.relays.by_name[name].links)} - set(rig.voters)
        pairs = {(name, caller) for caller in callers}
        if kind == "reset":
            rig.relays.reset(name)
        elif kind == "spoilt link":
            rig.relays.corrupt_next_answer(pairs)
        else:
            rig.relays.set_delay(pairs, self.rng.uniform(0.01, 0.4))
            self.undo_later(lambda: rig.relays.set_delay(pairs, 0.0))

    def inject_disk_fault(self, kind: str, each: Child) -> None:
        """Inject a fault of a process's disk or stored files."""
        rng = self.rng
        if kind == "disk full":
            each.fill_disk()
            self.undo_later(each.empty_disk)
        elif kind == "old copy" and each.name not in self.copies:
            if each.is_up() and each.directory.exists():
                self.copies[each.name] = each.copy_directory()
                self.undo_later(lambda: self.restore_old_copy(each))
        else:
            each.kill()
            if kind == "half a write":
                each.delete_half_of_pages(rng)
            elif kind == "torn file":
                each.truncate_file(rng)
            elif kind == "spoilt file":
                self.result.faults[-1] += f" ({each.corrupt_file(rng)})"
            self.undo_later(lambda: self.ensure_started(each))

    def restore_old_copy(self, each: Child) -> None:
        """Restart a running process with the copy of its directory that was made earlier."""
        if each.is_up():
            each.kill()
            each.restore_directory(self.copies.pop(each.name))
            self.ensure_started(each)

    def end_faults(self) -> None:
        """End all faults, and wait until all nodes have the newest version. Raises AssertionError."""
        rig = self.rig
        while self.undo:
            self.run_for(CHECK_INTERVAL)
        for each in (*rig.relay_processes.values(), *rig.watchers.values()):
            rig.clock(each.name)
            self.ensure_started(each)
        for voter in rig.voters.values():
            rig.clock(voter.name)
            if voter.running.poll() is not None:
                voter.start()
        rig.relays.call(rig.relays.corruption_targets.clear)
        begun = time.monotonic()
        rig.until(lambda: rig.leader() is not None, "a leader")
        rig.publish()
        rig.patience = RECOVERY_TIMEOUT
        rig.wait_for_version()
        self.result.recovery_time = time.monotonic() - begun


def run(seed: int, nodes: int, kinds: list[str], most: int) -> ScheduleResult:
    """Run the schedule of a seed with up to `most` faults of these kinds, and return its result."""
    result = ScheduleResult(seed)
    rng = random.Random(f"distribution {seed}")
    with tempfile.TemporaryDirectory() as folder:
        rig = None
        try:
            rig = DistributionRig(Path(folder), nodes=nodes, seed=seed)
            rig.start()
            schedule = Schedule(rig, rig.form_other_group(), rng, result, kinds)
            for _ in range(rng.randint(FAULT_COUNT[0], most)):
                schedule.inject_fault()
                schedule.run_for(rng.uniform(0, MAX_FAULT_INTERVAL))
            schedule.end_faults()
        except AssertionError as wrong:
            result.failure = str(wrong)
        finally:
            if rig is not None:
                result.lines, result.acknowledgements = rig.watch.heard, rig.watch.acknowledged
                result.batches, result.corrupted_bytes = len(rig.watch.published), rig.relays.corrupted_bytes
                result.snapshots = sum(each.operation == "digests" for each in rig.relays.requests)
                rig.close()
    return result


def parse_seeds(text: str) -> range:
    """Parse a range of seeds such as "3-7", or one seed such as "3"."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@click.command()
@click.option("--seeds", default="1-20", show_default=True, help="Range of seeds, FIRST-LAST.")
@click.option("--nodes", default=4, show_default=True, help="Nodes in each of the two zones.")
@click.option(
    "--only", type=click.Choice(sorted(set(KINDS))), multiple=True, help="Inject only faults of this kind."
)
@click.option(
    "--most", default=FAULT_COUNT[1], show_default=True, help="Maximum number of faults in a schedule."
)
@click.option("--side-by-side", default=1, show_default=True, help="Schedules that run in parallel.")
def main(seeds: str, nodes: int, only: tuple[str, ...], most: int, side_by_side: int) -> None:
    """Run random fault schedules and report the failures."""
    drawn = parse_seeds(seeds)
    kinds = list(only) or KINDS
    done: list[ScheduleResult] = []
    with ProcessPoolExecutor(side_by_side) as pool:
        arguments = ([each] * len(drawn) for each in (nodes, kinds, most))
        for result in pool.map(run, drawn, *arguments):
            done.append(result)
            if result.failure is not None:
                click.echo(f"seed {result.seed}: {', '.join(result.faults)}\n{result.failure}")
    kinds_injected = (each.partition(" (")[0].rpartition(" ")[0] for result in done for each in result.faults)
    click.echo(", ".join(f"{kind} {count}" for kind, count in sorted(Counter(kinds_injected).items())))
    failed = [each for each in done if each.failure is not None]
    recovery_times = sorted(each.recovery_time for each in done if each.failure is None)
    click.echo(
        f"{len(done)} schedules of {2 * nodes} nodes, {sum(len(each.faults) for each in done)} faults, "
        f"{sum(each.batches for each in done)} batches, {sum(each.lines for each in done)} words of nodes, "
        f"{sum(each.acknowledgements for each in done)} acknowledgements, "
        f"{sum(each.snapshots for each in done)} snapshots begun, "
        f"{sum(each.corrupted_bytes for each in done)} bytes spoilt; well again after "
        f"{recovery_times[len(recovery_times) // 2] if recovery_times else 0:.1f} s at the median, "
        f"{recovery_times[-1] if recovery_times else 0:.1f} s at the most; {len(failed)} wrong"
    )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
