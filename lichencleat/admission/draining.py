"""Draining: which requests a node still runs and answers between the stop notice and the process's end."""

from __future__ import annotations

from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request

DRAIN_MARGIN_US = 300_000  # all requests are answered this long before the stop: three decision rounds


class Draining:
    """Holds the time limits (µs) of an orderly drain; both are None before the stop notice."""

    def __init__(self, spec: NodeSpec, timing: Timing) -> None:
        self.grace = spec.drain_grace_us
        self.timing = timing
        self.answers_until: int | None = None  # time by which all requests must be answered
        self.no_run_after: int | None = None  # time after which arriving requests are not run

    @property
    def is_active(self) -> bool:
        """Whether the stop notice has arrived."""
        return self.answers_until is not None

    def start(self, now: int, stops_at: int) -> None:
        """Handle the notice that the process will be stopped at `stops_at`."""
        self.answers_until = stops_at - DRAIN_MARGIN_US
        self.no_run_after = now + self.grace

    def advance_due_time(self, request: Request) -> None:
        """Make a request due early enough to be answered before the process is stopped."""
        if self.answers_until is not None:
            request.due = min(request.due, self.answers_until + self.timing.guard)

    def may_run(self, request: Request) -> bool:
        """Return whether a request arrived before or soon enough after the stop notice to be run."""
        return self.no_run_after is None or request.arrived <= self.no_run_after
