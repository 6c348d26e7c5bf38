"""The link to the interpreter, which executes the runs: commands, numbered notices, gauges, reconnection."""

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

# µs from a failed attempt to connect to the next attempt; the first attempt after a lost link is made at once
RECONNECT_DELAY = 50_000
CONNECT_TIMEOUT = 1_000_000  # µs; the interpreter is on the same machine
# µs: a command that was written within this time before a link broke may be lost; twice the longest such time
REPLY_LOSS_WINDOW = 100_000
# outcomes kept for runs of an earlier incarnation until these are adopted: as many as the interpreter reports
MAX_EARLY_OUTCOMES = 4_000
# µs until a replaced link is aborted; the interpreter closes such a link after 1.5 s
REPLACED_LINK_LIFETIME = 2_000_000
# µs without gauge readings after which the link is replaced, which does no harm even if the link works; the
# gauges are requested ten times a second
SILENCE_TIMEOUT = 2_000_000
# notices that the interpreter keeps for a new link, by the protocol; a notice number further ahead is corrupt
MAX_KEPT_NOTICES = 4_000
MAX_DURATION = 31_536_000_000.0  # ms, one year; no run takes longer and no interpreter is up for longer
# states of the interpreter in its banner: cold, warm
STATES = (b"EMPTY", b"LOADED")
NOTICE_KINDS = (b"VALUE", b"AWAIT", b"TRACE", b"TOPS", b"BANNER", b"ERROR")
OUTCOMES = {
    b"PASS": Outcome.COMPLETED,
    b"FAIL": Outcome.FAILED,
    b"KILLED": Outcome.ABORTED,
    b"NOOP": Outcome.SUPERSEDED,
}
# number of words of each notice with a body; the last word is the length of the body
BODY_NOTICE_LENGTHS = {
    b"VALUE": 6,
    b"AWAIT": 4,
}


def parse_integer(word: bytes) -> int:
    """Return the value of up to 18 decimal digits.

    Raises ValueError on other forms that `int` accepts: signs, underscores, thousands of digits.
    """
    if not word.isdigit() or len(word) > 18:
        raise ValueError(f"not an integer: {word[:40]!r}")
    return int(word)


def parse_number(word: bytes) -> float:
    """Return a number from 0 to `MAX_DURATION`.

    Raises ValueError on other values, also on `nan`, with which a run would never end.
    """
    value = float(word)
    if not 0 <= value <= MAX_DURATION:
        raise ValueError(f"not a number in range: {word[:40]!r}")
    return value


def parse_microseconds(word: bytes) -> int:
    """Return a duration, given in milliseconds, in µs."""
    return int(parse_number(word) * 1000)


class Run:
    """A run at the interpreter: its callbacks, and its last command that no notice has confirmed."""

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
        self.written = False  # the last command was written to a link
        self.written_at = 0  # µs of the monotonic clock: when the last command was written or queued
        self.is_idempotent = False
        self.is_confirmed = False  # a notice has shown that the run started
        self.is_stopping = False  # the run is to be stopped


class Link(Protocol):
    """A connection to the interpreter."""

    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter
        self.reader = LineReader(
            lambda words: len(words) == BODY_NOTICE_LENGTHS.get(words[0] if words else b"")
        )
        self.made_at = interpreter.deadlines.now()
        self.greeted = False  # the banner has arrived, which answers CONNECT
        self.ready = False  # all notices that the previous link missed are read: commands may be sent
        self.pending_gauges: dict[bytes, Deferred] = {}

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.writeSequence(line(b"CONNECT", b"%d" % self.interpreter.last_notice))

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.interpreter.on_notice(self, words, body)
        except BrokenFramingError as error:
            self.interpreter.report.count("interpreter", "broken framing")
            self.interpreter.report.note(f"interpreter: {error}; reconnecting")
            self.transport.abortConnection()

    def ask_gauges(self, tag: bytes) -> Deferred:
        """Request the gauges under a tag.

        The Deferred fires with the readings, or with None if it is cancelled or the link is lost.
        """
        reply = Deferred(lambda cancelled: self.pending_gauges.pop(tag, cancelled).callback(None))
        self.pending_gauges[tag] = reply
        self.transport.writeSequence(line(b"TOP", tag))
        return reply

    def connectionLost(self, reason: Any = connectionDone) -> None:
        replies, self.pending_gauges = self.pending_gauges, {}
        for each in replies.values():
            each.callback(None)
        self.interpreter.on_link_lost(self)


class ConnectionAttempt(ClientFactory):
    """An attempt to connect to the interpreter; a later attempt replaces an earlier one."""

    noisy = False

    def __init__(self, interpreter: Interpreter) -> None:
        self.interpreter = interpreter

    def buildProtocol(self, addr: Any) -> Link | None:
        return self.interpreter.on_connected() if self is self.interpreter.connecting else None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if self is self.interpreter.connecting:
            self.interpreter.on_connect_failed()


class Interpreter:
    """Sends commands about runs to the interpreter, and passes its notices to the callbacks of the runs."""

    def __init__(self, reactor: Any, address: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.reactor, self.address = reactor, address
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links for flow export
        self.deadlines, self.report = deadlines, report
        self.runs: dict[bytes, Run] = {}
        self.last_notice = self.gauge_requests = 0
        self.link: Link | None = None
        # fires once, with whether the interpreter is cold; then None
        self.started: Deferred | None = Deferred()
        self.closed = False
        # called with the µs since the interpreter started
        self.on_interpreter_started: Callable[[int], None] = lambda age: None
        # outcomes of unknown runs by id, which may be adopted later; None: such outcomes are dropped
        self.early_outcomes: dict[bytes, tuple[Outcome, int, bytes]] | None = None
        self.gauges_at = 0  # µs of the monotonic clock: when the last gauge readings arrived
        # µs of the monotonic clock: when the first link broke whose commands are not sent again yet, or None
        self.lost_at: int | None = None
        self.connecting: ConnectionAttempt | None = None
        self.connect_timer: Deadline | None = None
        self.reconnect_timer: Deadline | None = None

    # --- the link ---------------------------------------------------------------------------------

    def start(self) -> Deferred:
        """Connect; the returned Deferred fires once the interpreter is up, with whether it is cold."""
        self.connect()
        return self.started

    def connect(self) -> None:
        """Start an attempt to connect, which replaces any attempt in progress."""
        if not self.closed:
            self.deadlines.cancel(self.reconnect_timer)
            self.deadlines.cancel(self.connect_timer)
            self.connecting = ConnectionAttempt(self)
            connector = self.reactor.connectTCP(*self.address, self.wrap(self.connecting), timeout=None)
            self.connect_timer = self.deadlines.after(CONNECT_TIMEOUT, connector.stopConnecting)

    def on_connected(self) -> Link:
        """Replace the link by a new one and return the new link; no more is written to the old link.

        The old link stays open for `REPLACED_LINK_LIFETIME`: closing it with unread notices would reset the
        connection, and the last commands written to it would be lost.
        """
        self.deadlines.cancel(self.connect_timer)
        self.connecting = None
        replaced, self.link = self.link, Link(self)
        if replaced is not None:
            self.deadlines.after(REPLACED_LINK_LIFETIME, replaced.transport.abortConnection)
        return self.link

    def on_connect_failed(self) -> None:
        """Try to connect again after `RECONNECT_DELAY`."""
        self.deadlines.cancel(self.connect_timer)
        self.connecting = None
        self.report.count("interpreter", "connections failed")
        self.reconnect_timer = self.deadlines.after(RECONNECT_DELAY, self.connect)

    def set_address(self, address: tuple[str, int]) -> bool:
        """Connect to a new address; the new link replaces the open link and any attempt in progress.

        Returns whether the address changed.
        """
        if address == self.address:
            return False
        self.address = address
        if not self.closed:
            self.connect()
        return True

    def on_link_lost(self, link: Link) -> None:
        """Reconnect at once, so that runs wait as short as possible; an attempt in progress continues."""
        if link is not self.link:
            return
        self.link = None
        if self.lost_at is None:
            self.lost_at = self.deadlines.now()
        if not self.closed:
            self.report.count("interpreter", "links lost")
            self.report.note("interpreter: link lost; reconnecting")
            if self.connecting is None:
                self.connect()

    def stop(self) -> None:
        """Close the link and do not reconnect."""
        self.closed = True
        if self.link is not None:
            self.link.transport.loseConnection()

    # --- commands ---------------------------------------------------------------------------------

    def apply(self, run: Run, request_class: bytes, body: bytes, is_idempotent: bool) -> None:
        """Send the command that starts a run."""
        self.runs[run.ident] = run
        run.is_idempotent = is_idempotent
        self.command(run, line_with_body(b"APPLY", run.ident, request_class, body=body))

    def adopt_run(self, ident: bytes, on_ended: Callable[[Outcome, int, bytes], None]) -> None:
        """Have `on_ended` called at the end of a run that an earlier incarnation of this node started."""
        early_outcome = (self.early_outcomes or {}).pop(ident, None)
        if early_outcome is not None:
            on_ended(*early_outcome)
            return
        run = self.runs[ident] = Run(ident, lambda body: None, on_ended)
        run.is_confirmed = True

    def drop_adopted_run(self, ident: bytes) -> None:
        """Drop an adopted run whose end is no longer waited for."""
        self.runs.pop(ident, None)

    def resolve(self, run: Run, reply: bytes) -> None:
        """Pass the reply to a call to the run that waits for it."""
        self.command(run, line_with_body(b"RESOLVE", run.ident, body=reply))

    def stop_run(self, run: Run) -> None:
        """Stop a run that the node no longer needs.

        At a second call for a run that no notice has confirmed, the start command is sent again before the
        stop: the first start may have been lost with a link, and no notice would ever report the end of the
        run. A start command for an existing run does nothing.
        """
        if self.link is not None and self.link.ready:
            if run.is_stopping and run.command and not run.is_confirmed:
                self.write(self.link, run.command)
            self.write(self.link, line(b"BREAK", run.ident))
        run.is_stopping = True

    def command(self, run: Run, command: list[bytes]) -> None:
        """Store the last command of a run, and send the command if the link is ready."""
        run.command = command
        run.written = self.link is not None and self.link.ready
        run.written_at = self.deadlines.now()
        if run.written:
            self.write(self.link, command)

    def write(self, link: Link, command: list[bytes]) -> None:
        """Count a command and send it on a link."""
        self.report.count("interpreter", "sent " + command[0].split(b" ", 1)[0].decode())
        link.transport.writeSequence(command)

    def resend_commands(self, link: Link) -> None:
        """Resend commands that may be lost with the previous link, once all notices that it missed are read.

        A command that seems lost may have been carried out, and its run may have ended or wait for its next
        call; sending the command again could repeat an effect. Therefore only two kinds of commands are sent
        again: those that were never written, and starts of idempotent runs, which do nothing if the run
        exists. An idempotent run is stopped, and reported as stopped, if the reply to its call may be lost
        with the link: a second reply could be taken for the reply to the run's next call. Cost: half of the
        stopped runs had received their reply.
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
        """Request the gauges; return None without a ready link. Aborts a link that is silent for too long.

        The Deferred fires with the readings, or with None if it is cancelled or the link is lost.
        """
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
        """Return the interpreter's part of the status line."""
        age = f"{(self.deadlines.now() - self.gauges_at) // 1000} ms ago" if self.gauges_at else "never"
        link = "lost" if self.link is None else "ready" if self.link.ready else "not ready"
        return f"{len(self.runs)} runs, link {link}, gauges {age}"

    # --- notices ----------------------------------------------------------------------------------

    def on_notice(self, link: Link, words: list[bytes], body: bytes) -> None:
        """Handle one notice; an invalid notice is counted and skipped."""
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
                    raise ValueError("notice number is too far ahead")
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
        """Handle the banner, which answers CONNECT; commands are sent only after it.

        An unreadable banner aborts the link. A second banner on a link is ignored: the link has lost no
        commands, and the interpreter's start time is known.
        """
        try:
            state, age = words[1], parse_microseconds(words[2])
            if state not in STATES:
                raise ValueError("unknown state")
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
        """Pass gauge readings to the request with the tag."""
        self.gauges_at = self.deadlines.now()
        reply = link.pending_gauges.pop(tag, None)
        if reply is not None:
            reply.callback(readings)

    def on_call_needed(self, ident: bytes, body: bytes) -> None:
        """Report to a run's owner that the run waits for a call."""
        run = self.runs.get(ident)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            return
        run.command, run.is_confirmed = [], True
        run.on_call_needed(body)

    def on_run_ended(self, ident: bytes, end: bytes, took: int, result: bytes) -> None:
        """Report the end of a run to its owner; keep the outcome of an unknown run, for a later adoption."""
        if end not in OUTCOMES:
            raise ValueError(f"unknown outcome {end!r}")
        run = self.runs.pop(ident, None)
        if run is None:
            self.report.count("interpreter", "notices of no run")
            if self.early_outcomes is not None and len(self.early_outcomes) < MAX_EARLY_OUTCOMES:
                self.early_outcomes[ident] = OUTCOMES[end], took, result
            return
        self.report.count("interpreter", "ended " + end.decode())
        run.on_ended(OUTCOMES[end], took, result)

    def on_error(self, words: list[bytes]) -> None:
        """Handle an error notice; a failed start or stop shows that an unconfirmed run does not exist.

        Such a run ends as UNREACHABLE. Error notices have no number, so one about a start may be lost with a
        link; the error about a later stop then ends the run.
        """
        self.report.note(f"interpreter: {b' '.join(words)[:80].decode('ascii', 'replace')}")
        run = self.runs.get(words[2]) if words[1] in (b"APPLY", b"BREAK") else None
        if run is not None and not run.is_confirmed:
            del self.runs[run.ident]
            run.on_ended(Outcome.UNREACHABLE, 0, b"")
