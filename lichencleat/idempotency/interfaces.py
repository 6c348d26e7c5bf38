"""Interfaces of the parts of the node that the idempotency service uses: request engine, timers, report."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lichencleat.admission.types import Outcome, Request

RunCallback = Callable[[Outcome, int, bytes], None]  # outcome, run time in µs, result


class PendingRequest(Protocol):
    """The part of a request in flight that this package uses."""

    request: Request
    ident: bytes  # id of the request's run at the interpreter
    key: bytes  # the caller's key followed by the digest of request class and body
    open: bool  # whether the caller still waits for the answer


class RequestEngine(Protocol):
    """The node's request engine, which continues requests after the disk has answered.

    `node.host.RequestEngine` implements this interface.
    """

    def submit_request(self, case: PendingRequest) -> None:
        """Continues a request that has waited until the index was loaded."""

    def fail_request(self, case: PendingRequest) -> None:
        """Answers the request with an error."""

    def begin_run(self, case: PendingRequest) -> None:
        """Starts the run of a request whose intent is durable."""

    def fail_start(self, case: PendingRequest) -> None:
        """Fails a request that can't run, as another request with its key has a record."""

    def on_start_withdrawn(self, case: PendingRequest) -> None:
        """Rejects a request whose intent was not durable in time."""

    def on_run_abandoned(self, case: PendingRequest) -> None:
        """Closes a request whose caller disconnected or got an answer before the run."""

    def complete_repeat(self, case: PendingRequest, result: bytes | None) -> None:
        """Answers a repeat with the result, or with an error if the result is None."""

    def set_recording_available(self, able: bool) -> None:
        """Sets whether keyed requests are admitted."""

    def adopt_run(self, ident: bytes, ended: RunCallback) -> bool:
        """Calls `ended` with the outcome of a run that an earlier process (incarnation) started.

        Returns False if a request of this process has the id of the run: the outcome may be that of either.
        """

    def drop_adopted_run(self, ident: bytes) -> None:
        """Stops waiting for the outcome of an adopted run."""

    def end_adoption(self) -> None:
        """Drops the interpreter's reports about earlier runs that were not adopted."""


class Timers(Protocol):
    """A monotonic clock with timers; `node.deadlines.Deadlines` implements this interface."""

    def now(self) -> int:
        """µs of the monotonic clock."""

    def after(self, span: int, call: Callable[..., object], *values: object) -> object:
        """Calls `call` in `span` µs; 0 means after the current reactor turn."""


class Report(Protocol):
    """Counters and log lines; `node.report.Report` implements this interface."""

    def count(self, peer: str, what: str, amount: int = 1) -> None:
        """Adds `amount` to the counter `what` of `peer`."""

    def note(self, text: str) -> None:
        """Logs one line."""
