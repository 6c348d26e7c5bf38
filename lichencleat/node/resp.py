"""Parses and encodes arrays of bulk strings, as in the Redis protocol (RESP); no I/O."""

from __future__ import annotations

from lichencleat.node.framing import BrokenFramingError, Reader

MAX_WORDS = 8  # maximum number of words of an array; the longest valid message has five
# maximum bytes of a word, twice the longest valid body: a request with a body slightly too long can still be
# parsed, and is answered under its tag
MAX_WORD = 4_096
MAX_ARRAY = 8_192  # maximum bytes of all words; bounds the memory that a partial array takes
MAX_HEAD = 16  # maximum bytes of a header, enough for the sign and the digits of any valid length


class ArrayReader(Reader[list[bytes]]):
    """Parses arrays into lists of words."""

    def __init__(self) -> None:
        super().__init__()
        # the number of words that the partial array still lacks, and how many bytes these may have in total
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
        """Return the number in the header that ends at index `end`.

        Raises BrokenFramingError unless the header is the sign and a number up to `max_length`.
        """
        digits = self.buffer[self.position + 1 : end]
        if (
            self.buffer[self.position : self.position + 1] != sign
            or not digits.isdigit()
            or int(digits) > max_length
        ):
            raise BrokenFramingError(f"invalid header {bytes(self.buffer[self.position : end])!r}")
        return int(digits)


def array(*words: bytes) -> list[bytes]:
    """Return the pieces of an array, for one gathered write."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return pieces
