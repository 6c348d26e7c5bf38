"""One member of a cluster as a process: its lifecycle, and the loop that executes the Raft node's actions.

One run of the loop handles all input that the reactor read in one iteration. A failed write ends the process,
because a member must not confirm data that is not on its disk.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lichencleat.consensus.client_requests import ClientRequests
from lichencleat.consensus.durable_writer import DurableWriter
from lichencleat.consensus.extension import GuardedExtension, MemberExtension
from lichencleat.consensus.greetings import Greetings, load_incarnations
from lichencleat.consensus.identity import Identity, PeerIncarnations
from lichencleat.consensus.key_value import STATE_PART as KEY_VALUES
from lichencleat.consensus.key_value import KeyValueState
from lichencleat.consensus.leader_proposals import (
    DueProposals,
    LeaderProposer,
    StateActivation,
    no_proposals,
)
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.member_status import Status, make_status
from lichencleat.consensus.messages import Action, ActionType, Message, MessageType, Timeouts
from lichencleat.consensus.peer_connections import PeerConnections
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.request_contexts import LeadershipCheck
from lichencleat.consensus.requests import decode_member_frame
from lichencleat.consensus.role import Role
from lichencleat.consensus.state_applier import StateApplier, StateFactory
from lichencleat.consensus.state_machine import ReplicatedState
from lichencleat.consensus.supported_states import SupportedStates, UnknownStateError
from lichencleat.log.interfaces import EventLogger
from lichencleat.store.store import Store
from lichencleat.transport.frames import ClientRequest, Greeting, GreetingResponse
from lichencleat.transport.identity import Incarnation
from lichencleat.transport.inbound import InboundConnection, Listener
from lichencleat.transport.twisted_types import DelayedCall, TcpReactor
from lichencleat.units import MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND

PARTICIPATION_POLL_S = 0.02  # time between two checks whether the others have confirmed this start
NONCE_BITS = 48
EXIT_STOPPED = 0  # stopped on request
EXIT_HALTED = 3  # halted because it was not safe to continue


def make_key_value_states() -> dict[str, ReplicatedState]:
    """Return the empty states of a group that replicates key-value pairs only."""
    return {KEY_VALUES: KeyValueState()}


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """The states that a group replicates, and a member's options.

    Attributes:
        make_states: returns the empty replicated states; must be the same at each member.
        due_proposals: returns the commands that a leader proposes on its own behalf.
        timeouts: the group's timeouts; must be the same at each member.
        zone: the zone of the member.
        extension: answers requests outside the consensus protocol.
    """

    make_states: StateFactory = make_key_value_states
    due_proposals: DueProposals = no_proposals
    timeouts: Timeouts = Timeouts()
    zone: str = ""
    extension: MemberExtension | None = None


class MemberProcess:
    """Owns the store, the connections and the timers; only `end` releases them."""

    def __init__(
        self,
        reactor: TcpReactor,
        store: Store,
        identity: Identity,
        listen: tuple[str, int],
        log: EventLogger,
        rng: random.Random,
        options: MemberOptions | None = None,
    ) -> None:
        """Load the durable state and start to listen; `identity` must be durable already.

        Raises:
            CannotListenError: the process can't listen on the address.
            CorruptDataError: the store is damaged.
        """
        options = options or MemberOptions()
        self.reactor = reactor
        self.identity = identity
        self.log = log
        self.zone = options.zone
        self.ended: Deferred[int] = Deferred()  # fires with the exit code
        self.is_participating = False
        self.is_ending = False
        self.is_stopping_gracefully = False  # whether the process ends once leadership is transferred
        self.role = Role.FOLLOWER
        self.counts: dict[str, int] = {}
        self._store = store
        self._run_is_scheduled = False
        self._timer: DelayedCall | None = None  # fires at the Raft node's deadline
        self._participation_timer: DelayedCall | None = None
        self._make_state(store, identity, rng, options)
        self._make_peers(store, identity, rng)
        self._started_at = self.now()
        self.extension = GuardedExtension(options.extension, log)
        self._activation = StateActivation(self.node, self.applier, self._supported_states)
        self._requests = ClientRequests(self, self.node, self._activation)
        self._proposer = LeaderProposer(
            reactor, self.node, self.applier, self._activation, options.due_proposals, self._schedule_run
        )
        self._listener = Listener(reactor, self, *listen, decode_member_frame)
        self._connections.update(self.node.log.configuration)
        self.extension.notify(lambda extension: extension.start(self))
        self._try_to_participate()

    def _make_state(
        self, store: Store, identity: Identity, rng: random.Random, options: MemberOptions
    ) -> None:
        """Make the Raft node from the stored state, and the writer and applier that execute its actions."""
        storage = LogStorage()
        durable = storage.load(store.engine.get)
        self._writer = DurableWriter(store, storage, self._on_write_durable, self.on_disk_failed)
        self.node = RaftNode(identity.member_id, durable, options.timeouts, rng, self.now())
        self.applier = StateApplier(options.make_states, self.node.compact)
        self._supported_states = SupportedStates(self.applier.state_machine.states)

    def _make_peers(self, store: Store, identity: Identity, rng: random.Random) -> None:
        """Make the objects that track the other members and connect to them."""
        known = load_incarnations(store)
        incarnation = Incarnation(identity.start_count, rng.getrandbits(NONCE_BITS))
        self._incarnations = PeerIncarnations(identity.cluster_id, identity.member_id, incarnation, known)
        self._greetings = Greetings(
            self, store, identity, self._incarnations, self._supported_states, self.log
        )
        self._connections = PeerConnections(self.reactor, self, identity.member_id, rng)

    def now(self) -> int:
        """Return the time in µs of the monotonic clock."""
        return int(self.reactor.seconds() * MICROSECONDS_PER_SECOND)

    def count(self, event: str) -> None:
        """Count an abnormal event for the status."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def make_status(self) -> Status:
        """Return the status of this member for operators."""
        return make_status(
            self.identity,
            self.zone,
            self.node,
            self.applier.state_machine,
            self.is_participating,
            self.counts,
            self.now(),
        )

    def _try_to_participate(self) -> None:
        """Participate once the others have confirmed this start, or the wait for them has timed out."""
        self._participation_timer = None
        others = self.node.voters - {self.node.member_id}
        waited_us = self.now() - self._started_at
        if not self._incarnations.can_participate(others, waited_us):
            self._participation_timer = self.reactor.callLater(PARTICIPATION_POLL_S, self._try_to_participate)
            return
        self.is_participating = True
        self.log.info(
            "started participating",
            waited_ms=waited_us // MICROSECONDS_PER_MILLISECOND,
            vouched=len(self._incarnations.confirmed_by),
        )
        self.node.reset_election_timer(self.now())
        self._schedule_run()

    # -- events of connections ---------------------------------------------------------------------------

    def make_greeting(self, recipient: int) -> Greeting:
        """Return this member's greeting for the member `recipient`."""
        return self._greetings.make_greeting(recipient)

    def on_greeting_response(self, member_id: int, response: GreetingResponse) -> bool:
        """Handle a member's response to a greeting; return whether messages may be sent to that member."""
        return self._greetings.on_response(member_id, response)

    def on_greeting(self, connection: InboundConnection, greeting: Greeting) -> None:
        """Answer the greeting of a member or client."""
        self._greetings.on_greeting(connection, greeting)

    def on_member_connected(self, connection: InboundConnection, member_id: int) -> None:
        """Record an accepted connection from another member."""
        self._connections.on_member_connected(connection, member_id)

    def on_peer_message(self, message: Message) -> None:
        """Pass a message to the Raft node; drop it if this member does not participate yet."""
        if not self.is_participating:
            return
        self.node.receive(self.now(), message)
        if message.message_type == MessageType.APPEND and message.term == self.node.term:
            self.extension.notify(lambda extension: extension.on_leader_commit(message.commit))
        self._schedule_run()

    def on_request(self, connection: InboundConnection, request: ClientRequest) -> None:
        """Pass a request to the extension if the extension handles it; otherwise handle it here."""
        if self.extension.handles(request.operation):
            self.extension.notify(lambda extension: extension.on_request(connection, request))
            return
        self._requests.on_request(connection, request)
        self._schedule_run()

    def on_link_lost(self, member_id: int) -> None:
        """Handle a lost connection: a leader sends the messages again that were in flight to the member."""
        self.node.on_link_lost(member_id)
        self._schedule_run()

    def on_disconnected(self, connection: InboundConnection, member_id: int) -> None:
        """Discard the state of a closed connection whose peer had sent a greeting."""
        self.extension.notify(lambda extension: extension.on_disconnected(connection))
        self._connections.on_disconnected(connection, member_id)

    def confirm_leadership(self, on_result: Callable[[bool], None]) -> None:
        """Check whether this member leads; see `extension.MemberView`."""
        self.node.read(self.now(), LeadershipCheck(on_result))
        self._schedule_run()

    # -- events of the disk and the clock ----------------------------------------------------------------

    def _on_write_durable(self, number: int) -> None:
        self.node.on_write_durable(self.now(), number)
        self._schedule_run()

    def on_disk_failed(self, failure: Failure) -> None:
        """Stop answering, and halt in the next run of the loop."""
        if self.is_ending:
            return
        self.extension.close()
        self.node.on_disk_failed(failure.getErrorMessage())
        self._schedule_run()

    def halt(self, reason: str) -> None:
        """Halt in the next run of the loop."""
        self.node.halt(reason)
        self._schedule_run()

    def _on_timer(self) -> None:
        self._timer = None
        self.node.on_timer(self.now())
        self._schedule_run()

    # -- execution of actions ----------------------------------------------------------------------------

    def _schedule_run(self) -> None:
        if not self._run_is_scheduled and not self.is_ending:
            self._run_is_scheduled = True
            self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        """Execute all actions of the Raft node, then answer the reads that became ready."""
        self._run_is_scheduled = False
        if self.is_ending or not self.is_participating:
            return
        self._execute_actions()
        if self.is_ending:
            return
        self.extension.notify(lambda extension: extension.on_applied(self.applier.state_machine))
        self.applier.answer_reads()
        self._connections.update(self.node.log.configuration)
        self._update_role()
        self._arm_timer()

    def _execute_actions(self) -> None:
        try:
            while not self.is_ending and (action := self.node.next_action()) is not None:
                self._execute(action)
        except UnknownStateError as error:
            self.log.warning("halted", reason=str(error))
            self.end(EXIT_HALTED)
        except Exception:  # noqa: BLE001  # a partly applied state must not be read; a restart rebuilds it
            self.log.warning("action failed", trace=traceback.format_exc(limit=-3).replace("\n", " | "))
            self.end(EXIT_HALTED)

    def _execute(self, action: Action) -> None:
        match action.action_type:
            case ActionType.WRITE:
                assert action.write is not None
                self._writer.write(action.write)
            case ActionType.SEND:
                assert action.message is not None
                self._connections.send(self._incarnations.cluster_id, action.message)
            case ActionType.APPLY:
                self.applier.apply(action)
            case ActionType.RESTORE_SNAPSHOT:
                self.applier.restore(action)
            case ActionType.SERVE_READ:
                self.applier.add_read(action.index, action.context)
            case ActionType.REJECT:
                if action.context is not None:  # None: a leader's own proposal, without a waiting caller
                    action.context.on_rejected(action.reason)
            case ActionType.HALT:
                self.log.warning("halted", reason=action.reason)
                self.end(EXIT_HALTED)

    def _update_role(self) -> None:
        """Log a change of this member's role, and start or stop the leader's own proposals."""
        role = self.node.role
        if role is self.role:
            return
        if Role.LEADER in (self.role, role):
            self.log.info("became leader" if role is Role.LEADER else "lost leadership", term=self.node.term)
        self.role = role
        if self.is_stopping_gracefully:  # leadership is transferred
            self.end(EXIT_STOPPED)
            return
        self._proposer.on_role_changed(role)

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_us = max(0, self.node.deadline() - self.now())
        self._timer = self.reactor.callLater(delay_us / MICROSECONDS_PER_SECOND, self._on_timer)

    # -- shutdown ----------------------------------------------------------------------------------------

    def stop_gracefully(self) -> None:
        """Stop; a leader first transfers its leadership, for which it waits up to the transfer timeout."""
        leader_state = self.node.leader_state
        targets = sorted(self.node.voters - {self.node.member_id})
        if leader_state is None or not targets or leader_state.transfer:
            self.end(EXIT_STOPPED)
            return
        target = max(targets, key=leader_state.match_index)
        self.is_stopping_gracefully = True
        self.node.transfer_leadership(self.now(), target)
        self._schedule_run()
        timeout_s = self.node.timeouts.transfer_timeout_us / MICROSECONDS_PER_SECOND
        self.reactor.callLater(timeout_s, self.end, EXIT_STOPPED)

    def end(self, exit_code: int) -> None:
        """Release all resources; `ended` fires once the store is closed. Later calls have no effect."""
        if self.is_ending:
            return
        self.is_ending = True
        self.extension.close()
        for timer in (self._timer, self._participation_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._proposer.stop()
        self._connections.close()
        self._listener.close()
        closed: Deferred[Any] = self._store.close()
        closed.addBoth(lambda _: self.ended.callback(exit_code))
