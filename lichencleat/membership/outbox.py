"""The pending actions of a member: datagrams to send, with piggybacked updates, and changes to report."""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass

from lichencleat.membership.dissemination import (
    MAX_DATAGRAM_BYTES,
    DisseminationQueue,
    encoded_size,
    retransmit_limit,
)
from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import GossipMessage, MemberState, MemberUpdate, MessageKind
from lichencleat.membership.settings import GossipSettings

HEADER_BYTES = 120  # upper bound of a datagram's size without its updates
MAX_UPDATES_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES
MAX_ACTIONS = 4_096  # limit on the pending actions; beyond this, the oldest are dropped


@dataclass(slots=True)
class SendDatagram:
    """A datagram to send."""

    host: str
    port: int
    message: GossipMessage


@dataclass(slots=True)
class MemberChanged:
    """The latest update about a member has changed."""

    update: MemberUpdate


Action = SendDatagram | MemberChanged


class Outbox:
    """Composes datagrams, and queues datagrams and changes until the caller fetches them."""

    def __init__(
        self,
        group: str,
        sender: str,
        table: MemberTable,
        dissemination: DisseminationQueue,
        settings: GossipSettings,
        first_sequence: int,
    ) -> None:
        """`sender` is this member's name, `first_sequence` the sequence number of its first probe."""
        self._group = group
        self._sender = sender
        self._table = table
        self._dissemination = dissemination
        self._settings = settings
        self._sequence = itertools.count(first_sequence)
        self._actions: deque[Action] = deque(maxlen=MAX_ACTIONS)

    def next_action(self) -> Action | None:
        """Remove and return the oldest action, None if there is none."""
        return self._actions.popleft() if self._actions else None

    def next_sequence(self) -> int:
        """Return the sequence number of a new probe."""
        return next(self._sequence)

    def report_change(self, update: MemberUpdate) -> None:
        """Queue a report that the latest update about a member has changed."""
        self._actions.append(MemberChanged(update))

    def send(
        self, host: str, port: int, kind: MessageKind, sequence: int, target: str = "", recipient: str = ""
    ) -> None:
        """Queue a datagram with piggybacked updates.

        If the member table says that `recipient` is not alive, the datagram includes the update that says so,
        and the recipient can refute the update.
        """
        updates = self._piggyback(recipient)
        self._queue(host, port, GossipMessage(self._group, kind, sequence, self._sender, target, 0, updates))

    def send_update(self, host: str, port: int, update: MemberUpdate) -> None:
        """Queue a ping that carries only this update; the answer to the ping is ignored."""
        message = GossipMessage(self._group, MessageKind.PING, 0, self._sender, updates=(update,))
        self._queue(host, port, message)

    def send_sync_request(self, host: str, port: int, *updates: MemberUpdate) -> None:
        """Queue a request for the member table of the member at an address.

        That member answers only if its table differs from this member's table. The datagram also carries the
        given updates.
        """
        digest = self._table.digest()
        kind = MessageKind.SYNC_REQUEST
        self._queue(host, port, GossipMessage(self._group, kind, 0, self._sender, "", digest, updates))

    def send_table(self, host: str, port: int) -> None:
        """Queue the whole member table, in as many datagrams as needed."""
        updates: list[MemberUpdate] = []
        remaining = MAX_UPDATES_BYTES
        for update in list(self._table.members.values()):
            if encoded_size(update) > remaining:
                self._send_table_part(host, port, updates)
                updates = []
                remaining = MAX_UPDATES_BYTES
            updates.append(update)
            remaining -= encoded_size(update)
        self._send_table_part(host, port, updates)

    def _send_table_part(self, host: str, port: int, updates: list[MemberUpdate]) -> None:
        kind = MessageKind.SYNC_STATE
        self._queue(host, port, GossipMessage(self._group, kind, 0, self._sender, updates=tuple(updates)))

    def _piggyback(self, recipient: str) -> tuple[MemberUpdate, ...]:
        limit = retransmit_limit(self._table.active_count(), self._settings.retransmit_multiplier)
        updates = self._dissemination.take(MAX_UPDATES_BYTES, limit, recipient)
        known = self._table.members.get(recipient)
        if known is not None and known.state != MemberState.ALIVE and known not in updates:
            return (known, *updates[:-1])
        return updates

    def _queue(self, host: str, port: int, message: GossipMessage) -> None:
        self._actions.append(SendDatagram(host, port, message))
