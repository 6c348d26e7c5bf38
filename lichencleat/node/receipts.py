"""Receipts: which try of a request holds the entry of its key, its result, and who waits for that."""

from __future__ import annotations

from typing import Any

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.deadlines import Deadline, Deadlines

READ_LATE = 10_000_000  # µs, and the hard limit: as late as a try that came in time may be read, or a run end


class Receipt:
    __slots__ = ("key", "request", "until", "result", "sharers", "gone")

    def __init__(self, key: bytes, request: Request) -> None:
        self.key, self.request = key, request
        self.until: int | None = None  # None before the decisions have it recorded
        self.result: bytes | None = None
        self.sharers: dict[Any, None] = {}  # who waits for the outcome, in their order
        self.gone: Deadline | None = None

    def leads(self, arrived: int) -> bool:
        """Is it the one that a try which arrived then repeats?"""
        if self.until is None:
            return self.request.state is not RequestState.ENDED
        return arrived <= self.until


class Receipts:
    """Owns the entries; each is given back in `forget` alone."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.by_key: dict[bytes, list[Receipt]] = {}  # several, where their windows end one after the other
        self.by_request: dict[Request, Receipt] = {}

    def read(self, key: bytes, request: Request) -> Request | None:
        """The try that this one repeats, or None: then the tries to come repeat this one."""
        first = self.first(key, request)
        if first is None:
            self.enter(key, request)
        return first

    def first(self, key: bytes, request: Request) -> Request | None:
        """The try that this one repeats before any other."""
        tries = self.tries(key, request)
        return tries[-1] if tries else None

    def tries(self, key: bytes, request: Request) -> list[Request]:
        """All that this one repeats: those that have begun last, and of them the newest.

        Guards the window of one that ran against a later one that did not, where a try of that window is read
        after both.
        """
        leading = [each.request for each in self.by_key.get(key, ()) if each.leads(request.arrived)]
        return sorted(leading, key=lambda each: each.started is not None)

    def enter(self, key: bytes, request: Request) -> Receipt:
        """Those before of that key stay: a repeat that came in time may yet be read."""
        receipt = self.by_request[request] = Receipt(key, request)
        self.by_key.setdefault(key, []).append(receipt)
        return receipt

    def record(self, now: int, key: bytes, request: Request, span: int) -> None:
        receipt = self.by_request.get(request) or self.enter(key, request)
        receipt.until = now + span
        self.deadlines.cancel(receipt.gone)
        late = READ_LATE + request.request_class.deadline
        receipt.gone = self.deadlines.after(span + late, self.forget, receipt)

    def unrecord(self, request: Request) -> None:
        """Its entry was not made after all: until it is recorded again, it counts while it is in hand."""
        receipt = self.by_request.get(request)
        if receipt is not None:
            receipt.until = None
            self.deadlines.cancel(receipt.gone)

    def strike(self, request: Request) -> None:
        receipt = self.by_request.get(request)
        if receipt is not None:
            self.forget(receipt)

    def forget(self, receipt: Receipt) -> None:
        self.deadlines.cancel(receipt.gone)
        known = self.by_key.get(receipt.key, [])
        if receipt in known:
            known.remove(receipt)
        if not known:
            self.by_key.pop(receipt.key, None)
        self.by_request.pop(receipt.request, None)

    def share(self, request: Request, sharer: Any) -> Receipt | None:
        """The receipt of that try; where its outcome is not there yet, the sharer waits at it."""
        receipt = self.by_request.get(request)
        if receipt is not None and request.state is not RequestState.ENDED:
            receipt.sharers[sharer] = None
        return receipt

    def unshare(self, request: Request | None, sharer: Any) -> None:
        receipt = self.by_request.get(request) if request else None
        if receipt is not None:
            receipt.sharers.pop(sharer, None)

    def ended(self, request: Request, result: bytes | None) -> list[Any]:
        """Keeps the result of the try that ran; gives those that waited for it."""
        receipt = self.by_request.get(request)
        if receipt is None:
            return []
        receipt.result = result
        sharers, receipt.sharers = list(receipt.sharers), {}
        return sharers

    def over(self, request: Request) -> None:
        """That request is done with: an entry that was never recorded goes with it."""
        receipt = self.by_request.get(request)
        if receipt is not None and receipt.until is None:
            self.forget(receipt)
