"""The link to the interpreter: runs by id, notices in order, gauges; it reconnects when the link breaks."""

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

RECONNECT_DELAY = 50_000  # µs after a try to connect that failed: a lost link itself is renewed at once
CONNECT_TIMEOUT = 1_000_000  # µs for a connection on the same machine
REPLY_LOSS_WINDOW = 100_000  # µs: twice what a link that breaks may take along of the commands written before
MAX_EARLY_OUTCOMES = (
    4_000  # ends of runs that an earlier life began, until it is known which: as many as are told
)
REPLACED_LINK_LIFETIME = (
    2_000_000  # µs that a replaced link may stay open: the other side ends it after 1.5 s
)
SILENCE_TIMEOUT = (
    2_000_000  # µs without pending_gauges, asked for ten times a second: to connect anew does no harm
)
MAX_KEPT_NOTICES = (
    4_000  # notices that are kept, by the protocol: a number further ahead was spoilt on the way
)
MAX_DURATION = 31_536_000_000.0  # ms, a year: no run takes longer, and no interpreter is up for longer
STATES = (b"EMPTY", b"LOADED")
NOTICE_KINDS = (b"VALUE", b"AWAIT", b"TRACE", b"TOPS", b"BANNER", b"ERROR")
OUTCOMES = {
    b"PASS": Outcome.COMPLETED,
    b"FAIL": Outcome.FAILED,
    b"KILLED": Outcome.ABORTED,
    b"NOOP": Outcome.SUPERSEDED,
}
BODY_NOTICE_LENGTHS = {b"VALUE": 6, b"AWAIT": 4}  # words of a notice whose last one is a length


def parse_integer(word: bytes) -> int:
    """Guards against what merely converts: signs, underscores, thousands of digits."""
    if not word.isdigit() or len(word) > 18:
        raise ValueError(f"no number: {word[:40]!r}")
    return int(word)


def parse_number(word: bytes) -> float:
    """Guards the decisions against figures that are none: a run that took `nan` ms would never be over."""
    value = float(word)
    if not 0 <= value <= MAX_DURATION:
        raise ValueError(f"no figure: {word[:40]!r}")
    return value


def parse_microseconds(word: bytes) -> int:
    return int(parse_number(word) * 1000)


class Run:
    """One run: who hears of it, and the last command about it that no notice has confirmed."""

    __slots__ = (
        "ident",
        "on_call_needed",
        "on_ended",
        "command",
        "written",
        "written_at",
        "is_idempotent",
        "is_confirmed",
        "is_stopping",
    )

    def __init__(
        self,
        ident: bytes,
        on_call_needed: Callable[[bytes], None],
        on_ended: Callable[[Outcome, int, bytes], None],
    ) -> None:
        self.ident, self.on_call_needed, self.on_ended = ident, on_call_needed, on_ended
        self.command: list[bytes] = []
        self.written = False
        self.written_at = 0
        self.is_idempotent = False
        self.is_confirmed = False  # a notice told of it
        self.is_stopping = False


class Link(Protocol):
    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter
        self.reader = LineReader(
            lambda words: len(words) == BODY_NOTICE_LENGTHS.get(words[0] if words else b"")
        )
        self.made_at = interpreter.deadlines.now()
        self.greeted = False  # its banner came: it is the answer to CONNECT, so there is one
        self.ready = False  # all notices that the last link may have missed were read
        self.pending_gauges: dict[bytes, Deferred] = {}

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.writeSequence(line(b"CONNECT", b"%d" % self.interpreter.last_notice))

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.interpreter.on_notice(self, words, body)
        except BrokenFramingError as broken:
            self.interpreter.report.count("interpreter", "broken framing")
            self.interpreter.report.note(f"interpreter: {broken}; the link is renewed")
            self.transport.abortConnection()

    def ask_gauges(self, tag: bytes) -> Deferred:
        asked = Deferred(lambda given_up: self.pending_gauges.pop(tag, given_up).callback(None))
        self.pending_gauges[tag] = asked
        self.transport.writeSequence(line(b"TOP", tag))
        return asked

    def connectionLost(self, reason: Any = connectionDone) -> None:
        asked, self.pending_gauges = self.pending_gauges, {}
        for each in asked.values():
            each.callback(None)
        self.interpreter.on_link_lost(self)


class ConnectionAttempt(ClientFactory):
    """One try to connect; a later one makes it void."""

    noisy = False

    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter

    def buildProtocol(self, addr: Any) -> Link | None:
        return self.interpreter.on_connected() if self is self.interpreter.connecting else None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if self is self.interpreter.connecting:
            self.interpreter.on_connect_failed()


class Interpreter:
    def __init__(self, reactor: Any, address: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.reactor, self.address = reactor, address
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links, where flow export does
        self.deadlines, self.report = deadlines, report
        self.runs: dict[bytes, Run] = {}
        self.last_notice = self.gauge_requests = 0
        self.link: Link | None = None
        self.started: Deferred | None = Deferred()  # fires once: is it cold
        self.closed = False
        self.on_interpreter_started: Callable[[int], None] = lambda age: (
            None
        )  # told how long ago the interpreter started, µs
        self.early_outcomes: dict[bytes, tuple[Outcome, int, bytes]] | None = (
            None  # ends of runs not known here yet
        )
        self.gauges_at = 0  # the last pending_gauges
        self.lost_at: int | None = None  # the first link to break since commands were last known to arrive
        self.connecting: ConnectionAttempt | None = None
        self.connect_timer: Deadline | None = None
        self.reconnect_timer: Deadline | None = None

    # --- the link ---------------------------------------------------------------------------------

    def start(self) -> Deferred:
        self.connect()
        return self.started

    def connect(self) -> None:
        if not self.closed:
            self.deadlines.cancel(self.reconnect_timer)
            self.deadlines.cancel(self.connect_timer)
            self.connecting = ConnectionAttempt(self)
            connector = self.reactor.connectTCP(*self.address, self.wrap(self.connecting), timeout=None)
            self.connect_timer = self.deadlines.after(CONNECT_TIMEOUT, connector.stopConnecting)

    def on_connected(self) -> Link:
        """A new link replaces the one before, on which nothing is written from now on.

        Guards against losing what was written there last: to close it with notices unread would reset it.
        """
        self.deadlines.cancel(self.connect_timer)
        self.connecting = None
        replaced, self.link = self.link, Link(self)
        if replaced is not None:
            self.deadlines.after(REPLACED_LINK_LIFETIME, replaced.transport.abortConnection)
        return self.link

    def on_connect_failed(self) -> None:
        self.deadlines.cancel(self.connect_timer)
        self.connecting = None
        self.report.count("interpreter", "connections failed")
        self.reconnect_timer = self.deadlines.after(RECONNECT_DELAY, self.connect)

    def set_address(self, address: tuple[str, int]) -> bool:
        """A new address: the link there replaces the one that is open, and whatever try is under way."""
        if address == self.address:
            return False
        self.address = address
        if not self.closed:
            self.connect()
        return True

    def on_link_lost(self, link: Link) -> None:
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

    def apply(self, run: Run, request_class: bytes, body: bytes, is_idempotent: bool) -> None:
        self.runs[run.ident] = run
        run.is_idempotent = is_idempotent
        self.command(run, line_with_body(b"APPLY", run.ident, request_class, body=body))

    def adopt_run(self, ident: bytes, on_ended: Callable[[Outcome, int, bytes], None]) -> None:
        """A run that an earlier life of this node began, and that may be going on."""
        known = (self.early_outcomes or {}).pop(ident, None)
        if known is not None:
            on_ended(*known)
            return
        run = self.runs[ident] = Run(ident, lambda body: None, on_ended)
        run.is_confirmed = True

    def resolve(self, run: Run, reply: bytes) -> None:
        self.command(run, line_with_body(b"RESOLVE", run.ident, body=reply))

    def stop_run(self, run: Run) -> None:
        """Stops a run of which nobody waits for the outcome.

        Guards against runs that never end here, as a link took their beginning along: told to stop once more,
        they are begun first. That does nothing where they run, and else a notice tells that they are over.
        """
        if self.link is not None and self.link.ready:
            if run.is_stopping and run.command and not run.is_confirmed:
                self.write(self.link, run.command)
            self.write(self.link, line(b"BREAK", run.ident))
        run.is_stopping = True

    def command(self, run: Run, command: list[bytes]) -> None:
        run.command = command
        run.written = self.link is not None and self.link.ready
        run.written_at = self.deadlines.now()
        if run.written:
            self.write(self.link, command)

    def write(self, link: Link, command: list[bytes]) -> None:
        self.report.count("interpreter", "sent " + command[0].split(b" ", 1)[0].decode())
        link.transport.writeSequence(command)

    def resend_commands(self, link: Link) -> None:
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
            elif run.command and run.is_idempotent and not run.is_confirmed:
                self.write(link, run.command)
            elif (
                run.command
                and run.is_idempotent
                and lost_at is not None
                and run.written_at > lost_at - REPLY_LOSS_WINDOW
            ):
                self.report.count("interpreter", "runs stopped as their reply may be lost")
                run.is_stopping = True
            if run.is_stopping:
                self.write(link, line(b"BREAK", run.ident))

    def request_gauges(self) -> Deferred | None:
        """Fires with the readings, or with None where they are cancelled or the link is lost."""
        if self.link is None or self.started is not None:
            return None
        if self.deadlines.now() - max(self.gauges_at, self.link.made_at) > SILENCE_TIMEOUT:
            self.report.count("interpreter", "links silent")
            self.link.transport.abortConnection()
            return None
        if not self.link.ready:
            return None
        self.gauge_requests += 1
        return self.link.ask_gauges(b"g%d" % self.gauge_requests)

    def describe(self) -> str:
        age = f"{(self.deadlines.now() - self.gauges_at) // 1000} ms ago" if self.gauges_at else "never"
        link = "lost" if self.link is None else "ready" if self.link.ready else "not ready"
        return f"{len(self.runs)} runs, link {link}, gauges {age}"

    # --- notices ----------------------------------------------------------------------------------

    def on_notice(self, link: Link, words: list[bytes], body: bytes) -> None:
        """Guards the node against one bad notice: it is counted and passed over."""
        kind = words[0] if words else b""
        try:
            if link is not self.link:
                return
            if kind in (b"VALUE", b"AWAIT", b"TRACE"):
                number = parse_integer(words[1])
                if number <= self.last_notice:
                    self.report.count("interpreter", "notices come again")
                    return
                if number > self.last_notice + MAX_KEPT_NOTICES:
                    raise ValueError("a number far ahead")
                self.last_notice = number
            self.report.count(
                "interpreter", "got " + (kind.decode() if kind in NOTICE_KINDS else "unknown notices")
            )
            if kind == b"VALUE":
                self.on_run_ended(words[2], words[3], parse_microseconds(words[4]), body)
            elif kind == b"AWAIT":
                self.on_call_needed(words[2], body)
            elif kind == b"TOPS":
                self.on_gauges(link, words[1], [parse_number(each) for each in words[2:]])
            elif kind == b"BANNER":
                self.on_banner(link, words)
            elif kind == b"ERROR":
                self.on_error(words)
            elif kind != b"TRACE":
                self.report.note(f"interpreter: unknown notice {kind[:40]!r}")
        except (ValueError, IndexError) as error:
            self.report.count("interpreter", "notices unreadable")
            self.report.note(f"interpreter: {b' '.join(words)[:80]!r}: {error}")
        except Exception:
            self.report.log_exception(f"the notice {kind[:16]!r}")

    def on_banner(self, link: Link, words: list[bytes]) -> None:
        """Guards the start against a banner that can't be read: without one, no command would ever go out.

        One that comes again answers nothing: a link that was greeted lost nothing, so nothing is said again,
        and when the interpreter started is known.
        """
        try:
            state, age = words[1], parse_microseconds(words[2])
            if state not in STATES:
                raise ValueError("no state")
        except (ValueError, IndexError):
            self.report.count("interpreter", "banners unreadable")
            self.deadlines.after(RECONNECT_DELAY, link.transport.abortConnection)
            raise
        if link.greeted:
            self.report.count("interpreter", "banners come again")
            return
        link.greeted = True
        self.report.note(f"interpreter: {state.decode()}, up for {age // 1000} ms")
        self.report.count("interpreter", "banners")
        link.ask_gauges(b"sync").addCallback(lambda got: got is not None and self.resend_commands(link))
        self.on_interpreter_started(age)
        if self.started is not None:
            self.started, started = None, self.started
            started.callback(state == b"EMPTY")

    def on_gauges(self, link: Link, tag: bytes, readings: list[float]) -> None:
        self.gauges_at = self.deadlines.now()
        asked = link.pending_gauges.pop(tag, None)
        if asked is not None:
            asked.callback(readings)

    def on_call_needed(self, ident: bytes, body: bytes) -> None:
        run = self.runs.get(ident)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            return
        run.command, run.is_confirmed = [], True
        run.on_call_needed(body)

    def on_run_ended(self, ident: bytes, end: bytes, took: int, result: bytes) -> None:
        if end not in OUTCOMES:
            raise ValueError(f"unknown end {end!r}")
        run = self.runs.pop(ident, None)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            if self.early_outcomes is not None and len(self.early_outcomes) < MAX_EARLY_OUTCOMES:
                self.early_outcomes[ident] = OUTCOMES[end], took, result
            return
        self.report.count("interpreter", "ended " + end.decode())
        run.on_ended(OUTCOMES[end], took, result)

    def on_error(self, words: list[bytes]) -> None:
        """A command that was not carried out: to begin a run or to stop it proves that there is none.

        The word to the beginning has no number and may be lost with a link; the one to the stop comes then.
        """
        self.report.note(f"interpreter: {b' '.join(words)[:80].decode('ascii', 'replace')}")
        run = self.runs.get(words[2]) if words[1] in (b"APPLY", b"BREAK") else None
        if run is not None and not run.is_confirmed:
            del self.runs[run.ident]
            run.on_ended(Outcome.UNREACHABLE, 0, b"")
