"""What each subscriber is sent next, decided without I/O: at the voters and at every relay the same.

Inputs only update what is known; the host then pulls decisions. A subscriber has one question open at most;
nothing is kept for one that lags but that question. A `follow` waits for news, its hold at the most; all that
waited at one version are answered with the same object, so that the host encodes it once. Who is too far
behind fetches a snapshot, a bounded number at a time, from views that are kept while somebody fetches.

All of it is told of the version that `grew` brought last: the table itself may be a turn of the host ahead.
The age in an answer is what was known when it was made. News may have been made any time after the question
was asked; "nothing newer" is said only when the hold is over. `follow.py` counts on both.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from lichencleat.config_distribution.counts import COUNTED, OLDEST, aged, at_relay, merged
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FED_BYTES,
    FIND,
    FOLLOW,
    HOLD,
    IN_FORCE,
    LATE,
    PAGES,
    PAGES_OF,
    SUBSCRIBERS_MOST,
    VIEWS_MOST,
    ZONES_MOST,
    Batch,
    Count,
    Digests,
    Fed,
    Follow,
    Pages,
    Say,
    Wanted,
    Wanting,
)
from lichencleat.config_distribution.window import Had, Window

BEHIND_HOLD = 250_000  # µs that one who has more than this relay waits for it to catch up, before it is told
FETCHERS_MOST = 8  # snapshots fetched at once: some 20 MB each, so that each gets 2 MB/s of the budget below
FETCH_RATE = 16  # bytes a µs (16 MB/s) of all snapshots: an eighth of a link of 1 Gb/s; news go beside it
FETCH_BURST = 2 * FED_BYTES  # bytes ahead of that rate
PIECE_PAGES = 16  # pages in an answer: not packed yet, some 0.3 ms of the relay's time each
FETCH_IDLE = 3_000_000  # µs without a question from one that fetches: its turn goes to another
VIEW_IDLE = 10_000_000  # µs that a view is kept after the last question about it
VIEW_FRESH = 30_000_000  # µs that newcomers are given the same view: the window has what came since
IDLE = 60_000_000  # µs without a question from one that followed: its link is taken for dead
SMALL = FED_BYTES  # bytes of all batches that lead from nothing to now: then they are sent, else a snapshot


@dataclass(frozen=True, slots=True)
class Answer:
    who: int
    number: int
    content: Any


@dataclass(frozen=True, slots=True)
class Decline:
    who: int
    number: int
    why: str  # "full", "busy": come again after a while; "nothing here", "unfit", "not kept"


@dataclass(frozen=True, slots=True)
class Drop:
    """Nothing was heard of a subscriber for `IDLE`: its link is to be closed. No question is open."""

    who: int
    number: int = -1
    why: str = "idle"


Decision = Answer | Decline | Drop


class View(Protocol):
    """A table as it was at one version."""

    version: int

    def head(self, age: int) -> Digests: ...

    def packed(self, number: int) -> bytes: ...


class Table(Protocol):
    version: int
    digest: bytes

    def view(self) -> Any: ...

    def find(self, kind: str, name: str) -> bytes | None: ...


@dataclass(slots=True)
class Held:
    """The open question of one subscriber."""

    number: int
    what: str
    content: Any
    asked: int  # µs
    until: int  # µs: its hold is over
    wake: int  # µs: looked at then, whatever comes
    queued: int = -1  # the `wake` that waits for its moment


@dataclass(slots=True)
class Subscriber:
    heard: int  # µs: its last question
    followed: bool = False
    version: int = 0
    counts: tuple[Count, ...] = ()
    held: Held | None = None
    fetches: int | None = None  # version of the view


@dataclass(slots=True)
class Kept:
    """A view, and when it was opened and last asked for."""

    view: View
    opened: int
    used: int
    age: int  # of what it shows, when it was opened


class Feeder:
    def __init__(self, name: str, zone: str, table: Table, now: int, recent: Sequence[Batch] = ()) -> None:
        """`now`: µs on the monotonic clock, as in all calls. The table is replaced by its owner alone.

        `recent`: batches in order that lead to what the table has, as a disk kept them; else they are let go.
        """
        self.name, self.zone, self.table = name, zone, table
        self.counters: dict[str, int] = {}
        self.window = Window(table.version, table.digest)
        if recent and (recent[-1].version, recent[-1].digest) == (table.version, table.digest):
            self.window.restart(recent[0].version, recent[0].digest)
            self.fills(recent[1:])
        self.had = Had(now, table.version)
        self.word: tuple[int, int] | None = None  # when the age of what is here was told, and that age
        self.subscribers: dict[int, Subscriber] = {}
        self.out: deque[Decision] = deque()  # decided already; one a question
        self.ready: deque[int] = deque()  # whose question is to be looked at
        self.waits: list[tuple[int, int, int]] = []  # heap: until, who, number
        self.views: list[Kept] = []  # oldest first
        self.fetchers: dict[int, None] = {}
        self.credit, self.credit_at = FETCH_BURST, now  # bytes that may be sent of snapshots
        self.shared: dict[tuple[int, int], tuple[int, Fed]] = {}  # say, version -> when it was made, answer
        self.look_at = now + FETCH_IDLE

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    # -- what is known ---------------------------------------------------------------------------------

    def grew(self, now: int, batches: tuple[Batch, ...]) -> None:
        """The table took these; () where a snapshot replaced it: the window starts anew."""
        if not batches:
            self.window.restart(self.table.version, self.table.digest)
        else:
            self.fills(batches)
        self.had.note(now, self.window.version)
        self.views = [each for each in self.views if each.view.version in self.window.places]
        self.shared.clear()
        self.ready.extend(who for who, each in self.subscribers.items() if each.held is not None)

    def fills(self, batches: Sequence[Batch]) -> None:
        try:
            for each in batches:
                self.window.add(each)
        except ValueError:  # they do not follow: who is behind fetches the pages that differ
            self.count("windows begun anew")
            self.window.restart(self.table.version, self.table.digest)

    def known(self, now: int, age: int) -> None:
        """µs since the source was known to have nothing newer than what is here."""
        if self.table.version == self.window.version:  # else it is told of a version that is not served yet
            self.word = (now, min(OLDEST, max(0, age)))

    def age(self, now: int) -> int:
        """`OLDEST` where nothing was ever heard: not 0, whatever the table holds."""
        return OLDEST if self.word is None else aged(self.word[1], now - self.word[0])

    def joined(self, now: int, who: int) -> bool:
        """False: there are as many as may be."""
        if who not in self.subscribers and len(self.subscribers) >= SUBSCRIBERS_MOST:
            self.count("turned away: full")
            return False
        self.subscribers[who] = Subscriber(now)
        return True

    def left(self, now: int, who: int) -> None:
        self.subscribers.pop(who, None)
        self.fetchers.pop(who, None)

    def asked(self, now: int, who: int, number: int, what: str, content: Any) -> None:
        """A question, its content decoded. One that is not understood is declined."""
        if what == IN_FORCE:
            self.out.append(Answer(who, number, self.in_force(now)))
            return
        if what == FIND and isinstance(content, Wanting):
            self.out.append(self.found(who, number, content))
            return
        fits = {FOLLOW: Follow, DIGESTS: type(None), PAGES_OF: Wanted}.get(what)
        if fits is None or not isinstance(content, fits):
            self.decline(who, number, "unfit")
            return
        sub = self.subscribers.get(who)
        if sub is None:
            self.decline(who, number, "full")
            return
        if sub.held is not None:
            self.decline(who, number, "unfit")
            return
        sub.heard = until = now
        if isinstance(content, Follow):
            sub.followed, sub.version, sub.counts = True, content.version, content.counts[: ZONES_MOST + 1]
            self.stop_fetching(who, sub)
            until = now + min(max(0, content.hold), HOLD)
        sub.held = Held(number, what, content, now, until, until)
        self.ready.append(who)

    def decline(self, who: int, number: int, why: str) -> None:
        self.count(f"declined: {why}")
        self.out.append(Decline(who, number, why))

    # -- decisions -------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        if self.out:
            return self.out.popleft()
        if now >= self.look_at:
            self.look(now)
        while self.waits and self.waits[0][0] <= now:
            self.ready.append(heapq.heappop(self.waits)[1])
        while self.ready:
            who = self.ready.popleft()
            sub = self.subscribers.get(who)
            if sub is None or sub.held is None:
                continue
            made = self.decide(now, who, sub, sub.held)
            if made is not None:
                sub.held = None
                return made
            if sub.held.queued != sub.held.wake:
                sub.held.queued = sub.held.wake
                heapq.heappush(self.waits, (sub.held.wake, who, sub.held.number))
            if len(self.waits) > 2 * len(self.subscribers) + 64:  # questions that were answered since
                self.waits = [each for each in self.waits if self.stands(each)]
                heapq.heapify(self.waits)
        return self.out.popleft() if self.out else None

    def stands(self, wait: tuple[int, int, int]) -> bool:
        sub = self.subscribers.get(wait[1])
        return sub is not None and sub.held is not None and (sub.held.wake, sub.held.number) == wait[::2]

    def deadline(self) -> int | None:
        """µs: when decisions are to be pulled again, whatever else happens."""
        while self.waits and not self.stands(self.waits[0]):
            heapq.heappop(self.waits)
        moments = [self.waits[0][0]] if self.waits else []
        if self.subscribers or self.views:
            moments.append(self.look_at)
        return min(moments, default=None)

    def decide(self, now: int, who: int, sub: Subscriber, held: Held) -> Decision | None:
        """None: it goes on waiting, until `held.wake`."""
        if isinstance(held.content, Follow):
            fed = self.fed(now, held.content, held)
            return None if fed is None else Answer(who, held.number, fed)
        if isinstance(held.content, Wanted):
            return self.piece(now, who, sub, held, held.content)
        return self.head(now, who, sub, held)

    # -- news ------------------------------------------------------------------------------------------

    def fed(self, now: int, has: Follow, held: Held) -> Fed | None:
        say, since = self.say(has), held.asked
        if say == Say.SAME:
            held.wake = since = held.until  # whoever hears it counts the age from then on
        elif say == Say.BEHIND:
            held.wake = since = min(held.until, held.asked + BEHIND_HOLD)
        if now < since:
            return None
        made, fed = self.shared.get((say, has.version), (-1, None))
        if fed is None or made < since:
            batches = self.window.after(has.version) if say == Say.NEWS else None
            fed = Fed(say, self.window.version, self.window.digest, self.age(now), batches or ())
            if len(self.shared) >= SUBSCRIBERS_MOST:
                self.shared.clear()
            self.shared[say, has.version] = (now, fed)
        self.count(f"said: {say.name}")
        return fed

    def say(self, has: Follow) -> Say:
        """What one is told that has this version; SAME also stands for "nothing yet"."""
        here = self.window.version
        if has.version > here:
            return Say.BEHIND
        known = self.window.digests.get(has.version)
        if known is not None and has.version and known != has.digest:
            return Say.OTHER
        if has.version == here:
            return Say.SAME
        if known is None:
            return Say.OTHER if has.version > self.window.base else Say.SNAPSHOT
        if not has.version and self.window.bytes > SMALL:
            return Say.SNAPSHOT
        return Say.NEWS

    # -- snapshots -------------------------------------------------------------------------------------

    def head(self, now: int, who: int, sub: Subscriber, held: Held) -> Decision:
        if not self.window.version:
            return self.declined(who, held, "nothing here")
        if who not in self.fetchers and len(self.fetchers) >= FETCHERS_MOST:
            return self.declined(who, held, "busy")
        kept = self.open_view(now)
        self.fetchers[who] = None
        sub.fetches = kept.view.version
        self.count("snapshots begun")
        return Answer(who, held.number, kept.view.head(aged(kept.age, now - kept.opened)))

    def declined(self, who: int, held: Held, why: str) -> Decline:
        self.count(f"declined: {why}")
        return Decline(who, held.number, why)

    def open_view(self, now: int) -> Kept:
        """The newest one that still leads to now, else a new one; the least wanted makes room for it."""
        if self.views and now - self.views[-1].opened < VIEW_FRESH:
            self.views[-1].used = now
            return self.views[-1]
        if self.views and self.views[-1].view.version == self.table.version:
            self.views.pop()
        if len(self.views) >= VIEWS_MOST:
            wanted = [each.fetches for each in self.subscribers.values()]
            self.views.remove(min(self.views, key=lambda each: wanted.count(each.view.version)))
            self.count("views given up")
        self.views.append(Kept(self.table.view(), now, now, self.age(now)))
        return self.views[-1]

    def piece(self, now: int, who: int, sub: Subscriber, held: Held, wants: Wanted) -> Decision | None:
        if not wants.numbers or not all(0 <= each < PAGES for each in wants.numbers):
            return self.declined(who, held, "unfit")
        kept = next((each for each in self.views if each.view.version == wants.version), None)
        if kept is None:
            self.stop_fetching(who, sub)
            return Answer(who, held.number, Pages(wants.version, ()))
        if who not in self.fetchers:
            if len(self.fetchers) >= FETCHERS_MOST:
                return self.declined(who, held, "busy")
            self.fetchers[who] = None
            sub.fetches = wants.version
        self.credit = min(FETCH_BURST, self.credit + FETCH_RATE * (now - self.credit_at))
        self.credit_at = now
        if self.credit < 0:
            held.wake = now - self.credit // FETCH_RATE
            return None
        kept.used = now
        pages, room = [], FED_BYTES
        for number in wants.numbers[:PIECE_PAGES]:
            packed = kept.view.packed(number)
            room -= len(packed)
            if pages and room < 0:
                break
            pages.append((number, packed))
            self.credit -= len(packed)
        self.count("pieces")
        return Answer(who, held.number, Pages(wants.version, tuple(pages)))

    def stop_fetching(self, who: int, sub: Subscriber) -> None:
        self.fetchers.pop(who, None)
        sub.fetches = None

    # -- now and then ----------------------------------------------------------------------------------

    def look(self, now: int) -> None:
        """Turns, views and links that nobody uses any more are given back."""
        self.look_at = now + FETCH_IDLE // 2
        for who in list(self.fetchers):
            sub = self.subscribers[who]
            if sub.held is None and now - sub.heard >= FETCH_IDLE:
                self.stop_fetching(who, sub)
                self.count("turns taken back")
        wanted = {each.fetches for each in self.subscribers.values()}
        self.views = [
            each for each in self.views if each.view.version in wanted or now - each.used < VIEW_IDLE
        ]
        for who, sub in list(self.subscribers.items()):
            if sub.followed and sub.held is None and now - sub.heard >= IDLE:
                self.left(now, who)
                self.count("dropped: idle")
                self.out.append(Drop(who))

    # -- what is told of it ----------------------------------------------------------------------------

    def below(self, now: int) -> Iterator[Count]:
        needed = self.had.before(now - LATE)
        for sub in self.subscribers.values():
            if sub.counts and (sub.held is not None or now - sub.heard < COUNTED):
                yield from at_relay(sub.counts, self.name, sub.version, needed, now - sub.heard)

    def counts(self, now: int) -> tuple[Count, ...]:
        """Of all nodes below, by zone."""
        return merged(self.below(now))

    def in_force(self, now: int) -> dict[str, Any]:
        """What `status` shows; ages in µs, -1 where nothing was heard of the source yet."""
        age = self.age(now)
        return {
            "name": self.name,
            "zone": self.zone,
            "version": self.window.version,
            "digest": self.window.digest.hex(),
            "age_us": age if age < OLDEST else -1,
            "subscribers": len(self.subscribers),
            "fetching": len(self.fetchers),
            "views": len(self.views),
            "window": {"batches": len(self.window), "bytes": self.window.bytes, "from": self.window.base},
            "counts": [
                {
                    "zone": each.zone,
                    "nodes": each.nodes,
                    "lowest": each.lowest,
                    "oldest_us": each.oldest if each.oldest < OLDEST else -1,
                    "late": each.late,
                    "by": each.by,
                }
                for each in self.counts(now)
            ],
            "counters": dict(sorted(self.counters.items())),
        }

    def found(self, who: int, number: int, wants: Wanting) -> Decision:
        """The record now, or as it was after a version that the window still tells of."""
        value = self.table.find(wants.kind, wants.name)
        if not wants.at or wants.at >= self.table.version:
            return Answer(who, number, value)
        if wants.at not in self.window.places:
            return Decline(who, number, "not kept")
        named = [
            (batch.version, change.value)
            for batch in self.window.batches
            for change in batch.changes
            if (change.kind, change.name) == (wants.kind, wants.name)
        ]
        before = [each for each in named if each[0] <= wants.at]
        if len(before) == len(named):  # unchanged since
            return Answer(who, number, value)
        if before:
            return Answer(who, number, before[-1][1])
        return Decline(who, number, "not kept")  # changed since; what it was before is nowhere
