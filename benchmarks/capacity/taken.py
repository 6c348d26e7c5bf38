"""Figures of other benchmarks, taken over from their JSON files: the table (`benchmarks.distribution_table`),
relays and hollow nodes on sockets (`benchmarks.distribution`), the fleet in simulated time
(`lichencleat.testkit.simulation.distribution`). Each file is told by its form; several of one kind give
the sizes.
"""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from benchmarks.capacity import Effort, Lines
from lichencleat.capacity.slopes import Line

SOURCE_RUN = "real_run"
Taken = Callable[[list[dict[str, Any]]], list[Line]]


def kind_of(found: dict[str, Any]) -> str:
    """Which benchmark wrote it; empty: none that is known."""
    if isinstance(found.get("size"), dict) and "runs" in found:
        return "fleet"
    if isinstance(found.get("sizes"), list) and "fits" in found:
        return "hollow"
    if isinstance(found.get("figures"), list) and "machine" in found:
        return "table"
    if any(name.startswith(SOURCE_RUN) for name in found):
        return "source"
    return ""


def read(paths: tuple[str, ...]) -> dict[str, list[dict[str, Any]]]:
    """By kind. Raises click.ClickException for a file of none."""
    by_kind: dict[str, list[dict[str, Any]]] = {}
    for path in paths:
        try:
            found = json.loads(Path(path).read_text())
        except ValueError as wrong:
            raise click.ClickException(f"{path}: no JSON: {wrong}") from wrong
        kind = kind_of(found) if isinstance(found, dict) else ""
        if not kind:
            raise click.ClickException(f"{path}: of no benchmark that is known here")
        by_kind.setdefault(kind, []).append(found)
    return by_kind


def of_files(effort: Effort, kind: str) -> list[dict[str, Any]]:
    return read(effort.take).get(kind, [])


# -- the fleet in simulated time ---------------------------------------------------------------------------


PEAKS = ("calm", "replaced", "power cold")  # events whose bytes are told


def slug(event: str) -> str:
    return event.replace(" ", "_")


def fleet(effort: Effort) -> list[Line]:
    """By nodes: until in force and until back, bytes of a node, for each event that has two sizes."""
    lines = Lines("fleet", simulated=True)
    files = of_files(effort, "fleet")
    for found in files:
        nodes = found["size"]["nodes"]
        for ran in found["runs"]:
            name = slug(ran["event"])
            if ran["event"] == "drawn":
                continue
            for word, what in (("p99", "99 in 100 nodes"), ("all", "every node that was there")):
                put(lines, f"{name}.in_force_{word}_s", nodes, ran["in_force"][f"{word}_ms"] / 1e3, "s", what)
            backs = [each["all_ms"] for each in ran["back"].values()]
            if backs:
                put(lines, f"{name}.back_s", nodes, max(backs) / 1e3, "s", "the last one, from its start")
            node = ran["costs"]["node"]
            put(lines, f"{name}.node_bytes_s", nodes, node["bytes_a_second"], "bytes a second", "all nodes")
            put(
                lines,
                f"{name}.node_peak_mb",
                nodes,
                node["peak_second"] / 1e6,
                "MB",
                "of one node in a second",
            )
        day = found["day"]
        if "start_cold" in day:
            put(lines, "starts.cold_mb", nodes, day["start_cold"] / 1e6, "MB", "a start without a disk")
            put(lines, "starts.day_bytes_s", nodes, day["day_cold"], "bytes a second", "with starts, no disk")
    return enough_sizes(lines)


def put(lines: Lines, name: str, size: float, value: float, unit: str, note: str) -> None:
    lines.kind(name, "nodes", unit, note)
    lines.add(name, size, value)


def enough_sizes(lines: Lines) -> list[Line]:
    """Without the lines that have one size alone, or none."""
    for name in [name for name in lines.kinds if len(lines.values.get(name, ())) < 2]:
        del lines.kinds[name]
    return lines.made()


# -- relays and hollow nodes on sockets --------------------------------------------------------------------


def hollow(effort: Effort) -> list[Line]:
    """By the nodes of a relay, at about one change a second; and by the changes, at rest and under them."""
    lines = Lines("hollow")
    sizes = [each for found in of_files(effort, "hollow") for each in found["sizes"]]
    lines.kind(
        "relay.core", "subscribers", "of a core", "a relay of a zone; at rest or under changes, the higher"
    )
    lines.kind("relay.memory_mb", "subscribers", "MB", "a relay of a zone, with few records")
    lines.kind(
        "subscriber.core", "changes a second", "of a core", "hollow: without its table; the higher, too"
    )
    lines.kind("subscriber.bytes_s", "changes a second", "bytes a second", "in and out, without headers")
    lines.kind("hollow.in_force_s", "nodes", "s", "the last of all, changes one by one; one machine for all")
    lines.kind("hollow.burst_s", "nodes", "s", "the last of all, of 50 batches at once")
    for each in sizes:
        rest, made = each["rest"], each["changes"]
        feeders = [
            (one, rest["relays"].get(name, one))
            for name, one in made["relays"].items()
            if "-" in name and one["subscribers"]
        ]
        if not feeders:
            continue
        mean = round(statistics.mean(one["subscribers"] for one, _ in feeders))
        for one, calm in feeders:
            used = max(one["cpu_percent"], calm["cpu_percent"])
            lines.add("relay.core", mean, used / 100 / one["subscribers"] * mean)
            lines.add("relay.memory_mb", mean, one["rss_mb"])
        rate = round(made["changes"] / made["seconds"], 1)
        most = max(rest["node_cpu_percent"], made["node_cpu_percent"])
        for at, used, part in ((0.0, rest["node_cpu_percent"], rest), (rate, most, made)):
            lines.add("subscriber.core", at, used / 100)
            lines.add("subscriber.bytes_s", at, part["node_bytes_in_s"] + part["node_bytes_out_s"])
        lines.add("hollow.in_force_s", each["nodes"], made["in_force_ms"]["all"] / 1e3)
        lines.add("hollow.burst_s", each["nodes"], each["burst"]["last_in_force_ms"]["all"] / 1e3)
    return enough_sizes(lines)


# -- the table of a node -----------------------------------------------------------------------------------

TABLE = {  # line: what the benchmark calls it, how many of these are one, unit, note
    "table.memory_mb": ("memory after the batches bytes", 1e6, "MB", "of the process, added"),
    "table.memory_most_mb": ("memory at the most bytes", 1e6, "MB", "while it is fetched from nothing"),
    "table.snapshot_mb": ("snapshot bytes", 1e6, "MB", "all pages, packed"),
    "table.find_us": ("find p99 us", 1, "µs", "99 in 100 look-ups, by the clock"),
    "table.change_us": ("batch of 1 cpu us", 1, "µs", "a batch of one change, taken over"),
    "table.burst_us": ("batch of 50 cpu us", 1, "µs", "a batch of 50 changes, taken over"),
    "table.batch_slice_us": ("batch slice longest cpu us", 1, "µs", "longest slice, processor time"),
    "table.rebuild_slice_us": ("rebuild slice longest cpu us", 1, "µs", "longest slice, processor time"),
    "table.load_turn_ms": ("load reactor longest turn ms", 1, "ms", "by the clock, others' turns included"),
    "table.rebuild_s": ("rebuild cpu s", 1, "s", "from nothing, processor time"),
    "table.load_s": ("load s", 1, "s", "from a disk, by the clock"),
    "table.kept_ms": ("change written cpu ms", 1, "ms", "a change written to the disk"),
}


def table(effort: Effort) -> list[Line]:
    """By the records."""
    lines = Lines("table")
    for found in of_files(effort, "table"):
        for each in found["figures"]:
            for name, (figure, of, unit, note) in TABLE.items():
                lines.kind(name, "records", unit, note)
                lines.add(name, each["size"], each[figure] / of)
    return enough_sizes(lines)


# -- the voters of configuration ---------------------------------------------------------------------------


def source(effort: Effort) -> list[Line]:
    """Three real voters with nothing and with all records; trials, not a benchmark that stands."""
    lines = Lines("source")
    lines.kind(
        "source.batch_p99_ms", "records", "ms", "a batch of one change confirmed, one client, one at a time"
    )
    lines.kind("source.memory_mb", "records", "MB", "a voter")
    for found in of_files(effort, "source"):
        for name, ran in found.items():
            if not name.startswith(SOURCE_RUN):
                continue
            full = json.loads(ran["load"]["said"])["records"]
            for size, batches, held in (
                (0, "batches_of_1", "empty"),
                (full, "batches_of_1_loaded", "after_small"),
            ):
                lines.add("source.batch_p99_ms", size, ran[batches]["ms_p50_p99_max"][1])
                lines.add("source.memory_mb", size, max(each["rss_mb"] for each in ran[held].values()))
    return enough_sizes(lines)
