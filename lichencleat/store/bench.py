"""Benchmark: measures the rate and latency of a store's writes, for `store bench` and benchmarks/store.py."""

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
PUT_COLUMNS = ["way", "callers", "puts_per_s", "p50_us", "p99_us", "p999_us"]


Row = list[str | int | float]
"""One line of the table, with the columns PUT_COLUMNS."""


def now() -> int:
    """Return the current time in µs of Unix time."""
    return time.time_ns() // 1000


def histogram() -> HdrHistogram:
    """Create an empty histogram of latencies in µs."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def quantiles(latencies: HdrHistogram) -> list[int]:
    """Return the 50th, 99th and 99.9th percentile of latencies, in µs."""
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
    deadline = time.monotonic() + seconds
    started_at = time.monotonic()
    while time.monotonic() < deadline:
        put_started_ns = time.perf_counter_ns()
        disk.append(file, b"%016d" % count + value)
        disk.flush(file)
        latencies.record_value((time.perf_counter_ns() - put_started_ns) // 1000)
        count += 1
    elapsed = time.monotonic() - started_at
    disk.close(file)
    disk.unlock()
    return ["flush each put", 1, count / elapsed, *quantiles(latencies)]


def measure_grouped(path: str, callers: int, seconds: float, value: bytes) -> Row:
    """Measure group commit with `callers` concurrent callers, each of which waits for one put at a time.

    Each group has one put of every caller.
    """
    engine = open_engine(path)
    latencies = histogram()
    count = 0
    deadline = time.monotonic() + seconds
    started_at = time.monotonic()
    while time.monotonic() < deadline:
        group_started_ns = time.perf_counter_ns()
        group = [Batch().put(b"%016d" % (count + each), value) for each in range(callers)]
        for error in engine.commit(group):
            if error is not None:
                raise error
        latencies.record_value((time.perf_counter_ns() - group_started_ns) // 1000, callers)
        count += callers
    elapsed = time.monotonic() - started_at
    engine.close()
    return ["group commit", callers, count / elapsed, *quantiles(latencies)]


def measure_puts(path: str, callers: list[int], seconds: float, value_bytes: int) -> list[Row]:
    """Measure the baseline, and group commit with each number in `callers`; leaves the directory empty."""
    value = random.Random(1).randbytes(value_bytes)
    RealDisk(path, create=True).unlock()  # creates the directory
    rows: list[Row] = []

    directory = os.path.join(path, "bench")
    try:
        rows.append(measure_flushed_each(directory, seconds, value))
        shutil.rmtree(directory)
        for caller_count in callers:
            rows.append(measure_grouped(directory, caller_count, seconds, value))
            shutil.rmtree(directory)
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    return rows
