"""Idempotency records in memory: which attempt holds a key, its result, and the repeats that wait for it."""

from __future__ import annotations

from typing import Any

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.deadlines import Deadline, Deadlines

# µs past the deadline at which an attempt that arrived in time may still be read, or its run may end
MAX_READ_DELAY = 10_000_000


class IdempotencyRecord:
    """The record of one attempt under its key."""

    __slots__ = ("key", "request", "valid_until", "result", "waiters", "expiry_timer")

    def __init__(self, key: bytes, request: Request) -> None:
        self.key, self.request = key, request
        self.valid_until: int | None = None  # µs; None until the admission controller confirms the record
        self.result: bytes | None = None
        self.waiters: dict[Any, None] = {}  # repeats that wait for the outcome, in order of arrival
        self.expiry_timer: Deadline | None = None

    def covers(self, arrived: int) -> bool:
        """Whether an attempt that arrived at that time repeats this one."""
        if self.valid_until is None:
            return self.request.state is not RequestState.ENDED
        return arrived <= self.valid_until


class IdempotencyRecords:
    """All idempotency records, by key and by request; only `remove` drops one."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.by_key: dict[bytes, list[IdempotencyRecord]] = {}  # several if their windows follow each other
        self.by_request: dict[Request, IdempotencyRecord] = {}

    def find_or_add(self, key: bytes, request: Request) -> Request | None:
        """The attempt that this one repeats, or None; in that case later attempts repeat this one."""
        original = self.find(key, request)
        if original is None:
            self.add(key, request)
        return original

    def find(self, key: bytes, request: Request) -> Request | None:
        """The attempt that this one repeats, or None."""
        originals = self.find_all(key, request)
        return originals[-1] if originals else None

    def find_all(self, key: bytes, request: Request) -> list[Request]:
        """All attempts that this one repeats; those that have started come last, the newest at the end.

        So an attempt repeats one that ran in its window, even if a later attempt, which did not run, was read
        before it.
        """
        covering = [each.request for each in self.by_key.get(key, ()) if each.covers(request.arrived)]
        return sorted(covering, key=lambda each: each.started is not None)

    def add(self, key: bytes, request: Request) -> IdempotencyRecord:
        """Add an unconfirmed record; earlier ones of the key stay, as their repeats may be read late."""
        record = self.by_request[request] = IdempotencyRecord(key, request)
        self.by_key.setdefault(key, []).append(record)
        return record

    def set_expiry(self, now: int, key: bytes, request: Request, span: int) -> None:
        """Confirm a record, valid for `span` µs; it is kept longer, for attempts that are read late."""
        record = self.by_request.get(request) or self.add(key, request)
        record.valid_until = now + span
        self.deadlines.cancel(record.expiry_timer)
        read_delay = MAX_READ_DELAY + request.request_class.deadline
        record.expiry_timer = self.deadlines.after(span + read_delay, self.remove, record)

    def clear_expiry(self, request: Request) -> None:
        """Undo the confirmation of a record that was not stored; it is valid until its request ends."""
        record = self.by_request.get(request)
        if record is not None:
            record.valid_until = None
            self.deadlines.cancel(record.expiry_timer)

    def delete(self, request: Request) -> None:
        """Delete the record of a request, if there is one."""
        record = self.by_request.get(request)
        if record is not None:
            self.remove(record)

    def remove(self, record: IdempotencyRecord) -> None:
        """Drop a record and cancel its timer."""
        self.deadlines.cancel(record.expiry_timer)
        known = self.by_key.get(record.key, [])
        if record in known:
            known.remove(record)
        if not known:
            self.by_key.pop(record.key, None)
        self.by_request.pop(record.request, None)

    def add_waiter(self, request: Request, waiter: Any) -> IdempotencyRecord | None:
        """The record of an attempt, or None; until the attempt has ended, the waiter is added to it."""
        record = self.by_request.get(request)
        if record is not None and request.state is not RequestState.ENDED:
            record.waiters[waiter] = None
        return record

    def remove_waiter(self, request: Request | None, waiter: Any) -> None:
        """Remove a repeat that waits for this attempt, if it does."""
        record = self.by_request.get(request) if request else None
        if record is not None:
            record.waiters.pop(waiter, None)

    def complete(self, request: Request, result: bytes | None) -> list[Any]:
        """Keep the result of an attempt that ended; returns the repeats that waited for it."""
        record = self.by_request.get(request)
        if record is None:
            return []
        record.result = result
        waiters, record.waiters = list(record.waiters), {}
        return waiters

    def discard_unconfirmed(self, request: Request) -> None:
        """Drop the record of a released request if it was never confirmed."""
        record = self.by_request.get(request)
        if record is not None and record.valid_until is None:
            self.remove(record)
