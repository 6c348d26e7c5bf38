"""Idempotency records in memory: the attempt of each key, its result and the repeats that wait for it."""

from __future__ import annotations

from typing import Any

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.deadlines import Deadline, Deadlines

# µs after the deadline of a request in which an attempt may still be read, or a run may still end
MAX_READ_DELAY = 10_000_000


class IdempotencyRecord:
    """The idempotency record of one attempt, which later attempts with the same key repeat."""

    __slots__ = ("key", "request", "valid_until", "result", "waiters", "repeats", "expiry_timer")

    def __init__(self, key: bytes, request: Request) -> None:
        self.key, self.request = key, request
        self.valid_until: int | None = None  # µs of Unix time; None until the record is confirmed
        self.result: bytes | None = None  # None until the run has ended, and if it failed
        self.waiters: dict[Any, None] = {}  # repeats that wait for the outcome, in order of arrival
        self.repeats: dict[Request, None] = {}  # repeats that were linked to the attempt, until their release
        self.expiry_timer: Deadline | None = None

    def covers(self, arrived: int) -> bool:
        """Return whether another attempt that arrived at `arrived` (µs) repeats the attempt of this record.

        An unconfirmed record covers every attempt until its request ends. A record with a repeat that waits
        for a decision covers every attempt: if the record's attempt never ran, that repeat may run.
        """
        if self.valid_until is None and self.request.state is not RequestState.ENDED:
            return True
        is_in_window = self.valid_until is not None and arrived <= self.valid_until
        return is_in_window or self.next_repeat() is not None

    def next_repeat(self) -> Request | None:
        """Return the oldest linked repeat that waits for a decision."""
        return next((each for each in self.repeats if each.state is RequestState.QUEUED), None)


class IdempotencyRecords:
    """All idempotency records, by key and by request; only `remove` drops a record."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.by_key: dict[bytes, list[IdempotencyRecord]] = {}  # several if their windows follow each other
        self.by_request: dict[Request, IdempotencyRecord] = {}
        self.linked: dict[Request, dict[Request, None]] = {}  # by repeat: the `repeats` that contain it

    def find_or_add(self, key: bytes, request: Request) -> Request | None:
        """Return the attempt that `request` repeats; without one, add a record for `request`, return None."""
        original = self.find(key, request)
        if original is None:
            self.add(key, request)
        return original

    def find(self, key: bytes, request: Request) -> Request | None:
        """Return the attempt that `request` repeats, or None."""
        originals = self.find_all(key, request)
        return originals[-1] if originals else None

    def find_all(self, key: bytes, request: Request) -> list[Request]:
        """Return all attempts that `request` repeats, oldest first, but started attempts after the others.

        The last attempt of the list is thus one that ran, if any did, even if an attempt that did not run was
        read after it.
        """
        covering = [each.request for each in self.by_key.get(key, ()) if each.covers(request.arrived)]
        return sorted(covering, key=lambda each: each.started is not None)

    def add(self, key: bytes, request: Request) -> IdempotencyRecord:
        """Add an unconfirmed record; earlier records of the key stay, as repeats of them may be read late.

        A repeat that takes the place of another attempt also takes over the repeats linked to that attempt.
        """
        record = self.by_request[request] = IdempotencyRecord(key, request)
        self.by_key.setdefault(key, []).append(record)
        if request in self.linked:
            record.repeats = self.linked[request]
            self.unlink(request)
        return record

    def set_expiry(self, now: int, key: bytes, request: Request, validity_us: int) -> None:
        """Confirm a record as valid for `validity_us`, and keep it longer for attempts that are read late."""
        record = self.by_request.get(request) or self.add(key, request)
        record.valid_until = now + validity_us
        self.deadlines.cancel(record.expiry_timer)
        read_delay = MAX_READ_DELAY + request.request_class.deadline
        record.expiry_timer = self.deadlines.after(validity_us + read_delay, self.remove, record)

    def clear_expiry(self, request: Request) -> None:
        """Undo the confirmation of a record that was not stored; it is then valid until its request ends."""
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
        """Drop a record and cancel its expiry timer."""
        self.deadlines.cancel(record.expiry_timer)
        known = self.by_key.get(record.key, [])
        if record in known:
            known.remove(record)
        if not known:
            self.by_key.pop(record.key, None)
        self.by_request.pop(record.request, None)

    def add_waiter(self, request: Request, waiter: Any) -> IdempotencyRecord | None:
        """Return the record of an attempt, or None; add the waiter to it unless the attempt has ended."""
        record = self.by_request.get(request)
        if record is not None and request.state is not RequestState.ENDED:
            record.waiters[waiter] = None
        return record

    def remove_waiter(self, request: Request | None, waiter: Any) -> None:
        """Remove a repeat from those that wait for the attempt `request`, if it is among them."""
        record = self.by_request.get(request) if request else None
        if record is not None:
            record.waiters.pop(waiter, None)

    def complete(self, request: Request, result: bytes | None) -> list[Any]:
        """Store the result of an attempt that ended, and return the repeats that waited for the result."""
        record = self.by_request.get(request)
        if record is None:
            return []
        record.result = result
        waiters, record.waiters = list(record.waiters), {}
        return waiters

    def add_repeat(self, original: Request, request: Request) -> None:
        """Link a repeat to its original attempt, whose place it may have to take."""
        record = self.by_request.get(original)
        if record is not None:
            record.repeats[request] = None
            self.linked[request] = record.repeats

    def discard_unconfirmed(self, request: Request) -> list[Any]:
        """Drop the unconfirmed record of a released request; return the repeats that wait for its run.

        The oldest linked repeat that waits for a decision takes the place of the request, so that an attempt
        that is read later is linked to that repeat.
        """
        self.unlink(request)
        record = self.by_request.get(request)
        if record is None or record.valid_until is not None:
            return []
        self.remove(record)
        self._pass_on(record)
        return list(record.waiters)

    def unlink(self, request: Request) -> None:
        """Unlink a repeat from its original attempt, if it is linked to one."""
        self.linked.pop(request, {}).pop(request, None)

    def _pass_on(self, record: IdempotencyRecord) -> None:
        """Let the oldest repeat of a dropped record take the place of the record's attempt."""
        repeat = record.next_repeat()
        if repeat is None:
            return
        record.request.replacement = repeat
        repeat.original = repeat.other_originals.pop() if repeat.other_originals else None
        self.add(record.key, repeat)
