"""The interface through which every package logs; `structured` creates loggers that implement it.

The interface is not part of `structured`, so that code which only logs does not load structlog.
"""

from __future__ import annotations

from typing import Protocol


class EventLogger(Protocol):
    """Logs one event per line, with its fields as keyword arguments."""

    def info(self, event: str, /, **fields: object) -> object:
        """Log an event of normal operation."""

    def warning(self, event: str, /, **fields: object) -> object:
        """Log an event that an operator may have to look into."""
