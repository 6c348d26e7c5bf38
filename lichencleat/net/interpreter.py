"""The link to the interpreter: runs by their ids, notices in order, gauges; renewed when it breaks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from lichencleat.net.deadlines import Deadline, Deadlines
from lichencleat.net.framing import BrokenFramingError
from lichencleat.net.lines import LineReader, line, line_with_body
from lichencleat.net.report import Report
from lichencleat.terms import Outcome

AGAIN = 200_000  # µs before a lost link is renewed: well under any limit, and no burden on the interpreter
CONNECT_WAIT = 2_000_000  # µs for a connection on the same machine
OUTCOMES = {
    b"PASS": Outcome.COMPLETED,
    b"FAIL": Outcome.ERRED,
    b"KILLED": Outcome.STOPPED,
    b"NOOP": Outcome.VOID,
}
CARRIES_BODY = {b"VALUE": 6, b"AWAIT": 4}  # words of a notice whose last one is a length


class Run:
    """One run: who hears of it, and the last command about it that no notice has confirmed."""

    __slots__ = ("ident", "waits", "ended", "command", "written", "harmless", "stopping")

    def __init__(
        self,
        ident: bytes,
        waits: Callable[[bytes], None],
        ended: Callable[[Outcome, int, bytes], None],
    ) -> None:
        self.ident, self.waits, self.ended = ident, waits, ended
        self.command: list[bytes] = []
        self.written = False
        self.harmless = False  # to say the command again
        self.stopping = False


class Link(Protocol):
    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter
        self.reader = LineReader(lambda words: len(words) == CARRIES_BODY.get(words[0] if words else b""))
        self.ready = False  # all notices that the last link may have missed were read
        self.gauges: dict[bytes, Deferred] = {}

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.writeSequence(line(b"CONNECT", b"%d" % self.interpreter.last_notice))

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.interpreter.take(self, words, body)
        except BrokenFramingError as broken:
            self.interpreter.report.count("interpreter", "broken framing")
            self.interpreter.report.note(f"interpreter: {broken}; the link is renewed")
            self.transport.abortConnection()

    def ask_gauges(self, tag: bytes) -> Deferred:
        asked = Deferred(lambda given_up: self.gauges.pop(tag, given_up).callback(None))
        self.gauges[tag] = asked
        self.transport.writeSequence(line(b"TOP", tag))
        return asked

    def connectionLost(self, reason: Any = connectionDone) -> None:
        asked, self.gauges = self.gauges, {}
        for each in asked.values():
            each.callback(None)
        self.interpreter.link_lost(self)


class Interpreter(ClientFactory):
    noisy = False

    def __init__(self, reactor: Any, address: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.reactor, self.address = reactor, address
        self.deadlines, self.report = deadlines, report
        self.runs: dict[bytes, Run] = {}
        self.last_notice = self.tops = 0
        self.link: Link | None = None
        self.up: Deferred | None = Deferred()  # fires once: is it cold
        self.closed = False
        self.reached_by: Deadline | None = None

    # --- the link ---

    def start(self) -> Deferred:
        self.connect()
        return self.up

    def connect(self) -> None:
        if not self.closed:
            connector = self.reactor.connectTCP(*self.address, self, timeout=None)
            self.reached_by = self.deadlines.after(CONNECT_WAIT, connector.stopConnecting)

    def buildProtocol(self, addr: Any) -> Link:
        self.deadlines.cancel(self.reached_by)
        self.link = Link(self)
        return self.link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.deadlines.cancel(self.reached_by)
        self.report.count("interpreter", "connections failed")
        self.deadlines.after(AGAIN, self.connect)

    def link_lost(self, link: Link) -> None:
        if link is self.link:
            self.link = None
        if not self.closed:
            self.report.count("interpreter", "links lost")
            self.report.note("interpreter: link lost, renewed soon")
            self.deadlines.after(AGAIN, self.connect)

    def stop(self) -> None:
        self.closed = True
        if self.link is not None:
            self.link.transport.loseConnection()

    # --- commands ---

    def apply(self, run: Run, tariff: bytes, body: bytes, pure: bool) -> None:
        self.runs[run.ident] = run
        run.harmless = pure
        self.command(run, line_with_body(b"APPLY", run.ident, tariff, body=body))

    def resolve(self, run: Run, reply: bytes) -> None:
        run.harmless = False
        self.command(run, line_with_body(b"RESOLVE", run.ident, body=reply))

    def halt(self, run: Run) -> None:
        run.stopping = True
        if self.link is not None and self.link.ready:
            self.write(self.link, line(b"BREAK", run.ident))

    def command(self, run: Run, command: list[bytes]) -> None:
        run.command = command
        run.written = self.link is not None and self.link.ready
        if run.written:
            self.write(self.link, command)

    def write(self, link: Link, command: list[bytes]) -> None:
        self.report.count("interpreter", "sent " + command[0].split(b" ", 1)[0].decode())
        link.transport.writeSequence(command)

    def renew(self, link: Link) -> None:
        """Says again what the lost link may have swallowed, once all notices that it missed were read.

        Guards the rule on effects: a command may have been carried out since, and its run be over or at its
        next call. So only what was never written is said again, and the beginning of pure runs.
        """
        link.ready = True
        for run in self.runs.values():
            if run.command and (not run.written or run.harmless):
                run.written = True
                self.write(link, run.command)
            if run.stopping:
                self.write(link, line(b"BREAK", run.ident))

    def gauges(self) -> Deferred | None:
        """Fires with the readings, or with None where they are cancelled or the link is lost."""
        if self.link is None or not self.link.ready:
            return None
        self.tops += 1
        return self.link.ask_gauges(b"g%d" % self.tops)

    # --- notices ---

    def take(self, link: Link, words: list[bytes], body: bytes) -> None:
        """Guards the node against one bad notice: it is counted and passed over."""
        kind = words[0] if words else b""
        try:
            if link is not self.link:
                return
            if kind in (b"VALUE", b"AWAIT", b"TRACE"):
                number = int(words[1])
                if number <= self.last_notice:
                    self.report.count("interpreter", "notices come again")
                    return
                self.last_notice = number
            self.report.count("interpreter", "got " + kind.decode("ascii", "replace")[:16])
            if kind == b"VALUE":
                self.over(words[2], words[3], float(words[4]), body)
            elif kind == b"AWAIT":
                self.waits(words[2], body)
            elif kind == b"TOPS":
                self.told(link, words[1], [float(each) for each in words[2:]])
            elif kind == b"BANNER":
                self.banner(link, words[1], float(words[2]))
            elif kind == b"ERROR":
                self.erred(words)
            elif kind != b"TRACE":
                self.report.note(f"interpreter: unknown notice {kind[:40]!r}")
        except (ValueError, IndexError) as wrong:
            self.report.count("interpreter", "notices unreadable")
            self.report.note(f"interpreter: {b' '.join(words)[:80]!r}: {wrong}")
        except Exception:
            self.report.trouble(f"the notice {kind[:16]!r}")

    def banner(self, link: Link, state: bytes, age_ms: float) -> None:
        self.report.note(f"interpreter: {state.decode('ascii', 'replace')}, up for {age_ms:.0f} ms")
        self.report.count("interpreter", "banner " + state.decode("ascii", "replace")[:16])
        link.ask_gauges(b"sync").addCallback(lambda got: got is not None and self.renew(link))
        if self.up is not None:
            self.up, up = None, self.up
            up.callback(state == b"EMPTY")

    def told(self, link: Link, tag: bytes, readings: list[float]) -> None:
        asked = link.gauges.pop(tag, None)
        if asked is not None:
            asked.callback(readings)

    def waits(self, ident: bytes, body: bytes) -> None:
        run = self.runs.get(ident)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            return
        run.command = []
        run.waits(body)

    def over(self, ident: bytes, end: bytes, took_ms: float, result: bytes) -> None:
        if end not in OUTCOMES:
            raise ValueError(f"unknown end {end!r}")
        run = self.runs.pop(ident, None)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            return
        self.report.count("interpreter", "ended " + end.decode())
        run.ended(OUTCOMES[end], int(took_ms * 1000), result)

    def erred(self, words: list[bytes]) -> None:
        """A command that was not carried out; one to begin a run means that there is none."""
        self.report.note(f"interpreter: {b' '.join(words)[:80].decode('ascii', 'replace')}")
        run = self.runs.pop(words[2], None) if words[1] == b"APPLY" else None
        if run is not None:
            run.ended(Outcome.ERRED, 0, b"")
