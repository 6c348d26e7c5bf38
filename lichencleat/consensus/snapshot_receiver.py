"""A snapshot on its way in, piece by piece; no I/O."""

from __future__ import annotations

from lichencleat.consensus.messages import Message, Snapshot

# bytes of one, held whole in memory here: pages of configuration that do not compress
# (config_distribution/terms.py
# has 128 MiB of them), its window of 16 MiB, and the sessions
MAX_SNAPSHOT_BYTES = 160 << 20


class SnapshotReceiver:
    """At most one at a time; another one's first piece takes its place."""

    def __init__(self) -> None:
        self.first_chunk: Message | None = None
        self.data = bytearray()  # grows in place: as bytes each piece would copy all before it

    def clear(self) -> None:
        self.first_chunk, self.data = None, bytearray()

    def add_chunk(self, m: Message) -> Snapshot | int:
        """The whole snapshot, or how many bytes of it are here: the next piece begins there."""
        if m.offset == 0 and m.configuration is not None and m.snapshot_size <= MAX_SNAPSHOT_BYTES:
            self.first_chunk, self.data = m, bytearray()
        first = self.first_chunk
        if (
            first is None
            or first.configuration is None
            or (first.index, first.log_term) != (m.index, m.log_term)
        ):
            return 0
        if m.offset == len(self.data):
            self.data += m.data
        if len(self.data) < first.snapshot_size:
            return len(self.data)
        snapshot = Snapshot(first.index, first.log_term, first.configuration, bytes(self.data))
        self.clear()
        return snapshot
