"""Faulty disk: a disk in memory that fails on demand, for tests that simulate power cuts.

The disk keeps written data apart from flushed data. After a power cut, each unflushed write may be present,
absent, torn at any byte, or replaced by a hole, and writes may have reached the disk in another order than
they were issued. Each unflushed creation, rename or removal of a file is also either kept or lost. After a
failed flush the data that it covered stays readable, but no later flush makes that data durable.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Iterator

Choose = Callable[[int], int]
"""Function that returns a number from 0 to n-1: a random one, or each one in turn (`every_choice`)."""


class PowerCutError(Exception):
    """The machine is off. The interrupted call may have taken effect or not; later calls have no effect."""


class Content:
    """A file's bytes: the flushed bytes, and the later writes, which may or may not reach the disk."""

    def __init__(self, flushed: bytes = b"") -> None:
        self.flushed = flushed
        self.now = bytearray(flushed)
        self.pending: list[tuple[int, bytes]] = []
        # Writes whose flush failed. They may be on the disk or not, and a later flush does not change that.
        self.lost: list[tuple[int, bytes]] = []

    def write(self, data: bytes) -> None:
        """Append the data without flushing it."""
        self.pending.append((len(self.now), data))
        self.now += data

    def flush(self) -> None:
        """Make all pending writes durable."""
        self.flushed = apply_writes(self.flushed, self.pending)
        self.pending = []

    def after_cut(self, choose: Choose) -> bytes:
        """Return the file's bytes after a power cut; `choose` decides on each write that is not durable."""
        kept = []
        for at, data in [*self.lost, *self.pending]:
            fate = choose(3)  # absent, whole, or torn
            if fate == 1:
                kept.append((at, data))
            elif fate == 2 and len(data) > 1:
                kept.append((at, data[: 1 + choose(len(data) - 1)]))
        return apply_writes(self.flushed, kept)


def apply_writes(flushed: bytes, writes: list[tuple[int, bytes]]) -> bytes:
    """Return the bytes after the writes; each write is an offset and its data."""
    data = bytearray(flushed)
    for at, piece in writes:
        data.extend(bytes(max(0, at + len(piece) - len(data))))  # a hole reads as zeros
        data[at : at + len(piece)] = piece
    return bytes(data)


class FaultyDisk:
    """Implementation of `lichencleat.store.disk.Disk` that injects faults.

    `faults` maps the number of a call, counted from 0, to an errno, or to CUT (power cut before the call),
    CUT_AFTER (power cut after the call) or SHORT (only half of the data is appended).
    """

    CUT, CUT_AFTER, SHORT = -1, -2, -3

    def __init__(self, files: dict[str, bytes] | None = None, room: int | None = None) -> None:
        self.flushed_names = {name: Content(data) for name, data in (files or {}).items()}
        self.live_names = dict(self.flushed_names)
        self.pending_names: list[
            tuple[str, str, Content]
        ] = []  # (operation, name, content) of the unflushed changes, in order
        self.room = room  # capacity of the disk in bytes; None: no limit
        self.faults: dict[int, int] = {}
        self.calls: list[str] = []
        self.off = False
        self.locked = False
        # Names of calls that have no effect, such as the flush that an injected bug omits.
        self.skipped_calls: set[str] = set()
        self.open_files = 0

    # -- faults ------------------------------------------------------------------------------------

    def begin_call(self, what: str) -> int:
        """Count the call and inject its fault. Return the fault that the call itself must handle, or 0."""
        if self.off:
            raise PowerCutError(what)
        fault = self.faults.get(len(self.calls), 0)
        self.calls.append(what)
        if fault == self.CUT:
            self.off = True
            raise PowerCutError(what)
        if fault > 0 and what not in ("append", "flush"):
            raise OSError(fault, errno.errorcode[fault])
        return fault

    def end_call(self, fault: int) -> None:
        """Cut the power if the fault is CUT_AFTER."""
        if fault == self.CUT_AFTER:
            self.off = True
            raise PowerCutError("after")

    def used(self) -> int:
        """Return the total size of all files in bytes."""
        return sum(len(each.now) for each in set(self.live_names.values()))

    def after_cut(self, choose: Choose) -> FaultyDisk:
        """Return the disk that the next start finds after a power cut; all of its data is flushed."""
        names = dict(self.flushed_names)
        for what, name, content in self.pending_names:
            if choose(2):
                self._apply(names, what, name, content)
        found: dict[Content, bytes] = {}  # content under two names is a single file
        for content in names.values():
            if content not in found:
                found[content] = content.after_cut(choose)
        after = FaultyDisk(room=self.room)
        after.flushed_names = {name: Content(found[content]) for name, content in sorted(names.items())}
        after.live_names = dict(after.flushed_names)
        return after

    @staticmethod
    def _apply(names: dict[str, Content], what: str, name: str, content: Content) -> None:
        if what == "remove":
            if names.get(name) is content:
                del names[name]
            return
        if what == "rename":  # a rename is atomic: the old name disappears with it
            for old in [each for each, its in names.items() if its is content and each != name]:
                del names[old]
        names[name] = content

    def image(self) -> dict[str, bytes]:
        """Return the bytes of each file, whether flushed or not."""
        return {name: bytes(content.now) for name, content in self.live_names.items()}

    # -- methods of Disk -----------------------------------------------------------------------------

    def names(self) -> list[str]:
        """See `Disk`."""
        return sorted(self.live_names)

    def open(self, name: str, create: bool = False) -> Content:
        """See `Disk`."""
        fault = self.begin_call("create" if create else "open")
        if create:
            if name in self.live_names:
                raise FileExistsError(errno.EEXIST, "exists", name)
            self.live_names[name] = Content()
            self.pending_names.append(("create", name, self.live_names[name]))
        elif name not in self.live_names:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        self.end_call(fault)
        self.open_files += 1
        return self.live_names[name]

    def append(self, file: Content, data: bytes) -> None:
        """See `Disk`."""
        fault = self.begin_call("append")
        if not data:
            return
        fits = len(data)
        if self.room is not None:
            fits = max(0, min(fits, self.room - self.used()))
        if fault == self.SHORT or fault > 0:
            fits = min(fits, len(data) // 2)
        if fits:
            file.write(bytes(data[:fits]))
        self.end_call(fault)
        if fits < len(data):
            code = fault if fault > 0 else errno.ENOSPC
            raise OSError(code, errno.errorcode[code])

    def read(self, file: Content, offset: int, length: int) -> bytes:
        """See `Disk`."""
        fault = self.begin_call("read")
        self.end_call(fault)
        return bytes(file.now[offset : offset + length])

    def flush(self, file: Content) -> None:
        """See `Disk`."""
        fault = self.begin_call("flush")
        if "flush" in self.skipped_calls:
            return
        if fault > 0:
            file.lost += file.pending
            file.pending = []
            raise OSError(fault, errno.errorcode[fault])
        file.flush()
        self.end_call(fault)

    def flush_directory(self) -> None:
        """See `Disk`."""
        fault = self.begin_call("flush_directory")
        if "flush_directory" in self.skipped_calls:
            return
        for pending in self.pending_names:
            self._apply(self.flushed_names, *pending)
        self.pending_names = []
        self.end_call(fault)

    def rename(self, old: str, new: str) -> None:
        """See `Disk`."""
        fault = self.begin_call("rename")
        content = self.live_names.pop(old)
        self.live_names[new] = content
        self.pending_names.append(("rename", new, content))
        self.end_call(fault)

    def remove(self, name: str) -> None:
        """See `Disk`."""
        fault = self.begin_call("remove")
        if name not in self.live_names:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        self.pending_names.append(("remove", name, self.live_names.pop(name)))
        self.end_call(fault)

    def size(self, file: Content) -> int:
        """See `Disk`."""
        return len(file.now)

    def close(self, file: Content) -> None:
        """See `Disk`."""
        self.open_files -= 1

    def lock(self) -> None:
        """See `Disk`."""
        self.locked = True

    def unlock(self) -> None:
        """See `Disk`."""
        self.locked = False


def by_chance(rng: random.Random) -> Choose:
    """Return a `Choose` that draws random numbers."""
    return rng.randrange


def every_choice(most: int) -> Iterator[Choose]:
    """Yield a `Choose` for each possible sequence of choices in turn, at most `most` of them."""
    path: list[list[int]] = []  # [choice, number of options] of each call; the last one advances first
    for _ in range(most):
        at = 0

        def choose(among: int) -> int:
            nonlocal at
            if at == len(path):
                path.append([0, among])
            at += 1
            return path[at - 1][0]

        yield choose
        del path[at:]
        while path and path[-1][0] + 1 == path[-1][1]:
            path.pop()
        if not path:
            return
        path[-1][0] += 1
