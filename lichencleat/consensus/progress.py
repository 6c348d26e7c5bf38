"""A leader's view of one follower, and the choice of the next message to the follower. No I/O.

A message carries entries or a chunk of a snapshot, or is a heartbeat. As in etcd's raft, a follower is probed
with one message at a time until the index where the logs match is known; from then on messages are pipelined.
"""

from __future__ import annotations

from msgspec.structs import replace

from lichencleat.consensus.messages import Message, MessageType
from lichencleat.consensus.raft_log import RaftLog

MAX_MESSAGE_BYTES = 256 << 10  # bytes of entries in one message; sending them takes some ms on a slow link
# Messages with entries that may be sent without a response; the connection must buffer them.
MAX_INFLIGHT_MESSAGES = 16
SNAPSHOT_CHUNK_BYTES = 256 << 10  # bytes of a snapshot in one message


class Progress:
    """The state of one follower's log as its responses report it."""

    __slots__ = (
        "match_index",
        "next_index",
        "is_probing",
        "inflight",
        "snapshot_offset",
        "snapshot_index",
        "last_response_at",
        "read_round",
        "awaiting_response",
        "match_at_heartbeat",
    )

    def __init__(self, next_index: int, now: int) -> None:
        """`next_index` is the index of the first entry to send; `now` is the time in µs."""
        self.match_index = 0  # the follower's durable log matches up to this index
        self.next_index = next_index
        self.is_probing = True
        self.inflight: tuple[int, ...] = ()  # last index of each message with entries that has no response
        self.snapshot_offset = 0  # bytes of the snapshot that the follower has received
        self.snapshot_index = 0  # index of the snapshot being sent; 0: none
        self.last_response_at = now  # time in µs of the follower's last response
        self.read_round = 0  # number of the latest read round that the follower answered
        self.awaiting_response = False  # whether the next message must wait for the response to the last one
        self.match_at_heartbeat = 0  # `match_index` at the last heartbeat

    def become_probe(self, next_index: int) -> None:
        """Send one message at a time, from `next_index` on, until the follower accepts one."""
        self.is_probing = True
        self.awaiting_response = False
        self.inflight = ()
        self.next_index = next_index

    def on_rejected(self, previous_index: int, hint: int) -> None:
        """Handle the response that the logs don't match at `previous_index` but may match at `hint`."""
        is_stale = self.is_probing and previous_index != self.next_index - 1
        if previous_index <= self.match_index or is_stale:
            return
        self.become_probe(max(self.match_index + 1, min(self.next_index - 1, hint + 1)))

    def on_accepted(self, match_index: int) -> bool:
        """Handle the response that the logs match up to `match_index`; return whether the index advanced."""
        is_advance = match_index > self.match_index
        self.match_index = max(self.match_index, match_index)
        # While a snapshot is being sent, only an advance triggers the next message. Otherwise a follower with
        # a slow disk, which responds at once with an unchanged index, would get the same chunk repeatedly.
        if is_advance or (match_index >= self.next_index - 1 and not self.snapshot_index):
            self.is_probing = False
            self.awaiting_response = False
        self.next_index = max(self.next_index, self.match_index + 1)
        self.inflight = tuple(each for each in self.inflight if each > self.match_index)
        return is_advance

    def on_heartbeat(self) -> None:
        """Allow messages to be resent that had no response since the last heartbeat, as they may be lost."""
        self.awaiting_response = False
        if self.inflight and self.match_index == self.match_at_heartbeat:
            self.become_probe(self.match_index + 1)
        self.match_at_heartbeat = self.match_index

    def next_message(self, log: RaftLog, template: Message) -> Message | None:
        """Return entries or a snapshot chunk that the follower lacks, or None if none may be sent now.

        `template`: an APPEND to the follower without index and entries.
        """
        if self.next_index <= log.snapshot_index:
            return self.next_snapshot_chunk(log, template)
        if not self._can_send_entries(log):
            return None
        previous_index = self.next_index - 1
        entries = log.entries_from(self.next_index, MAX_MESSAGE_BYTES)
        if self.is_probing:
            self.awaiting_response = True
        else:
            self.next_index += len(entries)
            self.inflight = (*self.inflight, self.next_index - 1)
        previous_term = log.term_at(previous_index) or 0
        return replace(template, index=previous_index, log_term=previous_term, entries=entries)

    def _can_send_entries(self, log: RaftLog) -> bool:
        if self.awaiting_response or len(self.inflight) >= MAX_INFLIGHT_MESSAGES:
            return False
        return self.is_probing or self.next_index <= log.last_index

    def make_heartbeat(self, log: RaftLog, template: Message) -> Message:
        """Return a heartbeat at an index up to which the follower's log is known to match.

        The heartbeat carries the leader's commit index, which may be higher. The follower advances its own
        commit index only as far as its log is known to match, and learns from the difference that it lacks
        entries.
        """
        previous_index = max(self.match_index, log.snapshot_index)
        previous_term = log.term_at(previous_index) or 0
        return replace(template, index=previous_index, log_term=previous_term)

    def next_snapshot_chunk(self, log: RaftLog, template: Message) -> Message | None:
        """Return the next chunk of the snapshot, or None while the last chunk has had no response."""
        snapshot = log.snapshot
        if self.snapshot_index != snapshot.index:
            self.snapshot_index = snapshot.index
            self.snapshot_offset = 0
            self.awaiting_response = False
        if self.awaiting_response:
            return None
        self.awaiting_response = True
        end = self.snapshot_offset + SNAPSHOT_CHUNK_BYTES
        return replace(
            template,
            message_type=MessageType.SNAPSHOT,
            index=snapshot.index,
            log_term=snapshot.term,
            offset=self.snapshot_offset,
            snapshot_size=len(snapshot.data),
            data=snapshot.data[self.snapshot_offset : end],
            configuration=snapshot.configuration if self.snapshot_offset == 0 else None,
        )

    def on_snapshot_chunk_received(self, index: int, offset: int) -> None:
        """Handle the response that the follower has `offset` bytes of the snapshot at `index`."""
        if index == self.snapshot_index:
            self.snapshot_offset = offset
            self.awaiting_response = False
