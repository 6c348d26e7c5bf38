"""One key's life in all orders: tries, flushes, runs, notices, cuts, restarts; with the real `RecordIndex`.

`python -m lichencleat.testkit.explore_keyed` says to which depth all was tried, and what mistakes are caught.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable
from typing import Any

import click

from lichencleat.idempotency.index import LookupResult, RecordIndex
from lichencleat.idempotency.records import IdempotencyRecord, RecordState
from lichencleat.testkit.explore import Explored, explore

KEY, BODY = b"k" * 16, b"b" * 16
FOREVER = 1 << 50  # µs: the window outlasts the history, so no second run is right
TRIES, CUTS, RUNS = 4, 3, 3  # bounds of the setting; runs that the interpreter ever has


class World:
    """A node with its disk, an interpreter that outlives it, callers that ask for one key."""

    intent_first = True  # the run waits for its intent
    result_first = True  # the answer waits for its result
    looks_up_parked = True  # what came before the book stood is looked up in it
    keeps_open = True  # an intent without a result counts after a restart
    strikes_begun = False  # an intent given up by its caller is struck though its run was begun

    def __init__(self, forgets: bool) -> None:
        self.forgets = forgets  # the interpreter tells a new life nothing of the runs before
        self.tries, self.cuts, self.life = TRIES, CUTS, 0
        self.disk: IdempotencyRecord | None = None
        self.queue: list[IdempotencyRecord | None] = []  # writes on their way, None: a delete
        self.up = False
        self.book: RecordIndex | None = None
        self.parked = 0
        self.waits_intent = False  # a start waits for the disk
        self.waits_result: bytes | None = None  # an answer waits for the disk
        self.waiting = 0  # tries that wait for an outcome
        self.running: tuple[bytes, ...] = ()  # at the interpreter, by name
        self.notices: tuple[tuple[bytes, bytes], ...] = ()  # name, result: not read yet
        self.begun = 0
        self.made: tuple[bytes, ...] = ()
        self.honoured: frozenset[bytes] = frozenset()

    def after(self, action: Any) -> World:
        twin = copy.copy(self)
        twin.queue = list(self.queue)
        twin.book = copy.deepcopy(self.book)
        getattr(twin, action[0])(*action[1:])
        return twin

    def key(self) -> Hashable:
        book = None
        if self.book is not None:
            book = (tuple(self.book.rows.items()), tuple(self.book.earlier_runs), self.book.is_loaded)
        held = (
            self.disk,
            tuple(self.queue),
            self.up,
            book,
            self.parked,
            self.waits_intent,
            self.waits_result,
        )
        outside = (self.running, self.notices, self.begun, self.made, self.honoured)
        return (self.tries, self.cuts, self.life, self.waiting, held, outside)

    def violation(self) -> str | None:
        if self.begun > 1:
            return f"it ran {self.begun} times in its window"
        if not self.honoured <= set(self.made):
            return f"honoured with {self.honoured - set(self.made)}, which no run made"
        return f"honoured with {set(self.honoured)}" if len(self.honoured) > 1 else None

    # -- what may happen -------------------------------------------------------------------------------

    def actions(self) -> Iterable[Hashable]:
        if not self.up:
            if self.life <= CUTS:
                yield ("start",)
        else:
            assert self.book is not None
            if not self.book.is_loaded:
                yield ("stand",)
            if self.tries:
                yield ("asks",)
            if self.queue:
                yield ("flush",)
            if self.waits_intent:
                yield ("caller_goes",)
            if self.notices:
                yield ("notice",)
        if self.running:
            yield ("run_ends",)
        if self.up and self.cuts:
            for survive in range(len(self.queue) + 1):
                yield ("cut", survive)

    def start(self) -> None:
        self.life += 1
        self.up = True
        self.book = RecordIndex(100, 1 << 20)
        if self.forgets:
            self.notices = ()

    def stand(self) -> None:
        assert self.book is not None
        if self.disk is not None and (self.keeps_open or self.disk.state != RecordState.OPEN):
            self.book.restore(KEY, self.disk, 0)
        self.book.is_loaded = True
        parked, self.parked = self.parked, 0
        for _ in range(parked):
            if self.looks_up_parked:
                self.look_up()
            else:
                self.record()

    def asks(self) -> None:
        self.tries -= 1
        assert self.book is not None
        if self.book.is_loaded:
            self.look_up()
        else:
            self.parked += 1

    def look_up(self) -> None:
        assert self.book is not None
        told = self.book.look_up(KEY, BODY, 0)
        mine = self.waits_intent or self.waits_result is not None or self.name() in self.running
        mine = mine or any(name == self.name() for name, _ in self.notices)
        if told is LookupResult.COMPLETED and self.waits_result is None:
            result = self.book.cached_result(KEY)
            if result is None:  # it is read back
                assert self.disk is not None and self.disk.state == RecordState.DONE
                result = self.disk.result
            self.honoured |= {result}
        elif told is LookupResult.AWAITED or (told is not LookupResult.NEW and mine):
            self.waiting += 1
        elif told is LookupResult.NEW:
            self.record()

    def name(self) -> bytes:
        """Of this life's run at the interpreter."""
        return b"%d" % self.life

    def entry(self, state: RecordState, name: bytes, result: bytes = b"") -> IdempotencyRecord:
        return IdempotencyRecord(state, "save", 0, FOREVER, FOREVER, name, BODY, result)

    def record(self) -> None:
        assert self.book is not None
        entry = self.entry(RecordState.OPEN, self.name())
        self.book.put(KEY, entry)
        self.queue.append(entry)
        self.waits_intent = True
        if not self.intent_first:
            self.begin()

    def begin(self) -> None:
        self.waits_intent = False
        if self.begun < RUNS:
            self.begun += 1
            self.running += (self.name(),)

    def caller_goes(self) -> None:
        """Before its run was begun: the entry is struck."""
        assert self.book is not None
        self.waits_intent = False
        self.book.remove(KEY)
        self.queue.append(None)
        if self.strikes_begun:
            self.begin()

    def flush(self) -> None:
        done = self.queue.pop(0)
        self.disk = done
        if done is not None and done.state == RecordState.OPEN and self.waits_intent and not self.queue:
            self.begin()
        elif done is not None and done.state == RecordState.DONE and self.waits_result == done.result:
            self.honoured |= {done.result}
            self.waits_result = None
            self.waiting = 0

    def run_ends(self) -> None:
        name, *rest = self.running
        self.running = tuple(rest)
        result = b"result %d" % (len(self.made) + 1)
        self.made += (result,)
        self.notices += ((name, result),)

    def notice(self) -> None:
        (name, result), *rest = self.notices
        self.notices = tuple(rest)
        assert self.book is not None
        if name != self.name() and self.book.resolve_earlier_run(name) is None:
            return
        entry = self.entry(RecordState.DONE, name, result)
        self.book.put(KEY, entry)
        if self.result_first:
            self.queue.append(entry)
            self.waits_result = result
        else:
            self.honoured |= {result}  # and nothing is written

    def cut(self, survive: int) -> None:
        """So many of the writes under way reached the disk."""
        for each in self.queue[:survive]:
            self.disk = each
        self.cuts -= 1
        self.up, self.book, self.queue = False, None, []
        self.parked = self.waiting = 0
        self.waits_intent, self.waits_result = False, None


class NoIntent(World):
    """Begins the run while its intent is on its way."""

    intent_first = False


class OpenForgotten(World):
    """Takes an intent without a result for nothing."""

    keeps_open = False


class ParkedUnseen(World):
    """Lets what came early run without a look in the book; the first version did."""

    looks_up_parked = False


class StruckLate(World):
    """Strikes the entry of a run that is begun all the same."""

    strikes_begun = True


MISTAKES = [NoIntent, OpenForgotten, ParkedUnseen, StruckLate]


def play(kind: type[World], forgets: bool, depth: int, most: int = 2_000_000) -> Explored:
    return explore(kind(forgets), depth, most)


@click.command()
@click.option("--depth", default=40, show_default=True)
@click.option("--most", default=2_000_000, show_default=True, help="States.")
def main(depth: int, most: int) -> None:
    """Tries everything, and that each planted mistake is caught."""
    failed = False
    for forgets in (False, True):
        found = play(World, forgets, depth, most)
        failed = failed or found.violation is not None
        click.echo(f"interpreter {'forgets' if forgets else 'tells'}: {found}")
        if found.violation:
            click.echo(f"  {found.history}")
        for kind in MISTAKES:
            caught = play(kind, forgets, depth, most)
            failed = failed or caught.violation is None
            click.echo(f"  {kind.__name__}: {caught.violation or 'NOT CAUGHT'}, {len(caught.history)} steps")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
