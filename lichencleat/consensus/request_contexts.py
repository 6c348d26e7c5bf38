"""Contexts of proposals and reads; the Raft node returns a context with the outcome, which it handles."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from lichencleat.consensus.messages import Member
from lichencleat.consensus.sessions import ApplyResult
from lichencleat.consensus.state_machine import Query
from lichencleat.transport.frames import ClientResponse, encode_raw
from lichencleat.transport.inbound import InboundConnection
from lichencleat.transport.outcomes import RejectReason, SessionOutcome

Rejection = RejectReason | str | None  # a reason from the consensus core, or an explanation for operators


class ProposalContext(Protocol):
    """Handles the outcome of a proposal."""

    def on_applied(self, result: ApplyResult) -> None:
        """Handle the result of the entry, which is committed and applied."""

    def on_rejected(self, reason: Rejection) -> None:
        """Handle the rejection of the proposal; depending on the reason, it may still take effect."""


class ReadContext(Protocol):
    """Handles the outcome of a read."""

    @property
    def state_name(self) -> str:
        """The name of the replicated state to read."""

    @property
    def query(self) -> Query:
        """The query to that state."""

    def on_answer(self, answer: msgspec.Raw) -> None:
        """Handle the encoded answer."""

    def on_rejected(self, reason: Rejection) -> None:
        """Handle the rejection of the read, for example because this member does not lead."""


class Responder:
    """Sends the response to one client request; is also the context of the request's proposal, if any."""

    def __init__(
        self, connection: InboundConnection, number: int, find_leader: Callable[[], Member | None]
    ) -> None:
        """`number` is the number of the request; `find_leader` is called when the response is sent."""
        self._connection = connection
        self._number = number
        self._find_leader = find_leader

    def succeed(self, content: msgspec.Raw) -> None:
        """Respond with a result."""
        self._send(True, content)

    def on_applied(self, result: ApplyResult) -> None:
        """Respond with the result of the entry, or with the session outcome if it has no result."""
        content = msgspec.Raw(result.result) if result.result else encode_raw(result.outcome.name)
        is_done = result.outcome is SessionOutcome.DONE
        self._send(is_done, content, result.outcome is SessionOutcome.UNKNOWN_SESSION)

    def on_rejected(self, reason: Rejection) -> None:
        """Respond that the request was not carried out."""
        text = reason.value if isinstance(reason, RejectReason) else reason
        self._send(False, encode_raw(text), reason is RejectReason.LEADERSHIP_LOST)

    def _send(self, is_done: bool, content: msgspec.Raw, may_take_effect: bool = False) -> None:
        leader = self._find_leader()
        self._connection.reply(
            ClientResponse(
                self._number,
                is_done,
                content,
                leader.member_id if leader else 0,
                leader.host if leader else "",
                leader.port if leader else 0,
                may_take_effect,
            )
        )


@dataclass(frozen=True, slots=True)
class ClientRead:
    """The context of a client's read."""

    state_name: str
    query: Query
    responder: Responder

    def on_answer(self, answer: msgspec.Raw) -> None:
        """Respond with the answer."""
        self.responder.succeed(answer)

    def on_rejected(self, reason: Rejection) -> None:
        """Respond that this member can't serve the read."""
        self.responder.on_rejected(reason)


@dataclass(frozen=True, slots=True)
class LeadershipCheck:
    """A read without a query, which succeeds if heartbeats confirm that this member leads."""

    on_result: Callable[[bool], None]
    state_name: str = ""
    query: Query = None

    def on_answer(self, answer: msgspec.Raw) -> None:
        """Report that this member led at some time after the check began."""
        self.on_result(True)

    def on_rejected(self, reason: Rejection) -> None:
        """Report that this member does not lead."""
        self.on_result(False)
