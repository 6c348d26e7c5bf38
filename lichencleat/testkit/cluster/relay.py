"""What lies before each member: every connection to it passes here, and can be held, slowed or broken by who
calls.

A caller is known by the name in its greeting. A held link keeps its bytes and gives them out late, as a
partition does that ends before TCP gives up; a broken one is reset. Runs on a reactor of its own in a
thread; `Relays` is called from the test's.
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
CLIENT = "client"  # who greets without a name


class Link:
    """One connection, both ways: who calls, what is held."""

    def __init__(self, relay: Relay, inner: Inward) -> None:
        self.relay, self.inner = relay, inner
        self.outer: Outward | None = None
        self.caller = ""
        self.head = b""  # bytes until the caller is known
        self.to_server: list[bytes] = []
        self.to_caller: list[bytes] = []

    def from_caller(self, data: bytes) -> None:
        if not self.caller:
            self.head += data
            name = self.relay.caller or caller_of(self.head)
            if name is None:
                return
            self.caller, data, self.head = name, self.head, b""
            self.relay.connect(self)
        self.to_server.append(data)
        self.flush()

    def from_server(self, data: bytes) -> None:
        self.to_caller.append(data)
        self.flush()

    def flush(self) -> None:
        relays, name = self.relay.relays, self.relay.name
        if self.outer is not None and not relays.holds(self.caller, name):
            self.write(self.outer, self.to_server, self.caller, name)
        if not relays.holds(name, self.caller):
            self.write(self.inner, self.to_caller, name, self.caller)

    def write(self, to: Any, waiting: list[bytes], sender: str, receiver: str) -> None:
        data, waiting[:] = b"".join(waiting), []
        if not data:
            return
        delay = self.relay.relays.delays.get((sender, receiver), 0.0)
        if delay:
            self.relay.relays.reactor.callLater(delay, self.late, to, data)
        else:
            self.late(to, data)

    def late(self, to: Any, data: bytes) -> None:
        if to.transport is not None and to.connected:
            to.transport.write(data)

    def over(self) -> None:
        self.relay.links.pop(self, None)
        for each in (self.inner, self.outer):
            if each is not None and each.connected:
                each.transport.abortConnection()


class Inward(Protocol):
    def __init__(self, relay: Relay) -> None:
        self.link = Link(relay, self)

    def connectionMade(self) -> None:
        self.link.relay.links[self.link] = None

    def dataReceived(self, data: bytes) -> None:
        self.link.from_caller(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.over()


class Outward(Protocol):
    def __init__(self, link: Link) -> None:
        self.link = link

    def connectionMade(self) -> None:
        self.link.outer = self
        self.link.flush()

    def dataReceived(self, data: bytes) -> None:
        self.link.from_server(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.over()


class Dial(ClientFactory):
    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, address: Any) -> Outward:
        return Outward(self.link)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.over()


class Relay(Factory):
    """Before one member."""

    noisy = False

    def __init__(self, relays: Relays, name: str, to: int, caller: str = "") -> None:
        """`caller`: who calls, where all that call are one; else their greetings tell."""
        self.relays, self.name, self.to, self.caller = relays, name, to, caller
        self.links: dict[Link, None] = {}
        self.port = relays.reactor.listenTCP(0, self, interface=LOCAL)

    def buildProtocol(self, address: Any) -> Inward:
        return Inward(self)

    def connect(self, link: Link) -> None:
        self.relays.reactor.connectTCP(LOCAL, self.to, Dial(link), timeout=2)


class Relays:
    """Owns the reactor's thread, the relays and what is cut; all are given back in `close`."""

    def __init__(self) -> None:
        self.reactor: Any = EPollReactor()
        self.by_name: dict[str, Relay] = {}
        self.held: set[tuple[str, str]] = set()  # (from, to)
        self.delays: dict[tuple[str, str], float] = {}  # s
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()

    def call(self, what: Callable[..., Any], *args: Any) -> Any:
        return blockingCallFromThread(self.reactor, what, *args)

    def before(self, name: str, to: int, caller: str = "") -> int:
        """A port whose connections go to that one; `caller`: see `Relay`."""

        def make() -> int:
            self.by_name[name] = Relay(self, name, to, caller)
            return self.by_name[name].port.getHost().port

        return self.call(make)

    def holds(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.held

    def hold(self, pairs: set[tuple[str, str]]) -> None:
        """From now on nothing passes from the first to the second; connections stand, and new ones hang."""
        self.call(self.held.update, pairs)

    def release(self, pairs: set[tuple[str, str]]) -> None:
        """What was held arrives now."""

        def go() -> None:
            self.held -= pairs
            for relay in self.by_name.values():
                for link in list(relay.links):
                    link.flush()

        self.call(go)

    def slow(self, pairs: set[tuple[str, str]], delay: float) -> None:
        self.call(self.delays.update, dict.fromkeys(pairs, delay))

    def reset(self, name: str) -> None:
        """Every connection to that member is broken."""
        self.call(lambda: [each.over() for each in list(self.by_name[name].links)])

    def close(self) -> None:
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(10)


def caller_of(head: bytes) -> str | None:
    """The name in the first frame, once that is whole."""
    if len(head) < 4 or len(head) < 4 + (size := int.from_bytes(head[:4], "big")):
        return None
    try:
        frame = decode_frame(head[4 : 4 + size])
    except UNDECODABLE:
        return CLIENT
    return frame.caller_name or CLIENT if isinstance(frame, Greeting) else CLIENT
