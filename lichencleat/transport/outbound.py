"""Connections that a member opens to other members. A connection that fails is opened again.

A member sends its messages to another member over the connection that the sender opened. So each direction
has its own connection and can fail independently. A frame that exceeds the limit on unsent bytes is dropped;
the consensus protocol sends the missing messages again.
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

MIN_BACKOFF_S = 0.05  # first pause before a connection is opened again; doubled per failure, with jitter
MAX_BACKOFF_S = 1.0
CONNECT_TIMEOUT_S = 3.0  # time limit for opening a connection, and again for the response to the greeting


class PeerEndpoint(Protocol):
    """The id and the address of the member to connect to."""

    @property
    def member_id(self) -> int:
        """The member's id in the cluster."""

    @property
    def host(self) -> str:
        """The member's host address."""

    @property
    def port(self) -> int:
        """The member's TCP port."""


class ConnectorOwner(Protocol):
    """Provides the greetings of a connector and handles its events."""

    def make_greeting(self, recipient: int) -> Greeting:
        """Return the greeting to send to the member with the id `recipient`."""

    def on_greeting_response(self, member_id: int, response: GreetingResponse) -> bool:
        """Handle the response to a greeting; return whether messages may be sent to the member."""

    def on_peer_message(self, message: Any) -> None:  # noqa: ANN401  # its type depends on the owner's decoder
        """Handle a message that the other member sent over this connection."""

    def on_link_lost(self, member_id: int) -> None:
        """Handle the loss of a connection that was in use."""

    def count(self, event: str) -> None:
        """Count an unusual event."""


class OutboundConnection(FramedProtocol):
    """One connection to another member."""

    def __init__(self, peer: PeerConnector) -> None:
        """Create the protocol, which sends the greeting once the connection is established."""
        self.peer = peer
        self.decode_frame = peer.decode_frame

    def connectionMade(self) -> None:
        """Send the greeting."""
        self.tcp.setTcpNoDelay(True)
        self.tcp.setTcpKeepAlive(True)
        self.send(self.peer.owner.make_greeting(self.peer.endpoint.member_id))

    def stringReceived(self, string: bytes) -> None:
        """Handle a frame; an undecodable or unexpected frame aborts the connection."""
        frame = self.read(string)
        if isinstance(frame, GreetingResponse):
            self.peer.on_greeting_response(self, frame)
        elif isinstance(frame, PeerMessage) and frame.message.sender == self.peer.endpoint.member_id:
            # A member that does not know this member's address yet sends its messages over this connection.
            self.peer.owner.on_peer_message(frame.message)
        elif frame is not None:
            self.tcp.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the connector, which opens a new connection."""
        self.peer.on_connection_lost(self)


class PeerConnector(ClientFactory):
    """Owns the connection to one member until `close`."""

    noisy = False

    def __init__(
        self,
        reactor: TcpReactor,
        owner: ConnectorOwner,
        endpoint: PeerEndpoint,
        rng: random.Random,
        decode: FrameDecoder = decode_frame,
    ) -> None:
        """Start to open the connection. `rng` draws the jitter; `decode` decodes the frames."""
        self.owner = owner
        self.endpoint = endpoint
        self.decode_frame = decode
        self._reactor = reactor
        self._rng = rng
        self._connection: OutboundConnection | None = None  # set once both sides accept the greeting
        self._connector: Connector | None = None
        self._retry_call: DelayedCall | None = None
        self._greeting_timeout: DelayedCall | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._is_closed = False
        self._connect()

    def send(self, frame: Frame) -> None:
        """Send a frame; without a connection, or with too many unsent bytes, drop and count the frame."""
        if self._connection is None or not self._connection.send(frame):
            self.owner.count("messages dropped")

    def close(self) -> None:
        """Close the connection; no new connection is opened."""
        self._is_closed = True
        self._cancel_greeting_timeout()
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._connector is not None:
            self._connector.disconnect()

    def buildProtocol(self, addr: IAddress | None) -> OutboundConnection:
        """Create the protocol of the established connection, and start the timeout of the greeting."""
        connection = OutboundConnection(self)
        self._greeting_timeout = self._reactor.callLater(
            CONNECT_TIMEOUT_S, self._on_greeting_timeout, connection
        )
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Try again after the backoff."""
        self._schedule_retry()

    def on_greeting_response(self, connection: OutboundConnection, response: GreetingResponse) -> None:
        """Use the connection if both members accept each other; otherwise close the connection."""
        self._cancel_greeting_timeout()
        if self._is_closed or not self.owner.on_greeting_response(self.endpoint.member_id, response):
            connection.tcp.loseConnection()
            return
        self._connection = connection
        self._backoff_s = MIN_BACKOFF_S

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """Report the loss of a connection that was in use, and try again after the backoff."""
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
        """Abort a connection whose peer did not answer the greeting in time."""
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
