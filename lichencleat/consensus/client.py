"""A client of a group: finds who leads, repeats what was not answered, and has each proposal applied once.

Proposals go one at a time in a session. A repeat carries the same number, so whatever became of the first
try, the answer is that of the one time that it was applied. Where the group has dropped the session
meanwhile, the caller is told that nobody knows.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory

from lichencleat.consensus.identity import GreetingResult, Incarnation
from lichencleat.consensus.links import Framed
from lichencleat.consensus.messages import RejectReason
from lichencleat.consensus.sessions import SessionOutcome
from lichencleat.consensus.state_machine import encode_command
from lichencleat.consensus.wire import FORMAT, Greeted, Greeting, Reply, Request, raw
from lichencleat.decode_errors import UNDECODABLE

TRY = 1.0  # s for one try at one member: over any election's beat, under a caller's patience
REST = (0.02, 0.4)  # s before the next try, twice as long each time, with a drawn part
WAITING_MOST = 1_024  # calls that wait here
FINAL = frozenset(
    [RejectReason.INVALID_REQUEST.value, RejectReason.LAST_VOTER.value]
)  # asking again changes nothing


class GroupError(Exception):
    """A call was not done; `maybe`: it may be, or may have been."""

    def __init__(self, why: str, maybe: bool) -> None:
        super().__init__(why + ("; it may have been done" if maybe else "; it was not done"))
        self.why, self.maybe = why, maybe


class Call:
    def __init__(self, what: str, content: Any, until: float) -> None:
        self.what, self.content, self.until = what, content, until
        self.told: Deferred[Any] = Deferred()
        self.number = 0  # of a proposal in its session
        self.maybe = False  # a try of it may have been taken


class Link(Framed):
    def __init__(self, client: Client, opening: Opening) -> None:
        self.client, self.opening = client, opening

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        client = self.client
        self.send(Greeting(FORMAT, b"", client.name, 0, 0, Incarnation(0, 0), client.who))

    def stringReceived(self, data: bytes) -> None:
        frame = self.read(data)
        if isinstance(frame, Greeted):
            self.client.greeted(self, frame)
        elif isinstance(frame, Reply):
            self.client.replied(self, frame)
        elif frame is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.client.lost(self.opening)


class Opening(ClientFactory):
    noisy = False

    def __init__(self, client: Client) -> None:
        self.client = client

    def buildProtocol(self, address: Any) -> Link:
        return Link(self.client, self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.client.lost(self)


class Client:
    """Owns one connection at a time and the calls that wait; both are given back in `close`."""

    def __init__(
        self, reactor: Any, name: str, addresses: list[tuple[str, int]], rng: random.Random, who: str = ""
    ) -> None:
        """`name`: the group's; `addresses`: of members, any may be down; `who` calls, for their logs."""
        self.reactor, self.name, self.rng, self.who = reactor, name, rng, who
        self.addresses = list(addresses)
        self.at = rng.choice(self.addresses)
        self.link: Link | None = None
        self.welcome = False
        self.connector: Any = None
        self.opening: Opening | None = (
            None  # what the connection belongs to: an older one's end counts for nothing
        )
        self.calls: deque[Call] = deque()
        self.session = self.number = self.requests = 0
        self.rest = REST[0]
        self.timer: Any = None  # of the try under way, or of the rest before the next one
        self.closed = False
        self.last = "nobody answers"

    # -- calls -----------------------------------------------------------------------------------------

    def propose(self, part: str, what: Any, patience: float = 10.0) -> Deferred[Any]:
        """Fires with what the part answered. Fails with GroupError after `patience` seconds."""
        return self.call("propose", encode_command(part, what), patience)

    def read(self, part: str, query: Any, patience: float = 10.0) -> Deferred[Any]:
        """What holds at some moment between this call and its answer."""
        return self.call("read", (part, query), patience)

    def call(self, what: str, content: Any = None, patience: float = 10.0) -> Deferred[Any]:
        made = Call(what, content, self.reactor.seconds() + patience)
        if self.closed or len(self.calls) >= WAITING_MOST:
            made.told.errback(GroupError("the client is closed or has too many calls waiting", False))
            return made.told
        self.calls.append(made)
        if len(self.calls) == 1:
            self.rest = REST[0]
            self.attempt()
        return made.told

    def attempt(self) -> None:
        """The next try of the first call, wherever the group was last heard of."""
        self.stop_timer()
        if self.closed or not self.calls:
            return
        call = self.calls[0]
        left = call.until - self.reactor.seconds()
        if left <= 0:
            self.finish(GroupError(self.last, call.maybe))
            return
        self.timer = self.reactor.callLater(min(TRY, left), self.silent)
        if self.link is None:
            if self.connector is None:
                self.welcome = False
                host, port = self.at
                self.opening = Opening(self)
                self.connector = self.reactor.connectTCP(host, port, self.opening, timeout=TRY)
        elif self.welcome:
            self.ask(call)

    def ask(self, call: Call) -> None:
        assert self.link is not None
        self.requests += 1
        if call.what != "propose":
            self.link.send(Request(self.requests, call.what, raw(call.content)))
        elif not self.session:
            self.link.send(Request(self.requests, "open"))
        else:
            if not call.number:
                self.number += 1
                call.number = self.number
            call.maybe = True  # from here on a try of it may be taken, whatever becomes of the link
            proposal = (self.session, call.number, call.content)
            self.link.send(Request(self.requests, "propose", raw(proposal)))

    def silent(self) -> None:
        self.timer = None
        self.last = "no answer from {}:{}".format(*self.at)
        self.move()

    def move(self, to: tuple[str, int] | None = None) -> None:
        """To another member, at once where one is named, else after a rest."""
        self.drop_link()
        others = [each for each in self.addresses if each != self.at] or self.addresses
        self.at = to or self.rng.choice(others)
        self.again(0.0 if to else None)

    def again(self, span: float | None = None) -> None:
        self.stop_timer()
        if span is None:
            span = self.rest * (0.5 + self.rng.random())
            self.rest = min(self.rest * 2, REST[1])
        self.timer = self.reactor.callLater(span, self.attempt)

    def stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def drop_link(self) -> None:
        link, self.link = self.link, None
        connector, self.connector = self.connector, None
        self.opening = None
        if link is not None:
            link.transport.abortConnection()
        elif connector is not None:
            connector.disconnect()

    def finish(self, told: Any) -> None:
        self.stop_timer()
        call = self.calls.popleft()
        if isinstance(told, GroupError) and call.number:
            self.session = 0  # its number may be taken or not: the next call begins a session of its own
        if self.calls:
            self.rest = REST[0]
            self.reactor.callLater(0, self.attempt)
        if isinstance(told, Exception):
            call.told.errback(told)
        else:
            call.told.callback(told)

    # -- what happened ---------------------------------------------------------------------------------

    def greeted(self, link: Link, answer: Greeted) -> None:
        if link.opening is not self.opening:
            link.transport.abortConnection()
            return
        self.link = link
        self.welcome = answer.welcome == GreetingResult.ACCEPTED
        if not self.welcome:
            self.last = "{}:{} is of another group".format(*self.at)
            self.move()
        elif self.calls:
            self.ask(self.calls[0])

    def lost(self, opening: Opening) -> None:
        if opening is not self.opening:
            return  # one that was dropped before
        self.last = "no connection to {}:{}".format(*self.at)
        self.link = self.connector = self.opening = None
        if self.calls and not self.closed:
            self.move()

    def replied(self, link: Link, reply: Reply) -> None:
        if link is not self.link or not self.calls or reply.number != self.requests:
            return
        call = self.calls[0]
        try:
            content = msgspec.msgpack.decode(reply.content)
        except UNDECODABLE:  # spoilt on its way: as if it had not come
            link.transport.abortConnection()
            return
        if reply.done:
            if call.what == "propose" and not self.session:
                self.session, self.number = content, 0
                self.attempt()
                return
            self.finish(content)
        elif content in FINAL:
            self.finish(GroupError(content, False))
        elif content in SessionOutcome.__members__:  # the group knows the session no more, or never did
            self.session = 0
            self.finish(GroupError(f"the group has dropped the session ({content.lower()})", call.maybe))
        else:
            self.last = content
            there = (reply.host, reply.port)
            if reply.leader and there != self.at and reply.port:
                self.move(there)
            elif content == RejectReason.NOT_LEADER.value:
                self.move()
            else:
                self.again()

    def close(self) -> None:
        self.closed = True
        self.stop_timer()
        self.drop_link()
        while self.calls:
            call = self.calls.popleft()
            call.told.errback(GroupError("the client was closed", call.maybe))
