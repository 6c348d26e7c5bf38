"""Proposals with which the leader expires lease candidates that have stopped renewing."""

from __future__ import annotations

from lichencleat.consensus.leader_proposals import LeaderProposal
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.leases.candidate_expiry import CandidateExpiry
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import STATE_PART as LEASES


class CandidateExpiryProposer:
    """Tracks the expiry times of lease candidates while this member leads."""

    def __init__(self) -> None:
        self._expiry = CandidateExpiry()

    def propose_expired(self, state: StateMachine | None, now: int) -> list[LeaderProposal]:
        """Return the commands that expire candidates now.

        Args:
            state: the group's state machine; None when this member has stopped leading.
            now: the time in µs of the member's monotonic clock.
        """
        if state is None:
            self._expiry.reset()
            return []
        leases = state.states[LEASES]
        assert isinstance(leases, LeaseState)
        return [
            LeaderProposal(LEASES, command) for command in self._expiry.find_expired(now, leases.candidates)
        ]
