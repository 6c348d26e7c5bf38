"""The node's report as structured lines, where the operators' file switches that on."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from lichencleat.log.structured import create_logger
from lichencleat.node.report import Report


class StructuredReport(Report):
    """What stands before the first colon of a note is its event, so that each kind has its bound a second."""

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
        """One line with all counters: none of them may fall to the bound on lines of a kind."""
        self.log.info(
            "counters", **{name.replace(" ", "_"): self.counts[name] for name in sorted(self.counts)}
        )
