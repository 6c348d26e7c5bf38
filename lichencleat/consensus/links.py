"""Connections between members, and those of clients: greetings, frames, what waits to be written. Decides
nothing.

A member's messages to another go over the link that it opened itself, once it knows where that is, and until
then back over the one that brought it word of the group; so each direction has a connection of its own, as a
cut in one direction has. What does not fit the link's bound is dropped: the group's members send it again.
"""

from __future__ import annotations

import random
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import Int32StringReceiver

from lichencleat.consensus.messages import Member, Message
from lichencleat.consensus.wire import (
    FRAME_MOST,
    Carried,
    Frame,
    Greeted,
    Greeting,
    Reply,
    Request,
    decode_frame,
    encode,
)
from lichencleat.decode_errors import UNDECODABLE

WAITING_MOST = 8 << 20  # bytes written and not taken by the kernel: a window of snapshots' pieces
AGAIN = (0.05, 1.0)  # s between tries to open a link, twice as long each time, with a drawn part
CALL = 3.0  # s for a connection to open and to be answered
CONNECTIONS_MOST = 1_024  # of clients and members that called; more are closed at once
REQUESTS_MOST = 256  # of one client, open at once


class Owner(Protocol):
    """What links are asked for and tell of."""

    def greeting(self, to: int) -> Greeting: ...

    def greeted(self, seat: int, answer: Greeted) -> bool: ...

    def called(self, link: Called, greeting: Greeting) -> None: ...

    def hears(self, message: Message) -> None: ...

    def asked(self, link: Called, request: Request) -> None: ...

    def link_lost(self, seat: int) -> None: ...

    def hung_up(self, link: Called, seat: int) -> None: ...

    def count(self, what: str) -> None: ...


class Framed(Int32StringReceiver):
    MAX_LENGTH = FRAME_MOST

    def send(self, frame: Frame) -> bool:
        """False where too much waits already: it was dropped."""
        if not self.connected or self.waiting() > WAITING_MOST:
            return False
        self.sendString(encode(frame))
        return True

    def waiting(self) -> int:
        transport: Any = self.transport
        return len(transport.dataBuffer) + transport._tempDataLen if hasattr(transport, "_tempDataLen") else 0

    def read(self, data: bytes) -> Frame | None:
        """A frame that is none ends the connection: what follows it can't be known."""
        try:
            return decode_frame(data)
        except UNDECODABLE:
            self.transport.abortConnection()
            return None

    def lengthLimitExceeded(self, length: int) -> None:
        self.transport.abortConnection()


class Calling(Framed):
    """The link that this member opened to another."""

    def __init__(self, out: Out) -> None:
        self.out = out

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.send(self.out.owner.greeting(self.out.member.member_id))

    def stringReceived(self, data: bytes) -> None:
        frame = self.read(data)
        if isinstance(frame, Greeted):
            self.out.answered(self, frame)
        elif isinstance(frame, Carried) and frame.message.sender == self.out.member.member_id:
            self.out.owner.hears(frame.message)  # of one that does not know yet where this member is
        elif frame is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.out.over(self)


class Out(ClientFactory):
    """Owns the link to one member: opened again as long as it is wanted, given back in `close`."""

    noisy = False

    def __init__(self, reactor: Any, owner: Owner, member: Member, rng: random.Random) -> None:
        self.reactor, self.owner, self.member, self.rng = reactor, owner, member, rng
        self.link: Calling | None = None  # greeted and answered
        self.opening: Any = None
        self.again: Any = None
        self.patience: Any = None
        self.span = AGAIN[0]
        self.closed = False
        self.open()

    def open(self) -> None:
        self.again = None
        self.opening = self.reactor.connectTCP(self.member.host, self.member.port, self, timeout=CALL)

    def buildProtocol(self, address: Any) -> Calling:
        made = Calling(self)
        self.patience = self.reactor.callLater(CALL, self.give_up, made)
        return made

    def give_up(self, made: Calling) -> None:
        """Guards against a peer that takes the connection and says nothing."""
        self.patience = None
        made.transport.abortConnection()

    def answered(self, made: Calling, answer: Greeted) -> None:
        self.calm()
        if self.closed or not self.owner.greeted(self.member.member_id, answer):
            made.transport.loseConnection()
            return
        self.link, self.span = made, AGAIN[0]

    def calm(self) -> None:
        if self.patience is not None:
            self.patience.cancel()
            self.patience = None

    def over(self, made: Calling) -> None:
        self.calm()
        if self.link is made:
            self.link = None
            self.owner.link_lost(self.member.member_id)
        self.retry()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.retry()

    def retry(self) -> None:
        if not self.closed and self.again is None:
            span = self.span * (0.5 + self.rng.random())
            self.span = min(self.span * 2, AGAIN[1])
            self.again = self.reactor.callLater(span, self.open)

    def send(self, frame: Frame) -> None:
        if self.link is None or not self.link.send(frame):
            self.owner.count("messages dropped")

    def close(self) -> None:
        self.closed = True
        self.calm()
        if self.again is not None:
            self.again.cancel()
            self.again = None
        if self.opening is not None:
            self.opening.disconnect()


class Called(Framed):
    """A connection that a member or a client opened to this one."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.greeting: Greeting | None = None
        self.welcome = False  # it was answered well
        self.requests = 0  # open ones

    def connectionMade(self) -> None:
        if len(self.door.links) >= CONNECTIONS_MOST:
            self.door.owner.count("connections over the bound")
            self.transport.abortConnection()
            return
        self.door.links[self] = None
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)

    def connectionLost(self, reason: Any = None) -> None:
        self.door.links.pop(self, None)
        if self.greeting is not None:
            self.door.owner.hung_up(self, self.greeting.seat)

    def stringReceived(self, data: bytes) -> None:
        frame = self.read(data)
        owner = self.door.owner
        if isinstance(frame, Greeting) and self.greeting is None:
            self.greeting = frame
            owner.called(self, frame)
        elif isinstance(frame, Carried) and self.welcome and self.greeting is not None:
            mine = frame.group == self.greeting.group and frame.message.sender == self.greeting.seat
            if mine and self.greeting.seat:
                owner.hears(frame.message)
            else:
                owner.count("messages of another group or seat")
                self.transport.abortConnection()
        elif isinstance(frame, Request) and self.welcome and self.requests < REQUESTS_MOST:
            self.requests += 1
            owner.asked(self, frame)
        elif frame is not None:
            owner.count("frames out of place")
            self.transport.abortConnection()

    def reply(self, reply: Reply) -> None:
        self.requests -= 1
        self.send(reply)


class Door(Factory):
    """Owns what called this member; all are given back in `close`."""

    noisy = False

    def __init__(self, reactor: Any, owner: Owner, host: str, port: int) -> None:
        """Raises CannotListenError."""
        self.owner = owner
        self.links: dict[Called, None] = {}
        self.port = reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, address: Any) -> Called:
        return Called(self)

    def close(self) -> None:
        self.port.stopListening()
        for each in list(self.links):
            each.transport.loseConnection()
