"""The link to the interpreter: runs by their ids, notices in order, gauges; renewed when it breaks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from lichencleat.admission.types import Outcome
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.lines import LineReader, line, line_with_body
from lichencleat.node.report import Report

AGAIN = 50_000  # µs after a try to connect that failed: a lost link itself is renewed at once
CONNECT_WAIT = 1_000_000  # µs for a connection on the same machine
MAYBE_LOST = 100_000  # µs: twice what a link that breaks may take along of the commands written before
EARLY_MOST = 4_000  # ends of runs that an earlier life began, until it is known which: as many as are told
REPLACED_STAYS = 2_000_000  # µs that a replaced link may stay open: the other side ends it after 1.5 s
SILENT = 2_000_000  # µs without gauges, asked for ten times a second: to connect anew does no harm
KEPT_MOST = 4_000  # notices that are kept, by the protocol: a number further ahead was spoilt on the way
SPAN_MOST = 31_536_000_000.0  # ms, a year: no run takes longer, and no interpreter is up for longer
STATES = (b"EMPTY", b"LOADED")
KINDS = (b"VALUE", b"AWAIT", b"TRACE", b"TOPS", b"BANNER", b"ERROR")
OUTCOMES = {
    b"PASS": Outcome.COMPLETED,
    b"FAIL": Outcome.FAILED,
    b"KILLED": Outcome.ABORTED,
    b"NOOP": Outcome.SUPERSEDED,
}
CARRIES_BODY = {b"VALUE": 6, b"AWAIT": 4}  # words of a notice whose last one is a length


def whole(word: bytes) -> int:
    """Guards against what merely converts: signs, underscores, thousands of digits."""
    if not word.isdigit() or len(word) > 18:
        raise ValueError(f"no number: {word[:40]!r}")
    return int(word)


def figure(word: bytes) -> float:
    """Guards the decisions against figures that are none: a run that took `nan` ms would never be over."""
    value = float(word)
    if not 0 <= value <= SPAN_MOST:
        raise ValueError(f"no figure: {word[:40]!r}")
    return value


def micros(word: bytes) -> int:
    return int(figure(word) * 1000)


class Run:
    """One run: who hears of it, and the last command about it that no notice has confirmed."""

    __slots__ = ("ident", "waits", "ended", "command", "written", "written_at", "pure", "begun", "stopping")

    def __init__(
        self,
        ident: bytes,
        waits: Callable[[bytes], None],
        ended: Callable[[Outcome, int, bytes], None],
    ) -> None:
        self.ident, self.waits, self.ended = ident, waits, ended
        self.command: list[bytes] = []
        self.written = False
        self.written_at = 0
        self.pure = False
        self.begun = False  # a notice told of it
        self.stopping = False


class Link(Protocol):
    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter
        self.reader = LineReader(lambda words: len(words) == CARRIES_BODY.get(words[0] if words else b""))
        self.made_at = interpreter.deadlines.now()
        self.greeted = False  # its banner came: it is the answer to CONNECT, so there is one
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


class Connecting(ClientFactory):
    """One try to connect; a later one makes it void."""

    noisy = False

    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter

    def buildProtocol(self, addr: Any) -> Link | None:
        return self.interpreter.reached() if self is self.interpreter.connecting else None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if self is self.interpreter.connecting:
            self.interpreter.unreached()


class Interpreter:
    def __init__(self, reactor: Any, address: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.reactor, self.address = reactor, address
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links, where flow export does
        self.deadlines, self.report = deadlines, report
        self.runs: dict[bytes, Run] = {}
        self.last_notice = self.tops = 0
        self.link: Link | None = None
        self.up: Deferred | None = Deferred()  # fires once: is it cold
        self.closed = False
        self.began: Callable[[int], None] = lambda age: None  # told how long ago the interpreter started, µs
        self.early: dict[bytes, tuple[Outcome, int, bytes]] | None = None  # ends of runs not known here yet
        self.told_at = 0  # the last gauges
        self.lost_at: int | None = None  # the first link to break since commands were last known to arrive
        self.connecting: Connecting | None = None
        self.reached_by: Deadline | None = None
        self.again: Deadline | None = None

    # --- the link ---------------------------------------------------------------------------------

    def start(self) -> Deferred:
        self.connect()
        return self.up

    def connect(self) -> None:
        if not self.closed:
            self.deadlines.cancel(self.again)
            self.deadlines.cancel(self.reached_by)
            self.connecting = Connecting(self)
            connector = self.reactor.connectTCP(*self.address, self.wrap(self.connecting), timeout=None)
            self.reached_by = self.deadlines.after(CONNECT_WAIT, connector.stopConnecting)

    def reached(self) -> Link:
        """A new link replaces the one before, on which nothing is written from now on.

        Guards against losing what was written there last: to close it with notices unread would reset it.
        """
        self.deadlines.cancel(self.reached_by)
        self.connecting = None
        replaced, self.link = self.link, Link(self)
        if replaced is not None:
            self.deadlines.after(REPLACED_STAYS, replaced.transport.abortConnection)
        return self.link

    def unreached(self) -> None:
        self.deadlines.cancel(self.reached_by)
        self.connecting = None
        self.report.count("interpreter", "connections failed")
        self.again = self.deadlines.after(AGAIN, self.connect)

    def move(self, address: tuple[str, int]) -> bool:
        """A new address: the link there replaces the one that is open, and whatever try is under way."""
        if address == self.address:
            return False
        self.address = address
        if not self.closed:
            self.connect()
        return True

    def link_lost(self, link: Link) -> None:
        """Guards the runs against waiting: a lost link is renewed at once, unless that is under way."""
        if link is not self.link:
            return
        self.link = None
        if self.lost_at is None:
            self.lost_at = self.deadlines.now()
        if not self.closed:
            self.report.count("interpreter", "links lost")
            self.report.note("interpreter: link lost, renewed at once")
            if self.connecting is None:
                self.connect()

    def stop(self) -> None:
        self.closed = True
        if self.link is not None:
            self.link.transport.loseConnection()

    # --- commands ---------------------------------------------------------------------------------

    def apply(self, run: Run, request_class: bytes, body: bytes, pure: bool) -> None:
        self.runs[run.ident] = run
        run.pure = pure
        self.command(run, line_with_body(b"APPLY", run.ident, request_class, body=body))

    def adopt(self, ident: bytes, ended: Callable[[Outcome, int, bytes], None]) -> None:
        """A run that an earlier life of this node began, and that may be going on."""
        known = (self.early or {}).pop(ident, None)
        if known is not None:
            ended(*known)
            return
        run = self.runs[ident] = Run(ident, lambda body: None, ended)
        run.begun = True

    def resolve(self, run: Run, reply: bytes) -> None:
        self.command(run, line_with_body(b"RESOLVE", run.ident, body=reply))

    def halt(self, run: Run) -> None:
        """Stops a run of which nobody waits for the outcome.

        Guards against runs that never end here, as a link took their beginning along: told to stop once more,
        they are begun first. That does nothing where they run, and else a notice tells that they are over.
        """
        if self.link is not None and self.link.ready:
            if run.stopping and run.command and not run.begun:
                self.write(self.link, run.command)
            self.write(self.link, line(b"BREAK", run.ident))
        run.stopping = True

    def command(self, run: Run, command: list[bytes]) -> None:
        run.command = command
        run.written = self.link is not None and self.link.ready
        run.written_at = self.deadlines.now()
        if run.written:
            self.write(self.link, command)

    def write(self, link: Link, command: list[bytes]) -> None:
        self.report.count("interpreter", "sent " + command[0].split(b" ", 1)[0].decode())
        link.transport.writeSequence(command)

    def renew(self, link: Link) -> None:
        """Says again what the lost link may have swallowed, once all notices that it missed were read.

        Guards the rule on effects: a command may have been carried out since, and its run be over or at its
        next call. So what was never written is said again, and the beginning of pure runs, which does nothing
        where they run. A pure run whose reply may be lost with the link is stopped, which is told as such: a
        second reply might meet its next call. Harm: half of those that are stopped had their reply.
        """
        link.ready = True
        now, lost_at, self.lost_at = self.deadlines.now(), self.lost_at, None
        for run in self.runs.values():
            if run.command and not run.written:
                run.written, run.written_at = True, now
                self.write(link, run.command)
            elif run.command and run.pure and not run.begun:
                self.write(link, run.command)
            elif run.command and run.pure and lost_at is not None and run.written_at > lost_at - MAYBE_LOST:
                self.report.count("interpreter", "runs stopped as their reply may be lost")
                run.stopping = True
            if run.stopping:
                self.write(link, line(b"BREAK", run.ident))

    def gauges(self) -> Deferred | None:
        """Fires with the readings, or with None where they are cancelled or the link is lost."""
        if self.link is None or self.up is not None:
            return None
        if self.deadlines.now() - max(self.told_at, self.link.made_at) > SILENT:
            self.report.count("interpreter", "links silent")
            self.link.transport.abortConnection()
            return None
        if not self.link.ready:
            return None
        self.tops += 1
        return self.link.ask_gauges(b"g%d" % self.tops)

    def beliefs(self) -> str:
        age = f"{(self.deadlines.now() - self.told_at) // 1000} ms ago" if self.told_at else "never"
        link = "lost" if self.link is None else "ready" if self.link.ready else "not ready"
        return f"{len(self.runs)} runs, link {link}, gauges {age}"

    # --- notices ----------------------------------------------------------------------------------

    def take(self, link: Link, words: list[bytes], body: bytes) -> None:
        """Guards the node against one bad notice: it is counted and passed over."""
        kind = words[0] if words else b""
        try:
            if link is not self.link:
                return
            if kind in (b"VALUE", b"AWAIT", b"TRACE"):
                number = whole(words[1])
                if number <= self.last_notice:
                    self.report.count("interpreter", "notices come again")
                    return
                if number > self.last_notice + KEPT_MOST:
                    raise ValueError("a number far ahead")
                self.last_notice = number
            self.report.count("interpreter", "got " + (kind.decode() if kind in KINDS else "unknown notices"))
            if kind == b"VALUE":
                self.over(words[2], words[3], micros(words[4]), body)
            elif kind == b"AWAIT":
                self.waits(words[2], body)
            elif kind == b"TOPS":
                self.told(link, words[1], [figure(each) for each in words[2:]])
            elif kind == b"BANNER":
                self.banner(link, words)
            elif kind == b"ERROR":
                self.erred(words)
            elif kind != b"TRACE":
                self.report.note(f"interpreter: unknown notice {kind[:40]!r}")
        except (ValueError, IndexError) as wrong:
            self.report.count("interpreter", "notices unreadable")
            self.report.note(f"interpreter: {b' '.join(words)[:80]!r}: {wrong}")
        except Exception:
            self.report.trouble(f"the notice {kind[:16]!r}")

    def banner(self, link: Link, words: list[bytes]) -> None:
        """Guards the start against a banner that can't be read: without one, no command would ever go out.

        One that comes again answers nothing: a link that was greeted lost nothing, so nothing is said again,
        and when the interpreter started is known.
        """
        try:
            state, age = words[1], micros(words[2])
            if state not in STATES:
                raise ValueError("no state")
        except (ValueError, IndexError):
            self.report.count("interpreter", "banners unreadable")
            self.deadlines.after(AGAIN, link.transport.abortConnection)
            raise
        if link.greeted:
            self.report.count("interpreter", "banners come again")
            return
        link.greeted = True
        self.report.note(f"interpreter: {state.decode()}, up for {age // 1000} ms")
        self.report.count("interpreter", "banners")
        link.ask_gauges(b"sync").addCallback(lambda got: got is not None and self.renew(link))
        self.began(age)
        if self.up is not None:
            self.up, up = None, self.up
            up.callback(state == b"EMPTY")

    def told(self, link: Link, tag: bytes, readings: list[float]) -> None:
        self.told_at = self.deadlines.now()
        asked = link.gauges.pop(tag, None)
        if asked is not None:
            asked.callback(readings)

    def waits(self, ident: bytes, body: bytes) -> None:
        run = self.runs.get(ident)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            return
        run.command, run.begun = [], True
        run.waits(body)

    def over(self, ident: bytes, end: bytes, took: int, result: bytes) -> None:
        if end not in OUTCOMES:
            raise ValueError(f"unknown end {end!r}")
        run = self.runs.pop(ident, None)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            if self.early is not None and len(self.early) < EARLY_MOST:
                self.early[ident] = OUTCOMES[end], took, result
            return
        self.report.count("interpreter", "ended " + end.decode())
        run.ended(OUTCOMES[end], took, result)

    def erred(self, words: list[bytes]) -> None:
        """A command that was not carried out: to begin a run or to stop it proves that there is none.

        The word to the beginning has no number and may be lost with a link; the one to the stop comes then.
        """
        self.report.note(f"interpreter: {b' '.join(words)[:80].decode('ascii', 'replace')}")
        run = self.runs.get(words[2]) if words[1] in (b"APPLY", b"BREAK") else None
        if run is not None and not run.begun:
            del self.runs[run.ident]
            run.ended(Outcome.UNREACHABLE, 0, b"")
