"""`python -m benchmarks.capacity [--only ROLE] [--quick] [--json FILE]`: see the package."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from pathlib import Path

import click
import msgspec

from benchmarks.capacity import Effort, Role, data_path, group, members, returns, state, taken
from lichencleat.capacity.slopes import FORMAT, Line, Run, Slopes, decode
from lichencleat.cli import output

ROOT = Path(__file__).resolve().parents[2]
ROLES = {  # near their budget first
    "members": Role("simulated time, processor time of the members' own calls", members.members),
    "learners": Role("in process, messages arrive at once; no sockets, no disk", group.learners),
    "group changes": Role("in process: bytes of an entry", group.changes),
    "writes": Role("three real voters on loopback, disk real, one client at a steady rate", group.writes),
    "shares": Role("in process, direct calls", state.shares),
    "facts": Role("in process, direct calls", state.facts),
    "file": Role("in process, the reader of the operators' file", state.file),
    "requests": Role(
        "the real program on loopback, open loop; an engine that answers at once", data_path.requests
    ),
    "connections": Role("the real program on loopback, callers at rest", data_path.connections),
    "settings": Role("the real program at rest, by what its settings name", data_path.settled),
    "owners": Role("in process, direct calls", state.owners),
    "judge": Role("in process, direct calls", state.judge),
    "revive": Role("in process, direct calls", returns.revive),
    "return": Role("simulated: lichencleat.testkit.simulation.revive, by plan", returns.back),
    "collector": Role("in process, IPFIX messages as the exporters make them", returns.collector),
    "senders": Role("in process, one message of each sender in turn", returns.senders),
    "table": Role("fresh processes: benchmarks.distribution_table --json, taken over", taken.table),
    "source": Role("trials with three real voters on loopback, disk real; taken over", taken.source),
    "fleet": Role("simulated: lichencleat.testkit.simulation.distribution --json, taken over", taken.fleet),
    "hollow": Role("hollow nodes on loopback: benchmarks.distribution --json, taken over", taken.hollow),
}
TAKEN = ("table", "source", "fleet", "hollow")


def commit() -> str:
    """Of the tree; with a + where files under it that are kept differ."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "lichencleat", "benchmarks")
    return git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


def memory_mb() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 20


def measured(name: str, effort: Effort) -> tuple[Run, list[Line]]:
    role = ROLES[name]
    before, begun, of = os.getloadavg()[0], time.monotonic(), commit()
    lines = role.measure(effort)
    spent = round(time.monotonic() - begun, 1)
    after = os.getloadavg()[0]
    return Run(name, role.how, spent, round(before, 2), round(after, 2), effort.seed, of), lines


def merged(path: Path, new: Slopes) -> Slopes:
    """What the file has of other runs stays, where it comes from the same kind of machine and effort."""
    if not path.exists():
        return new
    old = decode(path.read_bytes())
    if (old.cores, old.memory_mb, old.quick) != (new.cores, new.memory_mb, new.quick):
        raise output.WrongInput(f"{path}: from another machine or effort; name another file")
    names = {each.name for each in new.runs}
    runs = [each for each in old.runs if each.name not in names] + new.runs
    lines = [each for each in old.lines if each.run not in names] + new.lines
    order = list(ROLES)
    runs.sort(key=lambda each: order.index(each.name))
    lines.sort(key=lambda each: order.index(each.run))
    return msgspec.structs.replace(new, runs=runs, lines=lines)


def show(lines: list[Line]) -> None:
    rows = []
    for each in lines:
        fit = each.fit()
        reach = "all" if fit.straight else "-" if fit.straight_to is None else f"{fit.straight_to:g}"
        exponent = "-" if fit.exponent is None else f"{fit.exponent:.2f}"
        rows.append(
            [
                each.name,
                f"{each.points[0].size:g} to {each.largest_size():g} {each.size}",
                f"{each.points[0].value:.4g} to {each.points[-1].value:.4g} {each.unit}",
                f"{fit.base:.4g} + {fit.slope:.4g} n",
                exponent,
                f"{fit.residual:.0%}",
                f"{fit.spread:.0%}",
                reach,
            ]
        )
    output.table(["line", "sizes", "values", "fit", "exponent", "off", "spread", "straight to"], rows, False)


@click.command()
@click.option("--only", type=click.Choice(list(ROLES)), multiple=True, help="These measurements alone.")
@click.option("--quick", is_flag=True, help="Small sizes, for CI: the figures say nothing.")
@click.option("--seed", default=1, show_default=True)
@click.option("--take", type=click.Path(exists=True), multiple=True, help="JSON of another benchmark.")
@click.option("--json", "into", type=click.Path(path_type=Path), help="File; its other runs stay.")
def main(only: tuple[str, ...], quick: bool, seed: int, take: tuple[str, ...], into: Path | None) -> None:
    """Slopes of each role, by size, with their fits."""
    effort = Effort(quick, seed, take)
    runs, lines = [], []
    click.echo(f"{os.cpu_count()} cores, {memory_mb()} MB, commit {commit()}")
    for name in only or [each for each in ROLES if take or each not in TAKEN]:
        ran, found = measured(name, effort)
        runs.append(ran)
        lines += found
        click.echo(f"\n{name}: {ran.how}; {ran.seconds:g} s, load {ran.load_before:g} to {ran.load_after:g}")
        show(found)
        slopes = Slopes(
            FORMAT, os.cpu_count() or 1, memory_mb(), platform.python_version(), quick, runs, lines
        )
        if into is not None:  # after each: a long measurement that is ended has what it measured
            made = merged(into, slopes)
            data = msgspec.json.format(msgspec.json.encode(made), indent=1)
            decode(data)
            into.write_bytes(data + b"\n")


if __name__ == "__main__":
    main()
