"""Carries out what `book.py` knows, on the store: intents before runs, results before answers.

Whatever waits for the disk waits here: starts for their intents, answers for their results, tries that came
before the book stood. Each wait ends: by the disk's word, by a slow disk's bound, or by the request's own
due time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from lichencleat.admission.types import Outcome, Request
from lichencleat.decoding import UNDECODABLE
from lichencleat.idempotency.book import Book, Told
from lichencleat.idempotency.records import (
    ENTRY,
    MARK,
    SEEN,
    WHOSE,
    Entry,
    Seen,
    State,
    decode_entry,
    decode_seen,
    encode,
    mark,
)
from lichencleat.idempotency.whose import check_whose
from lichencleat.store.batch import Batch
from lichencleat.store.errors import StoreError
from lichencleat.store.store import Store

BEAT = 1_000_000  # µs between two signs of life, which also tell whether a disk that failed works again
SLOW = 250_000  # µs that a write may wait: then nothing more is begun on it; a disk flushes in a few ms
LOOK = 50_000  # µs between looks at what waits, while something does
PARKED_MOST = 4_096  # tries that wait for the book, over all connections: some MB
PARKED_LONG = 1_500_000  # µs that one waits for it: most books stand by then
UNWRITTEN_MOST = 1_024  # results that wait for the disk to work again; others are given up after a restart
CHUNK = 4_000  # entries taken in at once at the start: the reactor is held up for some 15 ms


class Case(Protocol):
    """A request in hand, as far as this module has to know it; as net.host.Case."""

    request: Request
    ident: bytes
    key: bytes
    open: bool


class Host(Protocol):
    """What carries on once the disk has spoken; as net.host.Host."""

    def takes(self, case: Any) -> None: ...
    def refuses(self, case: Any) -> None: ...
    def begin_run(self, case: Any) -> None: ...
    def not_begun(self, case: Any) -> None: ...
    def never_began(self, case: Any) -> None: ...
    def end_share(self, case: Any, result: bytes | None) -> None: ...
    def may_record(self, able: bool) -> None: ...
    def adopts(self, ident: bytes, ended: Callable[[Outcome, int, bytes], None]) -> None: ...
    def adopts_no_more(self) -> None: ...


@dataclass(slots=True)
class Start:
    """A run that waits for its intent."""

    case: Any
    at: int  # µs of the monotonic clock when the intent was written
    confirmed: bool = False
    wanted: bool = False  # the decisions have begun it


@dataclass(slots=True)
class Waits:
    """What waits here, each with its bound."""

    starts: dict[Request, Start] = field(default_factory=dict)  # at most what the node lets run
    writes: dict[int, int] = field(default_factory=dict)  # number -> since when; at most the store's queue
    parked: deque[tuple[Any, int]] = field(default_factory=deque)  # cases, and when each came
    shares: dict[bytes, list[Any]] = field(default_factory=dict)  # key -> who awaits an earlier life's run


class Keeper:
    """Owns the store and the waits; all are given back in `close`."""

    def __init__(
        self, node: str, host: Host, deadlines: Any, report: Any, clock: Callable[[], int], book: Book
    ) -> None:
        self.node, self.host, self.deadlines, self.report, self.clock = node, host, deadlines, report, clock
        self.book = book
        # the node's own time goes on where the last life's last sign was, by the monotonic clock
        self.own = 0
        self.since = deadlines.now()
        self.last_unix = 0  # µs of Unix time: the last sign of the life before
        self.interpreter_at: int | None = None  # µs of the monotonic clock: when it began
        self.store: Store | None = None
        self.waits = Waits()
        self.entries: dict[Request, tuple[bytes, Entry]] = {}  # key, intent: of runs that are not over
        self.unwritten: dict[bytes, Entry] = {}  # results that the disk did not take, to be tried again
        self.number = 0
        self.failing = ""  # what the disk failed with last
        self.able: bool | None = None  # as the decisions were told
        self.confirm = 0  # µs of the last write
        self.looking = False
        self.whose: bytes | None = None  # to be written with the next sign of life
        self.closed = False
        # what else stands in the store: told of it at the start, asked for a record with each sign of life
        self.opened: list[Callable[[Callable[[bytes], bytes | None]], None]] = []
        self.signs: list[Callable[[bool], tuple[bytes, bytes]]] = []

    # -- starting --------------------------------------------------------------------------------------

    @inlineCallbacks
    def start(self, store: Store, place: int) -> Any:
        """Reads the book; the node serves meanwhile. Fails with NotOursError before anything is written."""
        self.store = store
        self.whose = check_whose(store, self.node, place)
        for each in self.opened:
            each(store.engine.get)
        seen = store.engine.get(SEEN)
        last = decode_seen(seen) if seen is not None else Seen(self.clock(), self.clock())
        self.own, self.last_unix = last.own, last.unix
        self.since = self.deadlines.now()
        now = self.own
        snapshot = store.snapshot()
        cursor = ENTRY
        while not self.closed:
            chunk = yield store.chunk(snapshot, cursor, ENTRY, CHUNK)
            if not chunk:
                break
            late = [key for key, value in chunk if not self.recovers(key, value, now)]
            if late:
                self.write(self.deletes(late)).addErrback(lambda failure: None)
            cursor = chunk[-1][0] + b"\0"
        store.release(snapshot)
        self.book.stands = True
        known, open_ = len(self.book.known), len(self.book.open)
        for ident in list(self.book.open):
            self.host.adopts(ident, partial(self.earlier_run_ended, ident))
        self.host.adopts_no_more()
        self.look_for_runs()
        self.report.note(f"keyed: the book stands with {known} entries, {open_} of them without a result")
        self.beat()
        self.tell_able()
        parked, self.waits.parked = self.waits.parked, deque()
        for case, _ in parked:
            if case.open and self.look_up(case):
                self.host.takes(case)

    def time(self) -> int:
        """µs of the node's own time."""
        return self.own + self.deadlines.now() - self.since

    def own_time(self, unix: int) -> int:
        """Of a moment told in Unix time, by this machine's clock as it is now."""
        return self.time() - (self.clock() - unix)

    def recovers(self, key: bytes, value: bytes, now: int) -> bool:
        try:
            return self.book.recover(key, decode_entry(value), now)
        except UNDECODABLE:
            self.report.count("keyed", "entries unreadable")
            return False

    # -- arrivals --------------------------------------------------------------------------------------

    def arrives(self, case: Case) -> bool:
        """Does the host go on with it now? If not, it is answered or parked here."""
        if self.book.stands:
            return self.look_up(case)
        now = self.deadlines.now()
        if len(self.waits.parked) >= PARKED_MOST or self.closed:
            self.host.refuses(case)
        else:
            self.waits.parked.append((case, now))
            self.look_later()
        return False

    def look_up(self, case: Case) -> bool:
        told = self.told(case)
        if told is Told.OTHER:
            self.report.count("keyed", "keys with another body")
            self.host.refuses(case)
            return False
        case.request.original_unknown = told is not Told.NEW
        return True

    def told(self, case: Case) -> Told:
        return self.book.told(mark(case.key[:-MARK]), case.key[-MARK:], self.own_time(case.request.arrived))

    def share(self, case: Case) -> None:
        """Its first try is none that the host has: the book tells what there is."""
        key, told = mark(case.key[:-MARK]), self.told(case)
        self.report.count("keyed", f"repeats told {told.name.lower()}")
        if told is Told.RESULT:
            hot = self.book.result(key)
            if hot is not None:
                self.deadlines.after(0, self.host.end_share, case, hot)  # inputs wait for the round's end
            else:
                self.read_back(case, key)
        elif told is Told.AWAITED:
            self.waits.shares.setdefault(key, []).append(case)
        else:
            self.deadlines.after(0, self.host.end_share, case, None)

    def read_back(self, case: Case, key: bytes) -> None:
        assert self.store is not None

        def got(value: bytes | None) -> None:
            entry = decode_entry(value) if value is not None else None
            whole = entry is not None and entry.state == State.DONE
            if whole:
                self.book.keep_hot(key, entry.result)
            self.host.end_share(case, entry.result if whole else None)

        def not_read(failure: Any) -> None:
            self.trouble(failure)
            self.deadlines.after(0, self.host.end_share, case, None)

        self.store.get(key).addCallbacks(got, not_read)

    # -- one key's life --------------------------------------------------------------------------------

    def intends(self, case: Case, span: int) -> None:
        """Its intent goes to the disk; `span`: µs from now during which what arrives is a repeat of it."""
        request, body = case.request, case.key[-MARK:]
        arrived, due, until = self.own_time(request.arrived), self.own_time(request.due), self.time() + span
        entry = Entry(State.OPEN, request.request_class.name, arrived, until, due, case.ident, body)
        key = mark(case.key[:-MARK])
        self.entries[request] = key, entry
        start = self.waits.starts[request] = Start(case, self.deadlines.now())
        self.book.take(key, entry)
        self.write(Batch().put(key, encode(entry))).addCallbacks(
            self.intended, self.not_intended, callbackArgs=(start,), errbackArgs=(start,)
        )
        self.tell_able()

    def intended(self, _: Any, start: Start) -> None:
        if self.waits.starts.get(start.case.request) is not start:
            return  # it was withdrawn meanwhile, and its entry is struck
        start.confirmed = True
        if start.wanted:
            self.begin(start)

    def not_intended(self, failure: Any, start: Start) -> None:
        self.deadlines.after(0, self.withdraw, start)  # inputs wait for the round's end

    def starts(self, case: Case) -> None:
        """The decisions have begun it: it runs as soon as its intent is confirmed."""
        start = self.waits.starts.get(case.request)
        if start is None:  # withdrawn in the same turn
            self.deadlines.after(0, self.host.not_begun, case)
            return
        start.wanted = True
        if start.confirmed:
            self.begin(start)

    def begin(self, start: Start) -> None:
        del self.waits.starts[start.case.request]
        if start.case.open:
            self.host.begin_run(start.case)
        else:  # its caller has gone, or had its answer: nothing ran
            self.host.never_began(start.case)

    def withdraw(self, start: Start) -> None:
        """Its intent is not confirmed in time: nothing was begun, and the entry goes."""
        case = start.case
        if self.waits.starts.get(case.request) is not start:
            return
        del self.waits.starts[case.request]
        self.report.count("keyed", "intents withdrawn")
        self.forget(case.request)
        if case.open:
            self.host.not_begun(case)
        elif start.wanted:
            self.host.never_began(case)

    def forget(self, request: Request) -> None:
        """That try never ran: a repeat of it is a new one. Only ever called for such."""
        known = self.entries.pop(request, None)
        if known is not None:
            key = known[0]
            self.book.drop(key)
            self.write(Batch().delete(key)).addErrback(lambda failure: None)
            self.tell_able()

    def strikes(self, request: Request) -> None:
        """The decisions say that it ended without a run."""
        self.waits.starts.pop(request, None)
        self.forget(request)

    def ran(self, case: Case, outcome: Outcome, result: bytes, then: Callable[[], None]) -> None:
        """Its run is over. `then`, once that is confirmed, or can't be any more.

        Where the disk fails, the result is told all the same: it happened, and to hold it back helps nobody.
        A repeat after a restart is given up then.
        """
        known = self.entries.pop(case.request, None)
        if known is None:
            then()
            return
        key, entry = known
        state = State.DONE if outcome is Outcome.COMPLETED else State.FAILED
        over = msgspec.structs.replace(entry, state=state, result=result if state is State.DONE else b"")
        self.note_result(key, over).addBoth(lambda _: then())

    def note_result(self, key: bytes, entry: Entry) -> Deferred[None]:
        self.book.take(key, entry)

        def not_taken(failure: Any) -> None:
            if len(self.unwritten) < UNWRITTEN_MOST:
                self.unwritten[key] = entry

        return self.write(Batch().put(key, encode(entry))).addErrback(not_taken)

    def write_again(self) -> None:
        """The disk works again: results that it refused, while nothing newer is known of their keys."""
        again, self.unwritten = self.unwritten, {}
        for key, entry in again.items():
            if self.book.told(key, entry.body, entry.arrived) in (Told.RESULT, Told.FAILED):
                self.note_result(key, entry)

    def ended(self, case: Case) -> None:
        """Its run came to an end that proves nothing, or the node is done with it: the intent stands."""
        self.entries.pop(case.request, None)

    # -- runs of a life before -------------------------------------------------------------------------

    def earlier_run_ended(self, ident: bytes, outcome: Outcome, took: int, result: bytes) -> None:
        known = self.book.resolved(ident)
        if known is None:
            return
        self.report.count("keyed", f"earlier runs told of: {outcome.name.lower()}")
        if outcome not in (Outcome.COMPLETED, Outcome.FAILED):
            self.end_shares(known.key, None)
            return
        state = State.DONE if outcome is Outcome.COMPLETED else State.FAILED
        over = msgspec.structs.replace(
            known.entry, state=state, until=known.entry.until, result=result if state is State.DONE else b""
        )
        told = over.result if state is State.DONE else None
        self.note_result(known.key, over).addBoth(lambda _: self.end_shares(known.key, told))

    def end_shares(self, key: bytes, result: bytes | None) -> None:
        for case in self.waits.shares.pop(key, ()):
            self.host.end_share(case, result)

    def interpreter_began(self, age: int) -> None:
        """So many µs ago. Told at each banner, which may come before the book stands."""
        self.interpreter_at = self.deadlines.now() - age
        if self.book.stands:
            self.look_for_runs()

    def look_for_runs(self) -> None:
        """Runs of lives before are gone where the interpreter began after them: in this life, or by the clock
        after the last sign of the one before. A clock that was set can at worst end a wait too early.
        """
        at = self.interpreter_at
        if at is None or not self.book.open:
            return
        unix = self.clock() - (self.deadlines.now() - at)
        if at >= self.since or unix > self.last_unix + 2 * BEAT:
            count = len(self.book.open)
            self.report.note(f"keyed: a new interpreter: {count} intents stay without a result")
            self.book.none_runs()
            for key in list(self.waits.shares):
                self.end_shares(key, None)

    # -- the disk --------------------------------------------------------------------------------------

    def write(self, batch: Batch) -> Deferred[None]:
        assert self.store is not None
        self.number += 1
        number, since = self.number, self.deadlines.now()
        self.waits.writes[number] = since
        told = self.store.commit(batch)
        told.addCallbacks(self.written, self.not_written, callbackArgs=(number, since), errbackArgs=(number,))
        self.look_later()
        return told

    def written(self, _: Any, number: int, since: int) -> None:
        del self.waits.writes[number]
        self.confirm = self.deadlines.now() - since
        if self.failing:
            self.report.note("keyed: the disk works again")
            self.failing = ""
            self.write_again()
        self.tell_able()

    def not_written(self, failure: Any, number: int) -> Any:
        del self.waits.writes[number]
        self.trouble(failure)
        self.tell_able()
        return failure

    def trouble(self, failure: Any) -> None:
        self.report.count("keyed", "disk failures")
        said = failure.getErrorMessage()
        if not failure.check(StoreError):
            said = f"{failure.type.__name__}: {said}"
        if said != self.failing:
            self.failing = said
            self.report.note(f"keyed: {said}; receipted requests are deferred until it works again")

    def slow(self) -> bool:
        oldest = next(iter(self.waits.writes.values()), None)
        return oldest is not None and self.deadlines.now() - oldest > SLOW

    def tell_able(self) -> None:
        able = self.book.stands and not self.failing and not self.slow() and self.book.room()
        if able != self.able:
            self.able = able
            if not able and self.book.stands and not self.failing:
                why = "the disk is slow" if self.slow() else "there is no room"
                self.report.note(f"keyed: {why}; receipted requests are deferred")
            self.host.may_record(able)

    def look_later(self) -> None:
        if not self.looking and not self.closed:
            self.looking = True
            self.deadlines.after(LOOK, self.look)

    def look(self) -> None:
        """Ends the waits that have lasted too long."""
        self.looking = False
        now = self.deadlines.now()
        self.tell_able()
        for start in [each for each in self.waits.starts.values() if now - each.at > SLOW]:
            if not start.confirmed:
                self.withdraw(start)
        while self.waits.parked and now - self.waits.parked[0][1] > PARKED_LONG:
            case, _ = self.waits.parked.popleft()
            self.host.refuses(case)
        if self.waits.writes or self.waits.parked:
            self.look_later()

    def beat(self) -> None:
        """A sign of life on the disk; what is past its window goes."""
        if self.closed:
            return
        if not self.waits.writes:  # behind others it would only wait
            batch = self.sign(False)
            if self.whose is not None:
                batch.put(WHOSE, self.whose)
            for key in self.book.over(self.time()):
                batch.delete(key)
            self.write(batch).addCallbacks(self.has_beaten, lambda failure: None)
        for key in self.book.out_of_time(self.time()):
            self.end_shares(key, None)
        self.tell_able()
        self.deadlines.after(BEAT, self.beat)

    def sign(self, ends: bool) -> Batch:
        batch = Batch().put(SEEN, encode(Seen(self.time(), self.clock())))
        for each in self.signs:
            batch.put(*each(ends))
        return batch

    def has_beaten(self, _: Any) -> None:
        self.whose = None

    def deletes(self, keys: list[bytes]) -> Batch:
        batch = Batch()
        for key in keys:
            batch.delete(key)
        return batch

    # -- ending ----------------------------------------------------------------------------------------

    def close(self) -> Deferred[None]:
        """All answers are out. Fires when what was written is confirmed and the directory is given back."""
        self.closed = True
        if self.store is None:
            told: Deferred[None] = Deferred()
            told.callback(None)
            return told
        if self.book.stands and not self.failing:
            self.write(self.sign(True)).addErrback(lambda failure: None)
        return self.store.close()

    def beliefs(self) -> str:
        state = (
            "not read yet" if not self.book.stands else self.failing or ("slow" if self.slow() else "well")
        )
        book, waits = self.book, self.waits
        return (
            f"{len(book.known)} entries, {book.sizes >> 10} KB, {len(book.open)} open of before; "
            f"{len(waits.starts)} starts and {len(waits.writes)} writes wait, the last took "
            f"{self.confirm // 1000} ms; disk {state}"
        )
