"""Arrays of bulk strings, read in place from a buffer and written for gathered writes; no I/O."""

from __future__ import annotations

from lichencleat.node.framing import BrokenFramingError, Reader

MAX_WORDS = 8  # in an array: half as many again as the longest message has
MAX_WORD = 4_096  # bytes: twice a body, so that one a little too long can still be answered by its tag
MAX_ARRAY = 8_192  # bytes of its words together: what a connection may keep in memory without an answer
MAX_HEAD = 16  # bytes of a head: its sign and as many digits as any length in bounds


class ArrayReader(Reader[list[bytes]]):
    def __init__(self) -> None:
        super().__init__()
        self.missing_words = self.bytes_left = (
            0  # words that the array under way lacks, and bytes that they may have
        )
        self.words: list[bytes] = []

    def has_partial_message(self) -> bool:
        return self.missing_words > 0 or super().has_partial_message()

    def next_message(self) -> list[bytes] | None:
        if not self.missing_words:
            end = self.find_line_end(MAX_HEAD)
            if end is None:
                return None
            self.missing_words = self.read_length(b"*", end, MAX_WORDS)
            if not self.missing_words:
                raise BrokenFramingError("an empty array")
            self.position, self.bytes_left = end + 2, MAX_ARRAY
        while self.missing_words:
            end = self.find_line_end(MAX_HEAD)
            word = (
                None
                if end is None
                else self.read_counted(end + 2, self.read_length(b"$", end, min(MAX_WORD, self.bytes_left)))
            )
            if word is None:
                return None
            self.bytes_left -= len(word)
            self.words.append(word)
            self.missing_words -= 1
        words, self.words = self.words, []
        return words

    def read_length(self, sign: bytes, end: int, max_length: int) -> int:
        digits = self.buffer[self.position + 1 : end]
        if (
            self.buffer[self.position : self.position + 1] != sign
            or not digits.isdigit()
            or int(digits) > max_length
        ):
            raise BrokenFramingError(f"a head reads {bytes(self.buffer[self.position : end])!r}")
        return int(digits)


def array(*words: bytes) -> list[bytes]:
    """The pieces of an array, for one gathered write."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return pieces
