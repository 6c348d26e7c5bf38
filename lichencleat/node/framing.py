"""Base class of the stream parsers: buffers bytes split at any point and yields whole messages."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Message = TypeVar("Message")

# consumed bytes at which the buffer is trimmed, so that trimming is rare and connections use little memory
TRIM_THRESHOLD = 4_096


class BrokenFramingError(Exception):
    """The input is invalid, and no later input on the same stream can be parsed."""


class Reader(Generic[Message]):
    """Parses messages from a stream of bytes; subclasses define `next_message`."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # index of the first byte of `buffer` that is not consumed

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add bytes and yield each message that is complete. Raises BrokenFramingError on invalid input."""
        self.buffer += data
        while (message := self.next_message()) is not None:
            yield message
        if self.position == len(self.buffer) or self.position > TRIM_THRESHOLD:
            del self.buffer[: self.position]
            self.position = 0

    def has_partial_message(self) -> bool:
        """Return whether a message has begun but is not complete."""
        return self.position < len(self.buffer)

    def next_message(self) -> Message | None:
        """Return the next message, or None if the message is not complete yet."""
        raise NotImplementedError

    def find_line_end(self, max_length: int) -> int | None:
        """Return the index of the end of the current line, or None if the line is not complete yet.

        Raises BrokenFramingError if the line has `max_length` bytes or more.
        """
        end = self.buffer.find(b"\r\n", self.position, self.position + max_length)
        if end >= 0:
            return end
        if len(self.buffer) - self.position >= max_length:
            raise BrokenFramingError("line too long")
        return None

    def read_counted(self, start: int, length: int) -> bytes | None:
        """Return `length` bytes and consume them with the line end after them; None if bytes are missing.

        Raises BrokenFramingError if no line end follows.
        """
        stop = start + length
        if len(self.buffer) < stop + 2:
            return None
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise BrokenFramingError("no line end after the stated length")
        self.position = stop + 2
        return bytes(self.buffer[start:stop])
