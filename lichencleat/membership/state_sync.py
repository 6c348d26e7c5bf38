"""Synchronization of whole member tables, to join a group, merge partitions and repair lost updates."""

from __future__ import annotations

import random

from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import MemberState, MemberUpdate
from lichencleat.membership.outbox import Outbox
from lichencleat.membership.settings import GossipSettings

SEED_PROBABILITY = 0.3  # probability to synchronize with a seed, which connects groups that formed separately


class StateSync:
    """Periodically asks one member for its member table."""

    def __init__(
        self,
        table: MemberTable,
        outbox: Outbox,
        settings: GossipSettings,
        seeds: list[tuple[str, int]],
        rng: random.Random,
    ) -> None:
        """`seeds` are addresses of members to join through, without this member's own address."""
        self._table = table
        self._outbox = outbox
        self._settings = settings
        self._seeds = seeds
        self._rng = rng
        self.next_sync_at = 0  # µs: when the next synchronization is due

    def join(self, now: int, own: MemberUpdate) -> None:
        """Ask a seed for its member table; until a member answers, each synchronization asks a seed."""
        half = self._settings.sync_interval // 2
        self.next_sync_at = now + half + self._rng.randrange(half)
        if self._seeds:
            host, port = self._rng.choice(self._seeds)
            self._outbox.send_sync_request(host, port, own)

    def on_timer(self, now: int, own: MemberUpdate) -> None:
        """Synchronize if a synchronization is due at `now` (µs)."""
        if now >= self.next_sync_at:
            self._sync(now, own)

    def _sync(self, now: int, own: MemberUpdate) -> None:
        """Ask one member for its member table.

        The member is a dead member if there is one, so that partitions merge. Otherwise it is a seed or any
        active member, to repair lost updates.
        """
        interval = self._settings.sync_interval
        self.next_sync_at = now + interval // 2 + self._rng.randrange(interval)
        dead = [each for each in self._table.members.values() if each.state == MemberState.DEAD]
        if dead:
            target = self._rng.choice(dead)
            self._outbox.send_sync_request(target.host, target.port, own, target)
        elif self._table.active_count() == 1 or (self._seeds and self._rng.random() < SEED_PROBABILITY):
            self.join(now, own)
        else:
            peer = self._rng.choice([each for each in self._table.active() if each.name != own.name])
            self._outbox.send_sync_request(peer.host, peer.port, own)
