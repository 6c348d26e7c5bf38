"""Sends flow records to collectors over UDP and TCP. While serving, the node only adds to counters; this
module exports what is due every 0.1 s.

Nothing waits for a collector: what a collector does not accept stays in its bounded channel. The exporter
owns one link per collector; `Link.stop` closes a link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientFactory, DatagramProtocol, connectionDone
from twisted.internet.protocol import Protocol as StreamProtocol

from lichencleat.flows.channel import Channel, Wire
from lichencleat.flows.meter import Meter, Record

TICK_US = 100_000  # µs between exports of due records; a record may be late by up to this time
# records taken from the meter per tick: takes some ms, and is more than connections can end in a tick
MAX_RECORDS_PER_TICK = 2_000
MAX_CALLS_PER_TICK = 4  # calls of a channel's next_messages per tick
CONNECT_TIMEOUT_S = 3.0  # s to establish a TCP connection; an unreachable collector may not answer at all
# µs between attempts to connect; doubles each time
MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 500_000, 30_000_000
REFUSED_PAUSE_US = 1_000_000  # µs without sending after an ICMP refusal, as nobody listens
STALL_TIMEOUT_US = 30_000_000  # µs that a TCP collector may accept no data before the connection is aborted
# the delay before an attempt to connect is reduced by a random part, at most a quarter, because nodes that
# start together would otherwise connect together
JITTER_DIVISOR = 4
SECOND = 1_000_000  # µs


class Timers(Protocol):
    """The timers of node/deadlines.py."""

    def after(self, span: int, call: Callable[..., None], *args: Any) -> Any:
        """Call `call` in `span` µs. Return a timer for `cancel`."""
        ...

    def cancel(self, timer: Any) -> None:
        """Cancel a timer; None is ignored."""
        ...


class Report(Protocol):
    """Counters and log of the node."""

    def count(self, peer: str, what: str, amount: int = 1) -> None:
        """Add to the counter `what` of a peer or subsystem."""
        ...

    def note(self, text: str) -> None:
        """Write a line to the log."""
        ...


class Udp(DatagramProtocol):
    """A connected UDP socket. Connecting makes the kernel report ICMP refusals."""

    noisy = False

    def __init__(self, link: Link, address: tuple[str, int]) -> None:
        self.link, self.address = link, address

    def startProtocol(self) -> None:
        self.transport.connect(*self.address)
        self.link.on_connected(self)

    def connectionRefused(self) -> None:
        self.link.on_refused()

    def stopProtocol(self) -> None:
        """Handle that the reactor closed the socket, which it does when a refusal is all that there is to
        read.
        """
        self.link.on_disconnected(self)

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        # a collector has nothing to send; the data is ignored
        self.link.report.count("flows", "datagrams from a collector")

    def send(self, messages: list[bytes]) -> None:
        """Send messages as datagrams. If the kernel does not accept one, count it and the rest as lost."""
        for at, each in enumerate(messages):
            try:
                self.transport.write(each)
            except OSError:  # no buffer or no route; UDP may lose messages, which is counted
                self.link.report.count("flows", "messages lost", len(messages) - at)
                return

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.stopListening()


class Tcp(StreamProtocol):
    """A TCP connection to a collector. Messages are sent only while the transport accepts data."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.paused = False

    def connectionMade(self) -> None:
        self.transport.registerProducer(self, True)
        self.link.on_connected(self)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.link.on_disconnected(self)

    def dataReceived(self, data: bytes) -> None:
        self.link.report.count("flows", "octets from a collector", len(data))

    def pauseProducing(self) -> None:
        self.paused = True
        self.link.on_stalled()

    def resumeProducing(self) -> None:
        self.paused = False
        self.link.on_resumed()

    def stopProducing(self) -> None:
        self.paused = True

    def send(self, messages: list[bytes]) -> None:
        """Write messages to the connection."""
        self.transport.writeSequence(messages)

    def close(self) -> None:
        """Close the connection after buffered data is sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abortConnection()


class TcpFactory(ClientFactory):
    """Makes the connection of a link, and reports when connecting fails."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Tcp | None:
        return Tcp(self.link)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.on_connect_failed(connector)


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
        self.attempt: Any = None  # connector of TCP, or port of UDP
        self.retry_timer: Any = None  # timer of the next attempt to connect
        self.stall_timer: Any = None  # timer that aborts a connection that accepts no data
        self.retry_delay = MIN_RETRY_DELAY_US
        self.paused_until = 0  # µs of Unix time until which nothing is sent, after a refusal
        self.refusal_logged = False  # the refusal was logged
        self.probing = False  # over UDP: it is not known whether anybody listens
        self.probed = False  # templates were sent, and no refusal of them has arrived
        self.stopped = False

    def start(self) -> None:
        """Open the UDP socket or start to connect over TCP."""
        self.retry_timer = None
        if self.stopped:
            return
        if self.channel.wire is Wire.IPFIX_TCP:
            self.attempt = self.reactor.connectTCP(*self.address, TcpFactory(self), timeout=CONNECT_TIMEOUT_S)
        else:
            try:
                self.attempt = self.reactor.listenUDP(0, Udp(self, self.address))
            except OSError as wrong:  # CannotListenError of Twisted is an OSError: no descriptor is left
                self.report.count("flows", "links failed")
                self.report.note(f"flows: {self.name}: cannot open a UDP socket: {wrong}")
                self.schedule_retry()

    def is_alive(self) -> bool:
        """Say whether the collector seems to accept records. Over UDP, a silent collector cannot be told from
        a stopped one.
        """
        quiet = self.clock() < self.paused_until or (self.probing and not self.probed)
        return self.peer is not None and not quiet and self.stall_timer is None

    def on_connected(self, peer: Udp | Tcp) -> None:
        """Handle a new socket: start a session of the channel."""
        self.peer = peer
        self.probing, self.probed = isinstance(peer, Udp), False
        self.channel.begin_session(self.clock())
        self.report.count("flows", "links up")
        if not self.probing:
            self.on_accepting()

    def on_accepting(self) -> None:
        """Log that the collector seems to accept records, and reset the retry delay."""
        self.retry_delay, self.refusal_logged = MIN_RETRY_DELAY_US, False
        self.report.note(f"flows: {self.name}: accepts records")

    def on_refused(self) -> None:
        """Handle an ICMP refusal: count the records sent last as lost and pause."""
        if not self.refusal_logged:  # log once, however long refusals continue
            self.refusal_logged = True
            self.report.note(f"flows: {self.name}: refuses datagrams, nobody listens")
        self.report.count("flows", "refusals")
        self.paused_until = self.clock() + REFUSED_PAUSE_US
        self.channel.on_refused()
        self.probing, self.probed = True, False

    def on_connect_failed(self, connector: Any) -> None:
        """Handle a failed attempt to connect."""
        if connector is self.attempt:
            self.attempt = None  # a connector that failed must not be stopped
            self.report.count("flows", "links failed")
            self.schedule_retry()

    def on_disconnected(self, peer: Udp | Tcp) -> None:
        """Handle a socket that was closed, but not by `close`."""
        if peer is self.peer:
            self.peer = self.attempt = None
            if isinstance(peer, Udp):
                self.on_refused()
            self.timers.cancel(self.stall_timer)
            self.stall_timer = None
            self.report.count("flows", "links lost")
            if not self.stopped:
                if isinstance(peer, Tcp):
                    self.report.note(f"flows: {self.name}: connection lost")
                self.schedule_retry()

    def schedule_retry(self) -> None:
        """Schedule the next attempt to connect. The delay doubles each time, up to MAX_RETRY_DELAY_US."""
        if not self.stopped and self.retry_timer is None:
            early = self.rng.randrange(self.retry_delay // JITTER_DIVISOR)
            self.retry_timer = self.timers.after(self.retry_delay - early, self.start)
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY_US)

    def on_stalled(self) -> None:
        """Handle that the connection accepts no more data: start the timer that limits this."""
        if self.stall_timer is None:
            self.stall_timer = self.timers.after(STALL_TIMEOUT_US, self.on_stall_timeout)

    def on_resumed(self) -> None:
        """Handle that the connection accepts data again."""
        self.timers.cancel(self.stall_timer)
        self.stall_timer = None

    def on_stall_timeout(self) -> None:
        """Abort a connection that accepted no data for too long."""
        self.stall_timer = None
        self.report.count("flows", "collectors cut off: took nothing")
        if isinstance(self.peer, Tcp):
            self.peer.abort()

    def send_due(self) -> None:
        """Send what is due, while the socket accepts data. Over UDP, send the templates first and the records
        one tick later.

        Prevents losing records to a port where nobody listens: a refusal of the templates arrives before any
        record is sent.
        """
        self.channel.clear_unconfirmed()
        if self.probing and self.peer is not None and self.clock() >= self.paused_until:
            if not self.probed:
                self.probed = True
                self.peer.send(self.channel.probe(self.clock()))
                return
            self.probing = False
            self.on_accepting()
        for _ in range(MAX_CALLS_PER_TICK):
            peer = self.peer
            if peer is None or (isinstance(peer, Tcp) and peer.paused) or self.clock() < self.paused_until:
                return
            messages = self.channel.next_messages(self.clock())
            if not messages:
                return
            peer.send(messages)

    def move(self, address: tuple[str, int]) -> None:
        """Switch to another address of the collector. Queued records are sent there."""
        if address != self.address:
            self.address = address
            self.close()
            self.retry_delay, self.paused_until = MIN_RETRY_DELAY_US, 0
            self.start()

    def close(self) -> None:
        """Close the socket or stop connecting, and cancel the timers."""
        peer, self.peer = self.peer, None
        attempt, self.attempt = self.attempt, None
        self.timers.cancel(self.retry_timer)
        self.timers.cancel(self.stall_timer)
        self.retry_timer = self.stall_timer = None
        if peer is not None:
            peer.close()
        elif attempt is not None and hasattr(attempt, "stopConnecting"):
            attempt.stopConnecting()

    def stop(self) -> None:
        """Close the link for good."""
        self.stopped = True
        self.close()


class Exporter:
    """Distributes due records to the collectors: to all of them, or to the first one that is alive."""

    def __init__(
        self, meter: Meter, links: list[Link], clock: Callable[[], int], timers: Timers, to_all: bool
    ) -> None:
        self.meter, self.links, self.clock, self.timers = meter, links, clock, timers
        self.to_all = to_all
        self.timer: Any = None
        self.flushed: Deferred[None] | None = None
        self.flush_deadline = 0
        self.finished = False

    def start(self) -> None:
        """Start the links and the periodic export."""
        for each in self.links:
            each.start()
        self.tick()

    def tick(self) -> None:
        """Export what is due and schedule the next tick."""
        self.timer = self.timers.after(TICK_US, self.tick)
        self.export_due()

    def export_due(self) -> None:
        """Move due records from the meter to the channels, and send what is due. Finish a flush that is
        complete or out of time.
        """
        now = self.clock()
        for _ in range(MAX_RECORDS_PER_TICK):
            record = self.meter.next_record(now)
            if record is None:
                break
            self.enqueue(record)
        for each in self.links:
            each.send_due()
        if self.flushed is not None and (now >= self.flush_deadline or self.is_drained()):
            self.finish()

    def enqueue(self, record: Record) -> None:
        """Queue a record for all collectors, or for the first one that is alive. If none is alive, queue it
        for the first.
        """
        if self.to_all:
            for each in self.links:
                each.channel.queue.offer(record)
        else:
            living = next((each for each in self.links if each.is_alive()), self.links[0])
            living.channel.queue.offer(record)

    def is_drained(self) -> bool:
        """Say whether no record is left in the meter or in a channel."""
        return not self.meter.ready and not any(len(each.channel.queue) for each in self.links)

    def flush(self, budget: int) -> Deferred[None]:
        """Export all remaining records within `budget` µs, then close the links. The result fires when that
        is done or time is up; records that are still queued then are dropped.
        """
        if self.finished:
            return succeed(None)
        if self.flushed is None:
            self.flushed = Deferred()
            flushed, now = self.flushed, self.clock()
            self.flush_deadline = now + budget
            self.meter.drain(now)
            for each in self.links:
                each.channel.statistics_due = now
            self.export_due()
            return flushed
        return self.flushed

    def finish(self) -> None:
        """Stop the timer and the links, and complete the flush."""
        self.timers.cancel(self.timer)
        self.timer = None
        for each in self.links:
            each.stop()
        flushed, self.flushed, self.finished = self.flushed, None, True
        assert flushed is not None
        flushed.callback(None)

    def describe(self) -> str:
        """Return the state of the links in words, for the log."""
        parts = [
            f"{each.name} {'up' if each.is_alive() else 'down'}, {len(each.channel.queue)} wait, "
            f"{each.channel.records} sent, {each.channel.queue.folded} folded"
            for each in self.links
        ]
        return f"{len(self.meter.open_flows)} flows open; " + "; ".join(parts)
