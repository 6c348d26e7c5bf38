"""Plays many simulation runs on several cores."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

RUNS_PER_CHUNK = 4  # runs handed to a process at once; a run takes about 50 ms


def run_many(
    run_one: Callable[[Any], Any],
    jobs: Iterable[Any],
    cores: int,
    max_failures: int,
    chunk: int = RUNS_PER_CHUNK,
) -> Iterator[Any]:
    """Yield the result of `run_one` for each job in order, and stop after `max_failures` failed runs. A run
    has failed if the field `wrong` of its result is not None.
    """
    failed = 0
    with ProcessPoolExecutor(cores) as pool:
        for result in pool.map(run_one, jobs, chunksize=chunk):
            yield result
            failed += result.wrong is not None
            if failed >= max_failures:
                pool.shutdown(cancel_futures=True)
                return
