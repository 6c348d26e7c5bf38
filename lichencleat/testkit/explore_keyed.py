"""Model checking of one idempotency key with the real `RecordIndex`.

All orders of attempts, flushes, runs, completion notices, power cuts and restarts are tried.
`python -m lichencleat.testkit.explore_keyed` prints the depth that was reached and the bugs that were found.
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
# µs: the idempotency window is longer than any history, so every second run is a violation.
FOREVER = 1 << 50
# Limits of one history: attempts by clients, power cuts, and runs that the interpreter begins.
ATTEMPTS, CUTS, RUNS = 4, 3, 3


def index_state(index: RecordIndex) -> Hashable:
    """Return the state of an index: of the versions, it only matters which are equal."""
    rows = tuple((key, index.row(key)[:-1]) for key in index.rows)  # type: ignore[index]
    runs = tuple(
        (run_id, run.version == index.version(run.key)) for run_id, run in index.earlier_runs.items()
    )
    return rows, runs


class World:
    """State of the setting: a node, its disk, an interpreter that survives node restarts, and clients.

    A life of the node lasts from a start to the next power cut; runs are named by the life that began them.
    Attempts that arrive before the index is loaded from disk are
    parked.
    """

    intent_first = True  # a run begins only after the open record of its key is flushed
    result_first = True  # the client is answered only after the record with the result is flushed
    looks_up_parked = True  # parked attempts are looked up in the index once it is loaded
    keeps_open = True  # a record without a result is restored after a restart
    removes_begun = False  # a record whose client left is removed although its run begins

    def __init__(self, forgets: bool) -> None:
        self.forgets = forgets  # the interpreter drops notices of earlier runs when the node restarts
        self.attempts, self.cuts, self.life = ATTEMPTS, CUTS, 0
        self.disk: IdempotencyRecord | None = None
        self.queue: list[IdempotencyRecord | None] = []  # unflushed writes; None is a deletion
        self.up = False
        self.index: RecordIndex | None = None
        self.parked = 0
        self.waits_intent = False  # a run waits until its open record is flushed
        self.waits_result: bytes | None = None  # result whose answer waits until the record is flushed
        self.waiting = 0  # attempts that wait for the outcome of a run
        self.running: tuple[bytes, ...] = ()  # names of the runs that the interpreter executes
        # (run name, result) of notices that the node has not read yet.
        self.notices: tuple[tuple[bytes, bytes], ...] = ()
        self.begun = 0  # runs that the interpreter has begun
        self.results: tuple[bytes, ...] = ()  # results of finished runs
        self.answered_results: frozenset[bytes] = frozenset()  # results that clients received

    def after(self, action: Any) -> World:
        """Return the state that follows the action; this state stays unchanged."""
        twin = copy.copy(self)
        twin.queue = list(self.queue)
        twin.index = copy.deepcopy(self.index)
        getattr(twin, action[0])(*action[1:])
        return twin

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures."""
        index = None
        if self.index is not None:
            index = (index_state(self.index), self.index.is_loaded)
        held = (
            self.disk,
            tuple(self.queue),
            self.up,
            index,
            self.parked,
            self.waits_intent,
            self.waits_result,
        )
        outside = (self.running, self.notices, self.begun, self.results, self.answered_results)
        return (self.attempts, self.cuts, self.life, self.waiting, held, outside)

    def violation(self) -> str | None:
        """Return the description of a second run or of a wrong result, or None."""
        if self.begun > 1:
            return f"it ran {self.begun} times in its window"
        if not self.answered_results <= set(self.results):
            return f"honoured with {self.answered_results - set(self.results)}, which no run made"
        return f"honoured with {set(self.answered_results)}" if len(self.answered_results) > 1 else None

    # -- actions -------------------------------------------------------------------------------

    def actions(self) -> Iterable[Hashable]:
        """Yield all actions that are possible in this state, in a fixed order."""
        if not self.up:
            if self.life <= CUTS:
                yield ("start",)
        else:
            assert self.index is not None
            if not self.index.is_loaded:
                yield ("stand",)
            if self.attempts:
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
        """Start the node with an empty index."""
        self.life += 1
        self.up = True
        self.index = RecordIndex(100, 1 << 20)
        if self.forgets:
            self.notices = ()

    def stand(self) -> None:
        """Load the index from disk and handle the parked attempts."""
        assert self.index is not None
        if self.disk is not None and (self.keeps_open or self.disk.state != RecordState.OPEN):
            self.index.restore(KEY, self.disk, 0)
        self.index.is_loaded = True
        parked, self.parked = self.parked, 0
        for _ in range(parked):
            if self.looks_up_parked:
                self.look_up()
            else:
                self.record()

    def asks(self) -> None:
        """A client makes an attempt."""
        self.attempts -= 1
        assert self.index is not None
        if self.index.is_loaded:
            self.look_up()
        else:
            self.parked += 1

    def look_up(self) -> None:
        """Answer an attempt from the index, let it wait for the current run, or begin a run."""
        assert self.index is not None
        told = self.index.look_up(KEY, BODY, 0)
        mine = self.waits_intent or self.waits_result is not None or self.name() in self.running
        mine = mine or any(name == self.name() for name, _ in self.notices)
        if told is LookupResult.COMPLETED and self.waits_result is None:
            result = self.index.cached_result(KEY)
            if result is None:  # the result is not in memory and is read from disk
                assert self.disk is not None and self.disk.state == RecordState.DONE
                result = self.disk.result
            self.answered_results |= {result}
        elif told is LookupResult.AWAITED or (told is not LookupResult.NEW and mine):
            self.waiting += 1
        elif told is LookupResult.NEW:
            self.record()

    def name(self) -> bytes:
        """Return the name of the run that this life of the node begins."""
        return b"%d" % self.life

    def entry(self, state: RecordState, name: bytes, result: bytes = b"") -> IdempotencyRecord:
        """Return a record of the key for the run with this name."""
        return IdempotencyRecord(state, "save", 0, FOREVER, FOREVER, name, BODY, result)

    def record(self) -> None:
        """Write the open record of a new run."""
        assert self.index is not None
        entry = self.entry(RecordState.OPEN, self.name())
        self.index.put(KEY, entry)
        self.queue.append(entry)
        self.waits_intent = True
        if not self.intent_first:
            self.begin()

    def begin(self) -> None:
        """Begin the run at the interpreter."""
        self.waits_intent = False
        if self.begun < RUNS:
            self.begun += 1
            self.running += (self.name(),)

    def caller_goes(self) -> None:
        """The client leaves before its run has begun: the record is removed."""
        assert self.index is not None
        self.waits_intent = False
        self.index.remove(KEY)
        self.queue.append(None)
        if self.removes_begun:
            self.begin()

    def flush(self) -> None:
        """Flush the oldest unflushed write, then begin the run or answer the client that waits for it."""
        done = self.queue.pop(0)
        self.disk = done
        if done is not None and done.state == RecordState.OPEN and self.waits_intent and not self.queue:
            self.begin()
        elif done is not None and done.state == RecordState.DONE and self.waits_result == done.result:
            self.answered_results |= {done.result}
            self.waits_result = None
            self.waiting = 0

    def run_ends(self) -> None:
        """The oldest run ends with a new result, and the interpreter sends a notice of the result."""
        name, *rest = self.running
        self.running = tuple(rest)
        result = b"result %d" % (len(self.results) + 1)
        self.results += (result,)
        self.notices += ((name, result),)

    def notice(self) -> None:
        """The node reads the oldest notice and records its result."""
        (name, result), *rest = self.notices
        self.notices = tuple(rest)
        assert self.index is not None
        if name != self.name() and self.index.resolve_earlier_run(name) is None:
            return
        entry = self.entry(RecordState.DONE, name, result)
        self.index.put(KEY, entry)
        if self.result_first:
            self.queue.append(entry)
            self.waits_result = result
        else:
            self.answered_results |= {result}  # the client is answered and no record is written

    def cut(self, survive: int) -> None:
        """Cut the power; the first `survive` of the unflushed writes reached the disk."""
        for each in self.queue[:survive]:
            self.disk = each
        self.cuts -= 1
        self.up, self.index, self.queue = False, None, []
        self.parked = self.waiting = 0
        self.waits_intent, self.waits_result = False, None


class NoIntent(World):
    """Injected bug: begins the run before its open record is flushed."""

    intent_first = False


class OpenForgotten(World):
    """Injected bug: ignores records without a result after a restart."""

    keeps_open = False


class ParkedUnseen(World):
    """Injected bug: runs parked attempts without looking them up in the index."""

    looks_up_parked = False


class StruckLate(World):
    """Injected bug: removes the record of a run that begins nevertheless."""

    removes_begun = True


MISTAKES = [NoIntent, OpenForgotten, ParkedUnseen, StruckLate]


def play(kind: type[World], forgets: bool, depth: int, most: int = 2_000_000) -> Explored:
    """Explore all orders of up to `depth` actions, at most `most` states."""
    return explore(kind(forgets), depth, most)


@click.command()
@click.option("--depth", default=40, show_default=True)
@click.option("--most", default=2_000_000, show_default=True, help="Maximum number of states.")
def main(depth: int, most: int) -> None:
    """Check the implementation in all event orders, and check that each injected bug is found."""
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
