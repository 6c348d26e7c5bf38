"""Identity of a member and of its restarts: detects a restored copy of a directory. No I/O.

A member's votes rest on what its disk holds. A disk restored from an older copy, or two processes on copies
of one directory, could vote twice in a term. Each start therefore counts itself on the disk and draws a
nonce; both are sent in the greeting. Every member stores the latest incarnation of each other member before
it accepts its messages. An older incarnation, or another one with the same count, is turned away and told
so, and then halts. A copy that is restored while everyone who knows the later incarnation is unreachable
can't be detected this way, so a start waits a while for the others' confirmation before it takes part.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from lichencleat.transport.identity import GreetingResult, Incarnation

IDENTITY_KEY = b"i"  # in the store
CONFIRMATION_WAIT_US = 3_000_000  # after which a start takes part without the others' confirmation
MEMBER_ID_BITS = 63


class GreetingDecision(NamedTuple):
    """How to answer a greeting."""

    result: GreetingResult
    is_new_incarnation: bool  # to be stored before the answer is sent


class PeerIncarnations:
    """Knows the latest incarnation of each other member, and who has confirmed this one."""

    def __init__(
        self, cluster_id: bytes, member_id: int, incarnation: Incarnation, known: dict[int, Incarnation]
    ) -> None:
        """`cluster_id` is empty before it is known; `known`: incarnations as stored, by member id."""
        self.cluster_id = cluster_id
        self.member_id = member_id
        self.incarnation = incarnation
        self.known = dict(known)
        self.confirmed_by: set[int] = set()  # members that know this incarnation and no later one

    def on_greeting(
        self, cluster_id: bytes, member_id: int, recipient: int, incarnation: Incarnation
    ) -> GreetingDecision:
        """Decide on the greeting of another member; `recipient` 0: it does not know whom it called."""
        if self.cluster_id and cluster_id != self.cluster_id:
            return GreetingDecision(GreetingResult.WRONG_CLUSTER, False)
        if recipient not in (0, self.member_id):
            return GreetingDecision(GreetingResult.WRONG_MEMBER, False)
        known = self.known.get(member_id)
        if known is not None and _is_stale(incarnation, known):
            return GreetingDecision(GreetingResult.STALE_INCARNATION, False)
        if known == incarnation:
            return GreetingDecision(GreetingResult.ACCEPTED, False)
        self.known[member_id] = incarnation
        return GreetingDecision(GreetingResult.ACCEPTED, True)

    def on_greeting_reply(self, member_id: int, result: GreetingResult) -> str | None:
        """Note another member's answer; return why this member must halt, or None."""
        if result is GreetingResult.ACCEPTED:
            self.confirmed_by.add(member_id)
            return None
        if result is GreetingResult.STALE_INCARNATION:
            return (
                "another member knows a later life of this seat than start "
                f"{self.incarnation.start_count}: the directory "
                "was put back from a copy, or two processes use copies of it; remove this member and add it "
                "with an empty directory"
            )
        return None

    def can_participate(self, others: frozenset[int], waited_us: int) -> bool:
        """Return whether all others have confirmed this incarnation, or had long enough to."""
        return others <= self.confirmed_by or waited_us >= CONFIRMATION_WAIT_US


def _is_stale(incarnation: Incarnation, known: Incarnation) -> bool:
    if incarnation.start_count < known.start_count:
        return True
    return incarnation.start_count == known.start_count and incarnation != known


class Identity(msgspec.Struct, array_like=True):
    """What a member's directory stores about it."""

    cluster_id: bytes  # empty before the member knows it
    cluster_name: str
    member_name: str
    member_id: int
    start_count: int
    distribution: bool = False  # of a cluster for configuration: its state is of no use in another


decode_identity = msgspec.msgpack.Decoder(Identity).decode


def load_identity(
    get: Callable[[bytes], bytes | None],
    rng: random.Random,
    cluster_name: str,
    member_name: str,
    distribution: bool = False,
) -> Identity:
    """Return the identity that the store holds, with this start counted.

    Args:
        get: reads a key of the store; an empty store gets a new identity.
        rng: draws the id of a new member.
        cluster_name: of a new member.
        member_name: of a new member.
        distribution: whether the new member's cluster is for configuration.
    """
    data = get(IDENTITY_KEY)
    if data is not None:
        identity = decode_identity(data)
    else:
        member_id = rng.getrandbits(MEMBER_ID_BITS) | 1  # never 0
        identity = Identity(b"", cluster_name, member_name, member_id, 0, distribution)
    identity.start_count += 1
    return identity
