"""Interfaces of what the service works with: the node's request engine, timers and report."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lichencleat.admission.types import Outcome, Request

RunCallback = Callable[[Outcome, int, bytes], None]  # outcome, µs that the run took, result


class PendingRequest(Protocol):
    """A request in flight, as far as this package has to know it."""

    request: Request
    ident: bytes  # of its run, at the interpreter
    key: bytes  # the caller's key followed by the digest of request class and body
    open: bool  # its caller still waits for the answer


class RequestEngine(Protocol):
    """What goes on with a request once the disk has answered; `node.host.Host` implements it."""

    def takes(self, case: PendingRequest) -> None:
        """Goes on with a request that was held until the index was loaded."""

    def refuses(self, case: PendingRequest) -> None:
        """Answers with an error."""

    def begin_run(self, case: PendingRequest) -> None:
        """Starts the run: its intent is durable."""

    def not_begun(self, case: PendingRequest) -> None:
        """Rejects a request whose intent was not confirmed in time."""

    def never_began(self, case: PendingRequest) -> None:
        """Closes a request whose caller has gone before the run."""

    def end_share(self, case: PendingRequest, result: bytes | None) -> None:
        """Answers a repeat with the result, or with an error for None."""

    def may_record(self, able: bool) -> None:
        """Admits requests with a key, or rejects them for now."""

    def adopts(self, ident: bytes, ended: RunCallback) -> None:
        """Subscribes to the end of a run of an earlier incarnation."""

    def adopts_no_more(self) -> None:
        """Drops what the interpreter said of other earlier runs."""


class Timers(Protocol):
    """A monotonic clock with timers; `node.deadlines.Deadlines` implements it."""

    def now(self) -> int:
        """µs of the monotonic clock."""

    def after(self, span: int, call: Callable[..., object], *values: object) -> object:
        """Calls in `span` µs; with 0 after the current turn of the reactor."""


class Report(Protocol):
    """Counters and log lines; `node.report.Report` implements it."""

    def count(self, peer: str, what: str, amount: int = 1) -> None:
        """Adds to a counter."""

    def note(self, text: str) -> None:
        """Logs one line."""
