"""Assembles a snapshot that arrives in chunks. No I/O."""

from __future__ import annotations

from lichencleat.consensus.messages import Message, Snapshot

# Bytes of one snapshot, which is assembled in memory: pages of configuration that do not compress
# (config_distribution has 128 MiB of them), its window of 16 MiB, and the sessions.
MAX_SNAPSHOT_BYTES = 160 << 20


class SnapshotReceiver:
    """Holds at most one partial snapshot; the first chunk of another one replaces it."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self.first_chunk: Message | None = None
        self.data = bytearray()  # grows in place: bytes would be copied with each chunk

    def clear(self) -> None:
        """Drop what has arrived."""
        self.first_chunk = None
        self.data = bytearray()

    def add_chunk(self, chunk: Message) -> Snapshot | int:
        """Add a chunk; return the complete snapshot, or the offset in bytes of the chunk wanted next."""
        if self._starts_snapshot(chunk):
            self.first_chunk = chunk
            self.data = bytearray()
        first = self.first_chunk
        if first is None or first.configuration is None:
            return 0
        if (first.index, first.log_term) != (chunk.index, chunk.log_term):
            return 0
        if chunk.offset == len(self.data):
            self.data += chunk.data
        if len(self.data) < first.snapshot_size:
            return len(self.data)
        snapshot = Snapshot(first.index, first.log_term, first.configuration, bytes(self.data))
        self.clear()
        return snapshot

    @staticmethod
    def _starts_snapshot(chunk: Message) -> bool:
        is_first = chunk.offset == 0 and chunk.configuration is not None
        return is_first and chunk.snapshot_size <= MAX_SNAPSHOT_BYTES
