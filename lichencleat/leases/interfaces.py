"""Interfaces through which leases and quotas use the reactor, the consensus group and the log.

The classes that implement them live elsewhere: a Twisted reactor (or `twisted.internet.task.Clock`), the
client of the consensus group, and a structlog logger.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred


class DelayedCall(Protocol):
    """A timer that was started by `ReactorTime.callLater`."""

    def active(self) -> bool:
        """Whether the timer has neither fired nor been cancelled."""
        ...

    def cancel(self) -> None:
        """Cancel the timer; allowed only while it is active."""
        ...


class ReactorTime(Protocol):
    """The part of Twisted's `IReactorTime` that is used here, in a form that mypy understands."""

    def seconds(self) -> float:
        """Seconds of a monotonic clock."""
        ...

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> DelayedCall:
        """Call `callable` once, `delay` seconds from now."""
        ...


class GroupClient(Protocol):
    """A client of the consensus group; commands and queries are addressed to a part of its state."""

    def propose(self, part: str, command: object, timeout: float, /) -> Deferred[Any]:
        """Have `command` applied once; fires with its reply, or fails after `timeout` seconds."""
        ...

    def read(self, part: str, query: object, timeout: float, /) -> Deferred[Any]:
        """Read linearizably; fires with the decoded answer, or fails after `timeout` seconds."""
        ...


class Logger(Protocol):
    """The part of a structlog logger that is used here."""

    def info(self, event: str, /, **fields: object) -> object:
        """Log an event of normal operation."""
        ...

    def warning(self, event: str, /, **fields: object) -> object:
        """Log an event that an operator may have to look into."""
        ...
