"""Service times that a node learned, stored as first estimates for the node's next process; no I/O.

The service times are read from the node's own disk after the disk was verified (see `trust`). The first few
runs outweigh a wrong estimate; an implausible estimate is dropped.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FORMAT = 1
MAX_CLASSES = 256  # limit on the stored request classes: more than any settings define, a few KB


class ServiceTimes(msgspec.Struct, frozen=True, array_like=True):
    """The stored service times. Later formats may add fields at the end."""

    format: int
    cores: float  # cores of the machine on which the times were learned
    run_times: dict[str, int]  # usual run time in µs, by request class


class LoadedServiceTimes(NamedTuple):
    """Usable service times, or the reason why there are none."""

    run_times: dict[str, int]  # usual run time in µs, by request class
    problem: str  # empty if the record is usable or absent


decode_service_times = msgspec.msgpack.Decoder(ServiceTimes).decode
encode_service_times = msgspec.msgpack.encode


def load_service_times(
    stored: bytes | None, cores: float, max_run_times: Mapping[str, int]
) -> LoadedServiceTimes:
    """Decode the service times of the previous process.

    Args:
        stored: The bytes of the record, None at a first start.
        cores: Cores of this machine; times of another machine are not used.
        max_run_times: Longest plausible run in µs, by request class; other classes are dropped.
    """
    if stored is None:
        return LoadedServiceTimes({}, "")
    try:
        found = decode_service_times(stored)
    except UNDECODABLE:
        return LoadedServiceTimes({}, "the stored times can't be read")
    if found.format != FORMAT:
        return LoadedServiceTimes({}, f"the stored times have format {found.format}, not {FORMAT}")
    if found.cores != cores:
        problem = f"the stored times were learned on {found.cores:g} cores, and there are {cores:g}"
        return LoadedServiceTimes({}, problem)
    usable = {
        name: duration
        for name, duration in found.run_times.items()
        if 0 < duration <= max_run_times.get(name, 0)
    }
    return LoadedServiceTimes(usable, "")


def encode_merged(cores: float, previous: Mapping[str, int], current: Mapping[str, int]) -> bytes:
    """Encode the run times of each request class: the current ones, or else those of the previous process.

    Args:
        cores: Cores of this machine.
        previous: Usual run time in µs by request class, of the previous process.
        current: Usual run time in µs by request class, of this process.
    """
    merged = {**previous, **current}
    kept = dict(sorted(merged.items())[:MAX_CLASSES])
    return encode_service_times(ServiceTimes(FORMAT, cores, kept))
