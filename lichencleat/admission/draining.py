"""Draining: what a node still does between the notice to stop and its end."""

from __future__ import annotations

from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request

LEAVE_MARGIN = 300_000  # µs before the stop by which all is answered: three wake-ups


class Draining:
    """Holds the times (µs) of an orderly drain; None before the notice."""

    def __init__(self, spec: NodeSpec, timing: Timing) -> None:
        self.grace = spec.drain_grace_us
        self.timing = timing
        self.answers_until: int | None = None
        self.no_run_after: int | None = None

    @property
    def is_active(self) -> bool:
        """Whether the notice to stop has come."""
        return self.answers_until is not None

    def start(self, now: int, stops_at: int) -> None:
        """Take in the notice: the process is stopped at `stops_at`."""
        self.answers_until = stops_at - LEAVE_MARGIN
        self.no_run_after = now + self.grace

    def advance_due_time(self, request: Request) -> None:
        """Let a request be answered before the stop."""
        if self.answers_until is not None:
            request.due = min(request.due, self.answers_until + self.timing.guard)

    def may_run(self, request: Request) -> bool:
        """Return whether a request arrived early enough to be run."""
        return self.no_run_after is None or request.arrived <= self.no_run_after
