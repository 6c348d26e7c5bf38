"""Persists the version in force on a disk, in the project's store, so that a restarted process fetches only
what is newer.

The disk holds the pages, compressed by zlib, and a head with the version, the table digest and the identifier
of the group (its mark). The disk also holds the newest batches, which a relay sends to subscribers that lag a
little. One commit writes the pages that a change touches and the head, so the disk always has one complete
version. A snapshot that doesn't fit one commit is written beside the old version: each page has two slots,
and the head says which slot is valid.

After a power cut the disk has the complete version of the last confirmed commit. The disk lags the table by
the write in progress. Changes that are made during a write are written together afterwards, in their latest
state, so that a slow disk builds up no queue. The disk is not needed for operation: a node without a disk, or
with an older version on the disk, fetches the missing data from a relay.

Torn or corrupt data is detected when the stored version is loaded (by the digest of each page, the sum of the
page digests and the chain of batches). A corrupt version is not used: the table is then empty, `problem`
holds the reason, and the next version overwrites the stored one. A directory of another group is not opened.

Reading, compression and writing run in the store's threads, in calls that hold the interpreter's lock for at
most a millisecond; loaded pages are checked in slices.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import CorruptTableError
from lichencleat.config_distribution.rebuild import find_differing_pages
from lichencleat.config_distribution.table import Table, View
from lichencleat.config_distribution.terms import DIGEST_BYTES, PAGE_COUNT, Batch, decode_batch, encode
from lichencleat.store import batch as stored
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk
from lichencleat.store.errors import CannotOpenError, CorruptDataError, StoreError
from lichencleat.store.store import Store, open_store

FORMAT = 1  # version of the format of the stored data
# maximum of batches stored for subscribers that lag a little: half an hour of changes
MAX_RECENT_BATCHES = 1_024
MAX_RECENT_BYTES = 1 << 20  # maximum size of the stored batches, and of the batches to be written
# maximum bytes of pages compressed in one call in a thread; a snapshot is committed in chunks of this size
MAX_CHUNK_BYTES = 128 << 10
MAX_CHUNK_PAGES = 8  # maximum of pages in a chunk; compressing a page holds the interpreter lock for 80 µs
# up to this many bytes of pages are written in one commit, in place; more are written beside the old pages
MAX_IN_PLACE_BYTES = 256 << 10
PAGES_PER_READ = 8  # pages read in one call in a thread: some 300 µs
PAGES_PER_CHECK = 2  # pages checked in one slice: some 300 µs
RETRY_DELAY_S = 10.0  # s between a failed write and the retry
# room for two full tables of incompressible values (each page has two slots), and a reserve for compaction
STORE_LIMITS = StoreLimits(
    segment_bytes=4 << 20,
    max_disk_bytes=512 << 20,
    max_entries=16_384,
    max_memory_bytes=16 << 20,
    max_undo_entries=16_384,
)

HEAD_KEY, PAGE_KEY_PREFIX, BATCH_KEY_PREFIX = b"head", b"p", b"b"


class StoredHead(msgspec.Struct, frozen=True, array_like=True):
    """The stored description of the version on the disk."""

    format: int
    group: str  # name of the group; "": not known
    mark: bytes  # identifier of the group; b"": not known
    version: int
    digest: bytes
    slots: bytes  # one bit per page: the valid slot of the page
    first: int  # number of the oldest batch stored
    next: int  # number of the next batch to be stored


decode_head = msgspec.msgpack.Decoder(StoredHead).decode


def slot_of(slots: bytes | bytearray, number: int) -> int:
    """The valid slot of a page, 0 or 1. `slots`: one bit per page."""
    return slots[number >> 3] >> (number & 7) & 1


def page_key(number: int, slot: int) -> bytes:
    """The key of a page slot in the store."""
    return PAGE_KEY_PREFIX + number.to_bytes(2, "big") + bytes((slot,))


def batch_key(number: int) -> bytes:
    """The key of a batch in the store. Keys repeat: a new batch overwrites one that is too old to keep."""
    return BATCH_KEY_PREFIX + (number % MAX_RECENT_BATCHES).to_bytes(2, "big")


@dataclass(slots=True)
class WritePlan:
    """The plan of one write to the disk."""

    pieces: list[list[int]]  # numbers of the pages to write, in chunks
    slots: bytes  # one bit per page: the valid slot after the write
    beside: bool  # the pages are written to the slots that are not valid, in several commits


def plan_write(view: View, digests: Sequence[int], slots: bytes) -> WritePlan:
    """Plans the write of a view. `digests`, `slots`: page digests and valid slots on the disk.

    Compares the digests of 4,096 pages; runs in a thread.
    """
    numbers = find_differing_pages(view.page_digests, digests)
    if sum(len(view.pages[number]) for number in numbers) <= MAX_IN_PLACE_BYTES:
        return WritePlan(split_into_chunks(view, numbers, MAX_CHUNK_BYTES), slots, False)
    turned = bytearray(slots)
    for number in numbers:
        turned[number >> 3] ^= 1 << (number & 7)
    return WritePlan(split_into_chunks(view, numbers, MAX_CHUNK_BYTES), bytes(turned), True)


def pack_pages(view: View, numbers: Sequence[int]) -> list[tuple[int, bytes]]:
    """The stored form of the pages: digest and zlib bytes; runs in a thread."""
    packed = []
    for number in numbers:
        digest = view.page_digests[number].to_bytes(DIGEST_BYTES, "little")
        packed.append((number, digest + pages.deflate_page(view.pages[number])))
    return packed


def unpack_page(number: int, data: bytes | None) -> tuple[bytes, int]:
    """A page and its digest, from the stored form (None: an empty page). Raises CorruptTableError."""
    if data is None:
        return b"", pages.EMPTY_PAGE_DIGESTS[number]
    page = pages.inflate_page(data[DIGEST_BYTES:])
    digest = pages.page_digest(number, page)
    if digest.to_bytes(DIGEST_BYTES, "little") != data[:DIGEST_BYTES]:
        raise CorruptTableError(f"page {number}: the digest does not match")
    fault = pages.find_page_fault(number, page)
    if fault:
        raise CorruptTableError(f"page {number}: {fault}")
    return page, digest


def split_into_chunks(view: View, numbers: Sequence[int], most: int) -> list[list[int]]:
    """Page numbers in chunks of at most `most` bytes (or one larger page) and `MAX_CHUNK_PAGES` pages."""
    made: list[list[int]] = []
    room = 0
    for number in numbers:
        size = len(view.pages[number])
        if not made or size > room or len(made[-1]) >= MAX_CHUNK_PAGES:
            made.append([])
            room = most
        made[-1].append(number)
        room -= size
    return made


def find_batch_chain(batches: Sequence[bytes], version: int, digest: bytes) -> list[Batch]:
    """The longest chain of encoded batches, in order, that ends with `version` and `digest`.

    Empty if the last batch can't be decoded or doesn't lead to `version` and `digest`.
    """
    found: list[Batch] = []
    for data in reversed(batches):
        try:
            each = decode_batch(data)
        except msgspec.DecodeError:
            break
        if each.version != version or (not found and each.digest != digest):
            break
        found.append(each)
        version = each.previous
    return found[::-1]


class PersistedTable:
    """Owns the store. The host calls `load` first, then reports each update of the table.

    Updates are reported by `on_batches_applied` and `on_snapshot_applied`.
    """

    def __init__(self, reactor: Any, store: Store, group: str, report: Callable[[str], None]) -> None:
        self.reactor, self.store, self.group, self.report = reactor, store, group, report
        self.problem = ""  # why the stored version was not used, or the disk's last error
        self.counts = {"writes": 0, "writes failed": 0, "pages written": 0, "bytes written": 0}
        self.table: Table | None = None  # the table to be persisted
        self.group_mark = b""  # identifier of the group; b"": not known
        self.version = 0  # version on the disk
        self.digests = list(pages.EMPTY_PAGE_DIGESTS)  # digests of the pages on the disk; -1: unknown
        self.slots = bytes(PAGE_COUNT // 8)  # one bit per page: the valid slot on the disk
        self.recent: deque[int] = deque()  # size in bytes of each batch on the disk
        self.next = 0  # number of the next batch to be stored
        self.pending: deque[bytes] = deque()  # encoded batches to be written
        # the stored batches don't lead to the table's version: a snapshot was applied or the data is corrupt
        self.batches_invalid = False
        self.has_changes = False  # there are changes that the last write did not include
        self.writing = False
        self.failing = False  # the last write failed
        self.timer: Any = None  # for the retry of a failed write
        self.closing: Deferred[None] | None = None
        self.write_waiters: list[Deferred[None]] = []  # fired at the end of the current write

    # -- loading -----------------------------------------------------------------------------------------

    @inlineCallbacks
    def load(self) -> Any:
        """Loads the stored table, the identifier of the group and the last batches that led to the table.

        If the stored data is corrupt, returns an empty table and sets `problem`.
        """
        try:
            return (yield from self.read())
        except (CorruptTableError, CorruptDataError, msgspec.DecodeError) as error:
            self.problem = f"the stored version is corrupt and not used: {error}"
            self.report(self.problem)
            self.digests, self.batches_invalid = [-1] * PAGE_COUNT, True
            return Table(), b"", []

    def read(self) -> Any:
        """Reads and checks the stored version. Raises the errors that `load` handles."""
        head = decode_head((yield self.store.submit_read(self.store.engine.get, HEAD_KEY)))
        if len(head.slots) != PAGE_COUNT // 8 or not 0 <= head.next - head.first <= MAX_RECENT_BATCHES:
            raise CorruptTableError("its head is invalid")
        self.slots, self.next = head.slots, head.next
        data = yield self.store.submit_read(self.read_batches, range(head.first, head.next))
        self.recent.extend(map(len, data))
        whole: list[bytes] = []
        digests: list[int] = []
        records = 0
        for begin in range(0, PAGE_COUNT, PAGES_PER_READ):
            raw = yield self.store.submit_read(self.read_pages, range(begin, begin + PAGES_PER_READ))
            for number, each in enumerate(raw, begin):
                if number % PAGES_PER_CHECK == 0:
                    yield self.next_turn()
                page, digest = unpack_page(number, each)
                whole.append(page)
                digests.append(digest)
                records += pages.record_count(page)
        table = Table.assembled(head.version, whole, digests, records)
        if table.digest != head.digest:
            raise CorruptTableError(f"the stored pages are not those of version {head.version}")
        self.table, self.group_mark, self.version, self.digests = table, head.mark, head.version, digests
        return table, head.mark, find_batch_chain(data, head.version, head.digest)

    def read_batches(self, numbers: Sequence[int]) -> list[bytes]:
        """The stored batches with these numbers, b"" for a batch that can't be read. Runs in a thread."""
        found: list[bytes] = []
        for number in numbers:
            try:
                found.append(self.store.engine.get(batch_key(number)) or b"")
            except CorruptDataError:
                found.append(b"")
        return found

    def read_pages(self, numbers: Sequence[int]) -> list[bytes | None]:
        """The stored pages with these numbers, None for an empty page. Runs in a thread."""
        get = self.store.engine.get
        return [get(page_key(number, slot_of(self.slots, number))) for number in numbers]

    def next_turn(self) -> Deferred[None]:
        """A Deferred that fires in a later turn of the reactor."""
        turn: Deferred[None] = Deferred()
        self.reactor.callLater(0, turn.callback, None)
        return turn

    # -- changes -----------------------------------------------------------------------------------------

    def on_batches_applied(self, table: Table, batches: Sequence[Batch]) -> None:
        """Handles batches that the table has applied."""
        self.table = table
        for each in batches:
            self.pending.append(encode(each))
        self.trim_pending()
        self.schedule_write()

    def on_snapshot_applied(self, table: Table) -> None:
        """Handles a snapshot that the table has applied."""
        self.table, self.batches_invalid = table, True
        self.pending.clear()
        self.schedule_write()

    def set_group_mark(self, mark: bytes) -> None:
        """Sets the identifier of the group and schedules a write if the identifier has changed."""
        if mark != self.group_mark:
            self.group_mark = mark
            self.schedule_write()

    def trim_pending(self) -> None:
        """Drops the oldest batches that wait to be written until the rest is within the bounds.

        The bounds are `MAX_RECENT_BATCHES` and `MAX_RECENT_BYTES`.
        """
        size = sum(map(len, self.pending))
        while self.pending and (len(self.pending) > MAX_RECENT_BATCHES or size > MAX_RECENT_BYTES):
            size -= len(self.pending.popleft())

    # -- writing -----------------------------------------------------------------------------------------

    def schedule_write(self) -> None:
        """Starts a write, unless a write is in progress, a retry is scheduled or the store is closing."""
        self.has_changes = True
        if not self.writing and self.timer is None and self.closing is None:
            self.write()

    def write(self) -> Deferred[None]:
        """Writes all changes. The Deferred fires at the end of the write, also after a failure."""
        self.has_changes, self.writing = False, True
        pending, anew = list(self.pending), self.batches_invalid
        self.pending.clear()
        self.batches_invalid = False

        def failed(why: Failure) -> None:
            if not self.batches_invalid:  # no snapshot was applied meanwhile
                self.pending.extendleft(reversed(pending))
                self.trim_pending()
            self.batches_invalid = self.batches_invalid or anew
            self.on_write_failed(why)

        return self.write_all(pending, anew).addCallbacks(self.on_written, failed)

    def on_written(self, _: Any) -> None:
        """Ends a successful write and starts the next write if there are changes."""
        self.writing = False
        if self.table is not None:
            self.problem = ""
        if self.failing:
            self.failing = False
            self.report("the disk works again")
        if self.has_changes and self.closing is None:
            self.write()
        self.fire_write_waiters()

    def fire_write_waiters(self) -> None:
        """Fires the Deferreds that wait for the end of the write."""
        done, self.write_waiters = self.write_waiters, []
        for each in done:
            each.callback(None)

    def on_write_failed(self, why: Failure) -> None:
        """Schedules a retry of a failed write. Reports only the first of several failures in a row."""
        self.writing, self.has_changes = False, True
        self.counts["writes failed"] += 1
        message = why.getErrorMessage() if why.check(StoreError) else f"{why.type.__name__}: {why.value}"
        self.problem = f"the version in force is not kept on the disk: {message}"
        if not self.failing:
            self.report(self.problem)
        self.failing = True
        if self.closing is None:
            self.timer = self.reactor.callLater(RETRY_DELAY_S, self.retry)
        self.fire_write_waiters()

    def retry(self) -> None:
        """Writes again after a failure."""
        self.timer = None
        self.write()

    @inlineCallbacks
    def write_all(self, pending: list[bytes], anew: bool) -> Any:
        """Writes the pages that differ from the disk, the batches in `pending` and the head.

        `anew`: delete all stored batches first.
        """
        if self.table is None:  # the group's identifier is written together with the first table
            return
        view, past = self.table.view(), self.slots
        planned = yield self.store.submit_read(plan_write, view, self.digests, past)
        last = stored.Batch()
        for piece in planned.pieces:
            batch = stored.Batch() if planned.beside else last
            for number, data in (yield self.store.submit_read(pack_pages, view, piece)):
                batch.put(page_key(number, slot_of(planned.slots, number)), data)
            if planned.beside:
                yield self.commit(batch)
        recent = self.add_batches(last, pending, anew)
        last.put(HEAD_KEY, self.encode_head(view, planned.slots, self.next + len(pending), len(recent)))
        yield self.commit(last)
        self.version, self.digests, self.slots = view.version, view.page_digests, planned.slots
        self.next, self.recent = self.next + len(pending), recent
        self.counts["pages written"] += sum(map(len, planned.pieces))
        if planned.beside:
            yield from self.delete_replaced_pages(planned.pieces, past)

    def encode_head(self, view: View, slots: bytes, number: int, batches: int) -> bytes:
        """The encoded head. `number`: number of the next batch; `batches`: how many batches are stored."""
        return encode(
            StoredHead(
                FORMAT,
                self.group,
                self.group_mark,
                view.version,
                view.digest,
                slots,
                number - batches,
                number,
            )
        )

    def delete_replaced_pages(self, numbers: Sequence[Sequence[int]], slots: bytes) -> Any:
        """Deletes the replaced pages, in chunks. After a failure, a later snapshot overwrites the rest."""
        for piece in numbers:
            batch = stored.Batch()
            for number in piece:
                batch.delete(page_key(number, slot_of(slots, number)))
            try:
                yield self.commit(batch)
            except StoreError:
                return

    def add_batches(self, batch: stored.Batch, pending: list[bytes], anew: bool) -> deque[int]:
        """Adds new batches to a commit and deletes old batches. Returns the sizes of the batches then stored.

        `anew`: delete all stored batches.
        """
        recent = self.recent.copy()
        size = sum(recent)
        for number, data in enumerate([*pending, b""], self.next):  # b"": enforces the bounds at the end
            full = len(recent) >= MAX_RECENT_BATCHES and data
            while recent and (anew or full or size + len(data) > MAX_RECENT_BYTES):
                batch.delete(batch_key(number - len(recent)))
                size -= recent.popleft()
                full = False
            if data:
                batch.put(batch_key(number), data)
                recent.append(len(data))
                size += len(data)
            anew = False
        return recent

    def commit(self, batch: stored.Batch) -> Deferred[None]:
        """Commits a batch to the store and counts the write."""
        self.counts["writes"] += 1
        self.counts["bytes written"] += batch.bytes
        return self.store.commit(batch)

    # -- shutdown ----------------------------------------------------------------------------------------

    def close(self) -> Deferred[None]:
        """Writes pending changes if the disk works. The Deferred fires when the store is closed."""
        if self.closing is None:
            self.closing = Deferred()
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.shut_down()
        done: Deferred[None] = Deferred()
        self.closing.addBoth(lambda result: done.callback(None) or result)
        return done

    @inlineCallbacks
    def shut_down(self) -> Any:
        """Waits for the current write, writes pending changes and closes the store."""
        if self.writing:
            under_way: Deferred[None] = Deferred()
            self.write_waiters.append(under_way)
            yield under_way
        if self.has_changes and not self.failing:
            yield self.write()
        yield self.store.close()
        self.closing.callback(None)


def check_owner(store: Store, group: str) -> bool:
    """Whether the store has a head. Runs in a thread.

    Raises CannotOpenError if the store has data of another kind, format or group.
    """
    data = store.engine.get(HEAD_KEY)
    if data is None:
        if store.stat()["entries"]:
            raise CannotOpenError("the directory holds something else than a configuration; name another one")
        return False
    try:
        head = decode_head(data)
    except msgspec.DecodeError as error:
        raise CannotOpenError(
            "the directory holds something else than a configuration; name another one"
        ) from error
    if head.format != FORMAT:
        raise CannotOpenError(
            f"the directory has format {head.format}, and this program needs format {FORMAT}; empty it"
        )
    if group and head.group and head.group != group:
        raise CannotOpenError(
            f"the directory belongs to group {head.group!r}, not to {group!r}; name another one"
        )
    return True


@inlineCallbacks
def make_persisted_table(reactor: Any, store: Store, group: str, report: Callable[[str], None]) -> Any:
    """A PersistedTable for an opened store. Writes a head if the store is empty."""
    kept = PersistedTable(reactor, store, group, report)
    try:
        if not (yield store.submit_read(check_owner, store, group)):
            yield kept.commit(
                stored.Batch().put(HEAD_KEY, kept.encode_head(Table().view(), kept.slots, 0, 0))
            )
    except BaseException:
        yield store.close()
        raise
    return kept


def open_persisted_table(
    reactor: Any,
    directory: str,
    clock: Callable[[], int],
    rng: random.Random,
    disk: Disk | None = None,
    group: str = "",
    report: Callable[[str], None] = lambda text: None,
) -> Deferred[PersistedTable]:
    """Opens or creates the directory.

    Fails with a StoreError if the directory is in use, damaged or full, or has data of another program or
    group.
    `clock`: µs of Unix time; `report`: called with a line of text when the state of the disk changes;
    `group`: the group's name, to detect the directory of another group.
    """
    opened = open_store(reactor, directory, clock, rng, STORE_LIMITS, disk=disk)
    return opened.addCallback(lambda store: make_persisted_table(reactor, store, group, report))
