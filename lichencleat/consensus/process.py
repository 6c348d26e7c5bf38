"""One member as a process: the voter between its store, its links, its clients and the reactor's time.

It carries out what `voter.py` and `seats.py` decide. One pull of decisions is made for all that the reactor
read in one turn. Whatever can't be written ends the process: it leaves rather than lie.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from lichencleat.consensus.configuration import with_member, without_member
from lichencleat.consensus.durable_writer import DurableWriter
from lichencleat.consensus.identity import (
    IDENTITY_KEY,
    GreetingResult,
    Identity,
    Incarnation,
    PeerIncarnations,
)
from lichencleat.consensus.key_value import KeyValueState
from lichencleat.consensus.links import Called, Door, Out
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import (
    Action,
    ActionType,
    Configuration,
    Member,
    Message,
    MessageType,
    RejectReason,
    Timeouts,
)
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.consensus.serves import Guarded, Log, Serves
from lichencleat.consensus.sessions import SessionOutcome
from lichencleat.consensus.state_machine import ReplicatedState, StateMachine, decode_command, encode_command
from lichencleat.consensus.supported_states import ACTIVATION_COMMAND, SupportedStates, UnknownStateError
from lichencleat.consensus.wire import (
    FORMAT,
    Carried,
    Greeted,
    Greeting,
    Reply,
    Request,
    decode_proposal,
    decode_read,
    decode_seat,
    decode_who,
    raw,
)
from lichencleat.decoding import UNDECODABLE
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store

SNAPSHOT_EACH = 2_000  # entries applied from one dump of the state to the next: some MB of log
SNAPSHOT_BYTES = 32 << 20  # of their data, after which one is due earlier: two lots of them are in memory
TEND = 0.05  # s between looks at what a leader has to propose of its own
LOOK = 0.02  # s between looks whether a start has been vouched for
LIFE = b"l"  # a key in the store; it goes on with the seat's eight bytes
SECOND = 1_000_000

decode_life = msgspec.msgpack.Decoder(Incarnation).decode


def life_key(seat: int) -> bytes:
    return LIFE + seat.to_bytes(8, "big")


class Process:
    """Owns the store, the links and the timers; given back in `end` alone."""

    def __init__(
        self,
        reactor: Any,
        store: Store,
        identity: Identity,
        listen: tuple[str, int],
        log: Log,
        rng: random.Random,
        parts: Callable[[], dict[str, ReplicatedState]] = lambda: {"facts": KeyValueState()},
        tend: Callable[[StateMachine | None, int], list[tuple[str, Any]]] = lambda state, now: [],
        times: Timeouts | None = None,
        zone: str = "",
        serves: Serves | None = None,
    ) -> None:
        """`identity` is confirmed on the disk. `tend`: what a leader proposes of its own, as part and
        command, from the state and µs of its clock; asked a few times a second, and with None as state once
        it leads no more.

        Raises CannotListenError, CorruptDataError.
        """
        self.reactor, self.store, self.identity, self.log, self.rng = reactor, store, identity, log, rng
        self.parts, self.tend, self.zone = parts, tend, zone
        self.serves = Guarded(serves, log)
        self.state = StateMachine(parts())
        self.known = SupportedStates(self.state.states)
        self.journal = LogStorage()
        get = store.engine.get
        durable = self.journal.load(get)
        self.saves = DurableWriter(store, self.journal, self.saved, self.disk_failed)
        self.voter = RaftNode(identity.member_id, durable, times or Timeouts(), rng, self.now())
        known = {int.from_bytes(key[1:], "big"): decode_life(data) for key, data in store.scan(LIFE)}
        life = Incarnation(identity.start_count, rng.getrandbits(48))
        self.seats = PeerIncarnations(identity.cluster_id, identity.member_id, life, known)
        self.begun = self.now()
        self.takes_part = False
        self.outs: dict[int, Out] = {}
        # the last link of each that called: a newcomer knows no other way
        self.callers: dict[int, Called] = {}
        self.linked: Configuration | None = None  # the group that `outs` are made for
        self.reads: list[tuple[int, Any, Callable[..., None]]] = []
        self.dumped: tuple[int, bytes] | None = None
        self.since_dump = 0  # bytes of entries applied
        self.stirred = False
        self.timer: Any = None
        self.looking: Any = None
        self.ended: Deferred[int] = Deferred()
        self.ending = self.leaving = False
        self.counts: dict[str, int] = {}
        self.role = Role.FOLLOWER
        self.tending: Any = None
        self.door = Door(reactor, self, *listen)
        self.relink()
        self.serves.tell(lambda serves: serves.begins(self))
        self.look()

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- taking part ---------------------------------------------------------------------------------

    def look(self) -> None:
        """After a start: may this life speak for its seat yet?"""
        self.looking = None
        others = self.voter.voters - {self.voter.member_id}
        if self.seats.can_participate(others, self.now() - self.begun):
            self.takes_part = True
            self.log.info(
                "takes part",
                waited_ms=(self.now() - self.begun) // 1000,
                vouched=len(self.seats.confirmed_by),
            )
            self.voter.reset_election_timer(self.now())
            self.stir()
        else:
            self.looking = self.reactor.callLater(LOOK, self.look)

    def greeting(self, to: int) -> Greeting:
        who = self.identity
        said = who.member_name, self.known.advertised
        return Greeting(
            FORMAT, self.seats.cluster_id, who.cluster_name, who.member_id, to, self.seats.incarnation, *said
        )

    def greeted(self, seat: int, answer: Greeted) -> bool:
        """Another member's answer to this one's greeting. May messages go to it?"""
        welcome = GreetingResult(answer.welcome)
        reason = self.seats.on_greeting_reply(seat, welcome)
        if reason is not None:
            self.voter.halt(reason)
            self.stir()
        if welcome is not GreetingResult.ACCEPTED:
            self.log.warning("turned away", by=answer.member, reason=welcome.log_reason)
            return False
        self.known.record(answer.seat, answer.parts)
        return answer.seat == seat

    def called(self, link: Called, greeting: Greeting) -> None:
        """A member or a client says who it is; a member's life is on the disk before it is answered."""
        if greeting.format != FORMAT or greeting.name != self.identity.cluster_name:
            self.welcome(link, GreetingResult.WRONG_CLUSTER)
            return
        if greeting.seat == 0:
            mine = not greeting.group or greeting.group == self.seats.cluster_id
            self.welcome(link, GreetingResult.ACCEPTED if mine else GreetingResult.WRONG_CLUSTER)
            return
        welcome, news = self.seats.on_greeting(greeting.group, greeting.seat, greeting.to, greeting.life)
        if welcome is not GreetingResult.ACCEPTED:
            self.log.warning("turns away", name=greeting.member, reason=welcome.log_reason)
            self.welcome(link, welcome)
            return
        self.known.record(greeting.seat, greeting.parts)
        batch = Batch()
        if news:
            batch.put(life_key(greeting.seat), msgspec.msgpack.encode(greeting.life))
        if not self.seats.cluster_id and greeting.group:  # the first that calls brings the group with it
            self.seats.cluster_id = self.identity.cluster_id = greeting.group
            batch.put(IDENTITY_KEY, msgspec.msgpack.encode(self.identity))
            self.log.info("joins", mark=greeting.group.hex(), by=greeting.member)
        if batch.changes:
            told = self.store.commit(batch)
            told.addCallbacks(lambda _: self.welcome(link, GreetingResult.ACCEPTED), self.disk_failed)
        else:
            self.welcome(link, GreetingResult.ACCEPTED)

    def welcome(self, link: Called, welcome: GreetingResult) -> None:
        who = self.identity
        link.welcome = welcome is GreetingResult.ACCEPTED
        if link.welcome and link.greeting is not None and link.greeting.seat:
            self.callers[link.greeting.seat] = link
        said = who.member_name, self.seats.incarnation, self.known.advertised
        link.send(Greeted(welcome, self.seats.cluster_id, who.member_id, *said))

    def disk_failed(self, failure: Any) -> None:
        if not self.ending:
            self.serves.end()
            self.voter.on_disk_failed(failure.getErrorMessage())
            self.stir()

    # -- what happened -------------------------------------------------------------------------------

    def hears(self, message: Message) -> None:
        if self.takes_part:  # else it is lost, as on a link that is not up yet
            self.voter.receive(self.now(), message)
            if message.message_type == MessageType.APPEND and message.term == self.voter.term:
                self.serves.tell(lambda serves: serves.word(message.commit))
            self.stir()

    def link_lost(self, seat: int) -> None:
        self.voter.on_link_lost(seat)
        self.stir()

    def hung_up(self, link: Called, seat: int) -> None:
        self.serves.tell(lambda serves: serves.hung_up(link))
        if self.callers.get(seat) is link:
            del self.callers[seat]

    def wake(self) -> None:
        self.timer = None
        self.voter.on_timer(self.now())
        self.stir()

    def stir(self) -> None:
        if not self.stirred and not self.ending:
            self.stirred = True
            self.reactor.callLater(0, self.pull)

    # -- decisions -----------------------------------------------------------------------------------

    def pull(self) -> None:
        self.stirred = False
        if self.ending or not self.takes_part:
            return
        try:
            while not self.ending and (decision := self.voter.next_action()) is not None:
                self.carry_out(decision)
        except UnknownStateError as wrong:
            self.log.warning("leaves", reason=str(wrong))
            self.end(3)
        except Exception:
            # a state that is applied in half must not be told to anyone: it is read anew at a start
            self.log.warning("error", trace=traceback.format_exc(limit=-3).replace("\n", " | "))
            self.end(3)
        if self.ending:
            return
        self.serves.tell(lambda serves: serves.applied(self.state))
        self.answer_reads()
        self.relink()
        self.tell_role()
        self.arm()

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        left = self.voter.deadline() - self.now()
        self.timer = self.reactor.callLater(max(0, left) / SECOND, self.wake)

    def carry_out(self, decision: Action) -> None:
        if decision.action_type is ActionType.WRITE:
            save = decision.write
            assert save is not None
            self.saves.write(save)
        elif decision.action_type is ActionType.SEND:
            message = decision.message
            assert message is not None
            way = self.outs.get(message.recipient) or self.callers.get(message.recipient)
            if way is not None:
                way.send(Carried(self.seats.cluster_id, message))
        elif decision.action_type is ActionType.APPLY:
            self.apply(decision)
        elif decision.action_type is ActionType.RESTORE_SNAPSHOT:
            assert decision.snapshot is not None
            self.state = StateMachine(self.parts())
            self.state.restore(decision.snapshot)
            self.dumped, self.since_dump = None, 0
        elif decision.action_type is ActionType.SERVE_READ:
            query, answer = decision.context
            self.reads.append((decision.index, query, answer))
        elif decision.action_type is ActionType.REJECT:
            if decision.context is not None:  # else a proposal of its own, as a leader that is one no more
                decision.context[1](False, decision.reason)
        elif decision.action_type is ActionType.HALT:
            self.log.warning("leaves", reason=decision.reason)
            self.end(3)

    def saved(self, number: int) -> None:
        self.voter.on_write_durable(self.now(), number)
        self.stir()

    def apply(self, decision: Action) -> None:
        assert decision.entry is not None
        verdict, result = self.state.apply(decision.index, decision.entry)
        if decision.context is not None:
            decision.context[1](True, verdict, result)
        self.since_dump += len(decision.entry.data)
        if decision.index % SNAPSHOT_EACH == 0 or self.since_dump >= SNAPSHOT_BYTES:
            # the dump before: what came since stays for slow followers
            if self.dumped is not None:
                self.voter.compact(*self.dumped)
            self.dumped, self.since_dump = (decision.index, self.state.dump()), 0

    def answer_reads(self) -> None:
        ready = [each for each in self.reads if each[0] <= self.state.applied]
        if ready:
            self.reads = [each for each in self.reads if each[0] > self.state.applied]
            for _, (part, query), answer in ready:
                answer(True, SessionOutcome.DONE, raw(self.state.read(part, query)))

    def relink(self) -> None:
        """A link to every member of the group as it stands now."""
        group = self.voter.log.configuration
        if group is self.linked:  # as at nearly every pull
            return
        self.linked = group
        wanted = {each.member_id: each for each in group.members if each.member_id != self.voter.member_id}
        for seat in [each for each in self.outs if self.outs[each].member != wanted.get(each)]:
            self.outs.pop(seat).close()
        for seat, member in wanted.items():
            if seat not in self.outs:
                self.outs[seat] = Out(self.reactor, self, member, self.rng)

    def tell_role(self) -> None:
        if self.voter.role is not self.role:
            if Role.LEADER in (self.role, self.voter.role):
                self.log.info(
                    "leads" if self.voter.role is Role.LEADER else "leads no more", term=self.voter.term
                )
            self.role = self.voter.role
            if self.leaving:  # it has handed over
                self.end(0)
                return
            if self.tending is None:
                self.look_after()

    def look_after(self) -> None:
        """While it leads, whatever the state needs from time to time."""
        self.tending = None
        if self.ending:
            return
        # also where entries wait to be applied: else under load the tender would begin anew at almost every
        # look
        leads = self.role is Role.LEADER
        for part, what in self.tend(self.state if leads else None, self.now()):
            if self.objection(part) is None:
                self.voter.propose(self.now(), None, encode_command(part, what))
                self.stir()
        if self.role is Role.LEADER:
            self.tending = self.reactor.callLater(TEND, self.look_after)

    def objection(self, part: str) -> str | None:
        """Why nothing can be decided on that part now. Where it can, the log says that it is used."""
        if part in self.state.active_states or self.voter.leader_state is None:
            return None
        why = self.known.rejection(part, self.voter.log.configuration, self.voter.member_id)
        if why is not None and not self.state.has_data(part, self.parts()):
            return why
        self.voter.propose(self.now(), None, encode_command(ACTIVATION_COMMAND, [part]))
        return None

    # -- clients -------------------------------------------------------------------------------------

    def mark(self) -> bytes:
        return self.seats.cluster_id

    def prove(self, told: Callable[[bool], None]) -> None:
        """As `serves.Asks`: a read of nothing, whose round shows that this one leads."""
        self.voter.read(self.now(), (("", None), lambda done, *_: told(done)))
        self.stir()

    def asked(self, link: Called, request: Request) -> None:
        if self.serves.wants(request.what):
            self.serves.tell(lambda serves: serves.asked(link, request))
            return

        def answer(done: bool, what: Any = None, result: bytes = b"") -> None:
            leader = self.leader()
            link.reply(
                Reply(
                    request.number,
                    done and what is SessionOutcome.DONE,
                    msgspec.Raw(result)
                    if result
                    else raw(what.value if isinstance(what, RejectReason) else getattr(what, "name", what)),
                    leader.member_id if leader else 0,
                    leader.host if leader else "",
                    leader.port if leader else 0,
                    what is RejectReason.LEADERSHIP_LOST or what is SessionOutcome.UNKNOWN_SESSION,
                )
            )

        try:
            self.ask(request, answer)
        except UNDECODABLE:
            self.count("requests that can't be read")
            answer(False, RejectReason.INVALID_REQUEST)
        self.stir()

    def leader(self) -> Member | None:
        return next(
            (each for each in self.voter.log.configuration.members if each.member_id == self.voter.leader_id),
            None,
        )

    def ask(self, request: Request, answer: Callable[..., None]) -> None:
        now, voter, content = self.now(), self.voter, request.content
        ticket = (request.what, answer)
        if request.what == "status":
            answer(True, SessionOutcome.DONE, raw(self.status()))
        elif not self.takes_part:
            answer(False, RejectReason.NOT_LEADER)
        elif request.what == "open":
            voter.propose_session(now, ticket)
        elif request.what == "propose":
            proposal = decode_proposal(content)
            if (objection := self.objection(decode_command(proposal.data)[0])) is not None:
                answer(False, objection)
            else:
                voter.propose(now, ticket, proposal.data, proposal.session, proposal.number)
        elif request.what == "read":
            voter.read(now, (decode_read(content), answer))
        elif request.what == "add":
            who = decode_who(content)
            member = Member(who.seat, who.name, who.host, who.port, who.votes, who.zone)
            voter.change_configuration(now, ticket, with_member(voter.log.configuration, member))
        elif request.what == "remove":
            voter.change_configuration(
                now, ticket, without_member(voter.log.configuration, decode_seat(content))
            )
        elif request.what == "transfer":
            moving = voter.transfer_leadership(now, decode_seat(content))
            answer(
                moving,
                SessionOutcome.DONE if moving else voter.proposal_rejection() or RejectReason.INVALID_REQUEST,
                raw(True) if moving else b"",
            )
        else:
            answer(False, RejectReason.INVALID_REQUEST)

    def status(self) -> dict[str, Any]:
        voter = self.voter
        lead = voter.leader_state
        return {
            "member": self.identity.member_name,
            "seat": self.identity.member_id,
            "group": self.seats.cluster_id.hex(),
            "start": self.identity.start_count,
            "zone": self.zone,
            "parts": sorted(self.state.states),
            "used": sorted(self.state.active_states),
            "role": voter.role.value if self.takes_part else "waits",
            "term": voter.term,
            "leader": voter.leader_id,
            "last": voter.log.last_index,
            "commit": voter.commit_index,
            "applied": self.state.applied,
            "snapshot": voter.log.snapshot_index,
            "members": [
                {
                    "seat": each.member_id,
                    "name": each.name,
                    "address": f"{each.host}:{each.port}",
                    "zone": each.zone,
                    "votes": each.is_voter,
                    "has": lead.progress[each.member_id].match_index
                    if lead and each.member_id in lead.progress
                    else None,
                    "heard_ms": (self.now() - lead.progress[each.member_id].last_response_at) // 1000
                    if lead and each.member_id in lead.progress
                    else None,
                }
                for each in voter.log.configuration.members
            ],
            "counts": self.counts,
        }

    # -- ending --------------------------------------------------------------------------------------

    def leave(self) -> None:
        """The notice to leave: a leader hands over first, as long as that takes at the most."""
        lead = self.voter.leader_state
        heirs = sorted(self.voter.voters - {self.voter.member_id})
        if lead is not None and heirs and not lead.transfer:
            best = max(heirs, key=lead.match_index)
            self.leaving = True
            self.voter.transfer_leadership(self.now(), best)
            self.stir()
            self.reactor.callLater(self.voter.timeouts.transfer_timeout_us / SECOND, self.end, 0)
        else:
            self.end(0)

    def end(self, code: int) -> None:
        if self.ending:
            return
        self.ending = True
        self.serves.end()
        for timer in (self.timer, self.looking, self.tending):
            if timer is not None and timer.active():
                timer.cancel()
        for each in self.outs.values():
            each.close()
        self.door.close()
        self.store.close().addBoth(lambda _: self.ended.callback(code))
