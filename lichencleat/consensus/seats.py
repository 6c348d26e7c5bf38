"""Who a peer really is: the seat it claims, in which of its lives; no I/O.

A voter's word rests on what its disk holds. A disk put back from yesterday's copy, or two processes on
copies of one directory, would give a vote away twice. So each start counts itself on the disk, draws a mark,
and tells both; each member writes down the latest life of every other before it listens to it. An older
life, or another one of the same number, is turned away, and told so: it leaves. What this can't find is a
copy put back while everyone who heard the later life is out of reach; and so a start waits a while for the
others' word before it votes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import IntEnum

import msgspec

IDENTITY = b"i"  # key in the store
WAIT = 3_000_000  # µs that a start waits for the others' word on its life; then it goes on without


class Life(msgspec.Struct, frozen=True, array_like=True, order=True):
    start: int  # how many times it was started, this time included
    mark: int  # drawn at that start


class Welcome(IntEnum):
    """What a greeting is answered. The numbers are the wire's."""

    COME = 0
    OTHER_GROUP = 1
    OTHER_SEAT = 2  # it was not this member that was called
    OUTLIVED = 3  # a later life of that seat was heard of, or another one of the same number


class Seats:
    def __init__(self, group: bytes, seat: int, life: Life, known: dict[int, Life]) -> None:
        """`group`: the group's own mark, empty before it is known; `known`: lives as written down."""
        self.group, self.seat, self.life = group, seat, life
        self.known = dict(known)
        self.vouched: set[int] = set()  # members that know this life and no later one

    def greeted(self, group: bytes, seat: int, to: int, life: Life) -> tuple[Welcome, bool]:
        """A member says who it is. Is its life news, to be written down before it is answered?"""
        if self.group and group != self.group:
            return Welcome.OTHER_GROUP, False
        if to not in (0, self.seat):
            return Welcome.OTHER_SEAT, False
        known = self.known.get(seat)
        if known is not None and (life.start < known.start or (life.start == known.start and life != known)):
            return Welcome.OUTLIVED, False
        if known == life:
            return Welcome.COME, False
        self.known[seat] = life
        return Welcome.COME, True

    def answered(self, seat: int, welcome: Welcome) -> str | None:
        """Another member's word on this life. Why this one must leave, if so."""
        if welcome is Welcome.COME:
            self.vouched.add(seat)
            return None
        if welcome is Welcome.OUTLIVED:
            return (
                f"another member knows a later life of this seat than start {self.life.start}: the directory "
                "was put back from a copy, or two processes use copies of it; remove this member and add it "
                "with an empty directory"
            )
        return None

    def may_take_part(self, others: frozenset[int], waited: int) -> bool:
        """After a start: have all others vouched for this life, or was there long enough to?"""
        return others <= self.vouched or waited >= WAIT


class Identity(msgspec.Struct, array_like=True):
    group: bytes  # the group's mark, empty before the member knows it
    name: str  # the group's name
    member: str
    seat: int
    start: int
    distribution: bool = False  # of a group for configuration: what it has applied is of no use in another


decode_identity = msgspec.msgpack.Decoder(Identity).decode


def wake_up(
    get: Callable[[bytes], bytes | None],
    rng: random.Random,
    name: str,
    member: str,
    distribution: bool = False,
) -> Identity:
    """Who this directory says it is; an empty one draws a seat. The start counts itself."""
    data = get(IDENTITY)
    if data is not None:
        known = decode_identity(data)
    else:
        known = Identity(b"", name, member, rng.getrandbits(63) | 1, 0, distribution)
    known.start += 1
    return known
