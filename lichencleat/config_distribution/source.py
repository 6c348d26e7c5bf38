"""The source of configuration: a part of a group's state that makes each accepted entry one batch; no I/O.

A batch's version is the index of its entry. What is refused changes nothing, and is refused alike at each
member: that hangs on the table and the command alone. The last batches stay with the values they replaced, so
that a record is known as it was at any version since, and members come back from a dump with them.

A dump at 560,000 records must not keep a leader's word from its followers: it is a copy of bytes. Pages are
compressed a few at each entry, lowest number first; one that is not yet at a dump goes as it is. Which are
hangs on the entries alone, and is kept over a dump.
"""

from __future__ import annotations

import heapq
import zlib
from collections import deque
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, NamedTuple

import msgspec

from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.pages import LEVEL, PAGE_MOST, key_of, place_of
from lichencleat.config_distribution.table import Table, unfit
from lichencleat.config_distribution.terms import (
    BATCH_BYTES,
    BATCH_MOST,
    VALUE_MOST,
    WINDOW_BATCHES,
    WINDOW_BYTES,
    Batch,
    Change,
    encode,
)
from lichencleat.decode_errors import UNDECODABLE

PACKED_EACH = 16  # pages compressed at an entry, some 300 µs each: small batches leave none that waits
PAST_MOST = BATCH_BYTES + BATCH_MOST * (VALUE_MOST + 16)  # bytes of a kept batch, values replaced included
DIFF_MOST = 4_096  # changes in one answer: some ms
DIFF_BYTES = 512 << 10  # of their names and values: half of a frame
SMALL = 1_024  # bytes of a kept batch that are not worth compressing
RECORD_EXTRA = 16  # bytes of a record in an answer beside its words


class Publish(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="publish"):
    """The part's one command."""

    changes: tuple[Change, ...]
    only_if: int | None = None  # the version that must be in force; 0: nothing yet


class Published(msgspec.Struct, frozen=True, array_like=True):
    """The answer: whether it was done, and the version in force now."""

    done: bool
    version: int
    changed: int = 0  # records; those of the command that were as it says already do not count
    why: str = ""


class Find(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="find"):
    kind: str
    name: str
    at: int = 0  # 0: now


class Found(msgspec.Struct, frozen=True, array_like=True):
    version: int  # in force
    since: int  # the lowest version of which is known what a record was
    known: bool
    value: bytes | None = None  # None: there is no such record


class Diff(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="diff"):
    """Asks what was changed after version `a`, up to version `b`: as much as fits in one answer."""

    a: int
    b: int
    skip: int = 0  # changes of the first batch after `a` that were told already


Changed = tuple[str, str, bytes | None, bytes | None]
"""Kind, name, value before and after."""


class Difference(msgspec.Struct, frozen=True, array_like=True):
    version: int
    since: int
    known: bool
    changes: tuple[Changed, ...] = ()  # in order; a record may be named again and again
    a: int = 0  # where the next answer begins; `b`: there is no more
    skip: int = 0


class Stands(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="stands"):
    """Asks what is in force."""


class Standing(msgspec.Struct, frozen=True, array_like=True):
    version: int
    since: int
    digest: bytes
    records: int
    bytes: int


Query = Find | Diff | Stands
Replaced = tuple[bytes | None, ...]
decode_publish = msgspec.msgpack.Decoder(Publish).decode
decode_replaced = msgspec.msgpack.Decoder(Replaced).decode


class Past(NamedTuple):
    """A batch that is kept, with the value that each of its changes replaced."""

    batch: Batch
    replaced: Replaced
    dumped: bytes  # both, as a dump has them
    size: int  # bytes of both, encoded


class Dumped(msgspec.Struct, array_like=True):
    version: int
    digest: bytes
    pages: list[bytes]  # each by zlib, or as it is
    plain: list[int]  # numbers of those as they are
    since: tuple[int, bytes]  # version and digest that the first of the kept batches follows
    window: list[tuple[bool, bytes]]  # by zlib?


decode_dumped = msgspec.msgpack.Decoder(Dumped).decode
Pair = tuple[Batch, Replaced]
decode_pair = msgspec.msgpack.Decoder(Pair).decode


class Source:
    def __init__(self, window_batches: int = WINDOW_BATCHES, window_bytes: int = WINDOW_BYTES) -> None:
        """The bounds of what is kept of the past, values that were replaced included."""
        self.window_batches, self.window_bytes = window_batches, window_bytes
        self.table = Table()
        self.window: deque[Past] = deque()
        self.size = 0  # bytes of the window
        self.since: tuple[int, bytes] = (0, self.table.digest)
        self.packed: list[bytes] = [b""] * len(self.table.pages)  # as a dump has them
        self.plain: set[int] = set()  # pages not compressed since they changed

    # -- commands --------------------------------------------------------------------------------------

    def apply(self, index: int, command: msgspec.Raw) -> Published:
        try:
            wanted = decode_publish(command)
        except UNDECODABLE:
            return self.refused("no command")
        if wanted.only_if is not None and wanted.only_if != self.table.version:
            return self.refused("another version is in force")
        why = unfit(wanted.changes)
        if why:
            return self.refused(why)
        find = self.table.find
        changes = [each for each in wanted.changes if find(each.kind, each.name) != each.value]
        if not changes:
            return self.refused("nothing would change")
        before = (self.table.version, self.table.digest)
        try:
            batch = self.table.apply(index, changes)
        except TableError as wrong:
            return self.refused(str(wrong))
        self.keep(before, batch, tuple(self.table.before))
        self.plain |= {place_of(key_of(each.kind, each.name))[0] for each in changes}
        self.pack()
        return Published(True, index, len(changes))

    def refused(self, why: str) -> Published:
        return Published(False, self.table.version, 0, why)

    def keep(self, before: tuple[int, bytes], batch: Batch, replaced: Replaced) -> None:
        """`before`: version and digest that the batch follows."""
        if not self.window:
            self.since = before
        self.add(encode((batch, replaced)), batch, replaced)
        while len(self.window) > self.window_batches or self.size > self.window_bytes:
            past = self.window.popleft()
            self.size -= past.size
            self.since = (past.batch.version, past.batch.digest)

    def add(self, data: bytes, batch: Batch, replaced: Replaced) -> None:
        dumped = zlib.compress(data, LEVEL) if len(data) > SMALL else data
        self.window.append(Past(batch, replaced, dumped, len(data)))
        self.size += len(data)

    def pack(self) -> None:
        """Some of the pages that wait to be compressed are."""
        for number in heapq.nsmallest(PACKED_EACH, self.plain):
            self.plain.remove(number)
            self.packed[number] = zlib.compress(self.table.pages[number], LEVEL)

    # -- questions -------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        try:
            wanted = msgspec.convert(query, Query)
        except msgspec.ValidationError:
            return None
        if isinstance(wanted, Find):
            return self.found(wanted)
        if isinstance(wanted, Diff):
            return self.difference(wanted)
        table = self.table
        return Standing(table.version, self.since[0], table.digest, table.records, table.bytes)

    def knows(self, version: int) -> bool:
        return self.since[0] <= version <= self.table.version

    def found(self, wanted: Find) -> Found:
        version = self.table.version
        at = wanted.at or version
        if not self.knows(at):
            return Found(version, self.since[0], False)
        key = (wanted.kind, wanted.name)
        for past in self.after(at):
            for change, replaced in zip(past.batch.changes, past.replaced, strict=True):
                if (change.kind, change.name) == key:
                    return Found(version, self.since[0], True, replaced)
        return Found(version, self.since[0], True, self.table.find(*key))

    def after(self, version: int) -> Iterator[Past]:
        """What is kept of the batches above that version, oldest first."""
        return (each for each in self.window if each.batch.version > version)

    def difference(self, wanted: Diff) -> Difference:
        """Some ms at the most: a leader's followers wait for its word meanwhile."""
        version, since = self.table.version, self.since[0]
        if not (self.knows(wanted.a) and self.knows(wanted.b)):
            return Difference(version, since, False)
        told: list[Changed] = []
        room, skip, at = DIFF_BYTES, wanted.skip, wanted.a
        for past in self.after(wanted.a):
            if past.batch.version > wanted.b:
                break
            pairs = zip(past.batch.changes, past.replaced, strict=True)
            for change, old in islice(pairs, skip, None):
                room -= RECORD_EXTRA + 4 * len(change.name) + len(old or b"") + len(change.value or b"")
                if len(told) >= DIFF_MOST or (told and room < 0):
                    return Difference(version, since, True, tuple(told), at, skip)
                told.append((change.kind, change.name, old, change.value))
                skip += 1
            at, skip = past.batch.version, 0
        return Difference(version, since, True, tuple(told), wanted.b)

    # -- dumps -----------------------------------------------------------------------------------------

    def dump(self) -> Dumped:
        pages, plain = list(self.packed), sorted(self.plain)
        for number in plain:
            pages[number] = self.table.pages[number]
        window = [(each.size > SMALL, each.dumped) for each in self.window]
        return Dumped(self.table.version, self.table.digest, pages, plain, self.since, window)

    def load(self, dumped: msgspec.Raw) -> None:
        """Raises msgspec.MsgspecError where it is none of these, or not whole."""
        found = decode_dumped(dumped)
        plain = set(found.plain)
        pages = [each if at in plain else inflated(each) for at, each in enumerate(found.pages)]
        try:
            self.table = Table.loaded(found.version, pages)
        except TableError as wrong:
            raise msgspec.ValidationError(f"the table of version {found.version}: {wrong}") from wrong
        if self.table.digest != found.digest:
            raise msgspec.ValidationError(f"the table of version {found.version} has another digest")
        self.packed, self.plain = found.pages, plain
        self.since, self.window, self.size = found.since, deque(), 0
        for deflated, data in found.window:
            whole = inflated(data, PAST_MOST) if deflated else data
            self.add(whole, *decode_pair(whole))


def net(changes: Iterable[Changed]) -> list[Changed]:
    """What all of them together have changed, by kind and name."""
    old: dict[tuple[str, str], bytes | None] = {}
    new: dict[tuple[str, str], bytes | None] = {}
    for kind, name, before, after in changes:
        old.setdefault((kind, name), before)
        new[kind, name] = after
    return [(*key, old[key], new[key]) for key in sorted(old) if old[key] != new[key]]


def inflated(data: bytes, most: int = PAGE_MOST) -> bytes:
    """Raises msgspec.ValidationError."""
    if not data:
        return b""
    made = zlib.decompressobj()
    try:
        whole = made.decompress(data, most + 1)
    except zlib.error as wrong:
        raise msgspec.ValidationError(f"can't be inflated: {wrong}") from wrong
    if not made.eof or len(whole) > most:
        raise msgspec.ValidationError("is cut off, or larger than it may be")
    return whole
