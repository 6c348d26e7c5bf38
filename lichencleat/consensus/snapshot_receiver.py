"""Assembles a snapshot that arrives in chunks. No I/O."""

from __future__ import annotations

from lichencleat.consensus.messages import Message, Snapshot

# Limit of one snapshot, which is assembled in memory. The largest snapshot holds incompressible pages of
# configuration (128 MiB in config_distribution), the window of recent batches (16 MiB) and the sessions.
MAX_SNAPSHOT_BYTES = 160 << 20


class SnapshotReceiver:
    """Holds at most one partial snapshot; the first chunk of another snapshot replaces it."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self.first_chunk: Message | None = None
        self.data = bytearray()  # a bytes object would be copied at each chunk

    def clear(self) -> None:
        """Discard the partial snapshot."""
        self.first_chunk = None
        self.data = bytearray()

    def add_chunk(self, chunk: Message) -> Snapshot | int:
        """Add a chunk; return the complete snapshot, or the byte offset of the next missing chunk."""
        if self._is_first_chunk(chunk):
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
    def _is_first_chunk(chunk: Message) -> bool:
        is_first = chunk.offset == 0 and chunk.configuration is not None
        return is_first and chunk.snapshot_size <= MAX_SNAPSHOT_BYTES
