"""TCP relays in front of the members, which block, delay or reset connections depending on the caller.

A relay reads the caller's name from the greeting. Bytes in a blocked direction are kept and delivered when
the block ends, like in a network partition that ends before TCP gives up. The relays run on a reactor of
their own in a thread; `Relays` is called from the thread of the test.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.internet.threads import blockingCallFromThread

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.frames import Greeting, decode_frame

LOCAL = "127.0.0.1"
CLIENT = "client"  # name used for callers whose greeting has no name


class Link:
    """A relayed connection: its caller, and the bytes that wait in both directions."""

    def __init__(self, relay: Relay, caller_side: CallerSide) -> None:
        self.relay, self.caller_side = relay, caller_side
        self.member_side: MemberSide | None = None
        self.caller = ""
        self.head = b""  # bytes received before the caller is known
        self.to_server: list[bytes] = []
        self.to_caller: list[bytes] = []

    def from_caller(self, data: bytes) -> None:
        """Forward bytes to the member; connect to the member once the caller is known."""
        if not self.caller:
            self.head += data
            name = self.relay.caller or read_caller_name(self.head)
            if name is None:
                return
            self.caller, data, self.head = name, self.head, b""
            self.relay.connect(self)
        self.to_server.append(data)
        self.flush()

    def from_server(self, data: bytes) -> None:
        """Forward bytes to the caller."""
        self.to_caller.append(data)
        self.flush()

    def flush(self) -> None:
        """Forward the waiting bytes of each direction that is not blocked."""
        relays, name = self.relay.relays, self.relay.name
        if self.member_side is not None and not relays.is_blocked(self.caller, name):
            self.write(self.member_side, self.to_server, self.caller, name)
        if not relays.is_blocked(name, self.caller):
            self.write(self.caller_side, self.to_caller, name, self.caller)

    def write(self, to: Any, waiting: list[bytes], sender: str, receiver: str) -> None:
        """Send the waiting bytes of one direction, after the delay of that direction."""
        data, waiting[:] = b"".join(waiting), []
        if not data:
            return
        delay = self.relay.relays.delays.get((sender, receiver), 0.0)
        if delay:
            self.relay.relays.reactor.callLater(delay, self.deliver, to, data)
        else:
            self.deliver(to, data)

    def deliver(self, to: Any, data: bytes) -> None:
        """Write bytes if the connection is still open."""
        if to.transport is not None and to.connected:
            to.transport.write(data)

    def abort(self) -> None:
        """Reset both sides of the connection."""
        self.relay.links.pop(self, None)
        for each in (self.caller_side, self.member_side):
            if each is not None and each.connected:
                each.transport.abortConnection()


class CallerSide(Protocol):
    """The caller's side of a relayed connection."""

    def __init__(self, relay: Relay) -> None:
        self.link = Link(relay, self)

    def connectionMade(self) -> None:
        self.link.relay.links[self.link] = None

    def dataReceived(self, data: bytes) -> None:
        self.link.from_caller(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.abort()


class MemberSide(Protocol):
    """The member's side of a relayed connection."""

    def __init__(self, link: Link) -> None:
        self.link = link

    def connectionMade(self) -> None:
        self.link.member_side = self
        self.link.flush()

    def dataReceived(self, data: bytes) -> None:
        self.link.from_server(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.abort()


class MemberConnector(ClientFactory):
    """Connects a relayed connection to the member."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, address: Any) -> MemberSide:
        return MemberSide(self.link)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.abort()


class Relay(Factory):
    """Listens in front of one member and relays the connections to it."""

    noisy = False

    def __init__(self, relays: Relays, name: str, member_port: int, caller: str = "") -> None:
        """`caller`: name of the only caller of the member, or "" to read the names from greetings."""
        self.relays, self.name, self.member_port, self.caller = relays, name, member_port, caller
        self.links: dict[Link, None] = {}
        self.port = relays.reactor.listenTCP(0, self, interface=LOCAL)

    def buildProtocol(self, address: Any) -> CallerSide:
        return CallerSide(self)

    def connect(self, link: Link) -> None:
        """Connect to the member."""
        self.relays.reactor.connectTCP(LOCAL, self.member_port, MemberConnector(link), timeout=2)


class Relays:
    """Owns the relays and the thread of their reactor; `close` ends both. Blocks and delays are set here."""

    def __init__(self) -> None:
        self.reactor: Any = EPollReactor()
        self.by_name: dict[str, Relay] = {}
        self.blocked: set[tuple[str, str]] = set()  # blocked directions: (sender, receiver)
        self.delays: dict[tuple[str, str], float] = {}  # s, by (sender, receiver)
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()

    def call(self, what: Callable[..., Any], *args: Any) -> Any:
        """Call a function in the reactor's thread, wait for its Deferred, and return the result."""
        return blockingCallFromThread(self.reactor, what, *args)

    def add_relay(self, name: str, member_port: int, caller: str = "") -> int:
        """Start a relay to the port of a member, and return the port of the relay. `caller`: see `Relay`."""

        def make() -> int:
            self.by_name[name] = Relay(self, name, member_port, caller)
            return self.by_name[name].port.getHost().port

        return self.call(make)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether the direction from the sender to the receiver is blocked."""
        return (sender, receiver) in self.blocked

    def block(self, pairs: set[tuple[str, str]]) -> None:
        """Block each direction (sender, receiver). Connections stay open; new ones get no answer."""
        self.call(self.blocked.update, pairs)

    def unblock(self, pairs: set[tuple[str, str]]) -> None:
        """Unblock the directions and deliver the bytes that were kept."""

        def go() -> None:
            self.blocked -= pairs
            for relay in self.by_name.values():
                for link in list(relay.links):
                    link.flush()

        self.call(go)

    def set_delay(self, pairs: set[tuple[str, str]], delay: float) -> None:
        """Delay each direction (sender, receiver) by so many seconds; 0 ends the delay."""
        self.call(self.delays.update, dict.fromkeys(pairs, delay))

    def reset(self, name: str) -> None:
        """Reset every connection to a member."""
        self.call(lambda: [each.abort() for each in list(self.by_name[name].links)])

    def close(self) -> None:
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(10)


def read_caller_name(head: bytes) -> str | None:
    """Return the caller's name from the greeting, or None while the first frame is incomplete."""
    if len(head) < 4 or len(head) < 4 + (size := int.from_bytes(head[:4], "big")):
        return None
    try:
        frame = decode_frame(head[4 : 4 + size])
    except UNDECODABLE:
        return CLIENT
    return frame.caller_name or CLIENT if isinstance(frame, Greeting) else CLIENT
