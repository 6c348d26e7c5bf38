"""What the parsers share: a buffer fed with bytes split anywhere, read in place message by message."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Message = TypeVar("Message")

TRIM_THRESHOLD = (
    4_096  # bytes that were read before the buffer is cut: seldom enough, and little for each connection
)


class BrokenFramingError(Exception):
    """What came can't be read, nor anything after it."""


class Reader(Generic[Message]):
    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # what lies before it was read

    def feed(self, data: bytes) -> Iterator[Message]:
        self.buffer += data
        while (message := self.next_message()) is not None:
            yield message
        if self.position == len(self.buffer) or self.position > TRIM_THRESHOLD:
            del self.buffer[: self.position]
            self.position = 0

    def has_partial_message(self) -> bool:
        """Is a message under way that is not all there?"""
        return self.position < len(self.buffer)

    def next_message(self) -> Message | None:
        """The next message, or None where it is not all there yet."""
        raise NotImplementedError

    def find_line_end(self, max_length: int) -> int | None:
        """Where the line ends that begins here, or None where it is not all there yet."""
        end = self.buffer.find(b"\r\n", self.position, self.position + max_length)
        if end >= 0:
            return end
        if len(self.buffer) - self.position >= max_length:
            raise BrokenFramingError("a line has no end")
        return None

    def read_counted(self, start: int, length: int) -> bytes | None:
        """So many bytes and the end of line after them, or None where they are not all there yet."""
        stop = start + length
        if len(self.buffer) < stop + 2:
            return None
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise BrokenFramingError("more came than the length says")
        self.position = stop + 2
        return bytes(self.buffer[start:stop])
