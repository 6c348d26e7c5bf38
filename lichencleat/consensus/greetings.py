"""Makes and answers greetings between members; a peer's incarnation is stored before the peer is answered."""

from __future__ import annotations

from typing import Protocol

import msgspec
from twisted.python.failure import Failure

from lichencleat.consensus.identity import IDENTITY_KEY, Identity, PeerIncarnations
from lichencleat.consensus.supported_states import SupportedStates
from lichencleat.log.interfaces import EventLogger
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store
from lichencleat.transport.frames import FORMAT_VERSION, Greeting, GreetingResponse
from lichencleat.transport.identity import CLIENT_ID, GreetingResult, Incarnation
from lichencleat.transport.inbound import InboundConnection

INCARNATION_KEY_PREFIX = b"l"  # prefix of keys in the store, followed by the member id
MEMBER_ID_BYTES = 8

decode_incarnation = msgspec.msgpack.Decoder(Incarnation).decode


def incarnation_key(member_id: int) -> bytes:
    """Return the key under which the latest incarnation of the member `member_id` is stored."""
    return INCARNATION_KEY_PREFIX + member_id.to_bytes(MEMBER_ID_BYTES, "big")


def load_incarnations(store: Store) -> dict[int, Incarnation]:
    """Load the latest known incarnation of each other member, by member id."""
    prefix_length = len(INCARNATION_KEY_PREFIX)
    return {
        int.from_bytes(key[prefix_length:], "big"): decode_incarnation(data)
        for key, data in store.scan(INCARNATION_KEY_PREFIX)
    }


class GreetingHost(Protocol):
    """The part of a member process that greetings use."""

    def halt(self, reason: str) -> None:
        """Halt the member, because another member knows a later incarnation of it."""

    def on_disk_failed(self, failure: Failure) -> None:
        """Halt the member, because an incarnation can't be stored."""

    def on_member_connected(self, connection: InboundConnection, member_id: int) -> None:
        """Record an accepted connection from another member."""


class Greetings:
    """Makes and answers greetings. A member's incarnation is durable before its greeting is answered."""

    def __init__(
        self,
        host: GreetingHost,
        store: Store,
        identity: Identity,
        incarnations: PeerIncarnations,
        supported_states: SupportedStates,
        log: EventLogger,
    ) -> None:
        """`identity`, `incarnations` and `supported_states` are shared with the member and updated here."""
        self._host = host
        self._store = store
        self._identity = identity
        self._incarnations = incarnations
        self._supported_states = supported_states
        self._log = log

    def make_greeting(self, recipient: int) -> Greeting:
        """Return this member's greeting for the member `recipient`."""
        return Greeting(
            FORMAT_VERSION,
            self._incarnations.cluster_id,
            self._identity.cluster_name,
            self._identity.member_id,
            recipient,
            self._incarnations.incarnation,
            self._identity.member_name,
            self._supported_states.advertised,
        )

    def on_response(self, member_id: int, response: GreetingResponse) -> bool:
        """Handle the response to this member's greeting; return whether messages may be sent to the peer."""
        result = GreetingResult(response.result)
        halt_reason = self._incarnations.on_greeting_reply(member_id, result)
        if halt_reason is not None:
            self._host.halt(halt_reason)
        if result is not GreetingResult.ACCEPTED:
            self._log.warning("peer rejected greeting", by=response.member_name, reason=result.log_reason)
            return False
        self._supported_states.record(response.member_id, response.supported_states)
        return response.member_id == member_id

    def on_greeting(self, connection: InboundConnection, greeting: Greeting) -> None:
        """Answer the greeting of a member or a client."""
        is_known_format = greeting.format_version == FORMAT_VERSION
        if not is_known_format or greeting.cluster_name != self._identity.cluster_name:
            self._respond(connection, GreetingResult.WRONG_CLUSTER)
        elif greeting.member_id == CLIENT_ID:
            is_own = not greeting.cluster_id or greeting.cluster_id == self._incarnations.cluster_id
            self._respond(connection, GreetingResult.ACCEPTED if is_own else GreetingResult.WRONG_CLUSTER)
        else:
            self._on_member_greeting(connection, greeting)

    def _on_member_greeting(self, connection: InboundConnection, greeting: Greeting) -> None:
        decision = self._incarnations.on_greeting(
            greeting.cluster_id, greeting.member_id, greeting.recipient, greeting.incarnation
        )
        if decision.result is not GreetingResult.ACCEPTED:
            reason = decision.result.log_reason
            self._log.warning("rejected greeting from peer", name=greeting.caller_name, reason=reason)
            self._respond(connection, decision.result)
            return
        self._supported_states.record(greeting.member_id, greeting.supported_states)
        batch = Batch()
        if decision.is_new_incarnation:
            batch.put(incarnation_key(greeting.member_id), msgspec.msgpack.encode(greeting.incarnation))
        if not self._incarnations.cluster_id and greeting.cluster_id:
            self._join_cluster(greeting, batch)
        if batch.changes:
            committed = self._store.commit(batch)
            committed.addCallbacks(
                lambda _: self._respond(connection, GreetingResult.ACCEPTED), self._host.on_disk_failed
            )
        else:
            self._respond(connection, GreetingResult.ACCEPTED)

    def _join_cluster(self, greeting: Greeting, batch: Batch) -> None:
        """Take the cluster's id from the greeting of the first member that connects."""
        self._incarnations.cluster_id = greeting.cluster_id
        self._identity.cluster_id = greeting.cluster_id
        batch.put(IDENTITY_KEY, msgspec.msgpack.encode(self._identity))
        self._log.info("joined cluster", mark=greeting.cluster_id.hex(), by=greeting.caller_name)

    def _respond(self, connection: InboundConnection, result: GreetingResult) -> None:
        connection.is_accepted = result is GreetingResult.ACCEPTED
        if connection.is_accepted and connection.greeting is not None and connection.greeting.member_id:
            self._host.on_member_connected(connection, connection.greeting.member_id)
        connection.send(
            GreetingResponse(
                result,
                self._incarnations.cluster_id,
                self._identity.member_id,
                self._identity.member_name,
                self._incarnations.incarnation,
                self._supported_states.advertised,
            )
        )
