"""Lines of words, some followed by a counted body, read in place and written for gathered writes; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

LINE_MOST = 1_024  # bytes: the longest line has a few words and a remark
BODY_MOST = 1_048_576  # bytes: far over any body or result
TRIM = 65_536  # bytes read before the buffer is cut


class BrokenFramingError(Exception):
    """What came can't be read, nor anything after it."""


class LineReader:
    """Fed with bytes split anywhere; `counted` tells of a line whether its last word is a length."""

    def __init__(self, counted: Callable[[list[bytes]], bool]) -> None:
        self.counted = counted
        self.buffer = bytearray()
        self.at = 0  # what lies before it was read
        self.line: list[bytes] | None = None  # waits for its body
        self.length = 0

    def feed(self, data: bytes) -> Iterator[tuple[list[bytes], bytes]]:
        self.buffer += data
        while (message := self.step()) is not None:
            yield message
        if self.at == len(self.buffer) or self.at > TRIM:
            del self.buffer[: self.at]
            self.at = 0

    def step(self) -> tuple[list[bytes], bytes] | None:
        if self.line is None:
            end = self.buffer.find(b"\r\n", self.at, self.at + LINE_MOST)
            if end < 0:
                if len(self.buffer) - self.at >= LINE_MOST:
                    raise BrokenFramingError("a line has no end")
                return None
            words = bytes(self.buffer[self.at : end]).split()
            self.at = end + 2
            if not self.counted(words):
                return words, b""
            if not words[-1].isdigit() or int(words[-1]) > BODY_MOST:
                raise BrokenFramingError(f"a length reads {words[-1]!r}")
            self.line, self.length = words, int(words[-1])
        stop = self.at + self.length
        if len(self.buffer) < stop + 2:
            return None
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise BrokenFramingError("a body is longer than announced")
        words, self.line = self.line, None
        body = bytes(self.buffer[self.at : stop])
        self.at = stop + 2
        return words, body


def line(*words: bytes) -> list[bytes]:
    return [b" ".join(words), b"\r\n"]


def line_with_body(*words: bytes, body: bytes) -> list[bytes]:
    return [b" ".join(words), b" %d\r\n" % len(body), body, b"\r\n"]
