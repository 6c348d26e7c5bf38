"""The base of the parsers: a buffer that takes bytes split anywhere and is read in place by message."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Message = TypeVar("Message")

# consumed bytes before the buffer is trimmed: trimming is rare, and each connection holds little memory
TRIM_THRESHOLD = 4_096


class BrokenFramingError(Exception):
    """The input is not valid, and nothing after it can be parsed."""


class Reader(Generic[Message]):
    """Parses messages from a stream; subclasses define `next_message`."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # the bytes before it are consumed

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add bytes and yield the messages that are complete; raises BrokenFramingError."""
        self.buffer += data
        while (message := self.next_message()) is not None:
            yield message
        if self.position == len(self.buffer) or self.position > TRIM_THRESHOLD:
            del self.buffer[: self.position]
            self.position = 0

    def has_partial_message(self) -> bool:
        """Whether the buffer holds the beginning of a message."""
        return self.position < len(self.buffer)

    def next_message(self) -> Message | None:
        """The next message, or None if it is not complete yet."""
        raise NotImplementedError

    def find_line_end(self, max_length: int) -> int | None:
        """The end of the line at the current position, or None if it is not complete yet."""
        end = self.buffer.find(b"\r\n", self.position, self.position + max_length)
        if end >= 0:
            return end
        if len(self.buffer) - self.position >= max_length:
            raise BrokenFramingError("line too long")
        return None

    def read_counted(self, start: int, length: int) -> bytes | None:
        """Read `length` bytes and the line end after them; None if they are not complete yet."""
        stop = start + length
        if len(self.buffer) < stop + 2:
            return None
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise BrokenFramingError("no line end after the stated length")
        self.position = stop + 2
        return bytes(self.buffer[start:stop])
