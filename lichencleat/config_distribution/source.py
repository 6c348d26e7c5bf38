"""The source of configuration: a part of a group's replicated state that turns each accepted log entry into a
batch; no I/O.

A batch's version is the index of its log entry. A rejected command changes nothing. Every member rejects the
same commands, because the rejection depends only on the table and the command. The source keeps the last
batches with the values that they replaced, so that a record's value is known at every version since the
oldest kept batch. A dump (the source's part of a snapshot of the group's state) includes the kept batches.

A dump of 560,000 records must not delay a leader's heartbeats, so `dump` only copies bytes. Changed pages are
compressed beforehand: a few at each entry, lowest number first. A dump contains a page that is not compressed
yet in uncompressed form, and lists the numbers of these pages. The list depends only on the entries, so all
members make the same dump.
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

PAGES_COMPRESSED_PER_ENTRY = 16  # some 300 µs each; enough to keep up with small batches
# maximum size in bytes of a kept batch, encoded with the values that it replaced
MAX_KEPT_BATCH_BYTES = MAX_BATCH_BYTES + MAX_BATCH_CHANGES * (MAX_VALUE_BYTES + 16)
MAX_DIFF_CHANGES = 4_096  # maximum of changes in a `DiffResult`, which takes some ms
MAX_DIFF_BYTES = 512 << 10  # bytes of the names and values in a `DiffResult`: half of a frame
MAX_UNCOMPRESSED_BYTES = 1_024  # kept batches up to this size in bytes are not compressed
RECORD_OVERHEAD_BYTES = 16  # bytes of a record in a `DiffResult` besides name and values


class PublishCommand(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="publish"):
    """Sets and removes records. This is the only command of the source."""

    changes: tuple[Change, ...]
    only_if: int | None = None  # the version that must be in force; 0: no version yet; None: any version


class PublishResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `PublishCommand`: whether the changes were applied, and the version in force."""

    done: bool
    version: int
    changed: int = 0  # number of records whose value differs from the value before
    why: str = ""


class FindQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="find"):
    """Asks for the value of a record at a version."""

    kind: str
    name: str
    version: int = 0  # 0: the version in force


class FindResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `FindQuery`."""

    version: int  # the version in force
    since: int  # lowest version at which records are known
    known: bool  # whether records are known at the version asked for
    value: bytes | None = None  # None: there was no such record


class DiffQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="diff"):
    """Asks for the changes after `from_version` up to `to_version`, as many as fit in one answer."""

    from_version: int
    to_version: int
    skip_changes: int = 0  # changes of the first batch after `from_version` to leave out: already sent


RecordDifference = tuple[str, str, bytes | None, bytes | None]
"""A changed record: kind, name, value before and value after the change; None: no such record."""


class DiffResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `DiffQuery`."""

    version: int  # the version in force
    since: int  # lowest version at which records are known
    known: bool  # whether both versions asked for are known
    changes: tuple[RecordDifference, ...] = ()  # in order; a record may occur several times
    next_version: int = 0  # `from_version` of the next query; equal to `to_version`: no more changes
    skip_changes: int = 0  # `skip_changes` of the next query


class StatusQuery(msgspec.Struct, frozen=True, array_like=True, tag_field="ask", tag="stands"):
    """Asks for the state of the table."""


class StatusResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to `StatusQuery`."""

    version: int  # the version in force
    since: int  # lowest version at which records are known
    digest: bytes
    records: int
    bytes: int


Query = FindQuery | DiffQuery | StatusQuery
Replaced = tuple[bytes | None, ...]
decode_publish = msgspec.msgpack.Decoder(PublishCommand).decode
decode_replaced = msgspec.msgpack.Decoder(Replaced).decode


class KeptBatch(NamedTuple):
    """A kept batch, with the value that each change of the batch replaced."""

    batch: Batch
    replaced: Replaced
    dumped: bytes  # batch and replaced values, as stored in a dump
    size: int  # size in bytes of batch and replaced values, encoded and not compressed


class SourceDump(msgspec.Struct, array_like=True):
    """The state of the source, as part of a snapshot of the group's state."""

    version: int
    digest: bytes
    pages: list[bytes]  # each by zlib, or uncompressed
    plain: list[int]  # numbers of the uncompressed pages
    since: tuple[int, bytes]  # version and digest before the first kept batch
    window: list[tuple[bool, bytes]]  # kept batches: whether compressed, and the encoded bytes


decode_source_dump = msgspec.msgpack.Decoder(SourceDump).decode
BatchWithReplaced = tuple[Batch, Replaced]
decode_batch_with_replaced = msgspec.msgpack.Decoder(BatchWithReplaced).decode


class Source:
    """The table of a group, the kept batches and the compressed pages for dumps."""

    def __init__(
        self, window_batches: int = MAX_WINDOW_BATCHES, window_bytes: int = MAX_WINDOW_BYTES
    ) -> None:
        """Bounds of the kept batches: their number, and their bytes including replaced values."""
        self.window_batches, self.window_bytes = window_batches, window_bytes
        self.table = Table()
        self.window: deque[KeptBatch] = deque()
        self.window_bytes_used = 0  # bytes of all batches in the window, with replaced values
        # version and digest before the oldest kept batch
        self.since: tuple[int, bytes] = (0, self.table.digest)
        self.compressed_pages: list[bytes] = [b""] * len(self.table.pages)  # pages by zlib
        self.uncompressed_pages: set[int] = set()  # numbers of pages changed since last compressed

    # -- commands ----------------------------------------------------------------------------------------

    def apply(self, index: int, command: msgspec.Raw) -> PublishResult:
        """Applies a `PublishCommand` as the log entry `index`."""
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
        """Keeps a batch, and drops the oldest kept batches above the bounds.

        `before`: version and digest before the batch.
        """
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
        """Compresses a few of the changed pages, lowest numbers first."""
        for number in heapq.nsmallest(PAGES_COMPRESSED_PER_ENTRY, self.uncompressed_pages):
            self.uncompressed_pages.remove(number)
            self.compressed_pages[number] = zlib.compress(self.table.pages[number], ZLIB_LEVEL)

    # -- queries -----------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        """The answer to a query; None if the query is invalid."""
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
        """Whether the values of records are known at a version."""
        return self.since[0] <= version <= self.table.version

    def find_record(self, wanted: FindQuery) -> FindResult:
        """The value of a record at the version asked for."""
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
        """The kept batches with a higher version than `version`, oldest first."""
        return (each for each in self.window if each.batch.version > version)

    def list_changes(self, wanted: DiffQuery) -> DiffResult:
        """The changes between two versions. Takes some ms at most: a leader's heartbeats wait meanwhile."""
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
        """The state of the source, for a snapshot of the group's state."""
        pages, plain = list(self.compressed_pages), sorted(self.uncompressed_pages)
        for number in plain:
            pages[number] = self.table.pages[number]
        window = [(each.size > MAX_UNCOMPRESSED_BYTES, each.dumped) for each in self.window]
        return SourceDump(self.table.version, self.table.digest, pages, plain, self.since, window)

    def load(self, dumped: msgspec.Raw) -> None:
        """Restores a dump. Raises msgspec.MsgspecError if the dump is invalid or incomplete."""
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
    """The net effect of successive changes: one change per record, sorted by kind and name.

    Records that end with the value that they began with are left out.
    """
    old: dict[tuple[str, str], bytes | None] = {}
    new: dict[tuple[str, str], bytes | None] = {}
    for kind, name, before, after in changes:
        old.setdefault((kind, name), before)
        new[kind, name] = after
    return [(*key, old[key], new[key]) for key in sorted(old) if old[key] != new[key]]


def inflate(data: bytes, most: int = MAX_PAGE_BYTES) -> bytes:
    """Decompresses data, to at most `most` bytes. Raises msgspec.ValidationError if the data is invalid."""
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
