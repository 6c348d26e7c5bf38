"""Measures a store on the machine's own disk: for `store bench` and benchmarks/store.py."""

from __future__ import annotations

import os
import random
import shutil
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine

LOWEST, HIGHEST, DIGITS = 1, 60_000_000, 3  # ns/1000: latencies from 1 µs to a minute, to three digits
PUT_HEAD = ["way", "callers", "puts_per_s", "p50_us", "p99_us", "p999_us"]


def now() -> int:
    return time.time_ns() // 1000


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST, HIGHEST, DIGITS)


def quantiles(seen: HdrHistogram) -> list[int]:
    return [int(seen.get_value_at_percentile(each)) for each in (50, 99, 99.9)]


def open_engine(path: str, most: StoreLimits | None = None) -> Engine:
    return Engine.open(RealDisk(path, create=True), now, random.Random(1), most or StoreLimits(), create=True)


def flushed_each(path: str, seconds: float, value: bytes) -> list:
    """The baseline: an append and a flush for each put, whoever else waits."""
    disk = RealDisk(path, create=True)
    file = disk.open("baseline", create=True)
    seen, end, count = histogram(), time.monotonic() + seconds, 0
    begun = time.monotonic()
    while time.monotonic() < end:
        at = time.perf_counter_ns()
        disk.append(file, b"%016d" % count + value)
        disk.flush(file)
        seen.record_value((time.perf_counter_ns() - at) // 1000)
        count += 1
    spent = time.monotonic() - begun
    disk.close(file)
    disk.unlock()
    return ["flush each put", 1, count / spent, *quantiles(seen)]


def grouped(path: str, callers: int, seconds: float, value: bytes) -> list:
    """So many callers, each with one put under way: what waits while a flush is under way goes with the next
    one.
    """
    engine = open_engine(path)
    seen, end, count = histogram(), time.monotonic() + seconds, 0
    begun = time.monotonic()
    while time.monotonic() < end:
        at = time.perf_counter_ns()
        group = [Batch().put(b"%016d" % (count + each), value) for each in range(callers)]
        for verdict in engine.commit(group):
            if verdict is not None:
                raise verdict
        seen.record_value((time.perf_counter_ns() - at) // 1000, callers)
        count += callers
    spent = time.monotonic() - begun
    engine.close()
    return ["group commit", callers, count / spent, *quantiles(seen)]


def puts(path: str, callers: list[int], seconds: float, value_bytes: int) -> list[list]:
    """Rows as PUT_HEAD says; the directory is left empty."""
    value = random.Random(1).randbytes(value_bytes)
    made = RealDisk(path, create=True)
    made.unlock()
    rows = []

    def measure(way: Callable[..., list], *args: object) -> None:
        inner = os.path.join(path, "bench")
        try:
            rows.append(way(inner, *args))
        finally:
            shutil.rmtree(inner, ignore_errors=True)

    measure(flushed_each, seconds, value)
    for each in callers:
        measure(grouped, each, seconds, value)
    return rows
