"""Dissemination of updates: each is piggybacked on a bounded number of datagrams, the least sent first."""

from __future__ import annotations

import math
from typing import NamedTuple

from lichencleat.membership.messages import MemberUpdate

MAX_DATAGRAM_BYTES = 1_200  # within the smallest path MTU that carries IPv6, so never fragmented
UPDATE_OVERHEAD_BYTES = 40  # of an update besides its texts, at the most


def encoded_size(update: MemberUpdate) -> int:
    """Returns an upper bound of an update's bytes in a datagram."""
    return (
        UPDATE_OVERHEAD_BYTES
        + len(update.name.encode())
        + len(update.host)
        + len(update.zone.encode())
        + len(update.role.encode())
    )


def retransmit_limit(member_count: int, multiplier: int) -> int:
    """Returns how often an update is sent: with that, nearly every member of the group receives it."""
    return multiplier * math.ceil(math.log2(member_count + 2))


class QueuedUpdate(NamedTuple):
    """An update that is passed on."""

    transmissions: int
    update: MemberUpdate


class DisseminationQueue:
    """At most one update a member: a newer one replaces the older."""

    def __init__(self) -> None:
        self._queue: dict[str, QueuedUpdate] = {}

    def enqueue(self, update: MemberUpdate) -> None:
        """Starts to pass on an update."""
        self._queue[update.name] = QueuedUpdate(0, update)

    def discard(self, name: str) -> None:
        """Stops passing on the update on a member, if there is one."""
        self._queue.pop(name, None)

    def clear(self) -> None:
        """Stops passing on anything."""
        self._queue.clear()

    def take(self, max_bytes: int, limit: int, first: str = "") -> tuple[MemberUpdate, ...]:
        """Returns updates for one datagram, those sent least before others.

        Args:
            max_bytes: Room for the updates.
            limit: An update is dropped from the queue after so many transmissions.
            first: The update on this member, if there is one, goes before all others.
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
