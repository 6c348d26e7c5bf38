"""Service times that a node learned, kept as a first estimate for its next start; no I/O.

They come from the node's own disk, once that is verified (`trust`). A wrong estimate is outweighed by the
first few runs; one that can't be right is dropped.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FORMAT = 1
MAX_CLASSES = 256  # request classes that are kept: more than any settings name, a few KB


class ServiceTimes(msgspec.Struct, frozen=True, array_like=True):
    """As stored. Later formats may add fields at the end."""

    format: int
    cores: float  # of the machine on which they were learned
    run_times: dict[str, int]  # µs of a usual run, by request class


class LoadedServiceTimes(NamedTuple):
    """Usable service times, and why there are none."""

    run_times: dict[str, int]  # µs of a usual run, by request class
    problem: str  # empty if the record is usable, or there is none


decode_service_times = msgspec.msgpack.Decoder(ServiceTimes).decode
encode_service_times = msgspec.msgpack.encode


def load_service_times(
    stored: bytes | None, cores: float, max_run_times: Mapping[str, int]
) -> LoadedServiceTimes:
    """Decode the service times of the previous process.

    Args:
        stored: The bytes of the record, None at a first start.
        cores: Cores of this machine; times of another machine are not used.
        max_run_times: µs that a run of each request class may take; other classes are dropped.
    """
    if stored is None:
        return LoadedServiceTimes({}, "")
    try:
        found = decode_service_times(stored)
    except UNDECODABLE:
        return LoadedServiceTimes({}, "they can't be read")
    if found.format != FORMAT:
        return LoadedServiceTimes({}, f"they have format {found.format}, and this program's is {FORMAT}")
    if found.cores != cores:
        problem = f"they were learned on {found.cores:g} cores, and there are {cores:g}"
        return LoadedServiceTimes({}, problem)
    usable = {
        name: duration
        for name, duration in found.run_times.items()
        if 0 < duration <= max_run_times.get(name, 0)
    }
    return LoadedServiceTimes(usable, "")


def encode_merged(cores: float, previous: Mapping[str, int], current: Mapping[str, int]) -> bytes:
    """Encode what this process learned, and what the previous one did about classes without runs since."""
    merged = {**previous, **current}
    kept = dict(sorted(merged.items())[:MAX_CLASSES])
    return encode_service_times(ServiceTimes(FORMAT, cores, kept))
