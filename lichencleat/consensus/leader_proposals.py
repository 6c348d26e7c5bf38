"""Proposals that originate at the leader: activations of states, and commands that are due periodically."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.consensus.state_applier import StateApplier
from lichencleat.consensus.state_machine import Encodable, StateMachine
from lichencleat.consensus.supported_states import ACTIVATION_COMMAND, SupportedStates
from lichencleat.transport.frames import encode_command
from lichencleat.transport.twisted_types import DelayedCall, ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND

PROPOSAL_INTERVAL_S = 0.05  # time between two checks for commands that are due


class LeaderProposal(NamedTuple):
    """A command that the leader proposes on its own behalf."""

    state_name: str
    command: Encodable


# Returns the commands that are due. Called on the leader with its state machine and the time in µs of its
# monotonic clock; called with None in place of the state machine when the member stops leading.
DueProposals = Callable[[StateMachine | None, int], list[LeaderProposal]]


def no_proposals(state_machine: StateMachine | None, now: int) -> list[LeaderProposal]:
    """Propose nothing, for states that need no commands from the leader."""
    return []


class StateActivation:
    """Admits commands for a state once all members support it, and activates the state in the log."""

    def __init__(self, node: RaftNode, applier: StateApplier, supported_states: SupportedStates) -> None:
        """The arguments are shared with the member process."""
        self._node = node
        self._applier = applier
        self._supported_states = supported_states

    def admit(self, state_name: str, now: int) -> str | None:
        """Return why commands for a state are rejected, None if they are admitted.

        If the state is not active yet and may be activated, also propose its activation.
        """
        state_machine = self._applier.state_machine
        if state_name in state_machine.active_states or self._node.leader_state is None:
            return None
        rejection = self._supported_states.rejection(
            state_name, self._node.log.configuration, self._node.member_id
        )
        if rejection is not None and not state_machine.has_data(state_name, self._applier.make_states()):
            return rejection
        self._node.propose(now, None, encode_command(ACTIVATION_COMMAND, [state_name]))
        return None


class LeaderProposer:
    """Proposes the commands that are due, several times a second while this member leads."""

    def __init__(
        self,
        reactor: ReactorClock,
        node: RaftNode,
        applier: StateApplier,
        activation: StateActivation,
        due_proposals: DueProposals,
        on_proposed: Callable[[], None],
    ) -> None:
        """`on_proposed` is called after each proposal, so that the process executes the node's actions."""
        self.role = Role.FOLLOWER
        self._reactor = reactor
        self._node = node
        self._applier = applier
        self._activation = activation
        self._due_proposals = due_proposals
        self._on_proposed = on_proposed
        self._timer: DelayedCall | None = None

    def on_role_changed(self, role: Role) -> None:
        """Propose while this member leads; call `due_proposals` with None when it stops leading."""
        self.role = role
        if self._timer is None:
            self.propose_due()

    def propose_due(self) -> None:
        """Propose the commands that are due, also while entries wait to be applied.

        A leader that is behind in applying entries still leads. Without this rule, `due_proposals` would be
        called with None repeatedly under load, as if leadership had ended.
        """
        self._timer = None
        is_leader = self.role is Role.LEADER
        state_machine = self._applier.state_machine if is_leader else None
        for state_name, command in self._due_proposals(state_machine, self._now()):
            if self._activation.admit(state_name, self._now()) is None:
                self._node.propose(self._now(), None, encode_command(state_name, command))
                self._on_proposed()
        if is_leader:
            self._timer = self._reactor.callLater(PROPOSAL_INTERVAL_S, self.propose_due)

    def stop(self) -> None:
        """Stop proposing."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _now(self) -> int:
        return int(self._reactor.seconds() * MICROSECONDS_PER_SECOND)
