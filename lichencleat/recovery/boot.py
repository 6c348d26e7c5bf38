"""What a start finds of the life before: how often, how it ended, when it was last seen; no I/O."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from lichencleat.decode_errors import UNDECODABLE

BACK = 1_000_000  # µs that a clock may be behind the last sign: two machines' worth of adjustment
AHEAD = 366 * 86_400_000_000  # µs: down for longer than a year is a clock that is wrong
FORMAT = 1


class Boot(msgspec.Struct, frozen=True, array_like=True):
    """As it stands on the disk while the process runs, and after it."""

    format: int
    count: int  # of starts
    clean: bool  # written at a proper end; false while it runs
    seen: int  # µs of Unix time: the last sign
    group: str  # the fleet's, empty where it has none
    epoch: int  # the last that it took part in


class Clock(Enum):
    PLAUSIBLE = auto()
    BACK = auto()  # behind the last sign: an empty battery, or a hand
    AHEAD = auto()  # so far after it that nobody believes it


class WrongBootError(ValueError):
    """What, where, what to do, in one line."""


decode = msgspec.msgpack.Decoder(Boot).decode
encode = msgspec.msgpack.encode


def found(said: bytes | None, group: str) -> Boot | None:
    """The life before, None at a first start. Raises WrongBootError."""
    if said is None:
        return None
    try:
        boot = decode(said)
    except UNDECODABLE as wrong:
        raise WrongBootError("its boot record can't be read; see 'lichencleat store check'") from wrong
    if boot.format != FORMAT:
        raise WrongBootError(f"its boot record has format {boot.format}, and this program's is {FORMAT}")
    if boot.group and group and boot.group != group:
        raise WrongBootError(f"it took part in the fleet {boot.group!r}, and this is {group!r}")
    return boot


def begun(before: Boot | None, now: int, group: str) -> Boot:
    """The record of the life that begins; its epoch is not known yet, only the one before."""
    if before is None:
        return Boot(FORMAT, 1, False, now, group, 0)
    return Boot(FORMAT, before.count + 1, False, now, group, before.epoch)


def judge(before: Boot | None, now: int) -> Clock:
    """Of this machine's clock, by its own disk alone."""
    if before is None or -BACK <= now - before.seen <= AHEAD:
        return Clock.PLAUSIBLE
    return Clock.BACK if now < before.seen else Clock.AHEAD
