"""Decides what each subscriber is sent next; no I/O. Voters and relays use the same code.

Inputs only update the state; the host then pulls decisions. A subscriber has at most one open request, and a
subscriber that lags needs no further state. A `follow` request without news is held open, at most for the
hold that the request names. All requests held at one version get the same answer object, so that the host
encodes the answer once. A subscriber that is too far behind for the window of batches fetches a snapshot. The
number of subscribers that fetch at the same time is bounded. Snapshots are read from views (a view is the
table as it was at one version), which are kept while they are in use.

Answers refer to the version of the last `on_applied`; the table itself may be one turn of the host ahead.

`follow.py` relies on two rules for the age in an answer: it is the age at the time when the answer was made;
and an answer with news may be made at any time after the request, but "nothing newer" is answered only when
the hold is over.
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

BEHIND_HOLD_US = 250_000  # µs that a request with a version above this relay's is held
MAX_FETCHERS = 8  # maximum of snapshots fetched at once: some 20 MB each, at 2 MB/s each
# bytes per µs (16 MB/s) for all snapshots together: an eighth of a 1 Gb/s link; batches are not limited
FETCH_BYTES_PER_US = 16
FETCH_BURST_BYTES = 2 * MAX_ANSWER_BYTES  # bytes of snapshots sent in a burst before that rate applies
MAX_PAGES_PER_ANSWER = 16  # maximum of pages in an answer; compressing a page takes the relay some 0.3 ms
FETCH_IDLE_US = 3_000_000  # µs without a request from a fetching subscriber, until its slot is freed
VIEW_IDLE_US = 10_000_000  # µs that a view is kept after the last request for the view
VIEW_SHARED_US = 30_000_000  # µs that a view is shared with new fetchers: the window has the later batches
# µs without a request, after which the link of a subscriber that has sent a `follow` counts as dead
SUBSCRIBER_IDLE_US = 60_000_000
# A subscriber with an empty table gets all batches of the window, not a snapshot, up to this size in bytes.
MAX_INITIAL_BATCH_BYTES = MAX_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class Answer:
    """Sends `content` as the answer to request `number` of a subscriber."""

    subscriber_id: int
    number: int
    content: Any


@dataclass(frozen=True, slots=True)
class Decline:
    """Rejects request `number` of a subscriber, with a reason."""

    subscriber_id: int
    number: int
    why: str  # "full", "busy": to be retried after a while; "nothing here", "unfit", "not kept"


@dataclass(frozen=True, slots=True)
class Drop:
    """Closes the link of a subscriber that had no open request and sent none for `SUBSCRIBER_IDLE_US`."""

    subscriber_id: int
    number: int = -1
    why: str = "idle"


Decision = Answer | Decline | Drop


class View(Protocol):
    """The table as it was at one version."""

    version: int

    def head(self, age: int) -> SnapshotHead: ...

    def packed(self, number: int) -> bytes: ...


class Table(Protocol):
    """The methods and attributes of the table that this module uses."""

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
    asked_at: int  # µs: when the request arrived
    hold_until: int  # µs: end of the time for which the answer may be held
    wake_at: int  # µs: when the request is decided on again, even without news
    queued_wake_at: int = -1  # the `wake_at` that is in the heap


@dataclass(slots=True)
class SubscriberState:
    """The state of one subscriber."""

    last_request_at: int  # µs: when the last request arrived
    followed: bool = False  # the subscriber has sent a `follow` request
    version: int = 0  # version in the last `follow` request
    counts: tuple[Count, ...] = ()  # version counts in the last `follow` request
    open_request: OpenRequest | None = None
    fetched_version: int | None = None  # version of the snapshot that the subscriber fetches


@dataclass(slots=True)
class SharedView:
    """A view, kept for the subscribers that fetch a snapshot from it."""

    view: View
    opened_at: int  # µs: when the view was made
    used_at: int  # µs: when the view was last requested
    age: int  # age in µs of the version when the view was made


class Publisher:
    """Owns the subscribers and their open requests, the window of batches and the views."""

    def __init__(self, name: str, zone: str, table: Table, now: int, recent: Sequence[Batch] = ()) -> None:
        """`now`: µs on the monotonic clock, in all calls. Only the table's owner changes the table.

        `recent`: persisted batches in order, used only if the last batch leads to the table's version.
        """
        self.name, self.zone, self.table = name, zone, table
        self.counters: dict[str, int] = {}
        self.window = Window(table.version, table.digest)
        if recent and (recent[-1].version, recent[-1].digest) == (table.version, table.digest):
            self.window.restart(recent[0].version, recent[0].digest)
            self.add_to_window(recent[1:])
        self.version_history = VersionHistory(now, table.version)
        self.age_report: tuple[int, int] | None = None  # moment when the age was reported, and the age, in µs
        self.subscribers: dict[int, SubscriberState] = {}
        self.decisions: deque[Decision] = deque()  # decisions not pulled yet, at most one per request
        self.ready: deque[int] = deque()  # ids of subscribers whose open request has to be decided on
        self.wake_heap: list[tuple[int, int, int]] = []  # heap of (wake time, subscriber id, request number)
        self.views: list[SharedView] = []  # oldest first
        self.fetchers: dict[int, None] = {}  # ids of the subscribers that fetch a snapshot, as an ordered set
        self.credit, self.credit_at = FETCH_BURST_BYTES, now  # bytes of snapshots that may be sent
        # (outcome, version of the request) -> (moment when the answer was made, answer)
        self.shared_answers: dict[tuple[int, int], tuple[int, FollowAnswer]] = {}
        self.next_cleanup_at = now + FETCH_IDLE_US

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    # -- inputs ------------------------------------------------------------------------------------------

    def on_applied(self, now: int, batches: tuple[Batch, ...]) -> None:
        """Handles that the table has applied batches; (): a snapshot instead, which empties the window."""
        if not batches:
            self.window.restart(self.table.version, self.table.digest)
        else:
            self.add_to_window(batches)
        self.version_history.record(now, self.window.version)
        self.views = [each for each in self.views if each.view.version in self.window.places]
        self.shared_answers.clear()
        self.ready.extend(
            subscriber_id for subscriber_id, each in self.subscribers.items() if each.open_request is not None
        )

    def add_to_window(self, batches: Sequence[Batch]) -> None:
        """Adds the batches to the window."""
        try:
            for each in batches:
                self.window.add(each)
        except ValueError:  # a gap between batches: subscribers that lag have to fetch a snapshot
            self.count("windows begun anew")
            self.window.restart(self.table.version, self.table.digest)

    def set_age(self, now: int, age: int) -> None:
        """Sets the age: µs since the source was known to have nothing newer than the table."""
        # Subscribers are served from the window. While the table has another version than the window, the age
        # belongs to a version that is not served yet, and is ignored.
        if self.table.version == self.window.version:
            self.age_report = (now, min(MAX_AGE_US, max(0, age)))

    def age(self, now: int) -> int:
        """The table's age in µs; `MAX_AGE_US` if the age was never reported."""
        return (
            MAX_AGE_US if self.age_report is None else age_after(self.age_report[1], now - self.age_report[0])
        )

    def add_subscriber(self, now: int, subscriber_id: int) -> bool:
        """Adds a subscriber. False: the relay has the maximum number of subscribers."""
        if subscriber_id not in self.subscribers and len(self.subscribers) >= MAX_SUBSCRIBERS:
            self.count("turned away: full")
            return False
        self.subscribers[subscriber_id] = SubscriberState(now)
        return True

    def remove_subscriber(self, now: int, subscriber_id: int) -> None:
        """Removes a subscriber whose link has ended."""
        self.subscribers.pop(subscriber_id, None)
        self.fetchers.pop(subscriber_id, None)

    def on_request(self, now: int, subscriber_id: int, number: int, what: str, content: Any) -> None:
        """Handles a request with decoded content. An invalid request is declined."""
        if what == IN_FORCE:
            self.decisions.append(Answer(subscriber_id, number, self.in_force(now)))
            return
        if what == FIND and isinstance(content, RecordRequest):
            self.decisions.append(self.answer_find(subscriber_id, number, content))
            return
        fits = {FOLLOW: FollowRequest, DIGESTS: type(None), PAGES_OF: PagesRequest}.get(what)
        if fits is None or not isinstance(content, fits):
            self.decline(subscriber_id, number, "unfit")
            return
        subscriber = self.subscribers.get(subscriber_id)
        if subscriber is None:
            self.decline(subscriber_id, number, "full")
            return
        if subscriber.open_request is not None:
            self.decline(subscriber_id, number, "unfit")
            return
        subscriber.last_request_at = until = now
        if isinstance(content, FollowRequest):
            subscriber.followed, subscriber.version, subscriber.counts = (
                True,
                content.version,
                content.counts[: MAX_ZONES + 1],
            )
            self.stop_fetching(subscriber_id, subscriber)
            until = now + min(max(0, content.hold), MAX_HOLD_US)
        subscriber.open_request = OpenRequest(number, what, content, now, until, until)
        self.ready.append(subscriber_id)

    def decline(self, subscriber_id: int, number: int, why: str) -> None:
        """Declines a request that was not recorded as an open request."""
        self.count(f"declined: {why}")
        self.decisions.append(Decline(subscriber_id, number, why))

    # -- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """The next decision for the host; None: nothing to do until `deadline` or the next input."""
        if self.decisions:
            return self.decisions.popleft()
        if now >= self.next_cleanup_at:
            self.drop_idle(now)
        while self.wake_heap and self.wake_heap[0][0] <= now:
            self.ready.append(heapq.heappop(self.wake_heap)[1])
        while self.ready:
            subscriber_id = self.ready.popleft()
            subscriber = self.subscribers.get(subscriber_id)
            if subscriber is None or subscriber.open_request is None:
                continue
            made = self.decide(now, subscriber_id, subscriber, subscriber.open_request)
            if made is not None:
                subscriber.open_request = None
                return made
            if subscriber.open_request.queued_wake_at != subscriber.open_request.wake_at:
                subscriber.open_request.queued_wake_at = subscriber.open_request.wake_at
                heapq.heappush(
                    self.wake_heap,
                    (subscriber.open_request.wake_at, subscriber_id, subscriber.open_request.number),
                )
            # drops the entries of requests that have been answered
            if len(self.wake_heap) > 2 * len(self.subscribers) + 64:
                self.wake_heap = [each for each in self.wake_heap if self.is_current(each)]
                heapq.heapify(self.wake_heap)
        return self.decisions.popleft() if self.decisions else None

    def is_current(self, wait: tuple[int, int, int]) -> bool:
        """Whether the heap entry still belongs to an open request."""
        subscriber = self.subscribers.get(wait[1])
        return (
            subscriber is not None
            and subscriber.open_request is not None
            and (subscriber.open_request.wake_at, subscriber.open_request.number) == wait[::2]
        )

    def deadline(self) -> int | None:
        """µs on the monotonic clock: when decisions have to be pulled even without input; None: never."""
        while self.wake_heap and not self.is_current(self.wake_heap[0]):
            heapq.heappop(self.wake_heap)
        moments = [self.wake_heap[0][0]] if self.wake_heap else []
        if self.subscribers or self.views:
            moments.append(self.next_cleanup_at)
        return min(moments, default=None)

    def decide(
        self, now: int, subscriber_id: int, subscriber: SubscriberState, request: OpenRequest
    ) -> Decision | None:
        """The decision on an open request; None: the request waits until `request.wake_at`."""
        if isinstance(request.content, FollowRequest):
            answer = self.answer_follow(now, request.content, request)
            return None if answer is None else Answer(subscriber_id, request.number, answer)
        if isinstance(request.content, PagesRequest):
            return self.answer_pages(now, subscriber_id, subscriber, request, request.content)
        return self.answer_digests(now, subscriber_id, subscriber, request)

    # -- news --------------------------------------------------------------------------------------------

    def answer_follow(self, now: int, has: FollowRequest, request: OpenRequest) -> FollowAnswer | None:
        """The answer to a `follow` request; None: the request waits until `request.wake_at`."""
        outcome, since = self.choose_outcome(has), request.asked_at
        if outcome == FollowOutcome.SAME:
            # the subscriber counts the age from the end of the hold
            request.wake_at = since = request.hold_until
        elif outcome == FollowOutcome.BEHIND:
            request.wake_at = since = min(request.hold_until, request.asked_at + BEHIND_HOLD_US)
        if now < since:
            return None
        made, answer = self.shared_answers.get((outcome, has.version), (-1, None))
        if answer is None or made < since:
            batches = self.window.after(has.version) if outcome == FollowOutcome.NEWS else None
            answer = FollowAnswer(
                outcome, self.window.version, self.window.digest, self.age(now), batches or ()
            )
            if len(self.shared_answers) >= MAX_SUBSCRIBERS:
                self.shared_answers.clear()
            self.shared_answers[outcome, has.version] = (now, answer)
        self.count(f"said: {outcome.name}")
        return answer

    def choose_outcome(self, has: FollowRequest) -> FollowOutcome:
        """The outcome for the version and digest of a `follow`; also SAME while the answer is held."""
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

    # -- snapshots ---------------------------------------------------------------------------------------

    def answer_digests(
        self, now: int, subscriber_id: int, subscriber: SubscriberState, request: OpenRequest
    ) -> Decision:
        """The answer to a request for a snapshot's digests."""
        if not self.window.version:
            return self.decline_open(subscriber_id, request, "nothing here")
        if subscriber_id not in self.fetchers and len(self.fetchers) >= MAX_FETCHERS:
            return self.decline_open(subscriber_id, request, "busy")
        kept = self.open_view(now)
        self.fetchers[subscriber_id] = None
        subscriber.fetched_version = kept.view.version
        self.count("snapshots begun")
        return Answer(
            subscriber_id, request.number, kept.view.head(age_after(kept.age, now - kept.opened_at))
        )

    def decline_open(self, subscriber_id: int, request: OpenRequest, why: str) -> Decline:
        """Declines an open request."""
        self.count(f"declined: {why}")
        return Decline(subscriber_id, request.number, why)

    def open_view(self, now: int) -> SharedView:
        """A view for a new snapshot fetch: the newest view if it is recent, otherwise a new view.

        At the maximum number of views, the new view replaces the view with the fewest fetchers.
        """
        if self.views and now - self.views[-1].opened_at < VIEW_SHARED_US:
            self.views[-1].used_at = now
            return self.views[-1]
        if self.views and self.views[-1].view.version == self.table.version:
            self.views.pop()
        if len(self.views) >= MAX_VIEWS:
            wanted = [each.fetched_version for each in self.subscribers.values()]
            self.views.remove(min(self.views, key=lambda each: wanted.count(each.view.version)))
            self.count("views given up")
        self.views.append(SharedView(self.table.view(), now, now, self.age(now)))
        return self.views[-1]

    def answer_pages(
        self,
        now: int,
        subscriber_id: int,
        subscriber: SubscriberState,
        request: OpenRequest,
        wanted: PagesRequest,
    ) -> Decision | None:
        """The answer to a request for pages; None: the request waits, because of the rate limit."""
        if not wanted.numbers or not all(0 <= each < PAGE_COUNT for each in wanted.numbers):
            return self.decline_open(subscriber_id, request, "unfit")
        kept = next((each for each in self.views if each.view.version == wanted.version), None)
        if kept is None:
            self.stop_fetching(subscriber_id, subscriber)
            return Answer(subscriber_id, request.number, PagesAnswer(wanted.version, ()))
        if subscriber_id not in self.fetchers:
            if len(self.fetchers) >= MAX_FETCHERS:
                return self.decline_open(subscriber_id, request, "busy")
            self.fetchers[subscriber_id] = None
            subscriber.fetched_version = wanted.version
        self.credit = min(FETCH_BURST_BYTES, self.credit + FETCH_BYTES_PER_US * (now - self.credit_at))
        self.credit_at = now
        if self.credit < 0:
            request.wake_at = now - self.credit // FETCH_BYTES_PER_US
            return None
        kept.used_at = now
        pages, room = [], MAX_ANSWER_BYTES
        for number in wanted.numbers[:MAX_PAGES_PER_ANSWER]:
            packed = kept.view.packed(number)
            room -= len(packed)
            if pages and room < 0:
                break
            pages.append((number, packed))
            self.credit -= len(packed)
        self.count("pieces")
        return Answer(subscriber_id, request.number, PagesAnswer(wanted.version, tuple(pages)))

    def stop_fetching(self, subscriber_id: int, subscriber: SubscriberState) -> None:
        """Frees the subscriber's snapshot slot."""
        self.fetchers.pop(subscriber_id, None)
        subscriber.fetched_version = None

    # -- cleanup -----------------------------------------------------------------------------------------

    def drop_idle(self, now: int) -> None:
        """Frees slots, views and links that are no longer used."""
        self.next_cleanup_at = now + FETCH_IDLE_US // 2
        for subscriber_id in list(self.fetchers):
            subscriber = self.subscribers[subscriber_id]
            if subscriber.open_request is None and now - subscriber.last_request_at >= FETCH_IDLE_US:
                self.stop_fetching(subscriber_id, subscriber)
                self.count("turns taken back")
        wanted = {each.fetched_version for each in self.subscribers.values()}
        self.views = [
            each for each in self.views if each.view.version in wanted or now - each.used_at < VIEW_IDLE_US
        ]
        for subscriber_id, subscriber in list(self.subscribers.items()):
            if (
                subscriber.followed
                and subscriber.open_request is None
                and now - subscriber.last_request_at >= SUBSCRIBER_IDLE_US
            ):
                self.remove_subscriber(now, subscriber_id)
                self.count("dropped: idle")
                self.decisions.append(Drop(subscriber_id))

    # -- status ------------------------------------------------------------------------------------------

    def subscriber_counts(self, now: int) -> Iterator[Count]:
        """Version counts of all subscribers with an open request, or with one within `COUNT_EXPIRY_US`."""
        needed = self.version_history.version_at(now - LATE_AFTER_US)
        for subscriber in self.subscribers.values():
            if subscriber.counts and (
                subscriber.open_request is not None or now - subscriber.last_request_at < COUNT_EXPIRY_US
            ):
                yield from adjust_counts(
                    subscriber.counts, self.name, subscriber.version, needed, now - subscriber.last_request_at
                )

    def counts(self, now: int) -> tuple[Count, ...]:
        """Version counts of all nodes below this process in the relay tree, by zone."""
        return merge_counts(self.subscriber_counts(now))

    def in_force(self, now: int) -> dict[str, Any]:
        """The content for `status`; ages in µs, -1 if the age is not known."""
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
                    "lowest": each.lowest_version,
                    "oldest_us": each.max_age if each.max_age < MAX_AGE_US else -1,
                    "late": each.late_nodes,
                    "by": each.lowest_relay,
                }
                for each in self.counts(now)
            ],
            "counters": dict(sorted(self.counters.items())),
        }

    def answer_find(self, subscriber_id: int, number: int, wanted: RecordRequest) -> Decision:
        """The answer with a record as it is now, or as it was at a version that the window covers.

        The request is declined if the window doesn't have the record's value at that version.
        """
        value = self.table.find(wanted.kind, wanted.name)
        if not wanted.version or wanted.version >= self.table.version:
            return Answer(subscriber_id, number, value)
        if wanted.version not in self.window.places:
            return Decline(subscriber_id, number, "not kept")
        named = [
            (batch.version, change.value)
            for batch in self.window.batches
            for change in batch.changes
            if (change.kind, change.name) == (wanted.kind, wanted.name)
        ]
        before = [each for each in named if each[0] <= wanted.version]
        if len(before) == len(named):  # the record has not changed since that version
            return Answer(subscriber_id, number, value)
        if before:
            return Answer(subscriber_id, number, before[-1][1])
        # the record has changed since that version, and its earlier value is not in the window
        return Decline(subscriber_id, number, "not kept")
