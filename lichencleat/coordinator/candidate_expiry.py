"""The proposals by which a leader expires lease candidates that renew no more."""

from __future__ import annotations

from lichencleat.consensus.leader_proposals import LeaderProposal
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.leases.candidate_expiry import CandidateExpiry
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import STATE_PART as LEASES


class CandidateExpiryProposer:
    """Watches the candidates while this member leads; owns their expiry times."""

    def __init__(self) -> None:
        self._expiry = CandidateExpiry()

    def propose_expired(self, state: StateMachine | None, now: int) -> list[LeaderProposal]:
        """Return the commands that are due.

        Args:
            state: of the group; None once this member leads no more.
            now: in µs of the member's monotonic clock.
        """
        if state is None:
            self._expiry.reset()
            return []
        leases = state.states[LEASES]
        assert isinstance(leases, LeaseState)
        return [
            LeaderProposal(LEASES, command) for command in self._expiry.find_expired(now, leases.candidates)
        ]
