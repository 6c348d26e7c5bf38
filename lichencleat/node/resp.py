"""Arrays of bulk strings, read in place from a buffer and written for gathered writes; no I/O."""

from __future__ import annotations

from lichencleat.node.framing import BrokenFramingError, Reader

WORDS_MOST = 8  # in an array: half as many again as the longest message has
WORD_MOST = 4_096  # bytes: twice a body, so that one a little too long can still be answered by its tag
ARRAY_MOST = 8_192  # bytes of its words together: what a connection may keep in memory without an answer
HEAD_MOST = 16  # bytes of a head: its sign and as many digits as any length in bounds


class ArrayReader(Reader[list[bytes]]):
    def __init__(self) -> None:
        super().__init__()
        self.wanted = self.room = 0  # words that the array under way lacks, and bytes that they may have
        self.words: list[bytes] = []

    def begun(self) -> bool:
        return self.wanted > 0 or super().begun()

    def step(self) -> list[bytes] | None:
        if not self.wanted:
            end = self.line_end(HEAD_MOST)
            if end is None:
                return None
            self.wanted = self.number(b"*", end, WORDS_MOST)
            if not self.wanted:
                raise BrokenFramingError("an empty array")
            self.at, self.room = end + 2, ARRAY_MOST
        while self.wanted:
            end = self.line_end(HEAD_MOST)
            word = (
                None
                if end is None
                else self.counted(end + 2, self.number(b"$", end, min(WORD_MOST, self.room)))
            )
            if word is None:
                return None
            self.room -= len(word)
            self.words.append(word)
            self.wanted -= 1
        words, self.words = self.words, []
        return words

    def number(self, sign: bytes, end: int, most: int) -> int:
        digits = self.buffer[self.at + 1 : end]
        if self.buffer[self.at : self.at + 1] != sign or not digits.isdigit() or int(digits) > most:
            raise BrokenFramingError(f"a head reads {bytes(self.buffer[self.at : end])!r}")
        return int(digits)


def array(*words: bytes) -> list[bytes]:
    """The pieces of an array, for one gathered write."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return pieces
