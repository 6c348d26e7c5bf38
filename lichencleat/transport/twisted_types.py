"""The parts of Twisted's reactor and transports that this project uses, as `typing` protocols.

Twisted declares them as zope interfaces, which type checkers do not support.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

ProtocolFactory: TypeAlias = Any  # Twisted's factories have no common type


class DelayedCall(Protocol):
    """A call that the reactor is scheduled to make."""

    def cancel(self) -> None:
        """Cancel the call; raises an error if it was already made or cancelled."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Connector(Protocol):
    """An outbound connection that is open or being opened."""

    def disconnect(self) -> None:
        """Close the connection, or stop opening it."""


class ListeningPort(Protocol):
    """A port that accepts connections."""

    def stopListening(self) -> object:  # noqa: N802  # Twisted's name
        """Stop accepting connections."""


class TcpTransport(Protocol):
    """One TCP connection."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802  # Twisted's name
        """Send small packets without delay."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802  # Twisted's name
        """Have the kernel check idle connections with keep-alive packets."""

    def loseConnection(self) -> None:  # noqa: N802  # Twisted's name
        """Close the connection once all data is written."""

    def abortConnection(self) -> None:  # noqa: N802  # Twisted's name
        """Close the connection at once, and discard unsent data."""


class ReactorClock(Protocol):
    """The monotonic clock and the timers of a reactor."""

    def seconds(self) -> float:
        """Return the time of the monotonic clock in seconds."""

    def callLater(  # noqa: N802  # Twisted's name
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> DelayedCall:
        """Schedule the call after `delay` seconds."""


class TcpReactor(ReactorClock, Protocol):
    """A reactor that opens and accepts TCP connections."""

    def connectTCP(  # noqa: N802  # Twisted's name
        self, host: str, port: int, factory: ProtocolFactory, timeout: float = 30
    ) -> Connector:
        """Open a connection; `timeout` is in seconds."""

    def listenTCP(  # noqa: N802  # Twisted's name
        self, port: int, factory: ProtocolFactory, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Accept connections. Raises CannotListenError if the address is not available."""
