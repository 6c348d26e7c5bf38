"""Recordings of the exchanges between the simulator and an adapter.

A recording is a gzip file with two lines for each exchange: the batch and the adapter's answer, byte for
byte. It may hold several lives of the process one after the other, as `exit` and `openInstance` events renew
every instance.
"""

from __future__ import annotations

import gzip
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Exchange:
    """One batch and the answer that was given to it, each with its line end."""

    batch: bytes
    answer: bytes


def read_exchanges(path: Path) -> Iterator[Exchange]:
    """Yield the exchanges of a recording in their order.

    Raises:
        ValueError: if the last batch has no answer.
    """
    with gzip.open(path, "rb") as recording:
        for batch in recording:
            answer = recording.readline()
            if not answer:
                raise ValueError(f"{path}: the last batch has no answer")
            yield Exchange(batch, answer)
