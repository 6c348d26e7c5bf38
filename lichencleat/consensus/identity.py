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

IDENTITY_KEY = b"i"  # key in the store
CONFIRMATION_WAIT_US = (
    3_000_000  # µs that a start waits for the others' word on its life; then it goes on without
)


class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    start_count: int  # how many times it was started, this time included
    nonce: int  # drawn at that start


class GreetingResult(IntEnum):
    """What a greeting is answered. The numbers are the wire's."""

    ACCEPTED = 0
    WRONG_CLUSTER = 1
    WRONG_MEMBER = 2  # it was not this member that was called
    STALE_INCARNATION = 3  # a later life of that seat was heard of, or another one of the same number

    @property
    def log_reason(self) -> str:
        """The word for it in log lines."""
        return _LOG_REASONS[self]


_LOG_REASONS = {
    GreetingResult.ACCEPTED: "come",
    GreetingResult.WRONG_CLUSTER: "other group",
    GreetingResult.WRONG_MEMBER: "other seat",
    GreetingResult.STALE_INCARNATION: "outlived",
}


class PeerIncarnations:
    def __init__(self, group: bytes, seat: int, life: Incarnation, known: dict[int, Incarnation]) -> None:
        """`group`: the group's own mark, empty before it is known; `known`: lives as written down."""
        self.cluster_id, self.member_id, self.incarnation = group, seat, life
        self.known = dict(known)
        self.confirmed_by: set[int] = set()  # members that know this life and no later one

    def on_greeting(self, group: bytes, seat: int, to: int, life: Incarnation) -> tuple[GreetingResult, bool]:
        """A member says who it is. Is its life news, to be written down before it is answered?"""
        if self.cluster_id and group != self.cluster_id:
            return GreetingResult.WRONG_CLUSTER, False
        if to not in (0, self.member_id):
            return GreetingResult.WRONG_MEMBER, False
        known = self.known.get(seat)
        if known is not None and (
            life.start_count < known.start_count or (life.start_count == known.start_count and life != known)
        ):
            return GreetingResult.STALE_INCARNATION, False
        if known == life:
            return GreetingResult.ACCEPTED, False
        self.known[seat] = life
        return GreetingResult.ACCEPTED, True

    def on_greeting_reply(self, seat: int, welcome: GreetingResult) -> str | None:
        """Another member's word on this life. Why this one must leave, if so."""
        if welcome is GreetingResult.ACCEPTED:
            self.confirmed_by.add(seat)
            return None
        if welcome is GreetingResult.STALE_INCARNATION:
            return (
                f"another member knows a later life of this seat than start {self.incarnation.start_count}: the directory "
                "was put back from a copy, or two processes use copies of it; remove this member and add it "
                "with an empty directory"
            )
        return None

    def can_participate(self, others: frozenset[int], waited: int) -> bool:
        """After a start: have all others vouched for this life, or was there long enough to?"""
        return others <= self.confirmed_by or waited >= CONFIRMATION_WAIT_US


class Identity(msgspec.Struct, array_like=True):
    cluster_id: bytes  # the group's mark, empty before the member knows it
    cluster_name: str  # the group's name
    member_name: str
    member_id: int
    start_count: int
    distribution: bool = False  # of a group for configuration: what it has applied is of no use in another


decode_identity = msgspec.msgpack.Decoder(Identity).decode


def load_identity(
    get: Callable[[bytes], bytes | None],
    rng: random.Random,
    name: str,
    member: str,
    distribution: bool = False,
) -> Identity:
    """Who this directory says it is; an empty one draws a seat. The start counts itself."""
    data = get(IDENTITY_KEY)
    if data is not None:
        known = decode_identity(data)
    else:
        known = Identity(b"", name, member, rng.getrandbits(63) | 1, 0, distribution)
    known.start_count += 1
    return known
