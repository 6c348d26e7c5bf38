"""The parts of Twisted's reactor and transports that this project's protocols use, as typed protocols.

Twisted declares them as zope interfaces, which a type checker can't follow.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

ProtocolFactory: TypeAlias = Any  # Twisted's factories have no type of their own


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def cancel(self) -> None:
        """Cancel it; an error where it was made or cancelled already."""

    def active(self) -> bool:
        """Return whether it is still to be made."""


class Connector(Protocol):
    """A connection that was opened or is being opened from here."""

    def disconnect(self) -> None:
        """Close it, or stop opening it."""


class ListeningPort(Protocol):
    """A port that accepts connections."""

    def stopListening(self) -> object:  # noqa: N802  # Twisted's name
        """Accept no more connections."""


class TcpTransport(Protocol):
    """One TCP connection."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802  # Twisted's name
        """Send small packets at once."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802  # Twisted's name
        """Have the kernel check an idle connection."""

    def loseConnection(self) -> None:  # noqa: N802  # Twisted's name
        """Close it once everything is written."""

    def abortConnection(self) -> None:  # noqa: N802  # Twisted's name
        """Close it at once."""


class ReactorClock(Protocol):
    """The time of the reactor."""

    def seconds(self) -> float:
        """Return seconds of the monotonic clock."""

    def callLater(  # noqa: N802  # Twisted's name
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> DelayedCall:
        """Call it after `delay` seconds."""


class TcpReactor(ReactorClock, Protocol):
    """A reactor that opens and accepts TCP connections."""

    def connectTCP(  # noqa: N802  # Twisted's name
        self, host: str, port: int, factory: ProtocolFactory, timeout: float = 30
    ) -> Connector:
        """Open a connection; `timeout` in seconds."""

    def listenTCP(  # noqa: N802  # Twisted's name
        self, port: int, factory: ProtocolFactory, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Accept connections. Raises CannotListenError."""
