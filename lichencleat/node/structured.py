"""Structured log output, for nodes whose operators' file has a `log` section."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from lichencleat.log.structured import create_logger
from lichencleat.node.report import Report


class StructuredReport(Report):
    """Logs each note as an event: the text before the first colon is the event's name, the rest its detail.

    The logger limits the rate of each event separately.
    """

    def __init__(self, name: str, clock: Callable[[], int], form: str) -> None:
        super().__init__(name, clock)
        self.log = create_logger(clock, form, process=name, role="node", pid=os.getpid())

    def note(self, text: str) -> None:
        event, _, detail = text.partition(": ")
        if len(event) > 40:
            event, detail = "note", text
        self.log.info(event, **({"detail": detail} if detail else {}))

    def log_exception(self, where: str) -> None:
        self.count("node", "errors")
        self.log.warning("error", where=where, format_trace=self.format_trace())

    def events(self) -> Any:
        return self.log

    def summary(self) -> None:
        """Log all counters in one line, so that the rate limit drops none of them."""
        self.log.info(
            "counters", **{name.replace(" ", "_"): self.counts[name] for name in sorted(self.counts)}
        )
