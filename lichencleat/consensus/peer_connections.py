"""The connections of a member to the other members, and the choice of a connection for a message."""

from __future__ import annotations

import random

from lichencleat.consensus.messages import Configuration, Member, Message
from lichencleat.consensus.requests import RaftMessageFrame, decode_member_frame
from lichencleat.transport.inbound import InboundConnection
from lichencleat.transport.outbound import ConnectorOwner, PeerConnector
from lichencleat.transport.twisted_types import TcpReactor


class PeerConnections:
    """Owns one connector for each other member of the configuration; `close` closes them."""

    def __init__(
        self, reactor: TcpReactor, owner: ConnectorOwner, member_id: int, rng: random.Random
    ) -> None:
        """`member_id` is this member's own id; `rng` draws the reconnection jitter of connectors."""
        self._reactor = reactor
        self._owner = owner
        self._member_id = member_id
        self._rng = rng
        self._connectors: dict[int, PeerConnector] = {}  # connectors by member id
        # The last connection that each other member has opened, by member id. A member that is not in this
        # member's configuration yet can be reached by that connection only.
        self._inbound: dict[int, InboundConnection] = {}
        self._configuration: Configuration | None = None  # the configuration that the connectors match

    def update(self, configuration: Configuration) -> None:
        """Connect to exactly the other members of the configuration."""
        if configuration is self._configuration:  # unchanged, which is the common case
            return
        self._configuration = configuration
        wanted = {
            member.member_id: member
            for member in configuration.members
            if member.member_id != self._member_id
        }
        self._close_unwanted(wanted)
        for member_id, member in wanted.items():
            if member_id not in self._connectors:
                self._connectors[member_id] = PeerConnector(
                    self._reactor, self._owner, member, self._rng, decode_member_frame
                )

    def _close_unwanted(self, wanted: dict[int, Member]) -> None:
        unwanted = [
            member_id
            for member_id, connector in self._connectors.items()
            if connector.endpoint != wanted.get(member_id)
        ]
        for member_id in unwanted:
            self._connectors.pop(member_id).close()

    def send(self, cluster_id: bytes, message: Message) -> None:
        """Send a message to its recipient; without a connection the message is lost."""
        connection = self._connectors.get(message.recipient) or self._inbound.get(message.recipient)
        if connection is not None:
            connection.send(RaftMessageFrame(cluster_id, message))

    def on_member_connected(self, connection: InboundConnection, member_id: int) -> None:
        """Record the accepted connection that another member opened."""
        self._inbound[member_id] = connection

    def on_disconnected(self, connection: InboundConnection, member_id: int) -> None:
        """Remove a closed connection that another member had opened."""
        if self._inbound.get(member_id) is connection:
            del self._inbound[member_id]

    def close(self) -> None:
        """Close all connections that this member opened."""
        for connector in self._connectors.values():
            connector.close()
