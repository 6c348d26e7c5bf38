"""What a leader knows of each follower, and what that is sent next: entries, a snapshot's piece, or only its
word; no I/O.
"""

from __future__ import annotations

from msgspec.structs import replace

from lichencleat.consensus.entries import Entries
from lichencleat.consensus.terms import Kind, Message

BYTES_MOST = 256 << 10  # of entries in one message: some ms of a slow link
AHEAD_MOST = 16  # messages with entries that a follower may have unanswered: what its link must hold
PIECE = 256 << 10  # bytes of a snapshot in one message


class Progress:
    """Of one follower, as far as its answers tell."""

    __slots__ = (
        "match",
        "next",
        "probing",
        "ahead",
        "offset",
        "snapshot",
        "heard_at",
        "round",
        "told",
        "was",
    )

    def __init__(self, next_index: int, now: int) -> None:
        self.match = 0  # its log agrees with the leader's, on its disk, up to here
        self.next = next_index  # the first entry to send
        self.probing = True  # it is not known where the logs agree: one message at a time
        self.ahead: tuple[int, ...] = ()  # last indices of messages with entries on their way
        self.offset = 0  # bytes of the snapshot that it has
        self.snapshot = 0  # index of the snapshot on its way, 0: none
        self.heard_at = now  # µs: when it last answered
        self.round = 0  # the last one that it answered
        self.told = False  # one message is on its way, and no second one goes before its answer
        self.was = 0  # `match` at the last beat

    def refused(self, before: int, hint: int) -> None:
        """Its log does not agree with a message that went on from `before`; it may agree at `hint`."""
        if before <= self.match or (self.probing and before != self.next - 1):
            return  # the answer to an older message
        self.probe(max(self.match + 1, min(self.next - 1, hint + 1)))

    def probe(self, following: int) -> None:
        self.probing, self.told, self.ahead, self.next = True, False, (), following

    def agreed(self, match: int) -> bool:
        """Its log agrees up to there. Is that news?"""
        news = match > self.match
        self.match = max(self.match, match)
        # while a snapshot is on its way, only news of it asks for more: else a follower whose disk is slow,
        # and
        # which says so at once, would be sent the same piece again at the link's own pace
        if news or (match >= self.next - 1 and not self.snapshot):
            self.probing = self.told = False
        self.next = max(self.next, self.match + 1)
        self.ahead = tuple(each for each in self.ahead if each > self.match)
        return news

    def beat(self) -> None:
        """A message may be lost: what was not answered since the last beat is sent again."""
        self.told = False
        if self.ahead and self.match == self.was:
            self.probe(self.match + 1)
        self.was = self.match

    def next_message(self, entries: Entries, word: Message) -> Message | None:
        """Entries or a piece of the snapshot, where it lacks them and has room for them. `word`: the
        leader's, to it.
        """
        if self.next <= entries.base:
            return self.piece(entries, word)
        if self.told or len(self.ahead) >= AHEAD_MOST or (self.next > entries.last and not self.probing):
            return None
        before = self.next - 1
        chosen = entries.from_(self.next, BYTES_MOST)
        if self.probing:
            self.told = True
        else:
            self.next += len(chosen)
            self.ahead = (*self.ahead, self.next - 1)
        past = entries.term(before) or 0
        return replace(word, index=before, past=past, entries=chosen)

    def word(self, entries: Entries, word: Message) -> Message:
        """That the leader is there, and the round it asks for. It rests on what the follower is known to
        have; what is committed beyond that it is told too, takes over only as far as it has it, and so knows
        that it lacks some.
        """
        before = max(self.match, entries.base)
        past = entries.term(before) or 0
        return replace(word, index=before, past=past)

    def piece(self, entries: Entries, word: Message) -> Message | None:
        snapshot = entries.snapshot
        if self.snapshot != snapshot.index:
            self.snapshot, self.offset, self.told = snapshot.index, 0, False
        if self.told:
            return None
        self.told = True
        return replace(
            word,
            kind=Kind.SNAPSHOT,
            index=snapshot.index,
            past=snapshot.term,
            offset=self.offset,
            size=len(snapshot.data),
            data=snapshot.data[self.offset : self.offset + PIECE],
            group=snapshot.group if self.offset == 0 else None,
        )

    def taken(self, index: int, offset: int) -> None:
        """It has so many bytes of the snapshot up to that index."""
        if index == self.snapshot:
            self.offset, self.told = offset, False
