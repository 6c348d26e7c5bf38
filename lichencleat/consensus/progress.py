"""What a leader knows of each follower, and what that is sent next: entries, a snapshot's piece, or only its
word; no I/O.
"""

from __future__ import annotations

from msgspec.structs import replace

from lichencleat.consensus.messages import Message, MessageType
from lichencleat.consensus.raft_log import RaftLog

MAX_MESSAGE_BYTES = 256 << 10  # of entries in one message: some ms of a slow link
MAX_INFLIGHT_MESSAGES = (
    16  # messages with entries that a follower may have unanswered: what its link must hold
)
SNAPSHOT_CHUNK_BYTES = 256 << 10  # bytes of a snapshot in one message


class Progress:
    """Of one follower, as far as its answers tell."""

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
        self.match_index = 0  # its log agrees with the leader's, on its disk, up to here
        self.next_index = next_index  # the first entry to send
        self.is_probing = True  # it is not known where the logs agree: one message at a time
        self.inflight: tuple[int, ...] = ()  # last indices of messages with entries on their way
        self.snapshot_offset = 0  # bytes of the snapshot that it has
        self.snapshot_index = 0  # index of the snapshot on its way, 0: none
        self.last_response_at = now  # µs: when it last answered
        self.read_round = 0  # the last one that it answered
        self.awaiting_response = False  # one message is on its way, and no second one goes before its answer
        self.match_at_heartbeat = 0  # `match` at the last beat

    def on_rejected(self, before: int, hint: int) -> None:
        """Its log does not agree with a message that went on from `before`; it may agree at `hint`."""
        if before <= self.match_index or (self.is_probing and before != self.next_index - 1):
            return  # the answer to an older message
        self.become_probe(max(self.match_index + 1, min(self.next_index - 1, hint + 1)))

    def become_probe(self, following: int) -> None:
        self.is_probing, self.awaiting_response, self.inflight, self.next_index = True, False, (), following

    def on_accepted(self, match: int) -> bool:
        """Its log agrees up to there. Is that news?"""
        news = match > self.match_index
        self.match_index = max(self.match_index, match)
        # while a snapshot is on its way, only news of it asks for more: else a follower whose disk is slow,
        # and
        # which says so at once, would be sent the same piece again at the link's own pace
        if news or (match >= self.next_index - 1 and not self.snapshot_index):
            self.is_probing = self.awaiting_response = False
        self.next_index = max(self.next_index, self.match_index + 1)
        self.inflight = tuple(each for each in self.inflight if each > self.match_index)
        return news

    def on_heartbeat(self) -> None:
        """A message may be lost: what was not answered since the last beat is sent again."""
        self.awaiting_response = False
        if self.inflight and self.match_index == self.match_at_heartbeat:
            self.become_probe(self.match_index + 1)
        self.match_at_heartbeat = self.match_index

    def next_message(self, entries: RaftLog, word: Message) -> Message | None:
        """Entries or a piece of the snapshot, where it lacks them and has room for them. `word`: the
        leader's, to it.
        """
        if self.next_index <= entries.snapshot_index:
            return self.next_snapshot_chunk(entries, word)
        if (
            self.awaiting_response
            or len(self.inflight) >= MAX_INFLIGHT_MESSAGES
            or (self.next_index > entries.last_index and not self.is_probing)
        ):
            return None
        before = self.next_index - 1
        chosen = entries.entries_from(self.next_index, MAX_MESSAGE_BYTES)
        if self.is_probing:
            self.awaiting_response = True
        else:
            self.next_index += len(chosen)
            self.inflight = (*self.inflight, self.next_index - 1)
        past = entries.term_at(before) or 0
        return replace(word, index=before, log_term=past, entries=chosen)

    def make_heartbeat(self, entries: RaftLog, word: Message) -> Message:
        """That the leader is there, and the round it asks for. It rests on what the follower is known to
        have; what is committed beyond that it is told too, takes over only as far as it has it, and so knows
        that it lacks some.
        """
        before = max(self.match_index, entries.snapshot_index)
        past = entries.term_at(before) or 0
        return replace(word, index=before, log_term=past)

    def next_snapshot_chunk(self, entries: RaftLog, word: Message) -> Message | None:
        snapshot = entries.snapshot
        if self.snapshot_index != snapshot.index:
            self.snapshot_index, self.snapshot_offset, self.awaiting_response = snapshot.index, 0, False
        if self.awaiting_response:
            return None
        self.awaiting_response = True
        return replace(
            word,
            message_type=MessageType.SNAPSHOT,
            index=snapshot.index,
            log_term=snapshot.term,
            offset=self.snapshot_offset,
            snapshot_size=len(snapshot.data),
            data=snapshot.data[self.snapshot_offset : self.snapshot_offset + SNAPSHOT_CHUNK_BYTES],
            configuration=snapshot.configuration if self.snapshot_offset == 0 else None,
        )

    def on_snapshot_chunk_received(self, index: int, offset: int) -> None:
        """It has so many bytes of the snapshot up to that index."""
        if index == self.snapshot_index:
            self.snapshot_offset, self.awaiting_response = offset, False
