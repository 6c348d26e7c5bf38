"""Receipts: which try of an inquiry holds the entry of its key, its result, and who waits for that."""

from __future__ import annotations

from typing import Any

from lichencleat.net.deadlines import Deadline, Deadlines
from lichencleat.terms import Inquiry, State

READ_LATE = 10_000_000  # µs, and the hard limit: as late as a try that came in time may be read, or a run end


class Receipt:
    __slots__ = ("key", "inquiry", "until", "result", "sharers", "gone")

    def __init__(self, key: bytes, inquiry: Inquiry) -> None:
        self.key, self.inquiry = key, inquiry
        self.until: int | None = None  # None before the decisions have it recorded
        self.result: bytes | None = None
        self.sharers: dict[Any, None] = {}  # who waits for the outcome, in their order
        self.gone: Deadline | None = None

    def leads(self, arrived: int) -> bool:
        """Is it the one that a try which arrived then repeats?"""
        if self.until is None:
            return self.inquiry.state is not State.ENDED
        return arrived <= self.until


class Receipts:
    """Owns the entries; each is given back in `forget` alone."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.by_key: dict[bytes, Receipt] = {}
        self.by_inquiry: dict[Inquiry, Receipt] = {}

    def read(self, key: bytes, inquiry: Inquiry) -> Inquiry | None:
        """The try that this one repeats, or None: then the tries to come repeat this one."""
        first = self.first(key, inquiry)
        if first is None:
            self.enter(key, inquiry)
        return first

    def first(self, key: bytes, inquiry: Inquiry) -> Inquiry | None:
        """The try that this one repeats, if any."""
        receipt = self.by_key.get(key)
        return receipt.inquiry if receipt is not None and receipt.leads(inquiry.arrived) else None

    def enter(self, key: bytes, inquiry: Inquiry) -> Receipt:
        """The one before of that key stays with its inquiry: a repeat that came in time may yet share it."""
        receipt = self.by_key[key] = self.by_inquiry[inquiry] = Receipt(key, inquiry)
        return receipt

    def record(self, now: int, key: bytes, inquiry: Inquiry, span: int) -> None:
        receipt = self.by_inquiry.get(inquiry) or self.enter(key, inquiry)
        receipt.until = now + span
        self.deadlines.cancel(receipt.gone)
        late = READ_LATE + inquiry.tariff.hard_limit
        receipt.gone = self.deadlines.after(span + late, self.forget, receipt)

    def unrecord(self, inquiry: Inquiry) -> None:
        """Its entry was not made after all: until it is recorded again, it counts while it is in hand."""
        receipt = self.by_inquiry.get(inquiry)
        if receipt is not None:
            receipt.until = None
            self.deadlines.cancel(receipt.gone)

    def strike(self, inquiry: Inquiry) -> None:
        receipt = self.by_inquiry.get(inquiry)
        if receipt is not None:
            self.forget(receipt)

    def forget(self, receipt: Receipt) -> None:
        self.deadlines.cancel(receipt.gone)
        if self.by_key.get(receipt.key) is receipt:
            del self.by_key[receipt.key]
        self.by_inquiry.pop(receipt.inquiry, None)

    def share(self, inquiry: Inquiry, sharer: Any) -> Receipt | None:
        """The receipt of that try; where its outcome is not there yet, the sharer waits at it."""
        receipt = self.by_inquiry.get(inquiry)
        if receipt is not None and inquiry.state is not State.ENDED:
            receipt.sharers[sharer] = None
        return receipt

    def unshare(self, inquiry: Inquiry | None, sharer: Any) -> None:
        receipt = self.by_inquiry.get(inquiry) if inquiry else None
        if receipt is not None:
            receipt.sharers.pop(sharer, None)

    def ended(self, inquiry: Inquiry, result: bytes | None) -> list[Any]:
        """Keeps the result of the try that ran; gives those that waited for it."""
        receipt = self.by_inquiry.get(inquiry)
        if receipt is None:
            return []
        receipt.result = result
        sharers, receipt.sharers = list(receipt.sharers), {}
        return sharers

    def over(self, inquiry: Inquiry) -> None:
        """That inquiry is done with: an entry that was never recorded goes with it."""
        receipt = self.by_inquiry.get(inquiry)
        if receipt is not None and receipt.until is None:
            self.forget(receipt)
