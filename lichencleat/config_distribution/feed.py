"""What each subscriber is sent next, decided without I/O; the same at the voters and at every relay.

Inputs only update the state; the host then pulls decisions. A subscriber has at most one open request, and a
subscriber that lags costs no more state than that. A `follow` waits for news, at most for its hold. All
requests that waited at one version get the same answer object, so that the host encodes it once. A subscriber
that is too far behind fetches a snapshot, a bounded number of them at a time, from views that are kept while
they are in use.

Answers refer to the version of the last `grew`; the table itself may be one turn of the host ahead.
The age in an answer is the age at the time it was made. News may have been made at any time after the
request; "nothing newer" is answered only when the hold is over. `follow.py` relies on both.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from lichencleat.config_distribution.counts import (
    COUNT_EXPIRY_US,
    MAX_AGE_US,
    adjust_counts,
    age_after,
    merge_counts,
)
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FIND,
    FOLLOW,
    IN_FORCE,
    LATE_AFTER_US,
    MAX_ANSWER_BYTES,
    MAX_HOLD_US,
    MAX_SUBSCRIBERS,
    MAX_VIEWS,
    MAX_ZONES,
    PAGE_COUNT,
    PAGES_OF,
    Batch,
    Count,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
    PagesAnswer,
    PagesRequest,
    RecordRequest,
    SnapshotHead,
)
from lichencleat.config_distribution.window import VersionHistory, Window

BEHIND_HOLD_US = 250_000  # µs that a subscriber with more than this relay waits for it to catch up
MAX_FETCHERS = 8  # snapshots fetched at once: some 20 MB each, so each gets 2 MB/s of the budget below
# bytes a µs (16 MB/s) of all snapshots: an eighth of a 1 Gb/s link; news is not limited
FETCH_BYTES_PER_US = 16
FETCH_BURST_BYTES = 2 * MAX_ANSWER_BYTES  # bytes that may be sent ahead of that rate
MAX_PAGES_PER_ANSWER = 16  # pages in an answer; compressing them takes some 0.3 ms of the relay's time each
FETCH_IDLE_US = 3_000_000  # µs without a request from a fetching subscriber, after which it loses its slot
VIEW_IDLE_US = 10_000_000  # µs that a view is kept after the last request for it
VIEW_SHARED_US = 30_000_000  # µs that new fetchers share a view: the window has the batches since then
# µs without a request from a subscriber that followed, after which its link counts as dead
SUBSCRIBER_IDLE_US = 60_000_000
# bytes of all batches up to which an empty subscriber gets them instead of a snapshot
MAX_INITIAL_BATCH_BYTES = MAX_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class Answer:
    """The content of the answer to request `number` of subscriber `who`."""

    who: int
    number: int
    content: Any


@dataclass(frozen=True, slots=True)
class Decline:
    """The rejection of a request, with its reason."""

    who: int
    number: int
    why: str  # "full", "busy": to be retried after a while; "nothing here", "unfit", "not kept"


@dataclass(frozen=True, slots=True)
class Drop:
    """Nothing was received from a subscriber for `SUBSCRIBER_IDLE_US`: its link is to be closed.

    No request is open.
    """

    who: int
    number: int = -1
    why: str = "idle"


Decision = Answer | Decline | Drop


class View(Protocol):
    """The table as it was at one version."""

    version: int

    def head(self, age: int) -> SnapshotHead: ...

    def packed(self, number: int) -> bytes: ...


class Table(Protocol):
    """The table as this module uses it."""

    version: int
    digest: bytes

    def view(self) -> Any: ...

    def find(self, kind: str, name: str) -> bytes | None: ...


@dataclass(slots=True)
class OpenRequest:
    """The open request of a subscriber."""

    number: int
    what: str
    content: Any
    asked: int  # µs
    until: int  # µs: end of its hold
    wake: int  # µs: the request is looked at then, even without news
    queued: int = -1  # the `wake` that is in the heap


@dataclass(slots=True)
class SubscriberState:
    """What is known of one subscriber."""

    heard: int  # µs: its last request
    followed: bool = False
    version: int = 0
    counts: tuple[Count, ...] = ()
    held: OpenRequest | None = None
    fetches: int | None = None  # version of the view that it fetches


@dataclass(slots=True)
class SharedView:
    """A view that is kept for its fetchers."""

    view: View
    opened: int  # µs
    used: int  # µs: the last request for it
    age: int  # age of its version when it was opened


class Publisher:
    """Owns the subscribers and their open requests, the window of batches and the views."""

    def __init__(self, name: str, zone: str, table: Table, now: int, recent: Sequence[Batch] = ()) -> None:
        """`now`: µs on the monotonic clock, as in all calls. The table is replaced by its owner alone.

        `recent`: persisted batches in order; they are used if they lead to the table's version.
        """
        self.name, self.zone, self.table = name, zone, table
        self.counters: dict[str, int] = {}
        self.window = Window(table.version, table.digest)
        if recent and (recent[-1].version, recent[-1].digest) == (table.version, table.digest):
            self.window.restart(recent[0].version, recent[0].digest)
            self.fills(recent[1:])
        self.had = VersionHistory(now, table.version)
        self.word: tuple[int, int] | None = None  # when the age was reported, and that age
        self.subscribers: dict[int, SubscriberState] = {}
        self.out: deque[Decision] = deque()  # decisions made, at most one per request
        self.ready: deque[int] = deque()  # subscribers whose request is to be looked at
        self.waits: list[tuple[int, int, int]] = []  # heap: wake time, who, number
        self.views: list[SharedView] = []  # oldest first
        self.fetchers: dict[int, None] = {}
        self.credit, self.credit_at = FETCH_BURST_BYTES, now  # bytes of snapshots that may be sent
        # outcome, version -> when the answer was made, answer
        self.shared: dict[tuple[int, int], tuple[int, FollowAnswer]] = {}
        self.look_at = now + FETCH_IDLE_US

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    # -- inputs --------------------------------------------------------------------------------

    def grew(self, now: int, batches: tuple[Batch, ...]) -> None:
        """The table applied these batches; (): a snapshot replaced it, so the window is emptied."""
        if not batches:
            self.window.restart(self.table.version, self.table.digest)
        else:
            self.fills(batches)
        self.had.note(now, self.window.version)
        self.views = [each for each in self.views if each.view.version in self.window.places]
        self.shared.clear()
        self.ready.extend(who for who, each in self.subscribers.items() if each.held is not None)

    def fills(self, batches: Sequence[Batch]) -> None:
        """Adds the batches to the window."""
        try:
            for each in batches:
                self.window.add(each)
        except ValueError:  # the batches don't follow: subscribers that lag fetch the pages that differ
            self.count("windows begun anew")
            self.window.restart(self.table.version, self.table.digest)

    def known(self, now: int, age: int) -> None:
        """Sets the age: µs since the source was known to have nothing newer than the table."""
        if self.table.version == self.window.version:  # else the age is that of a version not served yet
            self.word = (now, min(MAX_AGE_US, max(0, age)))

    def age(self, now: int) -> int:
        """The current age; `MAX_AGE_US`, not 0, if the source was never heard from."""
        return MAX_AGE_US if self.word is None else age_after(self.word[1], now - self.word[0])

    def joined(self, now: int, who: int) -> bool:
        """Adds a subscriber. False: the relay has the maximum number of subscribers."""
        if who not in self.subscribers and len(self.subscribers) >= MAX_SUBSCRIBERS:
            self.count("turned away: full")
            return False
        self.subscribers[who] = SubscriberState(now)
        return True

    def left(self, now: int, who: int) -> None:
        """Removes a subscriber whose link has ended."""
        self.subscribers.pop(who, None)
        self.fetchers.pop(who, None)

    def asked(self, now: int, who: int, number: int, what: str, content: Any) -> None:
        """A request with decoded content. An invalid one is declined."""
        if what == IN_FORCE:
            self.out.append(Answer(who, number, self.in_force(now)))
            return
        if what == FIND and isinstance(content, RecordRequest):
            self.out.append(self.found(who, number, content))
            return
        fits = {FOLLOW: FollowRequest, DIGESTS: type(None), PAGES_OF: PagesRequest}.get(what)
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
        if isinstance(content, FollowRequest):
            sub.followed, sub.version, sub.counts = True, content.version, content.counts[: MAX_ZONES + 1]
            self.stop_fetching(who, sub)
            until = now + min(max(0, content.hold), MAX_HOLD_US)
        sub.held = OpenRequest(number, what, content, now, until, until)
        self.ready.append(who)

    def decline(self, who: int, number: int, why: str) -> None:
        """Declines a request that was never open."""
        self.count(f"declined: {why}")
        self.out.append(Decline(who, number, why))

    # -- decisions -------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """The next decision for the host; None: nothing to do until `deadline` or the next input."""
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
            if len(self.waits) > 2 * len(self.subscribers) + 64:  # drops entries of requests answered since
                self.waits = [each for each in self.waits if self.stands(each)]
                heapq.heapify(self.waits)
        return self.out.popleft() if self.out else None

    def stands(self, wait: tuple[int, int, int]) -> bool:
        """Whether the heap entry still belongs to an open request."""
        sub = self.subscribers.get(wait[1])
        return sub is not None and sub.held is not None and (sub.held.wake, sub.held.number) == wait[::2]

    def deadline(self) -> int | None:
        """µs: when decisions have to be pulled again even without input; None: never."""
        while self.waits and not self.stands(self.waits[0]):
            heapq.heappop(self.waits)
        moments = [self.waits[0][0]] if self.waits else []
        if self.subscribers or self.views:
            moments.append(self.look_at)
        return min(moments, default=None)

    def decide(self, now: int, who: int, sub: SubscriberState, held: OpenRequest) -> Decision | None:
        """The decision on an open request; None: it waits until `held.wake`."""
        if isinstance(held.content, FollowRequest):
            fed = self.fed(now, held.content, held)
            return None if fed is None else Answer(who, held.number, fed)
        if isinstance(held.content, PagesRequest):
            return self.piece(now, who, sub, held, held.content)
        return self.head(now, who, sub, held)

    # -- news ------------------------------------------------------------------------------------------

    def fed(self, now: int, has: FollowRequest, held: OpenRequest) -> FollowAnswer | None:
        """The answer to a `follow`; None: it waits until `held.wake`."""
        say, since = self.say(has), held.asked
        if say == FollowOutcome.SAME:
            held.wake = since = held.until  # the subscriber counts the age from that moment
        elif say == FollowOutcome.BEHIND:
            held.wake = since = min(held.until, held.asked + BEHIND_HOLD_US)
        if now < since:
            return None
        made, fed = self.shared.get((say, has.version), (-1, None))
        if fed is None or made < since:
            batches = self.window.after(has.version) if say == FollowOutcome.NEWS else None
            fed = FollowAnswer(say, self.window.version, self.window.digest, self.age(now), batches or ())
            if len(self.shared) >= MAX_SUBSCRIBERS:
                self.shared.clear()
            self.shared[say, has.version] = (now, fed)
        self.count(f"said: {say.name}")
        return fed

    def say(self, has: FollowRequest) -> FollowOutcome:
        """The outcome for a subscriber at that version; SAME also means "nothing yet"."""
        here = self.window.version
        if has.version > here:
            return FollowOutcome.BEHIND
        known = self.window.digests.get(has.version)
        if known is not None and has.version and known != has.digest:
            return FollowOutcome.OTHER
        if has.version == here:
            return FollowOutcome.SAME
        if known is None:
            return FollowOutcome.OTHER if has.version > self.window.base else FollowOutcome.SNAPSHOT
        if not has.version and self.window.bytes > MAX_INITIAL_BATCH_BYTES:
            return FollowOutcome.SNAPSHOT
        return FollowOutcome.NEWS

    # -- snapshots -------------------------------------------------------------------------------------

    def head(self, now: int, who: int, sub: SubscriberState, held: OpenRequest) -> Decision:
        """The answer to a request for a snapshot's digests."""
        if not self.window.version:
            return self.declined(who, held, "nothing here")
        if who not in self.fetchers and len(self.fetchers) >= MAX_FETCHERS:
            return self.declined(who, held, "busy")
        kept = self.open_view(now)
        self.fetchers[who] = None
        sub.fetches = kept.view.version
        self.count("snapshots begun")
        return Answer(who, held.number, kept.view.head(age_after(kept.age, now - kept.opened)))

    def declined(self, who: int, held: OpenRequest, why: str) -> Decline:
        """Declines an open request."""
        self.count(f"declined: {why}")
        return Decline(who, held.number, why)

    def open_view(self, now: int) -> SharedView:
        """The newest view that the window still continues, else a new one in place of the least used."""
        if self.views and now - self.views[-1].opened < VIEW_SHARED_US:
            self.views[-1].used = now
            return self.views[-1]
        if self.views and self.views[-1].view.version == self.table.version:
            self.views.pop()
        if len(self.views) >= MAX_VIEWS:
            wanted = [each.fetches for each in self.subscribers.values()]
            self.views.remove(min(self.views, key=lambda each: wanted.count(each.view.version)))
            self.count("views given up")
        self.views.append(SharedView(self.table.view(), now, now, self.age(now)))
        return self.views[-1]

    def piece(
        self, now: int, who: int, sub: SubscriberState, held: OpenRequest, wants: PagesRequest
    ) -> Decision | None:
        """The answer to a request for pages; None: it waits for the rate limit."""
        if not wants.numbers or not all(0 <= each < PAGE_COUNT for each in wants.numbers):
            return self.declined(who, held, "unfit")
        kept = next((each for each in self.views if each.view.version == wants.version), None)
        if kept is None:
            self.stop_fetching(who, sub)
            return Answer(who, held.number, PagesAnswer(wants.version, ()))
        if who not in self.fetchers:
            if len(self.fetchers) >= MAX_FETCHERS:
                return self.declined(who, held, "busy")
            self.fetchers[who] = None
            sub.fetches = wants.version
        self.credit = min(FETCH_BURST_BYTES, self.credit + FETCH_BYTES_PER_US * (now - self.credit_at))
        self.credit_at = now
        if self.credit < 0:
            held.wake = now - self.credit // FETCH_BYTES_PER_US
            return None
        kept.used = now
        pages, room = [], MAX_ANSWER_BYTES
        for number in wants.numbers[:MAX_PAGES_PER_ANSWER]:
            packed = kept.view.packed(number)
            room -= len(packed)
            if pages and room < 0:
                break
            pages.append((number, packed))
            self.credit -= len(packed)
        self.count("pieces")
        return Answer(who, held.number, PagesAnswer(wants.version, tuple(pages)))

    def stop_fetching(self, who: int, sub: SubscriberState) -> None:
        """Frees the subscriber's snapshot slot."""
        self.fetchers.pop(who, None)
        sub.fetches = None

    # -- cleanup ---------------------------------------------------------------------------------

    def look(self, now: int) -> None:
        """Frees slots, views and links that are no longer used."""
        self.look_at = now + FETCH_IDLE_US // 2
        for who in list(self.fetchers):
            sub = self.subscribers[who]
            if sub.held is None and now - sub.heard >= FETCH_IDLE_US:
                self.stop_fetching(who, sub)
                self.count("turns taken back")
        wanted = {each.fetches for each in self.subscribers.values()}
        self.views = [
            each for each in self.views if each.view.version in wanted or now - each.used < VIEW_IDLE_US
        ]
        for who, sub in list(self.subscribers.items()):
            if sub.followed and sub.held is None and now - sub.heard >= SUBSCRIBER_IDLE_US:
                self.left(now, who)
                self.count("dropped: idle")
                self.out.append(Drop(who))

    # -- status ---------------------------------------------------------------------------

    def below(self, now: int) -> Iterator[Count]:
        """Counts of all subscribers that were heard from recently."""
        needed = self.had.before(now - LATE_AFTER_US)
        for sub in self.subscribers.values():
            if sub.counts and (sub.held is not None or now - sub.heard < COUNT_EXPIRY_US):
                yield from adjust_counts(sub.counts, self.name, sub.version, needed, now - sub.heard)

    def counts(self, now: int) -> tuple[Count, ...]:
        """Counts of all nodes below, by zone."""
        return merge_counts(self.below(now))

    def in_force(self, now: int) -> dict[str, Any]:
        """The content for `status`; ages in µs, -1 if the source was never heard from."""
        age = self.age(now)
        return {
            "name": self.name,
            "zone": self.zone,
            "version": self.window.version,
            "digest": self.window.digest.hex(),
            "age_us": age if age < MAX_AGE_US else -1,
            "subscribers": len(self.subscribers),
            "fetching": len(self.fetchers),
            "views": len(self.views),
            "window": {"batches": len(self.window), "bytes": self.window.bytes, "from": self.window.base},
            "counts": [
                {
                    "zone": each.zone,
                    "nodes": each.nodes,
                    "lowest": each.lowest,
                    "oldest_us": each.oldest if each.oldest < MAX_AGE_US else -1,
                    "late": each.late,
                    "by": each.by,
                }
                for each in self.counts(now)
            ],
            "counters": dict(sorted(self.counters.items())),
        }

    def found(self, who: int, number: int, wants: RecordRequest) -> Decision:
        """The answer with a record as it is now, or as it was at a version that the window covers."""
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
        return Decline(who, number, "not kept")  # changed since; its previous value is not in the window
