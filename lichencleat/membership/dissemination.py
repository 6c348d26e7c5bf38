"""Dissemination of member updates, which are piggybacked on the datagrams of probes.

Each update is sent a bounded number of times. Updates that were sent least often come first.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from lichencleat.membership.messages import MemberUpdate

MAX_DATAGRAM_BYTES = 1_200  # limit on a datagram: below the minimum MTU of IPv6, so no fragmentation
UPDATE_OVERHEAD_BYTES = 40  # upper bound of an update's encoded size without its strings


def encoded_size(update: MemberUpdate) -> int:
    """Return an upper bound of the bytes that an update takes in a datagram."""
    return (
        UPDATE_OVERHEAD_BYTES
        + len(update.name.encode())
        + len(update.host)
        + len(update.zone.encode())
        + len(update.role.encode())
    )


def retransmit_limit(member_count: int, multiplier: int) -> int:
    """Return how often each member sends an update, so that nearly every member of the group receives it."""
    return multiplier * math.ceil(math.log2(member_count + 2))


class QueuedUpdate(NamedTuple):
    """An update to send."""

    transmissions: int  # how often this member has sent the update
    update: MemberUpdate


class DisseminationQueue:
    """The updates to send: at most one about each member, as a newer update replaces an older one."""

    def __init__(self) -> None:
        self._queue: dict[str, QueuedUpdate] = {}

    def enqueue(self, update: MemberUpdate) -> None:
        """Add an update; it replaces an older update about the same member."""
        self._queue[update.name] = QueuedUpdate(0, update)

    def discard(self, name: str) -> None:
        """Remove the update about a member, if there is one."""
        self._queue.pop(name, None)

    def clear(self) -> None:
        """Remove all updates."""
        self._queue.clear()

    def take(self, max_bytes: int, limit: int, first: str = "") -> tuple[MemberUpdate, ...]:
        """Return the updates for one datagram; updates that were sent least often come first.

        Args:
            max_bytes: Size available for the updates.
            limit: Number of transmissions after which an update is removed from the queue.
            first: Name of a member; the update about this member, if there is one, comes before all others.
        """
        taken: list[MemberUpdate] = []
        remaining = max_bytes
        in_order = sorted(self._queue.items(), key=lambda item: (item[0] != first, item[1].transmissions))
        for name, queued in in_order:
            remaining -= encoded_size(queued.update)
            if remaining < 0:
                break
            taken.append(queued.update)
            if queued.transmissions + 1 >= limit:
                del self._queue[name]
            else:
                self._queue[name] = QueuedUpdate(queued.transmissions + 1, queued.update)
        return tuple(taken)
