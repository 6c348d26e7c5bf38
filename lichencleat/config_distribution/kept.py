"""The last version on a disk, by the project's store: a start asks only for what is newer.

Kept are the pages, by zlib, and a head that names version, digest and the group's mark; beside them the
newest batches, which a relay feeds those from that are a little behind. A change writes the pages that it
touches and the head in one commit, so there is always one whole version. A snapshot that does not fit one
commit is written beside the old one: each page has two slots, and the head says which one counts.

What survives a cut: the version of the last commit that was confirmed, whole. The disk is behind the table by
what is on its way to it; while it is slow, what waits is written in one go, as it is by then, so nothing
queues up. Nothing rests on it: a node without its disk, or with an older one, asks for what it lacks.

What is torn, spoilt, or belongs to another group is found at the start (each page's digest, their sum, the
chain of batches) and not used: the table is then empty, `trouble` says why, and the next version is written
over it.

Reading, compression and writing are done in the store's threads, in calls so short that they hold the
interpreter's lock for no more than a millisecond; what was read is looked through in slices.
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
from lichencleat.config_distribution.errors import SpoiltError
from lichencleat.config_distribution.rebuild import differing
from lichencleat.config_distribution.table import Table, View
from lichencleat.config_distribution.terms import DIGEST, PAGES, Batch, decode_batch, encode
from lichencleat.store import batch as stored
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk
from lichencleat.store.errors import CannotOpenError, CorruptDataError, StoreError
from lichencleat.store.store import Store, open_store

FORMAT = 1
RECENT_MOST = 1_024  # batches kept beside the pages: half an hour of changes, for those a little behind
RECENT_BYTES = 1 << 20  # of these, and of those on their way there
PIECE_BYTES = 128 << 10  # of pages packed in one call of a thread, and of a snapshot in one commit
PIECE_PAGES = 8  # of these: the thread that writes holds the interpreter for some 80 µs each
ONE_BYTES = 256 << 10  # of pages that are written in one commit; more goes beside the old ones
READ_PAGES = 8  # read in one call of a thread: some 300 µs
LOOK_PAGES = 2  # looked through in one slice: some 300 µs
AGAIN = 10.0  # s until it is tried again after a failure
STORE = StoreLimits(  # a full table of values that can't be packed, twice, with cleaning's share
    segment_bytes=4 << 20,
    max_disk_bytes=512 << 20,
    max_entries=16_384,
    max_memory_bytes=16 << 20,
    max_undo_entries=16_384,
)

HEAD, PAGE, BATCH = b"head", b"p", b"b"


class Head(msgspec.Struct, frozen=True, array_like=True):
    format: int
    group: str  # "": not told
    mark: bytes
    version: int
    digest: bytes
    slots: bytes  # a bit a page: the slot that counts
    first: int  # number of the oldest batch beside them
    next: int  # and of the one to come


decode_head = msgspec.msgpack.Decoder(Head).decode


def slot_of(slots: bytes | bytearray, number: int) -> int:
    return slots[number >> 3] >> (number & 7) & 1


def page_key(number: int, slot: int) -> bytes:
    return PAGE + number.to_bytes(2, "big") + bytes((slot,))


def batch_key(number: int) -> bytes:
    """They go round: a newer one is written over one that is not needed any more."""
    return BATCH + (number % RECENT_MOST).to_bytes(2, "big")


@dataclass(slots=True)
class Plan:
    """What a write has to do."""

    pieces: list[list[int]]  # numbers of pages that differ
    slots: bytes  # as they are afterwards
    beside: bool  # they are written into the slots that do not count


def plan(view: View, digests: Sequence[int], slots: bytes) -> Plan:
    """In a thread: 4,096 pages are compared with what is on the disk."""
    numbers = differing(view.page_digests, digests)
    if sum(len(view.pages[number]) for number in numbers) <= ONE_BYTES:
        return Plan(pieces(view, numbers, PIECE_BYTES), slots, False)
    turned = bytearray(slots)
    for number in numbers:
        turned[number >> 3] ^= 1 << (number & 7)
    return Plan(pieces(view, numbers, PIECE_BYTES), bytes(turned), True)


def pack(view: View, numbers: Sequence[int]) -> list[tuple[int, bytes]]:
    """In a thread."""
    packed = []
    for number in numbers:
        digest = view.page_digests[number].to_bytes(DIGEST, "little")
        packed.append((number, digest + pages.deflated(view.pages[number])))
    return packed


def unpack(number: int, data: bytes | None) -> tuple[bytes, int]:
    """The page, and its digest. Raises SpoiltError."""
    if data is None:
        return b"", pages.EMPTY[number]
    page = pages.inflated(data[DIGEST:])
    digest = pages.digest_of(number, page)
    if digest.to_bytes(DIGEST, "little") != data[:DIGEST]:
        raise SpoiltError(f"page {number}: its digest is another")
    wrong = pages.fault(number, page)
    if wrong:
        raise SpoiltError(f"page {number}: {wrong}")
    return page, digest


def pieces(view: View, numbers: Sequence[int], most: int) -> list[list[int]]:
    """Of at most so many bytes, or one page; and of so many pages."""
    made: list[list[int]] = []
    room = 0
    for number in numbers:
        size = len(view.pages[number])
        if not made or size > room or len(made[-1]) >= PIECE_PAGES:
            made.append([])
            room = most
        made[-1].append(number)
        room -= size
    return made


def chained(batches: Sequence[bytes], version: int, digest: bytes) -> list[Batch]:
    """Those at the end that lead to that version, one after another."""
    found: list[Batch] = []
    for data in reversed(batches):
        try:
            each = decode_batch(data)
        except msgspec.DecodeError:
            break
        if each.version != version or (not found and each.digest != digest):
            break
        found.append(each)
        version = each.past
    return found[::-1]


class Kept:
    """Owns the store. `load` first; then `wrote`, `replaced` and `mark` say what is to be kept."""

    def __init__(self, reactor: Any, store: Store, group: str, tell: Callable[[str], None]) -> None:
        self.reactor, self.store, self.group, self.tell = reactor, store, group, tell
        self.trouble = ""  # why what was there is not used, or what the disk failed with last
        self.counts = {"writes": 0, "writes failed": 0, "pages written": 0, "bytes written": 0}
        self.table: Table | None = None  # what is to be kept
        self.group_mark = b""
        self.version = 0  # of the disk
        self.digests = list(pages.EMPTY)  # of the pages on the disk; -1: not known
        self.slots = bytes(PAGES // 8)
        self.recent: deque[int] = deque()  # bytes of each batch on the disk
        self.next = 0  # number of the next one
        self.pending: deque[bytes] = deque()  # on their way there
        self.anew = False  # those on the disk lead nowhere any more
        self.fresh = False  # something was told since the last write began
        self.writing = False
        self.failing = False
        self.timer: Any = None
        self.closing: Deferred[None] | None = None
        self.told: list[Deferred[None]] = []  # who waits for the write under way

    # -- loading ---------------------------------------------------------------------------------------

    @inlineCallbacks
    def load(self) -> Any:
        """The table, the group's mark, the batches that led to it. An empty one where `trouble` says why."""
        try:
            return (yield from self.read())
        except (SpoiltError, CorruptDataError, msgspec.DecodeError) as wrong:
            self.trouble = f"what was kept is spoilt and not used: {wrong}"
            self.tell(self.trouble)
            self.digests, self.anew = [-1] * PAGES, True
            return Table(), b"", []

    def read(self) -> Any:
        head = decode_head((yield self.store.submit_read(self.store.engine.get, HEAD)))
        if len(head.slots) != PAGES // 8 or not 0 <= head.next - head.first <= RECENT_MOST:
            raise SpoiltError("its head can't be one")
        self.slots, self.next = head.slots, head.next
        data = yield self.store.submit_read(self.read_batches, range(head.first, head.next))
        self.recent.extend(map(len, data))
        whole: list[bytes] = []
        digests: list[int] = []
        records = 0
        for begin in range(0, PAGES, READ_PAGES):
            raw = yield self.store.submit_read(self.read_pages, range(begin, begin + READ_PAGES))
            for number, each in enumerate(raw, begin):
                if number % LOOK_PAGES == 0:
                    yield self.turn()
                page, digest = unpack(number, each)
                whole.append(page)
                digests.append(digest)
                records += pages.count_of(page)
        table = Table.assembled(head.version, whole, digests, records)
        if table.digest != head.digest:
            raise SpoiltError(f"the pages are not those of version {head.version}")
        self.table, self.group_mark, self.version, self.digests = table, head.mark, head.version, digests
        return table, head.mark, chained(data, head.version, head.digest)

    def read_batches(self, numbers: Sequence[int]) -> list[bytes]:
        """In a thread; b"" for one that can't be read."""
        found: list[bytes] = []
        for number in numbers:
            try:
                found.append(self.store.engine.get(batch_key(number)) or b"")
            except CorruptDataError:
                found.append(b"")
        return found

    def read_pages(self, numbers: Sequence[int]) -> list[bytes | None]:
        """In a thread."""
        get = self.store.engine.get
        return [get(page_key(number, slot_of(self.slots, number))) for number in numbers]

    def turn(self) -> Deferred[None]:
        """Others have their turn first."""
        turn: Deferred[None] = Deferred()
        self.reactor.callLater(0, turn.callback, None)
        return turn

    # -- what is to be kept ----------------------------------------------------------------------------

    def wrote(self, table: Table, batches: Sequence[Batch]) -> None:
        """The table took these batches."""
        self.table = table
        for each in batches:
            self.pending.append(encode(each))
        self.shorten()
        self.stir()

    def replaced(self, table: Table) -> None:
        """The table took a snapshot."""
        self.table, self.anew = table, True
        self.pending.clear()
        self.stir()

    def mark(self, mark: bytes) -> None:
        """The group's, from now on."""
        if mark != self.group_mark:
            self.group_mark = mark
            self.stir()

    def shorten(self) -> None:
        """What is on its way stays within its bound: the oldest go."""
        size = sum(map(len, self.pending))
        while self.pending and (len(self.pending) > RECENT_MOST or size > RECENT_BYTES):
            size -= len(self.pending.popleft())

    # -- writing ---------------------------------------------------------------------------------------

    def stir(self) -> None:
        self.fresh = True
        if not self.writing and self.timer is None and self.closing is None:
            self.write()

    def write(self) -> Deferred[None]:
        self.fresh, self.writing = False, True
        pending, anew = list(self.pending), self.anew
        self.pending.clear()
        self.anew = False

        def failed(why: Failure) -> None:
            if not self.anew:  # no snapshot meanwhile
                self.pending.extendleft(reversed(pending))
                self.shorten()
            self.anew = self.anew or anew
            self.failed(why)

        return self.write_all(pending, anew).addCallbacks(self.written, failed)

    def written(self, _: Any) -> None:
        self.writing = False
        if self.table is not None:
            self.trouble = ""
        if self.failing:
            self.failing = False
            self.tell("the disk works again")
        if self.fresh and self.closing is None:
            self.write()
        self.tell_all()

    def tell_all(self) -> None:
        told, self.told = self.told, []
        for each in told:
            each.callback(None)

    def failed(self, why: Failure) -> None:
        self.writing, self.fresh = False, True
        self.counts["writes failed"] += 1
        said = why.getErrorMessage() if why.check(StoreError) else f"{why.type.__name__}: {why.value}"
        self.trouble = f"the version in force is not kept: {said}"
        if not self.failing:
            self.tell(self.trouble)
        self.failing = True
        if self.closing is None:
            self.timer = self.reactor.callLater(AGAIN, self.tries_again)
        self.tell_all()

    def tries_again(self) -> None:
        self.timer = None
        self.write()

    @inlineCallbacks
    def write_all(self, pending: list[bytes], anew: bool) -> Any:
        """Whatever differs from the disk, as it is now."""
        if self.table is None:  # the mark alone is known: it goes with the first table
            return
        view, past = self.table.view(), self.slots
        planned = yield self.store.submit_read(plan, view, self.digests, past)
        last = stored.Batch()
        for piece in planned.pieces:
            batch = stored.Batch() if planned.beside else last
            for number, data in (yield self.store.submit_read(pack, view, piece)):
                batch.put(page_key(number, slot_of(planned.slots, number)), data)
            if planned.beside:
                yield self.commit(batch)
        recent = self.log(last, pending, anew)
        last.put(HEAD, self.head(view, planned.slots, self.next + len(pending), len(recent)))
        yield self.commit(last)
        self.version, self.digests, self.slots = view.version, view.page_digests, planned.slots
        self.next, self.recent = self.next + len(pending), recent
        self.counts["pages written"] += sum(map(len, planned.pieces))
        if planned.beside:
            yield from self.sweep(planned.pieces, past)

    def head(self, view: View, slots: bytes, number: int, batches: int) -> bytes:
        """`number`: of the next batch; before it stand so many `batches`."""
        return encode(
            Head(
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

    def sweep(self, numbers: Sequence[Sequence[int]], slots: bytes) -> Any:
        """The pages from before go. Where that fails, a later snapshot is written over them."""
        for piece in numbers:
            batch = stored.Batch()
            for number in piece:
                batch.delete(page_key(number, slot_of(slots, number)))
            try:
                yield self.commit(batch)
            except StoreError:
                return

    def log(self, batch: stored.Batch, pending: list[bytes], anew: bool) -> deque[int]:
        """The newest batches go to the disk, older ones from it; bytes of each that is there then."""
        recent = self.recent.copy()
        size = sum(recent)
        for number, data in enumerate([*pending, b""], self.next):  # b"": the bounds hold behind the last one
            full = len(recent) >= RECENT_MOST and data
            while recent and (anew or full or size + len(data) > RECENT_BYTES):
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
        self.counts["writes"] += 1
        self.counts["bytes written"] += batch.bytes
        return self.store.commit(batch)

    # -- ending ----------------------------------------------------------------------------------------

    def close(self) -> Deferred[None]:
        """What was told is written, where the disk works. Fires when the directory is given back."""
        if self.closing is None:
            self.closing = Deferred()
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.end()
        told: Deferred[None] = Deferred()
        self.closing.addBoth(lambda result: told.callback(None) or result)
        return told

    @inlineCallbacks
    def end(self) -> Any:
        if self.writing:
            under_way: Deferred[None] = Deferred()
            self.told.append(under_way)
            yield under_way
        if self.fresh and not self.failing:
            yield self.write()
        yield self.store.close()
        self.closing.callback(None)


def check_ours(store: Store, group: str) -> bool:
    """In a thread: is there anything yet? Raises UnfitError where it is not ours."""
    said = store.engine.get(HEAD)
    if said is None:
        if store.stat()["entries"]:
            raise CannotOpenError("it holds something else than a configuration; name another directory")
        return False
    try:
        head = decode_head(said)
    except msgspec.DecodeError as wrong:
        raise CannotOpenError(
            "it holds something else than a configuration; name another directory"
        ) from wrong
    if head.format != FORMAT:
        raise CannotOpenError(f"it has format {head.format}, and this program's is {FORMAT}; empty it")
    if group and head.group and head.group != group:
        raise CannotOpenError(f"it belongs to the group {head.group!r}, and this is {group!r}; name its own")
    return True


@inlineCallbacks
def made_kept(reactor: Any, store: Store, group: str, tell: Callable[[str], None]) -> Any:
    kept = Kept(reactor, store, group, tell)
    try:
        if not (yield store.submit_read(check_ours, store, group)):
            yield kept.commit(stored.Batch().put(HEAD, kept.head(Table().view(), kept.slots, 0, 0)))
    except BaseException:
        yield store.close()
        raise
    return kept


def open_kept(
    reactor: Any,
    directory: str,
    clock: Callable[[], int],
    rng: random.Random,
    disk: Disk | None = None,
    group: str = "",
    tell: Callable[[str], None] = lambda text: None,
) -> Deferred[Kept]:
    """Made where it is missing. Fails with a StoreError: in use, damaged, full, somebody else's.

    `clock`: µs of Unix time; `tell` is given a line where the disk's state changes; `group`: its name, where
    a directory of another one is to be told from this one's.
    """
    opened = open_store(reactor, directory, clock, rng, STORE, disk=disk)
    return opened.addCallback(lambda store: made_kept(reactor, store, group, tell))
