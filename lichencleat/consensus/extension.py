"""Interface of extensions, which answer requests outside the consensus protocol on any member.

Configuration distribution is such an extension: every voter serves subscribers from the entries that it has
applied.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

from lichencleat.consensus.state_machine import StateMachine
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.frames import ClientRequest
from lichencleat.transport.inbound import InboundConnection


class MemberView(Protocol):
    """The part of a member process that an extension may use."""

    @property
    def zone(self) -> str:
        """The zone of the member."""

    def now(self) -> int:
        """Return the time in µs of the member's monotonic clock."""

    def confirm_leadership(self, on_result: Callable[[bool], None]) -> None:
        """Check that this member is the leader.

        `on_result` is called with True once a majority has confirmed this leader after this call and all
        entries that were committed before the call are applied. It is called with False if this member does
        not lead.
        """


class MemberExtension(Protocol):
    """An extension of a consensus member: answers requests from the member's applied state."""

    def start(self, member: MemberView) -> None:
        """Start the extension; called before the member participates in the cluster."""

    def handles(self, operation: str) -> bool:
        """Return whether the extension handles requests for that operation."""

    def on_request(self, connection: InboundConnection, request: ClientRequest) -> None:
        """Handle a request; the response may be sent later."""

    def on_disconnected(self, connection: InboundConnection) -> None:
        """Discard the state of a closed connection."""

    def on_applied(self, state_machine: StateMachine) -> None:
        """Handle that entries may have been applied or a snapshot restored."""

    def on_leader_commit(self, commit_index: int) -> None:
        """Handle the leader's commit index; the entries up to it may not have arrived yet."""

    def close(self) -> None:
        """Stop answering and release all resources."""


class GuardedExtension:
    """Isolates the member from its extension: an error closes the extension and never ends the member."""

    def __init__(self, extension: MemberExtension | None, log: EventLogger) -> None:
        """`extension` is None if the member has none."""
        self.extension = extension
        self.log = log

    def handles(self, operation: str) -> bool:
        """Return whether the extension handles requests for that operation."""
        return self.extension is not None and self.extension.handles(operation)

    def notify(self, call: Callable[[MemberExtension], None]) -> None:
        """Make a call to the extension; if it raises, close the extension."""
        if self.extension is None:
            return
        try:
            call(self.extension)
        except Exception:  # noqa: BLE001  # an error of the extension must not end the member
            trace = traceback.format_exc(limit=-3).replace("\n", " | ")
            self.log.warning("extension failed", trace=trace, then="the extension is closed")
            self.close()

    def close(self) -> None:
        """Close the extension permanently."""
        extension = self.extension
        self.extension = None
        if extension is not None:
            extension.close()
