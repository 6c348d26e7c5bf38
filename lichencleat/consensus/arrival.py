"""A snapshot on its way in, piece by piece; no I/O."""

from __future__ import annotations

from lichencleat.consensus.terms import Message, Snapshot

# bytes of one, held whole in memory here: pages of configuration that do not compress
# (config_distribution/terms.py
# has 128 MiB of them), its window of 16 MiB, and the sessions
SNAPSHOT_MOST = 160 << 20


class Arrival:
    """At most one at a time; another one's first piece takes its place."""

    def __init__(self) -> None:
        self.first: Message | None = None
        self.data = bytearray()  # grows in place: as bytes each piece would copy all before it

    def clear(self) -> None:
        self.first, self.data = None, bytearray()

    def take(self, m: Message) -> Snapshot | int:
        """The whole snapshot, or how many bytes of it are here: the next piece begins there."""
        if m.offset == 0 and m.group is not None and m.size <= SNAPSHOT_MOST:
            self.first, self.data = m, bytearray()
        first = self.first
        if first is None or first.group is None or (first.index, first.past) != (m.index, m.past):
            return 0
        if m.offset == len(self.data):
            self.data += m.data
        if len(self.data) < first.size:
            return len(self.data)
        snapshot = Snapshot(first.index, first.past, first.group, bytes(self.data))
        self.clear()
        return snapshot
