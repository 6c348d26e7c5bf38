"""Parses and encodes lines of words, some followed by a body of stated length; no I/O."""

from __future__ import annotations

from collections.abc import Callable

from lichencleat.node.framing import BrokenFramingError, Reader

MAX_LINE = 1_024  # bytes of a line; the longest valid line has a few words and a remark
MAX_LENGTH_DIGITS = 9  # decimal digits of a body's length
MAX_BODY = 65_536  # bytes: far above any valid body, and still little memory if every connection holds one


class LineReader(Reader[tuple[list[bytes], bytes]]):
    """Parses lines into their words and bodies.

    `has_body` returns, for the words of a line, whether a body follows; the last word is then its length.
    """

    def __init__(self, has_body: Callable[[list[bytes]], bool]) -> None:
        super().__init__()
        self.has_body = has_body
        self.words: list[bytes] | None = None  # words of a line whose body is not complete yet

    def has_partial_message(self) -> bool:
        return self.words is not None or super().has_partial_message()

    def next_message(self) -> tuple[list[bytes], bytes] | None:
        if self.words is None:
            end = self.find_line_end(MAX_LINE)
            if end is None:
                return None
            words = bytes(self.buffer[self.position : end]).split()
            self.position = end + 2
            if not self.has_body(words):
                return words, b""
            if not words[-1].isdigit() or len(words[-1]) > MAX_LENGTH_DIGITS or int(words[-1]) > MAX_BODY:
                raise BrokenFramingError(f"invalid length {words[-1]!r}")
            self.words = words
        body = self.read_counted(self.position, int(self.words[-1]))
        if body is None:
            return None
        words, self.words = self.words, None
        return words, body


def line(*words: bytes) -> list[bytes]:
    """Return the pieces of a line, for one gathered write."""
    return [b" ".join(words), b"\r\n"]


def line_with_body(*words: bytes, body: bytes) -> list[bytes]:
    """Return the pieces of a line and its body, for one gathered write."""
    return [b" ".join(words), b" %d\r\n" % len(body), body, b"\r\n"]
