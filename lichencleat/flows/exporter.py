"""Sends records to collectors, over UDP and TCP. What serving has to do with it is a few additions and one
look each 0.1 s.

Nothing here waits for a collector: what it does not take stays in its channel, which is bounded. Owns the
links; each is given back in `Link.stop`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientFactory, DatagramProtocol, connectionDone
from twisted.internet.protocol import Protocol as StreamProtocol

from lichencleat.flows.channel import Channel, Wire
from lichencleat.flows.meter import Meter, Record

TICK = 100_000  # µs between looks at what is due: by so much a record may be late
RECORDS_A_TICK = 2_000  # records taken from the meter at one look: some ms; more than connections can end
CALLS_A_TICK = 4  # times that one channel is asked for messages at one look
CONNECT_WAIT = 3.0  # s for a TCP connection: a black-holed collector answers nothing
AGAIN_FIRST, AGAIN_MOST = 500_000, 30_000_000  # µs between tries to connect, doubling
REFUSED_SPAN = 1_000_000  # µs that nothing is sent after an ICMP refusal: nobody is there
SLOW_LONG = 30_000_000  # µs that a TCP collector may take nothing before it is cut off
SPREAD = 4  # a try to connect comes up to a quarter of its span early, by chance: nodes began together
SECOND = 1_000_000  # µs


class Timers(Protocol):
    """As node/deadlines.py: one heap of timers."""

    def after(self, span: int, call: Callable[..., None], *args: Any) -> Any: ...

    def cancel(self, timer: Any) -> None: ...


class Report(Protocol):
    def count(self, peer: str, what: str, amount: int = 1) -> None: ...

    def note(self, text: str) -> None: ...


class Udp(DatagramProtocol):
    """A connected socket, so that a refusal is heard of."""

    noisy = False

    def __init__(self, link: Link, address: tuple[str, int]) -> None:
        self.link, self.address = link, address

    def startProtocol(self) -> None:
        self.transport.connect(*self.address)
        self.link.up(self)

    def connectionRefused(self) -> None:
        self.link.refused()

    def stopProtocol(self) -> None:
        """The reactor closes a connected socket on which a refusal is all that there is to read."""
        self.link.lost(self)

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        # it has nothing to say: not read further
        self.link.report.count("flows", "datagrams from a collector")

    def send(self, messages: list[bytes]) -> None:
        for at, each in enumerate(messages):
            try:
                self.transport.write(each)
            except OSError:  # no buffer, no route: UDP may lose what it likes, and that is told
                self.link.report.count("flows", "messages lost", len(messages) - at)
                return

    def end(self) -> None:
        if self.transport is not None:
            self.transport.stopListening()


class Tcp(StreamProtocol):
    """Asks its link for more only while the transport takes more."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.paused = False

    def connectionMade(self) -> None:
        self.transport.registerProducer(self, True)
        self.link.up(self)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.link.lost(self)

    def dataReceived(self, data: bytes) -> None:
        self.link.report.count("flows", "octets from a collector", len(data))

    def pauseProducing(self) -> None:
        self.paused = True
        self.link.stalls()

    def resumeProducing(self) -> None:
        self.paused = False
        self.link.goes_on()

    def stopProducing(self) -> None:
        self.paused = True

    def send(self, messages: list[bytes]) -> None:
        self.transport.writeSequence(messages)

    def end(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        self.transport.abortConnection()


class TcpFactory(ClientFactory):
    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Tcp | None:
        return Tcp(self.link)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.failed(connector)


class Link:
    """One collector: its channel, and the socket while there is one."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], int],
        timers: Timers,
        report: Report,
        rng: Any,
        name: str,
        address: tuple[str, int],
        channel: Channel,
    ) -> None:
        self.reactor, self.clock, self.timers, self.report, self.rng = reactor, clock, timers, report, rng
        self.name, self.address, self.channel = name, address, channel
        self.peer: Udp | Tcp | None = None
        self.attempt: Any = None  # a connector, or a UDP port
        self.again: Any = None  # the timer of the next try
        self.slow: Any = None  # the timer that ends a collector which takes nothing
        self.span = AGAIN_FIRST
        self.quiet_until = 0  # µs: after a refusal
        self.told_dead = False  # a line said that nobody listens
        self.probing = False  # over UDP: whether anybody listens is not known
        self.probed = False  # templates went out, and no refusal of them came yet
        self.stopped = False

    def start(self) -> None:
        self.again = None
        if self.stopped:
            return
        if self.channel.wire is Wire.IPFIX_TCP:
            self.attempt = self.reactor.connectTCP(*self.address, TcpFactory(self), timeout=CONNECT_WAIT)
        else:
            try:
                self.attempt = self.reactor.listenUDP(0, Udp(self, self.address))
            except OSError as wrong:  # Twisted's CannotListenError is one: no descriptor is left
                self.report.count("flows", "links failed")
                self.report.note(f"flows: {self.name}: {wrong}")
                self.later()

    def alive(self) -> bool:
        """As far as can be known: UDP says nothing of a collector that only is silent."""
        quiet = self.clock() < self.quiet_until or (self.probing and not self.probed)
        return self.peer is not None and not quiet and self.slow is None

    def up(self, peer: Udp | Tcp) -> None:
        self.peer = peer
        self.probing, self.probed = isinstance(peer, Udp), False
        self.channel.begin(self.clock())
        self.report.count("flows", "links up")
        if not self.probing:
            self.takes_records()

    def takes_records(self) -> None:
        """Somebody is there, as far as can be known: tries begin from the shortest span again."""
        self.span, self.told_dead = AGAIN_FIRST, False
        self.report.note(f"flows: {self.name}: takes records")

    def refused(self) -> None:
        if not self.told_dead:  # once, however long it lasts
            self.told_dead = True
            self.report.note(f"flows: {self.name}: nobody listens there")
        self.report.count("flows", "refusals")
        self.quiet_until = self.clock() + REFUSED_SPAN
        self.channel.refused()
        self.probing, self.probed = True, False

    def failed(self, connector: Any) -> None:
        if connector is self.attempt:
            self.attempt = None  # one that has failed can't be stopped again
            self.report.count("flows", "links failed")
            self.later()

    def lost(self, peer: Udp | Tcp) -> None:
        """The socket is gone, and not by our own doing."""
        if peer is self.peer:
            self.peer = self.attempt = None
            if isinstance(peer, Udp):
                self.refused()
            self.timers.cancel(self.slow)
            self.slow = None
            self.report.count("flows", "links lost")
            if not self.stopped:
                if isinstance(peer, Tcp):
                    self.report.note(f"flows: {self.name}: lost")
                self.later()

    def later(self) -> None:
        if not self.stopped and self.again is None:
            early = self.rng.randrange(self.span // SPREAD)
            self.again = self.timers.after(self.span - early, self.start)
            self.span = min(2 * self.span, AGAIN_MOST)

    def stalls(self) -> None:
        if self.slow is None:
            self.slow = self.timers.after(SLOW_LONG, self.too_slow)

    def goes_on(self) -> None:
        self.timers.cancel(self.slow)
        self.slow = None

    def too_slow(self) -> None:
        self.slow = None
        self.report.count("flows", "collectors cut off: took nothing")
        if isinstance(self.peer, Tcp):
            self.peer.abort()

    def pump(self) -> None:
        """Sends what is due, as long as it is taken; over UDP templates first, and records a look later.

        Guards against losing records to a port where nobody listens: a refusal of the templates comes before
        them.
        """
        self.channel.settled()
        if self.probing and self.peer is not None and self.clock() >= self.quiet_until:
            if not self.probed:
                self.probed = True
                self.peer.send(self.channel.probe(self.clock()))
                return
            self.probing = False
            self.takes_records()
        for _ in range(CALLS_A_TICK):
            peer = self.peer
            if peer is None or (isinstance(peer, Tcp) and peer.paused) or self.clock() < self.quiet_until:
                return
            messages = self.channel.next_messages(self.clock())
            if not messages:
                return
            peer.send(messages)

    def move(self, address: tuple[str, int]) -> None:
        """To another address: what waits goes there."""
        if address != self.address:
            self.address = address
            self.close()
            self.span, self.quiet_until = AGAIN_FIRST, 0
            self.start()

    def close(self) -> None:
        peer, self.peer = self.peer, None
        attempt, self.attempt = self.attempt, None
        self.timers.cancel(self.again)
        self.timers.cancel(self.slow)
        self.again = self.slow = None
        if peer is not None:
            peer.end()
        elif attempt is not None and hasattr(attempt, "stopConnecting"):
            attempt.stopConnecting()

    def stop(self) -> None:
        self.stopped = True
        self.close()


class Exporter:
    """Takes what the meter has due to the collectors: to all, or to the first that lives."""

    def __init__(
        self, meter: Meter, links: list[Link], clock: Callable[[], int], timers: Timers, to_all: bool
    ) -> None:
        self.meter, self.links, self.clock, self.timers = meter, links, clock, timers
        self.to_all = to_all
        self.timer: Any = None
        self.flushed: Deferred[None] | None = None
        self.flush_by = 0
        self.over = False

    def start(self) -> None:
        for each in self.links:
            each.start()
        self.tick()

    def tick(self) -> None:
        self.timer = self.timers.after(TICK, self.tick)
        self.look()

    def look(self) -> None:
        now = self.clock()
        for _ in range(RECORDS_A_TICK):
            record = self.meter.next_record(now)
            if record is None:
                break
            self.feed(record)
        for each in self.links:
            each.pump()
        if self.flushed is not None and (now >= self.flush_by or self.done()):
            self.end()

    def feed(self, record: Record) -> None:
        if self.to_all:
            for each in self.links:
                each.channel.pressure.offer(record)
        else:
            living = next((each for each in self.links if each.alive()), self.links[0])
            living.channel.pressure.offer(record)

    def done(self) -> bool:
        return not self.meter.ready and not any(len(each.channel.pressure) for each in self.links)

    def flush(self, budget: int) -> Deferred[None]:
        """The last of it, in `budget` µs at the most; then the links close. Fires with what waits given up,
        if so.
        """
        if self.over:
            return succeed(None)
        if self.flushed is None:
            self.flushed = Deferred()
            told, now = self.flushed, self.clock()
            self.flush_by = now + budget
            self.meter.drain(now)
            for each in self.links:
                each.channel.statistics_due = now
            self.look()
            return told
        return self.flushed

    def end(self) -> None:
        self.timers.cancel(self.timer)
        self.timer = None
        for each in self.links:
            each.stop()
        told, self.flushed, self.over = self.flushed, None, True
        assert told is not None
        told.callback(None)

    def beliefs(self) -> str:
        parts = [
            f"{each.name} {'up' if each.alive() else 'down'}, {len(each.channel.pressure)} wait, "
            f"{each.channel.records} sent, {each.channel.pressure.folded} folded"
            for each in self.links
        ]
        return f"{len(self.meter.round)} flows open; " + "; ".join(parts)
