"""Arrays of bulk strings, read in place from a buffer and written for gathered writes; no I/O."""

from __future__ import annotations

from collections.abc import Iterator

WORDS_MOST = 16  # in an array: four times what the longest message has
WORD_MOST = 65_536  # bytes: far over a body, so that one too long can still be answered by its tag
HEAD_MOST = 16  # bytes of a head: its sign and as many digits as any length in bounds
TRIM = 65_536  # bytes read before the buffer is cut


class BrokenFramingError(Exception):
    """What came can't be read, nor anything after it."""


class ArrayReader:
    """Fed with bytes split anywhere; the heads are parsed where they stand in the buffer."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at = 0  # what lies before it was read
        self.wanted = 0  # words that the array under way lacks
        self.words: list[bytes] = []

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        self.buffer += data
        while self.step():
            if not self.wanted:
                words, self.words = self.words, []
                yield words
        if self.at == len(self.buffer) or self.at > TRIM:
            del self.buffer[: self.at]
            self.at = 0

    def step(self) -> bool:
        """Reads one head, with the word that it announces; False where it is not all there yet."""
        end = self.buffer.find(b"\r\n", self.at, self.at + HEAD_MOST)
        if end < 0:
            if len(self.buffer) - self.at >= HEAD_MOST:
                raise BrokenFramingError("a head has no end")
            return False
        if not self.wanted:
            self.wanted = self.length(b"*", end, WORDS_MOST)
            if not self.wanted:
                raise BrokenFramingError("an empty array")
            self.at = end + 2
            return self.step()
        start = end + 2
        stop = start + self.length(b"$", end, WORD_MOST)
        if len(self.buffer) < stop + 2:
            return False
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise BrokenFramingError("a word is longer than announced")
        self.words.append(bytes(self.buffer[start:stop]))
        self.at = stop + 2
        self.wanted -= 1
        return True

    def length(self, sign: bytes, end: int, most: int) -> int:
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
