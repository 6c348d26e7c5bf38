"""The listener for dispatchers: reads requests, writes answers, answers health checks, closes connections."""

from __future__ import annotations

from collections.abc import Container
from functools import partial
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.tcp import Port
from zope.interface import implementer

from lichencleat.admission.types import Request
from lichencleat.node.catalogue import max_catalogue_links
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.host import Answer, PendingRequest, RequestEngine
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.resp import ArrayReader, array
from lichencleat.node.slots import Slots

# bytes per read: a flood on one connection then delays the others by a few ms at most
MAX_READ = 16_384
MAX_OPEN_REQUESTS = 32  # per connection, by the protocol
# unusable arrays per connection; more are no accident, and each costs as much as a usable one
MAX_BAD_ARRAYS = 4
MAX_TAG_DIGITS = 18  # enough for any number of arrays on one connection
# µs from connecting to the first whole array: half of the time that the protocol allows a silent client
FIRST_ARRAY_TIMEOUT = 1_500_000
ARRAY_TIMEOUT = 1_000_000  # µs for the rest of a partial array; clients write an array in one piece
BACKLOG = 1_024  # connections waiting to be accepted: after a restart all clients connect at once
# descriptors for the process, the reactor, the listener and the links, which use 10; the others are for
# further links or files
RESERVED_DESCRIPTORS = 16
# One in so many connections is kept free for connections that are closing, so that none has to be aborted.
CONNECTIONS_PER_SPARE = 8
GOAWAY_FILL_SHARE = 0.75  # share of the connections in use from which idle ones get a goaway
GOAWAY_MIN_IDLE = 1_000_000  # µs without traffic before that goaway; most clients send again sooner
# µs without traffic before a connection is closed to free its descriptor; a client resends a request that
# crosses the close
EVICTION_MIN_IDLE = 60_000
# µs between evictions while no connection is accepted: a third of EVICTION_MIN_IDLE
EVICTION_PERIOD = 20_000
# µs from our half-close to the client's; by then it has read all answers, or is gone
LINGER_TIMEOUT = 1_000_000
# bytes read and dropped on a closing connection: more than 32 requests with their bodies
MAX_DROPPED = 262_144
MAX_RESULT = 4_096  # bytes, by the protocol
# bytes of memory to assume without a limit in the settings: three times what an idle node uses
DEFAULT_MEMORY = 64 << 20
# share of the memory for answers that clients leave unread; an idle node uses a third of the memory
UNREAD_MEMORY_SHARE = 1 / 8
UNREAD_TIMEOUT = 10_000_000  # µs that a client may leave answers unread: longer than any request waits
# µs from goaway to the close of an unused connection; requests that crossed the goaway have arrived by then
GOAWAY_CLOSE_DELAY = 300_000
STATUS_CODES = {Answer.SERVED: b"200", Answer.REJECTED: b"503", Answer.FAILED: b"500"}


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    """A client's connection, with its open requests by tag.

    `answer` removes one open request, `abandon_all` removes all of them.

    A connection closes in four steps:

    1. It is marked (`closing`, `goaway_sent`).
    2. Once no request is open, the reactor reads once more what has arrived by then.
    3. If that opened no request, our side is half-closed after all answers (`write_closed`).
    4. What the client still had in flight is read and dropped until it closes its side too, for
       `LINGER_TIMEOUT` at most.

    Closing with unread bytes would reset the connection, and answers already written would be lost.
    """

    def __init__(self, listener: DispatcherListener) -> None:
        self.listener = listener
        self.reader = ArrayReader()
        self.pending_requests: dict[int, PendingRequest] = {}
        self.number = -1
        self.last_traffic = 0
        self.checks_only = True
        self.bad_arrays = 0
        # limits the time until the first array, or the rest of a partial one, has arrived
        self.array_timer: Deadline | None = None
        self.array_timed_out = False  # the array was not whole in time; no new timer is set for it
        self.goaway_sent = False
        self.closing = False  # closes once no request is open
        self.ignores_input = False  # the framing is broken: further input is dropped
        self.write_closed = False  # our side is half-closed: further input crossed that, and is dropped
        self.write_closed_at: int | None = None  # when our half-close was sent (µs)
        self.dropped_bytes = 0
        self.unread_timer: Deadline | None = None
        self.idle_timer: Deadline | None = None
        self.flow: Any = None  # the meter of this connection if flow export is on
        self.was_aborted = False

    def connectionMade(self) -> None:
        self.number = self.listener.connections.acquire(self)
        self.listener.report.count("dispatchers", "connections")
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_READ
        self.transport.registerProducer(self, True)
        self.last_traffic = self.listener.deadlines.now()
        self.listener.without_array[self] = None
        if self.listener.flows is not None:
            self.flow = self.listener.flows.open_flow(self.transport)
        self.array_timer = self.listener.deadlines.after(
            FIRST_ARRAY_TIMEOUT, self.on_array_timeout, "no complete array in time after connecting"
        )
        self.restart_idle_timer()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.listener.connections.release(self.number)
        self.listener.without_array.pop(self, None)
        self.listener.stalled.pop(self, None)
        self.listener.deadlines.cancel(self.array_timer)
        self.listener.deadlines.cancel(self.unread_timer)
        self.listener.deadlines.cancel(self.idle_timer)
        self.closing = self.write_closed = True
        self.abandon_all()
        if self.flow is not None:
            self.listener.flows.end_flow(self.flow, self.was_aborted)
        self.listener.resume_accepting()

    def abandon_all(self) -> None:
        """Abandon all open requests, as the connection is lost or half-closed by the client."""
        pending_requests, self.pending_requests = self.pending_requests, {}
        for pending in pending_requests.values():
            self.listener.report.count("dispatchers", "lost with their connection")
            self.abandon(pending)

    def readConnectionLost(self) -> None:
        """The client closed its side: abandon its requests, and close once all written answers are sent."""
        if not self.write_closed:
            self.transport.unregisterProducer()
        self.closing = self.write_closed = True
        self.abandon_all()
        self.listener.deadlines.cancel(self.unread_timer)
        self.unread_timer = self.listener.deadlines.after(UNREAD_TIMEOUT, self.abort, "answers left unread")
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """All answers and our half-close are sent: wait for the client's close."""
        self.write_closed_at = self.listener.deadlines.now()
        self.listener.deadlines.cancel(self.unread_timer)
        self.unread_timer = self.listener.deadlines.after(LINGER_TIMEOUT, self.transport.loseConnection)

    # --- a client that does not read answers -----------------------------------------------------

    def pauseProducing(self) -> None:
        """Stop reading from a client that does not read its answers, and abort it after `UNREAD_TIMEOUT`.

        Prevents unread answers from filling the memory.
        """
        self.transport.pauseProducing()
        if self.unread_timer is None:
            self.unread_timer = self.listener.deadlines.after(
                UNREAD_TIMEOUT, self.abort, "answers left unread"
            )
            self.listener.on_stalled(self)

    def resumeProducing(self) -> None:
        self.listener.deadlines.cancel(self.unread_timer)
        self.unread_timer = None
        self.listener.stalled.pop(self, None)
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def abort(self, reason: str) -> None:
        """Reset the connection; `reason` is part of a counter's name."""
        self.listener.report.count("dispatchers", f"aborted: {reason}")
        self.closing = self.write_closed = self.was_aborted = True
        self.listener.stalled.pop(self, None)
        self.transport.abortConnection()

    def abandon(self, pending: PendingRequest) -> None:
        """Report that the client of a request has cancelled it or is gone."""
        if self.flow is not None:
            self.flow.counts.abandoned += 1
            self.add_times(pending.request)
        self.listener.engine.on_caller_gone(pending)

    def add_times(self, request: Request) -> None:
        """Add the request's waiting time and run time to its flow."""
        now, counts = self.listener.engine.clock(), self.flow.counts
        started = now if request.started is None else min(request.started, now)
        counts.held += max(0, started - request.arrived)
        counts.run += now - started

    # --- input ------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        self.last_traffic = self.listener.deadlines.now()
        if self.flow is not None:
            self.listener.flows.add_received(self.flow, len(data))
        if self.ignores_input or self.write_closed:
            self.drop_input(len(data))
            return
        has_array = False
        try:
            for words in self.reader.feed(data):
                has_array = True
                self.handle_array(words)
                if self.ignores_input:
                    return
        except BrokenFramingError as error:
            self.stop_reading(str(error))
            return
        if has_array:
            self.listener.without_array.pop(self, None)
            self.listener.deadlines.cancel(self.array_timer)
            self.array_timer, self.array_timed_out = None, False
        if self.array_timer is None and self.reader.has_partial_message() and not self.array_timed_out:
            self.array_timer = self.listener.deadlines.after(
                ARRAY_TIMEOUT, self.on_array_timeout, "incomplete array"
            )

    def handle_array(self, words: list[bytes]) -> None:
        """Handle one array; a bad one is answered under its tag, or closes the connection."""
        report = self.listener.report
        tag = (
            int(words[1]) if len(words) > 1 and words[1].isdigit() and len(words[1]) <= MAX_TAG_DIGITS else 0
        )
        if tag < 1 or (tag in self.pending_requests and words[0] != b"ABORT"):
            self.stop_reading(f"tag missing, invalid or in use: {words[0][:20]!r}")
            return
        try:
            if words[0] == b"REQ":
                self.checks_only = False
                report.count("dispatchers", "got requests")
                self.handle_request(tag, words)
            elif words[0] == b"ABORT":
                report.count("dispatchers", "got aborts")
                pending = self.pending_requests.pop(tag, None)
                if pending is not None:
                    self.abandon(pending)
            elif words[0] == b"HEALTH":
                report.count("dispatchers", "got checks")
                self.send(
                    tag,
                    b"serving" if self.listener.engine.is_serving else b"not_serving",
                    self.status_fields(),
                    b"",
                )
            else:
                raise BadRequestError(f"unknown command {words[0][:20]!r}")
        except BadRequestError as error:
            report.count("dispatchers", "unusable arrays")
            report.note(f"dispatchers: {error}")
            self.send(tag, STATUS_CODES[Answer.FAILED], self.status_fields(), b"")
            self.bad_arrays += 1
            if self.bad_arrays >= MAX_BAD_ARRAYS:
                self.stop_reading("too many unusable arrays")
        except Exception:
            report.log_exception("reading a request")
            if tag in self.pending_requests:
                self.listener.engine.abort_request(self.pending_requests[tag])
            else:
                self.send(tag, STATUS_CODES[Answer.FAILED], self.status_fields(), b"")

    def handle_request(self, tag: int, words: list[bytes]) -> None:
        """Pass a request to the engine; raises BadRequestError."""
        if len(self.pending_requests) >= MAX_OPEN_REQUESTS:
            raise BadRequestError("too many open requests on the connection")
        pending, tenant = read_request(
            words, self.listener.engine, self.listener.tenants, partial(self.answer, tag)
        )
        self.pending_requests[tag] = pending
        if self.flow is not None:
            self.listener.flows.set_owner(
                self.flow, tenant, pending.request.request_class.name, pending.request.caller
            )
        self.listener.engine.on_request_received(pending)

    def stop_reading(self, reason: str) -> None:
        """Drop all further input, and close once the open requests are answered."""
        if self.ignores_input:
            return
        self.listener.report.count("dispatchers", "broken framing")
        self.listener.report.note(f"dispatchers: {reason}; the connection is closed")
        self.closing = self.ignores_input = True
        self.close_if_done()

    def on_array_timeout(self, reason: str) -> None:
        """Close a connection whose array is incomplete, so that it does not occupy a descriptor.

        If it has sent a whole array before, it gets a goaway; should the rest arrive, the array is handled.
        """
        self.array_timer, self.array_timed_out = None, True
        self.listener.report.count("dispatchers", "arrays too slow")
        self.listener.report.note(f"dispatchers: {reason}; the connection is closed")
        if self in self.listener.without_array or self.closing:
            self.schedule_close()
        else:
            self.send_goaway()

    def drop_input(self, size: int) -> None:
        """Drop input on a closing connection; past `MAX_DROPPED` stop reading, as a flood costs CPU time."""
        self.listener.report.count("dispatchers", "bytes dropped", size)
        self.dropped_bytes += size
        if self.dropped_bytes > MAX_DROPPED:
            self.transport.pauseProducing()

    # --- output -----------------------------------------------------------------------------------

    def answer(self, tag: int, answer: Answer, result: bytes, span: int, last: bool) -> None:
        """Send the answer to an open request; `span` (µs) and `last` tell how to retry a rejected one."""
        pending = self.pending_requests.pop(tag, None)
        if pending is None:
            return
        if self.flow is not None:
            counts = self.flow.counts
            counts.honoured += answer is Answer.SERVED
            counts.deferred += answer is Answer.REJECTED
            counts.given_up += answer is Answer.FAILED
            self.add_times(pending.request)
        fields = self.status_fields()
        if answer is Answer.REJECTED:
            fields += [b"w=%d" % (span // 1000)] if span else []
            fields += [b"l=1"] if last else []
        self.listener.report.count("dispatchers", "sent " + answer.value)
        self.send(tag, STATUS_CODES[answer], fields, result)
        self.close_if_done()

    def status_fields(self) -> list[bytes]:
        """The fields of each answer: the advertised capacity, if there is one."""
        value = self.listener.engine.free_value
        return [] if value is None else [b"v=%.4f" % value]

    def send(self, tag: int, word: bytes, fields: list[bytes], body: bytes) -> None:
        """Send the answer to an array."""
        self.last_traffic = self.listener.deadlines.now()
        self.write(array(b"%d" % tag, word, b",".join(fields), body))

    def write(self, parts: list[bytes]) -> None:
        """Write bytes and meter them."""
        self.transport.writeSequence(parts)
        if self.flow is not None:
            self.listener.flows.add_sent(self.flow, sum(map(len, parts)), self.transport)

    def close_if_done(self) -> None:
        """Close a connection that is marked for it, once no request is open."""
        if self.closing and not self.pending_requests:
            self.schedule_close()

    def schedule_close(self) -> None:
        """Close after the reactor has read the input that has arrived by now."""
        self.listener.deadlines.after(0, self.close)

    def close(self, in_any_case: bool = False) -> None:
        """Half-close our side, unless a request is open or, after a goaway, an array is partly read.

        The producer is unregistered: a connection with a paused producer would not close.
        """
        array_in_progress = (
            self.goaway_sent
            and not self.closing
            and self.array_timer is not None
            and self.reader.has_partial_message()
        )
        if self.write_closed or ((self.pending_requests or array_in_progress) and not in_any_case):
            return
        self.write_closed = True
        for each in (self.array_timer, self.idle_timer, self.unread_timer):
            self.listener.deadlines.cancel(each)
        self.listener.without_array.pop(self, None)
        self.unread_timer = self.listener.deadlines.after(UNREAD_TIMEOUT, self.abort, "answers left unread")
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    # --- idle connections -------------------------------------------------------------------------

    def restart_idle_timer(self) -> None:
        """Set the idle timer by the current idle timeout; not after a goaway."""
        self.listener.deadlines.cancel(self.idle_timer)
        self.idle_timer = None
        if self.listener.idle_timeout and not self.goaway_sent:
            idle_for = self.listener.deadlines.now() - self.last_traffic
            self.idle_timer = self.listener.deadlines.after(
                self.listener.idle_timeout - idle_for, self.on_idle
            )

    def on_idle(self) -> None:
        """Send a goaway after the idle timeout; connections that only check health stay open."""
        idle_for = self.listener.deadlines.now() - self.last_traffic
        if idle_for < self.listener.idle_timeout or self.pending_requests or self.checks_only:
            self.idle_timer = self.listener.deadlines.after(
                max(self.listener.idle_timeout - idle_for, self.listener.idle_timeout // 2), self.on_idle
            )
        else:
            self.send_goaway()

    def send_goaway(self) -> None:
        """Ask the client to send no more requests here and to close; if it does not, close once unused."""
        if not (self.goaway_sent or self.closing or self.write_closed):
            self.goaway_sent = True
            self.write(array(b"0", b"goaway"))
            self.listener.report.count("dispatchers", "sent goaway")
            # a timer that is not cancelled would outlive the connection and keep it in memory
            self.listener.deadlines.cancel(self.idle_timer)
            self.idle_timer = self.listener.deadlines.after(GOAWAY_CLOSE_DELAY, self.close_unused)

    def close_unused(self) -> None:
        """Close if no request is open, and try again later if new input prevented the close."""
        self.idle_timer = self.listener.deadlines.after(GOAWAY_CLOSE_DELAY, self.close_unused)
        if not self.pending_requests:
            self.schedule_close()


class ListeningPort(Port):
    """Accepts no more connections at once than there are free descriptors; Twisted's own port accepts 100."""

    def doRead(self) -> None:
        self.numberAccepts = self.factory.max_accepts()
        super().doRead()


class DispatcherListener(Factory):
    """Accepts the dispatchers' connections within the limit on descriptors, and closes idle ones."""

    noisy = False

    def __init__(
        self,
        engine: RequestEngine,
        deadlines: Deadlines,
        report: Report,
        descriptors: int,
        tenants: Container[bytes] = frozenset(),
        flows: Any = None,
        memory: int = DEFAULT_MEMORY,
    ) -> None:
        """`flows`: a flows.assembly.Flows to meter connections; `memory`: bytes that the process may use."""
        self.engine, self.deadlines, self.report = engine, deadlines, report
        self.tenants = tenants
        self.flows = flows
        self.max_connections = max(1, descriptors - RESERVED_DESCRIPTORS - max_catalogue_links(descriptors))
        self.connections: Slots[Connection] = Slots()
        self.stalled: dict[Connection, None] = {}  # clients that read no answers, the longest stalled first
        self.max_stalled = max(
            1, int(memory * UNREAD_MEMORY_SHARE) // (MAX_READ + MAX_OPEN_REQUESTS * MAX_RESULT)
        )
        self.without_array: dict[Connection, None] = {}  # that sent no whole array yet, oldest first
        self.idle_timeout = engine.machine.idle_timeout_us  # µs, until a decision changes it
        self.port: Any = None
        self.is_accepting = True
        engine.listeners.append(self)

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        """Open the listening socket; raises CannotListenError."""
        self.port = ListeningPort(address[1], self, BACKLOG, address[0], reactor)
        self.port.startListening()

    def buildProtocol(self, addr: Any) -> Connection | None:
        """Accept a connection, and free descriptors when few are left.

        With many connections open, the longest idle one gets a goaway, even if it only checks health. Near
        the limit one is closed for each new one. With half of the spare connections left, accepting pauses;
        waiting clients stay in the backlog. Cost: a client that is idle, or slow to send its first array, has
        to reconnect; nothing that it sent goes unread.
        """
        count, spare = len(self.connections), self.max_connections // CONNECTIONS_PER_SPARE
        if count >= GOAWAY_FILL_SHARE * self.max_connections and (
            idle_connection := self.longest_idle(GOAWAY_MIN_IDLE, False)
        ):
            idle_connection.send_goaway()
        if count >= self.max_connections - spare:
            self.evict_one()
        if count >= self.max_connections:
            self.report.count("dispatchers", "connections too many")
            return None
        if count + 1 >= self.accept_limit():
            self.set_accepting(False)
        return Connection(self)

    def accept_limit(self) -> int:
        """The number of open connections at which accepting pauses."""
        return max(1, self.max_connections - self.max_connections // CONNECTIONS_PER_SPARE // 2)

    def max_accepts(self) -> int:
        """The number of connections to accept at once; the reactor reads from them before it accepts more."""
        return max(1, self.accept_limit() - len(self.connections))

    def set_accepting(self, accepting: bool) -> None:
        """Pause or resume accepting connections."""
        if accepting is self.is_accepting or self.port is None:
            return
        self.is_accepting = accepting
        if accepting:
            self.port.resumeProducing()
        else:
            self.report.count("dispatchers", "times full")
            self.port.pauseProducing()
            self.deadlines.after(EVICTION_PERIOD, self.retry_accepting)

    def retry_accepting(self) -> None:
        """Evict connections periodically while accepting is paused."""
        if not self.is_accepting and self.port is not None:
            self.evict_one()
            self.deadlines.after(EVICTION_PERIOD, self.retry_accepting)

    def resume_accepting(self) -> None:
        """Accept again if enough connections have closed."""
        if len(self.connections) < self.accept_limit():
            self.set_accepting(True)

    def evict_one(self) -> None:
        """Close the oldest connection without a whole array or the longest idle one; abort lingering ones."""
        now = self.deadlines.now()
        for each in self.connections:
            if each.write_closed_at is not None and each.write_closed_at < now - EVICTION_MIN_IDLE:
                each.transport.abortConnection()
        oldest = next(iter(self.without_array), None)
        if oldest is None or oldest.last_traffic >= now - EVICTION_MIN_IDLE:
            oldest = self.longest_idle(EVICTION_MIN_IDLE, True)
        if oldest is not None:
            self.report.count("dispatchers", "ended for room")
            self.without_array.pop(oldest, None)
            oldest.closing = True
            oldest.schedule_close()

    def longest_idle(self, span: int, goaway_sent: bool) -> Connection | None:
        """The connection longest without traffic, for more than `span` µs, that has no open request.

        `goaway_sent`: include connections that got a goaway.
        """
        before = self.deadlines.now() - span
        idle_connection = [
            each
            for each in self.connections
            if each.last_traffic < before
            and not (each.pending_requests or each.closing or each.write_closed)
            and (goaway_sent or not each.goaway_sent)
        ]
        return min(idle_connection, key=lambda each: each.last_traffic, default=None)

    def set_idle_timeout(self, span: int) -> None:
        """Set after how many µs without traffic a connection gets a goaway."""
        self.idle_timeout = span
        for connection in self.connections:
            if not connection.goaway_sent:
                connection.restart_idle_timer()

    def describe(self) -> str:
        """The listener's part of the status line."""
        goaway_sent = sum(each.goaway_sent for each in self.connections)
        busy = sum(bool(each.pending_requests) for each in self.connections)
        return (
            f"{len(self.connections)} callers, {busy} busy, "
            f"{len(self.without_array)} silent, {goaway_sent} sent away"
        )

    def send_goaway(self) -> None:
        """Ask all clients to close their connections."""
        for connection in self.connections:
            connection.send_goaway()

    def on_stalled(self, connection: Connection) -> None:
        """Abort the longest stalled connection if the unread answers of all could exceed their memory."""
        self.stalled[connection] = None
        if len(self.stalled) > self.max_stalled:
            next(iter(self.stalled)).abort("memory for others")

    def close(self) -> None:
        """Half-close all connections, even those with open requests."""
        for connection in self.connections:
            connection.close(in_any_case=True)

    def stop_listening(self) -> None:
        """Accept all connections in the backlog, in batches, then close the listening socket."""
        if self.port is not None:
            self.port, port = None, self.port
            before = -1
            while before != self.report.counts["dispatchers connections"]:
                before = self.report.counts["dispatchers connections"]
                port.doRead()
            port.stopListening()
