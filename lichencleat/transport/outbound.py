"""Connections that a member opens to other members, and opens again as long as they are wanted.

A member's messages to another go over the connection that it opened itself, so each direction has one of its
own and can fail by itself. A frame that exceeds the bound on unsent bytes is dropped; the protocol above
sends what is missing again.
"""

from __future__ import annotations

import random
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lichencleat.transport.framed_protocol import FramedProtocol
from lichencleat.transport.frames import (
    Frame,
    FrameDecoder,
    Greeting,
    GreetingResponse,
    PeerMessage,
    decode_frame,
)
from lichencleat.transport.twisted_types import Connector, DelayedCall, TcpReactor

MIN_BACKOFF_S = 0.05  # before a connection is opened again; doubled at each failure, with jitter
MAX_BACKOFF_S = 1.0
CONNECT_TIMEOUT_S = 3.0  # to open a connection, and as much again for the response to the greeting


class PeerEndpoint(Protocol):
    """The member that is called, and its address."""

    @property
    def member_id(self) -> int:
        """Its id in the cluster."""

    @property
    def host(self) -> str:
        """Its address."""

    @property
    def port(self) -> int:
        """The TCP port at that address."""


class ConnectorOwner(Protocol):
    """What a connector asks and reports to."""

    def make_greeting(self, recipient: int) -> Greeting:
        """Return the greeting for that member."""

    def on_greeting_response(self, member_id: int, response: GreetingResponse) -> bool:
        """Return whether messages may be sent to the member."""

    def on_peer_message(self, message: Any) -> None:  # noqa: ANN401  # whatever the decoder of the owner gives
        """Handle a message that came back over this connection."""

    def on_link_lost(self, member_id: int) -> None:
        """Note that a connection which was in use is gone."""

    def count(self, event: str) -> None:
        """Count an event that is no normal one."""


class OutboundConnection(FramedProtocol):
    """One connection to another member, from its opening to its end."""

    def __init__(self, peer: PeerConnector) -> None:
        """Greet once the connection is made."""
        self.peer = peer
        self.decode_frame = peer.decode_frame

    def connectionMade(self) -> None:
        """Send the greeting."""
        self.tcp.setTcpNoDelay(True)
        self.tcp.setTcpKeepAlive(True)
        self.send(self.peer.owner.make_greeting(self.peer.endpoint.member_id))

    def stringReceived(self, string: bytes) -> None:
        """Handle one frame; one out of place ends the connection."""
        frame = self.read(string)
        if isinstance(frame, GreetingResponse):
            self.peer.on_greeting_response(self, frame)
        elif isinstance(frame, PeerMessage) and frame.message.sender == self.peer.endpoint.member_id:
            # from a member that does not know yet where this one is
            self.peer.owner.on_peer_message(frame.message)
        elif frame is not None:
            self.tcp.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Have the connection opened again."""
        self.peer.on_connection_lost(self)


class PeerConnector(ClientFactory):
    """Owns the connection to one member; `close` gives it back."""

    noisy = False

    def __init__(
        self,
        reactor: TcpReactor,
        owner: ConnectorOwner,
        endpoint: PeerEndpoint,
        rng: random.Random,
        decode: FrameDecoder = decode_frame,
    ) -> None:
        """Begin to open the connection. `rng` draws the jitter; `decode` decodes the frames."""
        self.owner = owner
        self.endpoint = endpoint
        self.decode_frame = decode
        self._reactor = reactor
        self._rng = rng
        self._connection: OutboundConnection | None = None  # greeted, and accepted by the other side
        self._connector: Connector | None = None
        self._retry_call: DelayedCall | None = None
        self._greeting_timeout: DelayedCall | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._is_closed = False
        self._connect()

    def send(self, frame: Frame) -> None:
        """Send a frame, or drop and count it where there is no connection or too much is unsent."""
        if self._connection is None or not self._connection.send(frame):
            self.owner.count("messages dropped")

    def close(self) -> None:
        """Close the connection for good."""
        self._is_closed = True
        self._cancel_greeting_timeout()
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._connector is not None:
            self._connector.disconnect()

    def buildProtocol(self, addr: IAddress | None) -> OutboundConnection:
        """Make the protocol of the connection that was opened; the greeting must be answered in time."""
        connection = OutboundConnection(self)
        self._greeting_timeout = self._reactor.callLater(
            CONNECT_TIMEOUT_S, self._on_greeting_timeout, connection
        )
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Try again after the backoff."""
        self._schedule_retry()

    def on_greeting_response(self, connection: OutboundConnection, response: GreetingResponse) -> None:
        """Use the connection, where both sides accept the other."""
        self._cancel_greeting_timeout()
        if self._is_closed or not self.owner.on_greeting_response(self.endpoint.member_id, response):
            connection.tcp.loseConnection()
            return
        self._connection = connection
        self._backoff_s = MIN_BACKOFF_S

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """Report a connection that was in use, and try again after the backoff."""
        self._cancel_greeting_timeout()
        if self._connection is connection:
            self._connection = None
            self.owner.on_link_lost(self.endpoint.member_id)
        self._schedule_retry()

    def _connect(self) -> None:
        self._retry_call = None
        self._connector = self._reactor.connectTCP(
            self.endpoint.host, self.endpoint.port, self, timeout=CONNECT_TIMEOUT_S
        )

    def _on_greeting_timeout(self, connection: OutboundConnection) -> None:
        """Give up on a peer that accepts the connection and says nothing."""
        self._greeting_timeout = None
        connection.tcp.abortConnection()

    def _cancel_greeting_timeout(self) -> None:
        if self._greeting_timeout is not None:
            self._greeting_timeout.cancel()
            self._greeting_timeout = None

    def _schedule_retry(self) -> None:
        if self._is_closed or self._retry_call is not None:
            return
        delay = self._backoff_s * (0.5 + self._rng.random())
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._retry_call = self._reactor.callLater(delay, self._connect)
