"""One member of the gossip protocol, without I/O.

The caller passes in events (`on_message`, `on_timer`, `leave`) and after each event fetches the actions
(`next_action`): datagrams to send and changes to report. It calls `on_timer` no later than `next_deadline`.
"""

from __future__ import annotations

import random

from lichencleat.membership.dissemination import DisseminationQueue
from lichencleat.membership.local_health import LocalHealth
from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import GossipMessage, MemberState, MemberUpdate, MessageKind
from lichencleat.membership.outbox import Action, Outbox
from lichencleat.membership.probing import IndirectProber, Prober
from lichencleat.membership.settings import GossipSettings
from lichencleat.membership.state_sync import StateSync
from lichencleat.membership.suspicion import SuspicionTracker

SEQUENCE_BITS = 30  # number of random bits in the first sequence number


class GossipMember:
    """This member, and its view of the other members.

    Args:
        group: Name of the group; datagrams of other groups are ignored.
        own: The update about this member. The incarnation is the Unix time of the start in µs; so updates
            about this start override those about earlier starts.
        seeds: Addresses of members to join through; this member's own address is ignored.
        settings: Settings of the protocol; all members have the same settings.
        rng: Chooses the members to probe, to ask for indirect probes and to synchronize with.
        now: Time in µs by the caller's monotonic clock.
    """

    def __init__(
        self,
        group: str,
        own: MemberUpdate,
        seeds: list[tuple[str, int]],
        settings: GossipSettings,
        rng: random.Random,
        now: int,
    ) -> None:
        self._group = group
        self._settings = settings
        self._rng = rng
        self._has_left = False
        self.own = own
        self.health = LocalHealth()
        self.table = MemberTable()
        self.table.apply(now, own)
        self.dissemination = DisseminationQueue()
        self.dissemination.enqueue(own)
        first_sequence = rng.getrandbits(SEQUENCE_BITS) + 1
        self._outbox = Outbox(group, own.name, self.table, self.dissemination, settings, first_sequence)
        self._suspicions = SuspicionTracker(self.table, settings)
        self._indirect_prober = IndirectProber(self.table, self._outbox, settings)
        self._prober = Prober(
            own.name,
            self.table,
            self._outbox,
            self.health,
            settings,
            rng,
            now,
            self._on_probe_failed,
        )
        other_seeds = [seed for seed in seeds if seed != (own.host, own.port)]
        self._sync = StateSync(self.table, self._outbox, settings, other_seeds, rng)
        self._sync.join(now, own)

    def next_action(self) -> Action | None:
        """Remove and return the next action, None if there is none."""
        return self._outbox.next_action()

    def next_deadline(self) -> int:
        """Return the latest time in µs at which `on_timer` should be called next."""
        return min(
            self._sync.next_sync_at,
            *self._prober.iter_deadlines(),
            *self._indirect_prober.iter_deadlines(),
            *self._suspicions.iter_deadlines(),
        )

    def on_message(self, now: int, host: str, port: int, message: GossipMessage) -> None:
        """Handle a datagram that was received from an address, at `now` (µs)."""
        if message.group != self._group or message.sender == self.own.name:
            return
        for update in message.updates:
            self.apply_update(now, update, message.sender)
        if not self._has_left:
            self._handle(now, host, port, message)

    def on_timer(self, now: int) -> None:
        """Do the work that is due at `now` (µs)."""
        if self._has_left:
            return
        self._indirect_prober.on_timer(now)
        self._expire(now)
        self._prober.on_timer(now)
        self._sync.on_timer(now, self.own)

    def leave(self, now: int) -> None:
        """Announce to some members that this member leaves; these members disseminate the announcement."""
        self._has_left = True
        self.own = self.own.with_state(MemberState.LEFT)
        self.apply_update(now, self.own, "")
        others = list(self.table.active())
        for each in self._rng.sample(others, min(len(others), self._settings.indirect_probes)):
            self._outbox.send_update(each.host, each.port, self.own)

    def apply_update(self, now: int, update: MemberUpdate, sender: str) -> None:
        """Apply an update; disseminate the update if it is new.

        Args:
            now: Time in µs.
            update: The update.
            sender: Name of the member that sent the update; empty when this member announces that it leaves,
                or declares a suspect dead.
        """
        if update.name == self.own.name and not self._has_left:
            if update.precedence() > self.own.precedence():
                self._refute(now, update)
            return
        self._confirm_suspicion(update, sender)
        if not self.table.apply(now, update):
            return
        self.dissemination.enqueue(update)
        self._outbox.report_change(update)
        if update.state == MemberState.SUSPECT:
            self._suspicions.start(update.name, now, sender)
        else:
            self._suspicions.clear(update.name)

    def _handle(self, now: int, host: str, port: int, message: GossipMessage) -> None:
        match message.kind:
            case MessageKind.PING:
                self._outbox.send(host, port, MessageKind.ACK, message.sequence, recipient=message.sender)
            case MessageKind.ACK:
                if not self._indirect_prober.on_ack(message.sequence):
                    self._prober.on_ack(message.sequence)
            case MessageKind.PING_REQUEST:
                self._indirect_prober.on_request(now, message)
            case MessageKind.NACK:
                self._prober.on_nack(message.sequence)
            case MessageKind.SYNC_REQUEST:
                if message.digest != self.table.digest():
                    self._outbox.send_table(host, port)

    def _confirm_suspicion(self, update: MemberUpdate, sender: str) -> None:
        if update.state != MemberState.SUSPECT or not sender or not self._suspicions.is_suspect(update.name):
            return
        if update.incarnation == self.table.members[update.name].incarnation:
            self._suspicions.confirm(update.name, sender)

    def _refute(self, now: int, update: MemberUpdate) -> None:
        """Override a wrong update about this member by an update with a greater incarnation.

        If the wrong update says that this member is not alive, this member probably answers too late, so its
        health score rises.
        """
        if update.state != MemberState.ALIVE:
            self.health.degrade()
        self.own = self.own.with_state(MemberState.ALIVE, update.incarnation + 1)
        self.table.apply(now, self.own)
        self.dissemination.enqueue(self.own)

    def _on_probe_failed(self, now: int, target: MemberUpdate) -> None:
        known = self.table.members.get(target.name)
        if known is not None and known.state == MemberState.ALIVE and known.incarnation == target.incarnation:
            self.apply_update(now, known.with_state(MemberState.SUSPECT), self.own.name)

    def _expire(self, now: int) -> None:
        """Declare suspects dead that did not refute the suspicion in time; forget members dead for long."""
        for name in self._suspicions.expired(now):
            self.apply_update(now, self.table.members[name].with_state(MemberState.DEAD), "")
        for name in self.table.forget_dead(now, self._settings.dead_retention):
            self.dissemination.discard(name)
