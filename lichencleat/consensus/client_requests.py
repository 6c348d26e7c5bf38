"""Client requests: sessions, proposals, reads, membership changes, leadership transfer and status."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lichencleat.consensus.configuration import with_member, without_member
from lichencleat.consensus.leader_proposals import StateActivation
from lichencleat.consensus.member_status import Status
from lichencleat.consensus.messages import Member
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.request_contexts import ClientRead, Responder
from lichencleat.consensus.requests import (
    decode_add_member,
    decode_member_id,
    decode_proposal,
    decode_read,
)
from lichencleat.consensus.state_machine import decode_command
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.frames import ClientRequest, encode_raw
from lichencleat.transport.inbound import InboundConnection
from lichencleat.transport.outcomes import RejectReason


class RequestHost(Protocol):
    """The part of a member process that client requests use."""

    @property
    def is_participating(self) -> bool:
        """Whether the member participates in the cluster already."""

    def now(self) -> int:
        """Return the time in µs of the member's monotonic clock."""

    def make_status(self) -> Status:
        """Return the member's status."""

    def count(self, event: str) -> None:
        """Count an abnormal event; the member's status shows the counts."""


class ClientRequests:
    """Decodes requests and passes them to the Raft node; each request gets exactly one response."""

    def __init__(self, host: RequestHost, node: RaftNode, activation: StateActivation) -> None:
        """`node` and `activation` are shared with the member process."""
        self._host = host
        self._node = node
        self._activation = activation
        self._handlers: dict[str, Callable[[ClientRequest, Responder], None]] = {
            "open": self._open_session,
            "propose": self._propose,
            "read": self._read,
            "add": self._add_member,
            "remove": self._remove_member,
            "transfer": self._transfer_leadership,
        }

    def on_request(self, connection: InboundConnection, request: ClientRequest) -> None:
        """Handle a request; the response is sent at once or when the outcome is known."""
        responder = Responder(connection, request.number, self._find_leader)
        try:
            self._dispatch(request, responder)
        except UNDECODABLE:
            self._host.count("requests that can't be read")
            responder.on_rejected(RejectReason.INVALID_REQUEST)

    def _dispatch(self, request: ClientRequest, responder: Responder) -> None:
        if request.operation == "status":
            responder.succeed(encode_raw(self._host.make_status()))
            return
        if not self._host.is_participating:
            responder.on_rejected(RejectReason.NOT_LEADER)
            return
        handler = self._handlers.get(request.operation)
        if handler is None:
            responder.on_rejected(RejectReason.INVALID_REQUEST)
            return
        handler(request, responder)

    def _find_leader(self) -> Member | None:
        members = self._node.log.configuration.members
        return next((member for member in members if member.member_id == self._node.leader_id), None)

    def _open_session(self, request: ClientRequest, responder: Responder) -> None:
        self._node.propose_session(self._host.now(), responder)

    def _propose(self, request: ClientRequest, responder: Responder) -> None:
        now = self._host.now()
        proposal = decode_proposal(request.content)
        state_name, _ = decode_command(proposal.data)
        rejection = self._activation.admit(state_name, now)
        if rejection is not None:
            responder.on_rejected(rejection)
            return
        self._node.propose(now, responder, proposal.data, proposal.session_id, proposal.sequence)

    def _read(self, request: ClientRequest, responder: Responder) -> None:
        state_name, query = decode_read(request.content)
        self._node.read(self._host.now(), ClientRead(state_name, query, responder))

    def _add_member(self, request: ClientRequest, responder: Responder) -> None:
        added = decode_add_member(request.content)
        member = Member(added.member_id, added.name, added.host, added.port, added.is_voter, added.zone)
        configuration = with_member(self._node.log.configuration, member)
        self._node.change_configuration(self._host.now(), responder, configuration)

    def _remove_member(self, request: ClientRequest, responder: Responder) -> None:
        member_id = decode_member_id(request.content)
        configuration = without_member(self._node.log.configuration, member_id)
        self._node.change_configuration(self._host.now(), responder, configuration)

    def _transfer_leadership(self, request: ClientRequest, responder: Responder) -> None:
        if self._node.transfer_leadership(self._host.now(), decode_member_id(request.content)):
            responder.succeed(encode_raw(True))
        else:
            responder.on_rejected(self._node.proposal_rejection() or RejectReason.INVALID_REQUEST)
