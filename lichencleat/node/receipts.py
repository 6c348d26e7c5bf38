"""Receipts: which try of a request holds the entry of its key, its result, and who waits for that."""

from __future__ import annotations

from typing import Any

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.deadlines import Deadline, Deadlines

MAX_READ_DELAY = (
    10_000_000  # µs, and the hard limit: as late as a try that came in time may be read, or a run end
)


class IdempotencyRecord:
    __slots__ = ("key", "request", "valid_until", "result", "waiters", "expiry_timer")

    def __init__(self, key: bytes, request: Request) -> None:
        self.key, self.request = key, request
        self.valid_until: int | None = None  # None before the decisions have it recorded
        self.result: bytes | None = None
        self.waiters: dict[Any, None] = {}  # who waits for the outcome, in their order
        self.expiry_timer: Deadline | None = None

    def covers(self, arrived: int) -> bool:
        """Is it the one that a try which arrived then repeats?"""
        if self.valid_until is None:
            return self.request.state is not RequestState.ENDED
        return arrived <= self.valid_until


class IdempotencyRecords:
    """Owns the entries; each is given back in `forget` alone."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.by_key: dict[
            bytes, list[IdempotencyRecord]
        ] = {}  # several, where their windows end one after the other
        self.by_request: dict[Request, IdempotencyRecord] = {}

    def find_or_add(self, key: bytes, request: Request) -> Request | None:
        """The try that this one repeats, or None: then the tries to come repeat this one."""
        original = self.find(key, request)
        if original is None:
            self.add(key, request)
        return original

    def find(self, key: bytes, request: Request) -> Request | None:
        """The try that this one repeats before any other."""
        originals = self.find_all(key, request)
        return originals[-1] if originals else None

    def find_all(self, key: bytes, request: Request) -> list[Request]:
        """All that this one repeats: those that have begun last, and of them the newest.

        Guards the window of one that ran against a later one that did not, where a try of that window is read
        after both.
        """
        covering = [each.request for each in self.by_key.get(key, ()) if each.covers(request.arrived)]
        return sorted(covering, key=lambda each: each.started is not None)

    def add(self, key: bytes, request: Request) -> IdempotencyRecord:
        """Those before of that key stay: a repeat that came in time may yet be read."""
        record = self.by_request[request] = IdempotencyRecord(key, request)
        self.by_key.setdefault(key, []).append(record)
        return record

    def set_expiry(self, now: int, key: bytes, request: Request, span: int) -> None:
        record = self.by_request.get(request) or self.add(key, request)
        record.valid_until = now + span
        self.deadlines.cancel(record.expiry_timer)
        read_delay = MAX_READ_DELAY + request.request_class.deadline
        record.expiry_timer = self.deadlines.after(span + read_delay, self.remove, record)

    def clear_expiry(self, request: Request) -> None:
        """Its entry was not made after all: until it is recorded again, it counts while it is in hand."""
        record = self.by_request.get(request)
        if record is not None:
            record.valid_until = None
            self.deadlines.cancel(record.expiry_timer)

    def delete(self, request: Request) -> None:
        record = self.by_request.get(request)
        if record is not None:
            self.remove(record)

    def remove(self, record: IdempotencyRecord) -> None:
        self.deadlines.cancel(record.expiry_timer)
        known = self.by_key.get(record.key, [])
        if record in known:
            known.remove(record)
        if not known:
            self.by_key.pop(record.key, None)
        self.by_request.pop(record.request, None)

    def add_waiter(self, request: Request, waiter: Any) -> IdempotencyRecord | None:
        """The receipt of that try; where its outcome is not there yet, the sharer waits at it."""
        record = self.by_request.get(request)
        if record is not None and request.state is not RequestState.ENDED:
            record.waiters[waiter] = None
        return record

    def remove_waiter(self, request: Request | None, waiter: Any) -> None:
        record = self.by_request.get(request) if request else None
        if record is not None:
            record.waiters.pop(waiter, None)

    def complete(self, request: Request, result: bytes | None) -> list[Any]:
        """Keeps the result of the try that ran; gives those that waited for it."""
        record = self.by_request.get(request)
        if record is None:
            return []
        record.result = result
        waiters, record.waiters = list(record.waiters), {}
        return waiters

    def discard_unconfirmed(self, request: Request) -> None:
        """That request is done with: an entry that was never recorded goes with it."""
        record = self.by_request.get(request)
        if record is not None and record.valid_until is None:
            self.remove(record)
