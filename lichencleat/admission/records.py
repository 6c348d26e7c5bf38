"""Idempotency records: a keyed request runs once, and its repeats share that run.

The host stores the records; this module tracks which records exist, when they expire, and which attempt a
request repeats.
"""

from __future__ import annotations

from collections.abc import Iterator

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Effect, NodeSpec, Request, RequestState


class IdempotencyRecords:
    """Tracks which requests have a record on this node, and the time (µs) at which each record expires."""

    def __init__(self, spec: NodeSpec, timing: Timing, pools: RequestPools) -> None:
        self.freshness = spec.freshness_us
        self.timing = timing
        self.pools = pools
        self.expiry: dict[Request, int] = {}
        self.is_available = True  # whether the host can make records

    def add(self, now: int, request: Request) -> int:
        """Add the record of a request that may run, and return how long (µs) the host must keep the record.

        The record covers the window that begins with the arrival of the request.
        """
        keyed = request.request_class.effect is Effect.KEYED
        retention = request.request_class.window if keyed else self.freshness
        until = request.arrived + retention + self.timing.guard
        self.expiry[request] = until
        return max(until - now, self.timing.guard)

    def expire(self, now: int) -> None:
        """Drop the records whose window has passed."""
        self.expiry = {each: until for each, until in self.expiry.items() if until > now}

    def pop_unstarted(self) -> Iterator[Request]:
        """Drop the records of attempts that ended without a run, and yield these attempts.

        Such a record is no longer needed, as there was no run that must not be repeated.
        """
        candidates = list(self.expiry) if self.pools.has_ended_unstarted else []
        self.pools.has_ended_unstarted = False
        for request in candidates:
            if request.state is RequestState.ENDED and request.started is None:
                del self.expiry[request]
                yield request

    def replace(self, original: Request, request: Request) -> None:
        """Let `request`, a repeat, take the place of the attempt `original`, which ended without a run.

        Prevents two runs when two repeats of one rejected attempt are read together: the first repeat
        replaces the attempt, and the second repeat counts as a repeat of the first one. `request` replaces
        all its earlier attempts, as none of them ran: the second repeat may be one of any of them.
        """
        for each in (*current_originals(request), original):
            each.replacement = request
            self.expiry.pop(each, None)
        request.original = None
        request.other_originals = []

    def may_start(self, request: Request) -> bool:
        """Return whether a request has the record that it needs before it runs."""
        return request.request_class.effect is not Effect.KEYED or request in self.expiry


def find_original(request: Request) -> Request | None:
    """Return the earlier attempt whose run a request must share, or None if the request has no such attempt.

    If a repeat has taken the place of an earlier attempt, that repeat is returned. Several attempts with one
    key may be read out of order. A repeat runs only if each earlier attempt has ended without a run.
    """
    if request.original is None:
        return None
    originals = current_originals(request)
    if not originals:
        return None
    unfinished_or_run = [
        each for each in originals if each.state is not RequestState.ENDED or each.started is not None
    ]
    original = (unfinished_or_run or originals)[-1]
    request.other_originals = [each for each in originals if each is not original]
    return original


def current_originals(request: Request) -> list[Request]:
    """Return the earlier attempts of a request, or the repeats that have taken their places."""
    if request.original is None:
        return []
    originals = [_last_replacement(each) for each in (*request.other_originals, request.original)]
    return [each for each in originals if each is not request]


def _last_replacement(request: Request) -> Request:
    while request.replacement is not None:
        request = request.replacement
    return request


def has_unrepeatable_run(request: Request) -> bool:
    """Return whether a request has started and must not run again."""
    return request.started is not None and request.request_class.effect is not Effect.IDEMPOTENT
