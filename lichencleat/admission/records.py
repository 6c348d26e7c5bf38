"""Idempotency records: a keyed request runs once, and its repeats share that run.

The host keeps the records; this says which there are, until when, and what an attempt repeats.
"""

from __future__ import annotations

from collections.abc import Iterator

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Effect, NodeSpec, Request, RequestState


class IdempotencyRecords:
    """The index of the records on this node, with the time (µs) at which each expires."""

    def __init__(self, spec: NodeSpec, timing: Timing, pools: RequestPools) -> None:
        self.freshness = spec.freshness_us
        self.timing = timing
        self.pools = pools
        self.expiry: dict[Request, int] = {}
        self.is_available = True  # the host is able to make records

    def add(self, now: int, request: Request) -> int:
        """Make the record of a run that may begin, and return how long it lasts.

        It covers the window counted from the arrival of the request.
        """
        keyed = request.request_class.effect is Effect.KEYED
        lasts = request.request_class.window if keyed else self.freshness
        until = request.arrived + lasts + self.timing.guard
        self.expiry[request] = until
        return max(until - now, self.timing.guard)

    def expire(self, now: int) -> None:
        """Drop the records that are past their window."""
        self.expiry = {each: until for each, until in self.expiry.items() if until > now}

    def pop_unrun(self) -> Iterator[Request]:
        """Drop and yield the records of attempts that ended without a run: they guard nothing."""
        candidates = list(self.expiry) if self.pools.has_ended_unrun else []
        self.pools.has_ended_unrun = False
        for request in candidates:
            if request.state is RequestState.ENDED and request.started is None:
                del self.expiry[request]
                yield request

    def replace(self, original: Request, request: Request) -> None:
        """Let a repeat take the place of an attempt that ended without a run.

        Guards against two repeats of one rejected attempt that are read together: the first of them takes its
        place, and the second repeats that one.
        """
        original.replacement = request
        request.original = None
        self.expiry.pop(original, None)

    def may_start(self, request: Request) -> bool:
        """Return whether a request has the record that it needs before its run."""
        return request.request_class.effect is not Effect.KEYED or request in self.expiry


def find_original(request: Request) -> Request | None:
    """Return the attempt that a request repeats, or the one that took its place.

    Guards the windows of several attempts of one key that were read out of their order: a repeat runs only
    where each of those that it repeats has ended without a run.
    """
    original = request.original
    while original is not None:
        if original.replacement is not None:
            original = original.replacement
        elif original.state is RequestState.ENDED and original.started is None and request.other_originals:
            original = request.other_originals.pop()
        else:
            break
    return original


def has_run(request: Request) -> bool:
    """Return whether a request has begun that must not run again."""
    return request.started is not None and request.request_class.effect is not Effect.IDEMPOTENT
