"""Benchmark: measures a store on a local disk, for `store bench` and benchmarks/store.py."""

from __future__ import annotations

import os
import random
import shutil
import time

from hdrh.histogram import HdrHistogram

from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine

# Latencies are recorded from 1 µs to one minute, with three significant digits.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 99, 99.9)
PUT_HEAD = ["way", "callers", "puts_per_s", "p50_us", "p99_us", "p999_us"]


Row = list[str | int | float]
"""One line of the table, with the columns PUT_HEAD."""


def now() -> int:
    """The current time in µs of Unix time."""
    return time.time_ns() // 1000


def histogram() -> HdrHistogram:
    """Create an empty histogram of latencies in µs."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def quantiles(latencies: HdrHistogram) -> list[int]:
    """The 50th, 99th and 99.9th percentile in µs."""
    return [int(latencies.get_value_at_percentile(each)) for each in PERCENTILES]


def open_engine(path: str, limits: StoreLimits | None = None) -> Engine:
    """Open or create the store in a directory."""
    return Engine.open(
        RealDisk(path, create=True), now, random.Random(1), limits or StoreLimits(), create=True
    )


def measure_flushed_each(path: str, seconds: float, value: bytes) -> Row:
    """Measure the baseline without group commit: one append and one flush per put."""
    disk = RealDisk(path, create=True)
    file = disk.open("baseline", create=True)
    latencies = histogram()
    count = 0
    end = time.monotonic() + seconds
    begun = time.monotonic()
    while time.monotonic() < end:
        at = time.perf_counter_ns()
        disk.append(file, b"%016d" % count + value)
        disk.flush(file)
        latencies.record_value((time.perf_counter_ns() - at) // 1000)
        count += 1
    spent = time.monotonic() - begun
    disk.close(file)
    disk.unlock()
    return ["flush each put", 1, count / spent, *quantiles(latencies)]


def measure_grouped(path: str, callers: int, seconds: float, value: bytes) -> Row:
    """Measure group commit with `callers` concurrent callers, each with one put outstanding.

    Each group has one put of every caller.
    """
    engine = open_engine(path)
    latencies = histogram()
    count = 0
    end = time.monotonic() + seconds
    begun = time.monotonic()
    while time.monotonic() < end:
        at = time.perf_counter_ns()
        group = [Batch().put(b"%016d" % (count + each), value) for each in range(callers)]
        for verdict in engine.commit(group):
            if verdict is not None:
                raise verdict
        latencies.record_value((time.perf_counter_ns() - at) // 1000, callers)
        count += callers
    spent = time.monotonic() - begun
    engine.close()
    return ["group commit", callers, count / spent, *quantiles(latencies)]


def measure_puts(path: str, callers: list[int], seconds: float, value_bytes: int) -> list[Row]:
    """Measure the baseline, and group commit with each number of callers; leaves the directory empty."""
    value = random.Random(1).randbytes(value_bytes)
    RealDisk(path, create=True).unlock()  # creates the directory
    rows: list[Row] = []

    inner = os.path.join(path, "bench")
    try:
        rows.append(measure_flushed_each(inner, seconds, value))
        shutil.rmtree(inner)
        for each in callers:
            rows.append(measure_grouped(inner, each, seconds, value))
            shutil.rmtree(inner)
    finally:
        shutil.rmtree(inner, ignore_errors=True)
    return rows
