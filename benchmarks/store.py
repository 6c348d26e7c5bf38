"""The store's figures on this machine: python -m benchmarks.store [--pairs N] [--only NAME]. No part of CI.

Each measurement runs in a process of its own; pairs alternate; medians and spreads are printed.
"""

import gc
import multiprocessing
import os
import random
import resource
import statistics
import tempfile
import time

import click

from benchmarks import command
from lichencleat.cli import output
from lichencleat.store import bench
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine

VALUE = 128  # bytes
SECONDS = 2.0  # of each measurement of a rate
LARGE = StoreLimits(
    max_disk_bytes=8 << 30, max_entries=20_000_000, max_memory_bytes=8 << 30, keep_reserve=False
)


class SlowFlush(RealDisk):
    """A disk whose flush takes a millisecond more: what a plain SSD without a cache that survives takes."""

    def flush(self, file):
        super().flush(file)
        time.sleep(0.001)


def alone(call, *args):
    """The call's result, from a process and a directory of its own."""
    with tempfile.TemporaryDirectory() as top, multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(call, (os.path.join(top, "s"), *args))


def with_store(path, disk, most, upkeep, drive, seconds):
    """Runs a reactor with a store on it; `drive(store, over)` starts the callers. The store's counts at the
    end.
    """
    from twisted.internet import reactor

    from lichencleat.store.store import open_store

    counts = {}

    def opened(store):
        begun = time.monotonic()
        drive(store, lambda: time.monotonic() - begun > seconds)
        reactor.callLater(seconds + 0.3, lambda: close(store))

    def close(store):
        counts.update(store.stat())
        store.close().addCallback(lambda _: reactor.stop())

    def start():
        open_store(
            reactor, path, bench.now, random.Random(1), most, disk=disk, maintenance=upkeep
        ).addCallbacks(opened, lambda why: (why.printTraceback(), reactor.stop()))

    reactor.callWhenRunning(start)
    reactor.run()
    return counts


def confirmed(path, callers, slow):
    """Confirmed puts a second by so many callers, each with one under way, and what one waits (µs)."""
    seen, value = bench.histogram(), random.Random(1).randbytes(VALUE)
    count = 0

    def drive(store, over):
        def again(_, caller, at):
            nonlocal count
            if at:
                count += 1
                seen.record_value(max(1, (time.perf_counter_ns() - at) // 1000))
            if not over():
                told = store.put(b"%04d%012d" % (caller, count), value)
                told.addCallback(again, caller, time.perf_counter_ns())

        for caller in range(callers):
            again(None, caller, 0)

    os.mkdir(path)
    with_store(path, SlowFlush(path) if slow else RealDisk(path), LARGE, False, drive, SECONDS)
    return count / SECONDS, bench.quantiles(seen)


def flushed_each(path, slow):
    os.mkdir(path)
    disk = SlowFlush(path) if slow else RealDisk(path)
    file = disk.open("baseline", create=True)
    value, count = random.Random(1).randbytes(VALUE), 0
    begun = time.monotonic()
    while time.monotonic() - begun < SECONDS:
        disk.append(file, b"%016d" % count + value)
        disk.flush(file)
        count += 1
    return count / SECONDS


def puts(pairs):
    rows = []
    for slow in (False, True):
        for callers in (1, 16, 256):
            ours, base, waits = [], [], []
            for _ in range(pairs):
                base.append(alone(flushed_each, slow))
                rate, quantiles = alone(confirmed, callers, slow)
                ours.append(rate)
                waits.append(quantiles)
            ratios = sorted(mine / its for mine, its in zip(ours, base, strict=True))
            middle = [round(statistics.median(column)) for column in zip(*waits, strict=True)]
            rows.append(
                [
                    "+1 ms" if slow else "as it is",
                    callers,
                    round(statistics.median(base)),
                    round(statistics.median(ours)),
                    f"{statistics.median(ratios):.1f} ({ratios[0]:.1f}-{ratios[-1]:.1f})",
                    *middle,
                ]
            )
    head = [
        "flush",
        "callers",
        "flush each/s",
        "confirmed/s",
        "ratio (spread)",
        "p50 us",
        "p99 us",
        "p999 us",
    ]
    output.table(head, rows, False)


def mixed(path, upkeep):
    """Reads and rewrites at once, paced, on a store with garbage: what a read waits (µs), and what a put
    waits.
    """
    keys = [b"%016d" % n for n in range(50_000)]
    most = StoreLimits(segment_bytes=4 << 20, max_disk_bytes=8 << 30, keep_reserve=False)
    engine = bench.open_engine(path, most)
    value = random.Random(1).randbytes(VALUE)
    for turn in range(2):  # twice: half of it is garbage
        for at in range(0, len(keys), 500):
            engine.commit([Batch().put(key, value) for key in keys[at : at + 500 - 200 * turn]])
    engine.close()
    rng, reads, writes = random.Random(2), bench.histogram(), bench.histogram()

    def drive(store, over):
        from twisted.internet import task

        def record(_, seen, at):
            seen.record_value(max(1, (time.perf_counter_ns() - at) // 1000))

        def tick():
            if over():
                return
            at = time.perf_counter_ns()
            for _ in range(4):
                store.get(rng.choice(keys)).addCallback(record, reads, at)
            for _ in range(4):
                store.put(rng.choice(keys), value).addCallback(record, writes, at)

        task.LoopingCall(tick).start(0.002)

    counts = with_store(path, RealDisk(path), most, upkeep, drive, 3 * SECONDS)
    return bench.quantiles(reads), bench.quantiles(writes), counts["segments cleaned"]


def latency(pairs):
    rows, found = [], {False: [], True: []}
    for _ in range(pairs):
        for upkeep in (False, True):
            found[upkeep].append(alone(mixed, upkeep))
    for upkeep, each in found.items():
        for at, what in enumerate(("get", "put")):
            middle = [
                round(statistics.median(column)) for column in zip(*(one[at] for one in each), strict=True)
            ]
            cleaned = round(statistics.median(one[2] for one in each))
            rows.append([what, "on" if upkeep else "off", cleaned, *middle])
    output.table(["", "compaction", "segments cleaned", "p50 us", "p99 us", "p999 us"], sorted(rows), False)
    ratios = sorted(on[0][1] / off[0][1] for off, on in zip(found[False], found[True], strict=True))
    click.echo(f"p99 of gets, on / off: {statistics.median(ratios):.2f} ({ratios[0]:.2f}-{ratios[-1]:.2f})")


def fill(path, count):
    engine = bench.open_engine(path, LARGE)
    for at in range(0, count, 1000):
        engine.commit([Batch().put(b"%016d" % n, b"%016d" % n) for n in range(at, min(at + 1000, count))])
    engine.close()


def timed_open(path):
    at = time.perf_counter()
    engine = bench.open_engine(path, LARGE)
    spent = time.perf_counter() - at
    count = len(engine.log.index)
    engine.release_resources()
    return spent, count


def opening(path, count):
    """Seconds to open with a checkpoint and without."""
    pool = multiprocessing.get_context("spawn")
    with pool.Pool(1) as filler:
        filler.apply(fill, (path, count))
    times = []
    for point in (True, False):
        if not point:
            with_file = os.path.join(path, "checkpoint")
            if os.path.exists(with_file):
                os.unlink(with_file)
        tries = []
        for _ in range(3):
            with pool.Pool(1) as opener:
                spent, found = opener.apply(timed_open, (path,))
            assert found == count
            tries.append(spent)
        times.append(statistics.median(tries))
    return times


def open_times(pairs):
    rows = []
    for count in (10_000, 100_000, 1_000_000):
        with tempfile.TemporaryDirectory() as top:
            rows.append([count, *(f"{each:.2f}" for each in opening(os.path.join(top, "s"), count))])
    output.table(["records", "s with a checkpoint", "s without"], rows, False)


def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def held(path):
    """Bytes of memory a key: what a process that did nothing before holds more once the store is open."""
    before = resident()
    engine = bench.open_engine(path, LARGE)
    gc.collect()
    count = len(engine.log.index)
    return count, (resident() - before) / count, engine.log.index.memory_bytes / count


def memory(pairs):
    rows = []
    with tempfile.TemporaryDirectory() as top:
        path = os.path.join(top, "s")
        for call in (fill, held):
            with multiprocessing.get_context("spawn").Pool(1) as pool:
                row = pool.apply(call, (path, 1_000_000) if call is fill else (path,))
        rows.append(row)
    output.table(["keys of 16 bytes", "bytes a key, resident", "as the store counts"], rows, False)


def overwritten(path, share):
    """Written over asked for, where rewriting at random keeps that share of the bytes garbage."""
    most = StoreLimits(segment_bytes=4 << 20, max_disk_bytes=8 << 30, keep_reserve=False)
    engine = bench.open_engine(path, most)
    rng, keys = random.Random(3), [b"%016d" % n for n in range(40_000)]
    value = rng.randbytes(1_000)
    for at in range(0, len(keys), 200):
        engine.commit([Batch().put(key, value) for key in keys[at : at + 200]])
    before = dict(engine.log.counts)
    for _ in range(1_200):  # six times over
        engine.commit([Batch().put(rng.choice(keys), value) for _ in range(200)])
        while engine.stat()["bytes of garbage"] > share * engine.stat()["bytes on disk"] and engine.step():
            pass
    after = engine.log.counts
    written = after["bytes written"] - before["bytes written"]
    stat = engine.stat()
    engine.close()
    return written / (after["bytes asked for"] - before["bytes asked for"]), stat["bytes of garbage"] / stat[
        "bytes on disk"
    ]


def garbage(pairs):
    rows = [[f"{share:.0%}", *(f"{each:.2f}" for each in alone(overwritten, share))] for share in (0.5,)]
    output.table(["garbage kept at", "written / asked for", "garbage at the end"], rows, False)


def rewritten(path):
    """One key, a million times: bytes on disk at the end, the most while it went on, seconds."""
    engine = bench.open_engine(path, StoreLimits(max_disk_bytes=256 << 20, keep_reserve=False))
    begun, most = time.monotonic(), 0
    for at in range(0, 1_000_000, 250):
        for verdict in engine.commit([Batch().put(b"key", b"%0128d" % n) for n in range(at, at + 250)]):
            if verdict is not None:
                raise verdict
        engine.step()
        most = max(most, engine.log.total_bytes())
    while engine.step():
        pass
    return engine.log.total_bytes(), most, time.monotonic() - begun


def expired(path):
    """Ten million records that expire together: bytes on disk before and after, seconds of upkeep, longest
    step (ms).
    """
    at_end = [bench.now() + 10**15]
    engine = Engine.open(RealDisk(path, create=True), lambda: at_end[0], random.Random(1), LARGE, create=True)
    for at in range(0, 10_000_000, 1000):
        engine.commit([Batch().put(b"%016d" % n, b"", at_end[0] + 1) for n in range(at, at + 1000)])
        engine.step()
    before, begun, longest = engine.log.total_bytes(), time.monotonic(), 0.0
    at_end[0] += 2 + 10_000_000 * 10  # past the expiry, and past the rest between two sweeps
    while True:
        one = time.monotonic()
        left = engine.step()
        longest = max(longest, time.monotonic() - one)
        if not left:
            break
    return before, engine.log.total_bytes(), time.monotonic() - begun, longest * 1000


def extremes(pairs):
    after, most, spent = alone(rewritten)
    output.table(
        ["one key rewritten", "bytes at the end", "most", "s"], [[1_000_000, after, most, spent]], False
    )
    before, after, spent, longest = alone(expired)
    head = ["expired together", "bytes before", "after", "s of upkeep", "longest step, ms"]
    output.table(head, [[10_000_000, before, after, spent, longest]], False)


MEASURES = {
    "extremes": extremes,
    "puts": puts,
    "latency": latency,
    "open": open_times,
    "memory": memory,
    "garbage": garbage,
}


if __name__ == "__main__":
    command(MEASURES)()
