"""Identity of a member and of its starts; detects restored copies of a directory. No I/O.

A member that starts from an older copy of its disk, or two processes on copies of one directory, could vote
twice in a term. Each start therefore increments a start count on the disk and draws a nonce. The two form the
member's incarnation, which is sent in the greeting. Every member stores the latest incarnation of each other
member before it accepts that member's messages. It rejects the greeting of an older incarnation, or of a
different one with the same start count; the rejected process halts. A restored copy is not detected while all
members that know the later incarnation are unreachable, so each start waits for the other members'
confirmation, up to a limit, before it participates.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from lichencleat.transport.identity import GreetingResult, Incarnation

IDENTITY_KEY = b"i"  # key in the store; never changes
# Time that a starting member waits until all other members have confirmed that they know no later start of
# this member. After this time, the member participates without their confirmation.
CONFIRMATION_WAIT_US = 3_000_000
MEMBER_ID_BITS = 63


class GreetingDecision(NamedTuple):
    """The answer to a greeting, and whether the greeting's incarnation must be stored."""

    result: GreetingResult
    is_new_incarnation: bool  # if true, the incarnation must be stored before the answer is sent


class PeerIncarnations:
    """Tracks other members' latest incarnations, and which members confirmed this member's incarnation."""

    def __init__(
        self, cluster_id: bytes, member_id: int, incarnation: Incarnation, known: dict[int, Incarnation]
    ) -> None:
        """`cluster_id` is empty while unknown; `known` has the stored incarnations by member id."""
        self.cluster_id = cluster_id
        self.member_id = member_id
        self.incarnation = incarnation
        self.known = dict(known)
        self.confirmed_by: set[int] = set()  # ids of members that know this incarnation and no later one

    def on_greeting(
        self, cluster_id: bytes, member_id: int, recipient: int, incarnation: Incarnation
    ) -> GreetingDecision:
        """Decide on another member's greeting; `recipient` is 0 if the caller does not know the recipient."""
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
        """Handle another member's answer to a greeting; return why this member must halt, None if not."""
        if result is GreetingResult.ACCEPTED:
            self.confirmed_by.add(member_id)
            return None
        if result is GreetingResult.STALE_INCARNATION:
            return (
                "another member knows a later start of this member than start "
                f"{self.incarnation.start_count}: the directory "
                "was restored from a copy, or two processes use copies of it; remove this member and add it "
                "with an empty directory"
            )
        return None

    def can_participate(self, others: frozenset[int], waited_us: int) -> bool:
        """Return whether all others have confirmed this incarnation or the wait for them has timed out."""
        return others <= self.confirmed_by or waited_us >= CONFIRMATION_WAIT_US


def _is_stale(incarnation: Incarnation, known: Incarnation) -> bool:
    if incarnation.start_count < known.start_count:
        return True
    return incarnation.start_count == known.start_count and incarnation != known


class Identity(msgspec.Struct, array_like=True):
    """The identity of a member as its directory stores it."""

    cluster_id: bytes  # empty until the member has joined a cluster
    cluster_name: str
    member_name: str
    member_id: int
    start_count: int
    # Whether the cluster replicates configuration; the member can't join a cluster of the other kind.
    distribution: bool = False


decode_identity = msgspec.msgpack.Decoder(Identity).decode


def load_identity(
    get: Callable[[bytes], bytes | None],
    rng: random.Random,
    cluster_name: str,
    member_name: str,
    distribution: bool = False,
) -> Identity:
    """Return the identity in the store, with its start count incremented for this start.

    Args:
        get: reads a key of the store; for an empty store a new identity is made.
        rng: draws the id of a new member.
        cluster_name: cluster name of a new member.
        member_name: name of a new member.
        distribution: whether the new member's cluster replicates configuration.
    """
    data = get(IDENTITY_KEY)
    if data is not None:
        identity = decode_identity(data)
    else:
        member_id = rng.getrandbits(MEMBER_ID_BITS) | 1  # never 0
        identity = Identity(b"", cluster_name, member_name, member_id, 0, distribution)
    identity.start_count += 1
    return identity
