"""Connections that other processes open to this process, and the listener that accepts the connections."""

from __future__ import annotations

from typing import Any, Protocol, TypeGuard

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from lichencleat.transport.framed_protocol import FramedProtocol
from lichencleat.transport.frames import (
    ClientRequest,
    ClientResponse,
    Frame,
    FrameDecoder,
    Greeting,
    PeerMessage,
    decode_frame,
)
from lichencleat.transport.twisted_types import TcpReactor

MAX_CONNECTIONS = 1_024  # limit on the connections of clients and members; others are closed at once
MAX_OPEN_REQUESTS = 256  # limit on the unanswered requests of one connection


class ListenerOwner(Protocol):
    """Handles the events of a listener and its connections."""

    def on_greeting(self, connection: InboundConnection, greeting: Greeting) -> None:
        """Accept or reject the greeting: set `connection.is_accepted` and send the response."""

    def on_peer_message(self, message: Any) -> None:  # noqa: ANN401  # its type depends on the owner's decoder
        """Handle a message from the member that sent the greeting."""

    def on_request(self, connection: InboundConnection, request: ClientRequest) -> None:
        """Handle a request; pass the response to `connection.reply`, now or later."""

    def on_disconnected(self, connection: InboundConnection, member_id: int) -> None:
        """Handle the end of a connection on which a greeting was received."""

    def count(self, event: str) -> None:
        """Count an unusual event."""


class InboundConnection(FramedProtocol):
    """A connection that a member or a client opened to this process."""

    def __init__(self, listener: Listener) -> None:
        """Create the connection; until the greeting is accepted, other frames are rejected."""
        self.listener = listener
        self.decode_frame = listener.decode_frame
        self.greeting: Greeting | None = None  # the received greeting
        self.is_accepted = False  # whether the listener's owner has accepted the greeting
        self.open_requests = 0  # number of unanswered requests

    def connectionMade(self) -> None:
        """Register with the listener, or abort the connection if the listener has too many connections."""
        if len(self.listener.connections) >= MAX_CONNECTIONS:
            self.listener.owner.count("connections over the bound")
            self.tcp.abortConnection()
            return
        self.listener.connections[self] = None
        self.tcp.setTcpNoDelay(True)
        self.tcp.setTcpKeepAlive(True)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the end of the connection if a greeting was received."""
        self.listener.connections.pop(self, None)
        if self.greeting is not None:
            self.listener.owner.on_disconnected(self, self.greeting.member_id)

    def stringReceived(self, string: bytes) -> None:
        """Handle a frame; an undecodable or unexpected frame aborts the connection."""
        frame = self.read(string)
        if isinstance(frame, Greeting) and self.greeting is None:
            self.greeting = frame
            self.listener.owner.on_greeting(self, frame)
        elif isinstance(frame, PeerMessage) and self.is_accepted and self.greeting is not None:
            self._on_peer_message(frame, self.greeting)
        elif self._is_admitted_request(frame):
            self.open_requests += 1
            self.listener.owner.on_request(self, frame)
        elif frame is not None:
            self._reject("frames out of place")

    def _is_admitted_request(self, frame: Frame | None) -> TypeGuard[ClientRequest]:
        return (
            isinstance(frame, ClientRequest) and self.is_accepted and self.open_requests < MAX_OPEN_REQUESTS
        )

    def _on_peer_message(self, frame: PeerMessage, greeting: Greeting) -> None:
        is_own_cluster = bool(greeting.member_id) and frame.cluster_id == greeting.cluster_id
        if is_own_cluster and frame.message.sender == greeting.member_id:
            self.listener.owner.on_peer_message(frame.message)
        else:
            self._reject("messages of another group or seat")

    def _reject(self, event: str) -> None:
        self.listener.owner.count(event)
        self.tcp.abortConnection()

    def reply(self, response: ClientResponse) -> None:
        """Send the response to an open request."""
        self.open_requests -= 1
        self.send(response)


class Listener(Factory):
    """Accepts connections and owns them until `close`."""

    noisy = False

    def __init__(
        self,
        reactor: TcpReactor,
        owner: ListenerOwner,
        host: str,
        port: int,
        decode: FrameDecoder = decode_frame,
    ) -> None:
        """Listen on an address. `decode` decodes the frames of all connections.

        Raises:
            CannotListenError: Listening on the address is not possible.
        """
        self.owner = owner
        self.decode_frame = decode
        self.connections: dict[InboundConnection, None] = {}
        self.listening_port = reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, addr: IAddress | None) -> InboundConnection:
        """Create the protocol of a new connection."""
        return InboundConnection(self)

    def close(self) -> None:
        """Stop accepting connections, and close the open connections."""
        self.listening_port.stopListening()
        for connection in list(self.connections):
            connection.tcp.loseConnection()
