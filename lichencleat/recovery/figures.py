"""What a node learned of its own speed, for its next start: a first guess, soon outweighed; no I/O.

The figures come from its own disk, once that is checked (`trust.py`). A guess that is wrong is outweighed by
the first few runs, and one that can't be right is dropped.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FORMAT = 1
TARIFFS_MOST = 256  # whose figures are kept: more than any settings name, some KB


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """As they stand on the disk. Later formats may add fields at the end."""

    format: int
    cores: float  # of the machine that they were learned on
    runs: dict[str, int]  # µs of a usual run, by tariff


decode = msgspec.msgpack.Decoder(Figures).decode
encode = msgspec.msgpack.encode


def recalled(said: bytes | None, cores: float, longest: Mapping[str, int]) -> tuple[dict[str, int], str]:
    """µs of a usual run by tariff, and why there are none; empty where nothing is wrong.

    `longest`: µs that a run of each tariff may take at the most; what it does not name is known no more.
    """
    if said is None:
        return {}, ""
    try:
        found = decode(said)
    except UNDECODABLE:
        return {}, "they can't be read"
    if found.format != FORMAT:
        return {}, f"they have format {found.format}, and this program's is {FORMAT}"
    if found.cores != cores:
        return {}, f"they were learned on {found.cores:g} cores, and there are {cores:g}"
    return {name: took for name, took in found.runs.items() if 0 < took <= longest.get(name, 0)}, ""


def to_keep(cores: float, before: Mapping[str, int], now: Mapping[str, int]) -> bytes:
    """What is known of this life, and of the one before where this one knows nothing yet."""
    runs = {**before, **now}
    return encode(Figures(FORMAT, cores, dict(sorted(runs.items())[:TARIFFS_MOST])))
