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

from lichencleat.consensus.facts import Facts
from lichencleat.consensus.group import changed, without
from lichencleat.consensus.journal import Journal
from lichencleat.consensus.links import Called, Door, Out
from lichencleat.consensus.member import Role
from lichencleat.consensus.parts import USES, Known, UnknownPartError
from lichencleat.consensus.saves import Saves
from lichencleat.consensus.seats import IDENTITY, Identity, Life, Seats, Welcome
from lichencleat.consensus.serves import Guarded, Log, Serves
from lichencleat.consensus.sessions import Verdict
from lichencleat.consensus.state import Part, State, command, decode_command
from lichencleat.consensus.terms import Act, Decision, Group, Kind, Member, Message, Reason, Times
from lichencleat.consensus.voter import Voter
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

decode_life = msgspec.msgpack.Decoder(Life).decode


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
        parts: Callable[[], dict[str, Part]] = lambda: {"facts": Facts()},
        tend: Callable[[State | None, int], list[tuple[str, Any]]] = lambda state, now: [],
        times: Times | None = None,
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
        self.state = State(parts())
        self.known = Known(self.state.parts)
        self.journal = Journal()
        get = store.engine.get
        durable = self.journal.load(get)
        self.saves = Saves(store, self.journal, self.saved, self.disk_failed)
        self.voter = Voter(identity.seat, durable, times or Times(), rng, self.now())
        known = {int.from_bytes(key[1:], "big"): decode_life(data) for key, data in store.scan(LIFE)}
        life = Life(identity.start, rng.getrandbits(48))
        self.seats = Seats(identity.group, identity.seat, life, known)
        self.begun = self.now()
        self.takes_part = False
        self.outs: dict[int, Out] = {}
        # the last link of each that called: a newcomer knows no other way
        self.callers: dict[int, Called] = {}
        self.linked: Group | None = None  # the group that `outs` are made for
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
        others = self.voter.voters - {self.voter.seat}
        if self.seats.may_take_part(others, self.now() - self.begun):
            self.takes_part = True
            self.log.info(
                "takes part", waited_ms=(self.now() - self.begun) // 1000, vouched=len(self.seats.vouched)
            )
            self.voter.rest(self.now())
            self.stir()
        else:
            self.looking = self.reactor.callLater(LOOK, self.look)

    def greeting(self, to: int) -> Greeting:
        who = self.identity
        said = who.member, self.known.said
        return Greeting(FORMAT, self.seats.group, who.name, who.seat, to, self.seats.life, *said)

    def greeted(self, seat: int, answer: Greeted) -> bool:
        """Another member's answer to this one's greeting. May messages go to it?"""
        welcome = Welcome(answer.welcome)
        reason = self.seats.answered(seat, welcome)
        if reason is not None:
            self.voter.leave(reason)
            self.stir()
        if welcome is not Welcome.COME:
            self.log.warning("turned away", by=answer.member, reason=welcome.name.lower().replace("_", " "))
            return False
        self.known.tells(answer.seat, answer.parts)
        return answer.seat == seat

    def called(self, link: Called, greeting: Greeting) -> None:
        """A member or a client says who it is; a member's life is on the disk before it is answered."""
        if greeting.format != FORMAT or greeting.name != self.identity.name:
            self.welcome(link, Welcome.OTHER_GROUP)
            return
        if greeting.seat == 0:
            mine = not greeting.group or greeting.group == self.seats.group
            self.welcome(link, Welcome.COME if mine else Welcome.OTHER_GROUP)
            return
        welcome, news = self.seats.greeted(greeting.group, greeting.seat, greeting.to, greeting.life)
        if welcome is not Welcome.COME:
            self.log.warning(
                "turns away", name=greeting.member, reason=welcome.name.lower().replace("_", " ")
            )
            self.welcome(link, welcome)
            return
        self.known.tells(greeting.seat, greeting.parts)
        batch = Batch()
        if news:
            batch.put(life_key(greeting.seat), msgspec.msgpack.encode(greeting.life))
        if not self.seats.group and greeting.group:  # the first that calls brings the group with it
            self.seats.group = self.identity.group = greeting.group
            batch.put(IDENTITY, msgspec.msgpack.encode(self.identity))
            self.log.info("joins", mark=greeting.group.hex(), by=greeting.member)
        if batch.changes:
            told = self.store.commit(batch)
            told.addCallbacks(lambda _: self.welcome(link, Welcome.COME), self.disk_failed)
        else:
            self.welcome(link, Welcome.COME)

    def welcome(self, link: Called, welcome: Welcome) -> None:
        who = self.identity
        link.welcome = welcome is Welcome.COME
        if link.welcome and link.greeting is not None and link.greeting.seat:
            self.callers[link.greeting.seat] = link
        said = who.member, self.seats.life, self.known.said
        link.send(Greeted(welcome, self.seats.group, who.seat, *said))

    def disk_failed(self, failure: Any) -> None:
        if not self.ending:
            self.serves.end()
            self.voter.disk_failed(failure.getErrorMessage())
            self.stir()

    # -- what happened -------------------------------------------------------------------------------

    def hears(self, message: Message) -> None:
        if self.takes_part:  # else it is lost, as on a link that is not up yet
            self.voter.hears(self.now(), message)
            if message.kind == Kind.APPEND and message.term == self.voter.term:
                self.serves.tell(lambda serves: serves.word(message.commit))
            self.stir()

    def link_lost(self, seat: int) -> None:
        self.voter.link_lost(seat)
        self.stir()

    def hung_up(self, link: Called, seat: int) -> None:
        self.serves.tell(lambda serves: serves.hung_up(link))
        if self.callers.get(seat) is link:
            del self.callers[seat]

    def wake(self) -> None:
        self.timer = None
        self.voter.wakes(self.now())
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
            while not self.ending and (decision := self.voter.next_decision()) is not None:
                self.carry_out(decision)
        except UnknownPartError as wrong:
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

    def carry_out(self, decision: Decision) -> None:
        if decision.act is Act.SAVE:
            save = decision.save
            assert save is not None
            self.saves.write(save)
        elif decision.act is Act.SEND:
            message = decision.message
            assert message is not None
            way = self.outs.get(message.to) or self.callers.get(message.to)
            if way is not None:
                way.send(Carried(self.seats.group, message))
        elif decision.act is Act.APPLY:
            self.apply(decision)
        elif decision.act is Act.RESTORE:
            assert decision.snapshot is not None
            self.state = State(self.parts())
            self.state.restore(decision.snapshot)
            self.dumped, self.since_dump = None, 0
        elif decision.act is Act.READ:
            query, answer = decision.ticket
            self.reads.append((decision.index, query, answer))
        elif decision.act is Act.REFUSE:
            if decision.ticket is not None:  # else a proposal of its own, as a leader that is one no more
                decision.ticket[1](False, decision.reason)
        elif decision.act is Act.LEAVE:
            self.log.warning("leaves", reason=decision.reason)
            self.end(3)

    def saved(self, number: int) -> None:
        self.voter.saved(self.now(), number)
        self.stir()

    def apply(self, decision: Decision) -> None:
        assert decision.entry is not None
        verdict, result = self.state.apply(decision.index, decision.entry)
        if decision.ticket is not None:
            decision.ticket[1](True, verdict, result)
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
                answer(True, Verdict.DONE, raw(self.state.read(part, query)))

    def relink(self) -> None:
        """A link to every member of the group as it stands now."""
        group = self.voter.entries.group
        if group is self.linked:  # as at nearly every pull
            return
        self.linked = group
        wanted = {each.seat: each for each in group.members if each.seat != self.voter.seat}
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
                self.voter.propose(self.now(), None, command(part, what))
                self.stir()
        if self.role is Role.LEADER:
            self.tending = self.reactor.callLater(TEND, self.look_after)

    def objection(self, part: str) -> str | None:
        """Why nothing can be decided on that part now. Where it can, the log says that it is used."""
        if part in self.state.used or self.voter.lead is None:
            return None
        why = self.known.objection(part, self.voter.entries.group, self.voter.seat)
        if why is not None and not self.state.decided_on(part, self.parts()):
            return why
        self.voter.propose(self.now(), None, command(USES, [part]))
        return None

    # -- clients -------------------------------------------------------------------------------------

    def mark(self) -> bytes:
        return self.seats.group

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
                    done and what is Verdict.DONE,
                    msgspec.Raw(result)
                    if result
                    else raw(what.value if isinstance(what, Reason) else getattr(what, "name", what)),
                    leader.seat if leader else 0,
                    leader.host if leader else "",
                    leader.port if leader else 0,
                    what is Reason.LOST or what is Verdict.UNKNOWN_SESSION,
                )
            )

        try:
            self.ask(request, answer)
        except UNDECODABLE:
            self.count("requests that can't be read")
            answer(False, Reason.UNFIT)
        self.stir()

    def leader(self) -> Member | None:
        return next(
            (each for each in self.voter.entries.group.members if each.seat == self.voter.leader), None
        )

    def ask(self, request: Request, answer: Callable[..., None]) -> None:
        now, voter, content = self.now(), self.voter, request.content
        ticket = (request.what, answer)
        if request.what == "status":
            answer(True, Verdict.DONE, raw(self.status()))
        elif not self.takes_part:
            answer(False, Reason.NOT_LEADER)
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
            voter.change(now, ticket, changed(voter.entries.group, member))
        elif request.what == "remove":
            voter.change(now, ticket, without(voter.entries.group, decode_seat(content)))
        elif request.what == "transfer":
            moving = voter.transfer(now, decode_seat(content))
            answer(
                moving,
                Verdict.DONE if moving else voter.objection() or Reason.UNFIT,
                raw(True) if moving else b"",
            )
        else:
            answer(False, Reason.UNFIT)

    def status(self) -> dict[str, Any]:
        voter = self.voter
        lead = voter.lead
        return {
            "member": self.identity.member,
            "seat": self.identity.seat,
            "group": self.seats.group.hex(),
            "start": self.identity.start,
            "zone": self.zone,
            "parts": sorted(self.state.parts),
            "used": sorted(self.state.used),
            "role": voter.role.name.lower() if self.takes_part else "waits",
            "term": voter.term,
            "leader": voter.leader,
            "last": voter.entries.last,
            "commit": voter.commit,
            "applied": self.state.applied,
            "snapshot": voter.entries.base,
            "members": [
                {
                    "seat": each.seat,
                    "name": each.name,
                    "address": f"{each.host}:{each.port}",
                    "zone": each.zone,
                    "votes": each.votes,
                    "has": lead.progress[each.seat].match if lead and each.seat in lead.progress else None,
                    "heard_ms": (self.now() - lead.progress[each.seat].heard_at) // 1000
                    if lead and each.seat in lead.progress
                    else None,
                }
                for each in voter.entries.group.members
            ],
            "counts": self.counts,
        }

    # -- ending --------------------------------------------------------------------------------------

    def leave(self) -> None:
        """The notice to leave: a leader hands over first, as long as that takes at the most."""
        lead = self.voter.lead
        heirs = sorted(self.voter.voters - {self.voter.seat})
        if lead is not None and heirs and not lead.moving:
            best = max(heirs, key=lead.matched)
            self.leaving = True
            self.voter.transfer(self.now(), best)
            self.stir()
            self.reactor.callLater(self.voter.times.transfer / SECOND, self.end, 0)
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
