"""Many drawn runs over some cores, in the order of their seeds, until enough have failed."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

CHUNK = 4  # runs handed to a process at once: they take some 50 ms each


def many(
    one: Callable[[Any], Any], jobs: Iterable[Any], cores: int, most: int, chunk: int = CHUNK
) -> Iterator[Any]:
    """What `one` gives for each job; its `wrong` tells whether it failed. Ends after `most` that did."""
    failed = 0
    with ProcessPoolExecutor(cores) as pool:
        for ran in pool.map(one, jobs, chunksize=chunk):
            yield ran
            failed += ran.wrong is not None
            if failed >= most:
                pool.shutdown(cancel_futures=True)
                return
