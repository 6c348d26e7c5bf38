"""The source of configuration: a part of a group's state that turns each accepted entry into a batch; no I/O.

A batch's version is the index of its entry. A rejected command changes nothing, and every member rejects the
same ones, as that depends on the table and the command alone. The last batches are kept with the values that
they replaced, so that a record is known at every version since then; a member's dump includes them.

A dump at 560,000 records must not delay a leader's heartbeats, so it only copies bytes. Pages are compressed
a few at each entry, lowest number first; a page not compressed yet at a dump is included as it is. Which
pages those are depends on the entries alone, and the dump records it.
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
from lichencleat.config_distribution.pages import MAX_PAGE_BYTES, ZLIB_LEVEL, encode_key, locate_key
from lichencleat.config_distribution.table import Table, find_batch_fault
from lichencleat.config_distribution.terms import (
    MAX_BATCH_BYTES,
    MAX_BATCH_CHANGES,
    MAX_VALUE_BYTES,
    MAX_WINDOW_BATCHES,
    MAX_WINDOW_BYTES,
    Batch,
    Change,
    encode,
)
from lichencleat.decode_errors import UNDECODABLE

PAGES_COMPRESSED_PER_ENTRY = 16  # pages compressed per entry, some 300 µs each: keeps up with small batches
# bytes of a kept batch with the values it replaced
MAX_KEPT_BATCH_BYTES = MAX_BATCH_BYTES + MAX_BATCH_CHANGES * (MAX_VALUE_BYTES + 16)
MAX_DIFF_CHANGES = 4_096  # changes in one answer: some ms
MAX_DIFF_BYTES = 512 << 10  # bytes of their names and values: half of a frame
MAX_UNCOMPRESSED_BYTES = 1_024  # bytes of a kept batch up to which it is not compressed
RECORD_OVERHEAD_BYTES = 16  # bytes of a record in an answer beside its strings


class PublishCommand(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="publish"):
    """The only command of this part."""

    changes: tuple[Change, ...]
    only_if: int | None = None  # the version that must be in force; 0: the table must be empty


class PublishResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `PublishCommand`: whether it was done, and the version in force now."""

    done: bool
    version: int
    changed: int = 0  # records; changes to a value that the record has already don't count
    why: str = ""


class FindQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="find"):
    """Asks for a record."""

    kind: str
    name: str
    version: int = 0  # the version; 0: the one in force


class FindResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `Find`."""

    version: int  # in force
    since: int  # lowest version at which records are known
    known: bool
    value: bytes | None = None  # None = None | None: there is no such record


class DiffQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="diff"):
    """Asks for the changes after version `a` up to version `b`: as many as fit in one answer."""

    from_version: int
    to_version: int
    skip_changes: int = 0  # changes of the first batch after `a` that were sent already


RecordDifference = tuple[str, str, bytes | None, bytes | None]
"""Kind, name, value before and after."""


class DiffResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `Diff`."""

    version: int
    since: int
    known: bool
    changes: tuple[RecordDifference, ...] = ()  # in order; a record may occur several times
    next_version: int = 0  # where the next request continues; `b`: the answer is complete
    skip_changes: int = 0


class StatusQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="stands"):
    """Asks for the state of the table."""


class StatusResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `StatusQuery`."""

    version: int
    since: int
    digest: bytes
    records: int
    bytes: int


Query = FindQuery | DiffQuery | StatusQuery
Replaced = tuple[bytes | None, ...]
decode_publish = msgspec.msgpack.Decoder(PublishCommand).decode
decode_replaced = msgspec.msgpack.Decoder(Replaced).decode


class KeptBatch(NamedTuple):
    """A kept batch, with the value that each of its changes replaced."""

    batch: Batch
    replaced: Replaced
    dumped: bytes  # both, as stored in a dump
    size: int  # bytes of both, encoded


class SourceDump(msgspec.Struct, array_like=True):
    """The dump of the source."""

    version: int
    digest: bytes
    pages: list[bytes]  # each by zlib, or uncompressed
    plain: list[int]  # numbers of the uncompressed pages
    since: tuple[int, bytes]  # version and digest before the first kept batch
    window: list[tuple[bool, bytes]]  # whether it is compressed, and the batch with the replaced values


decode_source_dump = msgspec.msgpack.Decoder(SourceDump).decode
BatchWithReplaced = tuple[Batch, Replaced]
decode_batch_with_replaced = msgspec.msgpack.Decoder(BatchWithReplaced).decode


class Source:
    """The table of a group, its kept batches and its compressed pages."""

    def __init__(
        self, window_batches: int = MAX_WINDOW_BATCHES, window_bytes: int = MAX_WINDOW_BYTES
    ) -> None:
        """The bounds of the kept batches, replaced values included."""
        self.window_batches, self.window_bytes = window_batches, window_bytes
        self.table = Table()
        self.window: deque[KeptBatch] = deque()
        self.window_bytes_used = 0  # bytes of the window
        self.since: tuple[int, bytes] = (0, self.table.digest)
        self.compressed_pages: list[bytes] = [b""] * len(self.table.pages)  # pages as a dump stores them
        self.uncompressed_pages: set[int] = set()  # pages not compressed since their last change

    # -- commands ----------------------------------------------------------------------------------------

    def apply(self, index: int, command: msgspec.Raw) -> PublishResult:
        """Applies a `PublishCommand` command as the entry `index`."""
        try:
            wanted = decode_publish(command)
        except UNDECODABLE:
            return self.reject("no command")
        if wanted.only_if is not None and wanted.only_if != self.table.version:
            return self.reject("another version is in force")
        why = find_batch_fault(wanted.changes)
        if why:
            return self.reject(why)
        find = self.table.find
        changes = [each for each in wanted.changes if find(each.kind, each.name) != each.value]
        if not changes:
            return self.reject("nothing would change")
        before = (self.table.version, self.table.digest)
        try:
            batch = self.table.apply(index, changes)
        except TableError as error:
            return self.reject(str(error))
        self.keep_batch(before, batch, tuple(self.table.replaced_values))
        self.uncompressed_pages |= {locate_key(encode_key(each.kind, each.name))[0] for each in changes}
        self.compress_pages()
        return PublishResult(True, index, len(changes))

    def reject(self, why: str) -> PublishResult:
        """The answer to a rejected command."""
        return PublishResult(False, self.table.version, 0, why)

    def keep_batch(self, before: tuple[int, bytes], batch: Batch, replaced: Replaced) -> None:
        """Keeps a batch. `before`: version and digest that it follows."""
        if not self.window:
            self.since = before
        self.add_to_window(encode((batch, replaced)), batch, replaced)
        while len(self.window) > self.window_batches or self.window_bytes_used > self.window_bytes:
            past = self.window.popleft()
            self.window_bytes_used -= past.size
            self.since = (past.batch.version, past.batch.digest)

    def add_to_window(self, data: bytes, batch: Batch, replaced: Replaced) -> None:
        """Adds an encoded batch to the window."""
        dumped = zlib.compress(data, ZLIB_LEVEL) if len(data) > MAX_UNCOMPRESSED_BYTES else data
        self.window.append(KeptBatch(batch, replaced, dumped, len(data)))
        self.window_bytes_used += len(data)

    def compress_pages(self) -> None:
        """Compresses some of the changed pages."""
        for number in heapq.nsmallest(PAGES_COMPRESSED_PER_ENTRY, self.uncompressed_pages):
            self.uncompressed_pages.remove(number)
            self.compressed_pages[number] = zlib.compress(self.table.pages[number], ZLIB_LEVEL)

    # -- queries -----------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        """Answers a query; None: it is invalid."""
        try:
            wanted = msgspec.convert(query, Query)
        except msgspec.ValidationError:
            return None
        if isinstance(wanted, FindQuery):
            return self.find_record(wanted)
        if isinstance(wanted, DiffQuery):
            return self.list_changes(wanted)
        table = self.table
        return StatusResult(table.version, self.since[0], table.digest, table.records, table.bytes)

    def is_known(self, version: int) -> bool:
        """Whether records are known at that version."""
        return self.since[0] <= version <= self.table.version

    def find_record(self, wanted: FindQuery) -> FindResult:
        """The record as it was at the version."""
        version = self.table.version
        at = wanted.version or version
        if not self.is_known(at):
            return FindResult(version, self.since[0], False)
        key = (wanted.kind, wanted.name)
        for past in self.after(at):
            for change, replaced in zip(past.batch.changes, past.replaced, strict=True):
                if (change.kind, change.name) == key:
                    return FindResult(version, self.since[0], True, replaced)
        return FindResult(version, self.since[0], True, self.table.find(*key))

    def after(self, version: int) -> Iterator[KeptBatch]:
        """The kept batches above the version, oldest first."""
        return (each for each in self.window if each.batch.version > version)

    def list_changes(self, wanted: DiffQuery) -> DiffResult:
        """The changes between two versions; some ms at most, as a leader's heartbeats wait meanwhile."""
        version, since = self.table.version, self.since[0]
        if not (self.is_known(wanted.from_version) and self.is_known(wanted.to_version)):
            return DiffResult(version, since, False)
        changes: list[RecordDifference] = []
        room, skip, at = MAX_DIFF_BYTES, wanted.skip_changes, wanted.from_version
        for past in self.after(wanted.from_version):
            if past.batch.version > wanted.to_version:
                break
            pairs = zip(past.batch.changes, past.replaced, strict=True)
            for change, old in islice(pairs, skip, None):
                room -= (
                    RECORD_OVERHEAD_BYTES + 4 * len(change.name) + len(old or b"") + len(change.value or b"")
                )
                if len(changes) >= MAX_DIFF_CHANGES or (changes and room < 0):
                    return DiffResult(version, since, True, tuple(changes), at, skip)
                changes.append((change.kind, change.name, old, change.value))
                skip += 1
            at, skip = past.batch.version, 0
        return DiffResult(version, since, True, tuple(changes), wanted.to_version)

    # -- dumps -------------------------------------------------------------------------------------------

    def dump(self) -> SourceDump:
        """The state for a group's snapshot."""
        pages, plain = list(self.compressed_pages), sorted(self.uncompressed_pages)
        for number in plain:
            pages[number] = self.table.pages[number]
        window = [(each.size > MAX_UNCOMPRESSED_BYTES, each.dumped) for each in self.window]
        return SourceDump(self.table.version, self.table.digest, pages, plain, self.since, window)

    def load(self, dumped: msgspec.Raw) -> None:
        """Restores a dump. Raises msgspec.MsgspecError if it is invalid or incomplete."""
        found = decode_source_dump(dumped)
        plain = set(found.plain)
        pages = [each if at in plain else inflate(each) for at, each in enumerate(found.pages)]
        try:
            self.table = Table.loaded(found.version, pages)
        except TableError as error:
            raise msgspec.ValidationError(
                f"the dumped table of version {found.version} is invalid: {error}"
            ) from error
        if self.table.digest != found.digest:
            raise msgspec.ValidationError(
                f"the digest of the dumped table of version {found.version} does not match"
            )
        self.compressed_pages, self.uncompressed_pages = found.pages, plain
        self.since, self.window, self.window_bytes_used = found.since, deque(), 0
        for deflated, data in found.window:
            whole = inflate(data, MAX_KEPT_BATCH_BYTES) if deflated else data
            self.add_to_window(whole, *decode_batch_with_replaced(whole))


def net_changes(changes: Iterable[RecordDifference]) -> list[RecordDifference]:
    """The total effect of the changes, sorted by kind and name."""
    old: dict[tuple[str, str], bytes | None] = {}
    new: dict[tuple[str, str], bytes | None] = {}
    for kind, name, before, after in changes:
        old.setdefault((kind, name), before)
        new[kind, name] = after
    return [(*key, old[key], new[key]) for key in sorted(old) if old[key] != new[key]]


def inflate(data: bytes, most: int = MAX_PAGE_BYTES) -> bytes:
    """The data without compression. Raises msgspec.ValidationError."""
    if not data:
        return b""
    made = zlib.decompressobj()
    try:
        whole = made.decompress(data, most + 1)
    except zlib.error as error:
        raise msgspec.ValidationError(f"cannot inflate dumped data: {error}") from error
    if not made.eof or len(whole) > most:
        raise msgspec.ValidationError("dumped data is incomplete or above its maximum size")
    return whole
