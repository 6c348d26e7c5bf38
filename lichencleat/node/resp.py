"""Arrays of bulk strings: parsing in place, and encoding for gathered writes; no I/O."""

from __future__ import annotations

from lichencleat.node.framing import BrokenFramingError, Reader

MAX_WORDS = 8  # per array; the longest message has two thirds of that
MAX_WORD = 4_096  # bytes: twice the longest body; one slightly too long is still answered under its tag
MAX_ARRAY = 8_192  # bytes of all words: what a connection may hold in memory before the array is complete
MAX_HEAD = 16  # bytes of a header: the sign and the digits of any valid length


class ArrayReader(Reader[list[bytes]]):
    """Parses arrays into lists of words."""

    def __init__(self) -> None:
        super().__init__()
        # of the partial array: the number of missing words, and the bytes that they may have
        self.missing_words = self.bytes_left = 0
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
                raise BrokenFramingError("empty array")
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
        """Parse the header that ends at `end`: a sign and a number up to `max_length`."""
        digits = self.buffer[self.position + 1 : end]
        if (
            self.buffer[self.position : self.position + 1] != sign
            or not digits.isdigit()
            or int(digits) > max_length
        ):
            raise BrokenFramingError(f"invalid header {bytes(self.buffer[self.position : end])!r}")
        return int(digits)


def array(*words: bytes) -> list[bytes]:
    """The pieces of an array, for one gathered write."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return pieces
