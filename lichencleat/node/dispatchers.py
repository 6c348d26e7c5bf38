"""The listener for dispatchers, the clients of a node: requests, answers, health checks, connections."""

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
from lichencleat.node.host import RequestEngine
from lichencleat.node.pending_request import Answer, PendingRequest
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.resp import ArrayReader, array
from lichencleat.node.slots import Slots

# bytes read from a connection at a time, so that a flood on one connection delays the others by a few ms only
MAX_READ = 16_384
MAX_OPEN_REQUESTS = 32  # requests without an answer on one connection; a limit of the protocol
# unusable arrays after which a connection is closed, as each costs as much CPU time as a usable array
MAX_BAD_ARRAYS = 4
MAX_TAG_DIGITS = 18  # decimal digits of a tag, enough for any number of arrays on one connection
# µs from connecting until the first array is complete: half of what the protocol allows a silent client
FIRST_ARRAY_TIMEOUT = 1_500_000
ARRAY_TIMEOUT = 1_000_000  # µs for the rest of a partial array to arrive; clients write an array in one piece
BACKLOG = 1_024  # connections that may wait to be accepted; after a restart all clients connect at once
# descriptors that are not for clients' connections: the process, the reactor, the listener and the links to
# other services use 10, and the rest is for further links or files
RESERVED_DESCRIPTORS = 16
# The maximum number of connections divided by this number is kept free for connections that are closing, so
# that none of these has to be aborted.
CONNECTIONS_PER_SPARE = 8
# from this fraction of the maximum number of connections on, idle connections get a goaway
GOAWAY_FILL_SHARE = 0.75
# µs without traffic after which a connection may get a goaway to free its descriptor; most clients send again
# sooner
GOAWAY_MIN_IDLE = 1_000_000
# µs without traffic after which a connection may be closed to free its descriptor; a client whose request
# crosses the close sends the request again
EVICTION_MIN_IDLE = 60_000
# µs between evictions while accepting is paused: a third of EVICTION_MIN_IDLE
EVICTION_PERIOD = 20_000
# µs from the half-close of this side until the client closes its side; a client that takes longer is gone
LINGER_TIMEOUT = 1_000_000
# bytes that are read and dropped on a closing connection: more than 32 requests with their bodies
MAX_DROPPED = 262_144
MAX_RESULT = 4_096  # bytes of the result in an answer; a limit of the protocol
# bytes that the process may use if the settings have no limit: three times what an idle node uses
DEFAULT_MEMORY = 64 << 20
# fraction of the process's memory for answers that clients leave unread; an idle node uses a third
UNREAD_MEMORY_SHARE = 1 / 8
UNREAD_TIMEOUT = 10_000_000  # µs for which a client may leave answers unread: longer than any request waits
# µs from the goaway until an unused connection is closed; requests that were sent before the client read the
# goaway have arrived by then
GOAWAY_CLOSE_DELAY = 300_000
# status code of each kind of answer
STATUS_CODES = {Answer.SERVED: b"200", Answer.REJECTED: b"503", Answer.FAILED: b"500"}


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    """A client's connection and its open requests by tag, which are not answered or abandoned yet.

    A connection closes in four steps:

    1. The connection is marked (`closing`, `goaway_sent`).
    2. Once no request is open, the reactor reads once more the input that has arrived by then.
    3. If that input opened no request, this side is half-closed after all answers (`write_closed`).
    4. Input that the client sent before it saw the half-close is read and dropped until the client closes
       its side too, for `LINGER_TIMEOUT` at most.

    Closing with unread bytes would reset the connection, and answers already written would be lost.
    """

    def __init__(self, listener: DispatcherListener) -> None:
        self.listener = listener
        self.reader = ArrayReader()
        self.pending_requests: dict[int, PendingRequest] = {}
        self.number = -1  # slot of this connection in the listener; -1 before it is connected
        self.last_traffic = 0  # µs of the monotonic clock: when bytes were last received or an answer sent
        self.checks_only = True  # the client has sent no request, at most health checks
        self.bad_arrays = 0
        # limits the time until the first array, or the rest of a partial array, has arrived
        self.array_timer: Deadline | None = None
        self.array_timed_out = False  # the array was not complete in time; no new timer is set for it
        self.goaway_sent = False
        self.closing = False  # the connection closes once no request is open
        self.ignores_input = False  # the framing is broken: further input is dropped
        self.write_closed = False  # this side is half-closed: further input is dropped
        self.write_closed_at: int | None = None  # µs of the monotonic clock: when the half-close was sent
        self.dropped_bytes = 0
        self.unread_timer: Deadline | None = None
        self.idle_timer: Deadline | None = None
        self.flow: Any = None  # flow record of this connection, with flow export
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
        """Abandon all open requests, because the connection is lost or the client has half-closed it."""
        pending_requests, self.pending_requests = self.pending_requests, {}
        for pending in pending_requests.values():
            self.listener.report.count("dispatchers", "lost with their connection")
            self.abandon(pending)

    def readConnectionLost(self) -> None:
        """Abandon the requests of a client that closed its side, and close once written answers are sent."""
        if not self.write_closed:
            self.transport.unregisterProducer()
        self.closing = self.write_closed = True
        self.abandon_all()
        self.listener.deadlines.cancel(self.unread_timer)
        self.unread_timer = self.listener.deadlines.after(UNREAD_TIMEOUT, self.abort, "answers left unread")
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Wait for the client to close its side, now that all answers and the half-close are sent."""
        self.write_closed_at = self.listener.deadlines.now()
        self.listener.deadlines.cancel(self.unread_timer)
        self.unread_timer = self.listener.deadlines.after(LINGER_TIMEOUT, self.transport.loseConnection)

    # --- clients that do not read answers --------------------------------------------------------

    def pauseProducing(self) -> None:
        """Stop reading from a client that does not read its answers, and abort the connection later.

        The abort follows after `UNREAD_TIMEOUT`, so that unread answers do not fill the memory.
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
        """Report to the engine that the client has cancelled a request or is gone."""
        if self.flow is not None:
            self.flow.counts.abandoned += 1
            self.add_times(pending.request)
        self.listener.engine.on_caller_gone(pending)

    def add_times(self, request: Request) -> None:
        """Add the request's waiting time and run time to the connection's flow record."""
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
        """Handle one array; answer an invalid array as failed, or close the connection on an invalid tag."""
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
        """Pass a request to the engine. Raises BadRequestError if the request is invalid."""
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
        """Drop all further input, and close the connection once the open requests are answered."""
        if self.ignores_input:
            return
        self.listener.report.count("dispatchers", "broken framing")
        self.listener.report.note(f"dispatchers: {reason}; the connection is closed")
        self.closing = self.ignores_input = True
        self.close_if_done()

    def on_array_timeout(self, reason: str) -> None:
        """Close the connection, whose array was not complete in time, to free its descriptor.

        A connection that has sent a complete array before gets a goaway instead; if the rest of the array
        arrives after all, the array is handled.
        """
        self.array_timer, self.array_timed_out = None, True
        self.listener.report.count("dispatchers", "arrays too slow")
        self.listener.report.note(f"dispatchers: {reason}; the connection is closed")
        if self in self.listener.without_array or self.closing:
            self.schedule_close()
        else:
            self.send_goaway()

    def drop_input(self, size: int) -> None:
        """Drop input of a closing connection; stop reading after `MAX_DROPPED` bytes, to save CPU time."""
        self.listener.report.count("dispatchers", "bytes dropped", size)
        self.dropped_bytes += size
        if self.dropped_bytes > MAX_DROPPED:
            self.transport.pauseProducing()

    # --- output -----------------------------------------------------------------------------------

    def answer(self, tag: int, answer: Answer, result: bytes, retry_after_us: int, no_retry: bool) -> None:
        """Send the answer to an open request.

        For a rejected request, `retry_after_us` is the delay before a retry, 0 for none; `no_retry` asks the
        client not to retry on another node.
        """
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
            fields += [b"w=%d" % (retry_after_us // 1000)] if retry_after_us else []
            fields += [b"l=1"] if no_retry else []
        self.listener.report.count("dispatchers", "sent " + answer.value)
        self.send(tag, STATUS_CODES[answer], fields, result)
        self.close_if_done()

    def status_fields(self) -> list[bytes]:
        """Return the fields that each answer carries: the advertised capacity, if there is one."""
        value = self.listener.engine.free_value
        return [] if value is None else [b"v=%.4f" % value]

    def send(self, tag: int, word: bytes, fields: list[bytes], body: bytes) -> None:
        """Send the answer to an array."""
        self.last_traffic = self.listener.deadlines.now()
        self.write(array(b"%d" % tag, word, b",".join(fields), body))

    def write(self, parts: list[bytes]) -> None:
        """Write bytes and add their number to the flow record."""
        self.transport.writeSequence(parts)
        if self.flow is not None:
            self.listener.flows.add_sent(self.flow, sum(map(len, parts)), self.transport)

    def close_if_done(self) -> None:
        """Close the connection if it is marked as closing and no request is open."""
        if self.closing and not self.pending_requests:
            self.schedule_close()

    def schedule_close(self) -> None:
        """Close the connection after the reactor has read the input that has arrived by now."""
        self.listener.deadlines.after(0, self.close)

    def close(self, in_any_case: bool = False) -> None:
        """Close the sending side of the connection, unless the connection is still needed.

        The connection is still needed while a request is open or, once a goaway was sent, while an array is
        partly read. With `in_any_case`, the sending side is closed nevertheless.

        The producer is unregistered, as a connection with a paused producer would not close.
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
        """Set the idle timer according to the current idle timeout, unless a goaway was sent."""
        self.listener.deadlines.cancel(self.idle_timer)
        self.idle_timer = None
        if self.listener.idle_timeout and not self.goaway_sent:
            idle_for = self.listener.deadlines.now() - self.last_traffic
            self.idle_timer = self.listener.deadlines.after(
                self.listener.idle_timeout - idle_for, self.on_idle
            )

    def on_idle(self) -> None:
        """Send a goaway after the idle timeout, but not if the client has sent only health checks."""
        idle_for = self.listener.deadlines.now() - self.last_traffic
        if idle_for < self.listener.idle_timeout or self.pending_requests or self.checks_only:
            self.idle_timer = self.listener.deadlines.after(
                max(self.listener.idle_timeout - idle_for, self.listener.idle_timeout // 2), self.on_idle
            )
        else:
            self.send_goaway()

    def send_goaway(self) -> None:
        """Ask the client to send no more requests and to close; if it does not close, close once unused."""
        if not (self.goaway_sent or self.closing or self.write_closed):
            self.goaway_sent = True
            self.write(array(b"0", b"goaway"))
            self.listener.report.count("dispatchers", "sent goaway")
            # a timer that is not cancelled would outlive the connection and keep it in memory
            self.listener.deadlines.cancel(self.idle_timer)
            self.idle_timer = self.listener.deadlines.after(GOAWAY_CLOSE_DELAY, self.close_unused)

    def close_unused(self) -> None:
        """Close if no request is open; check again every `GOAWAY_CLOSE_DELAY` until the close."""
        self.idle_timer = self.listener.deadlines.after(GOAWAY_CLOSE_DELAY, self.close_unused)
        if not self.pending_requests:
            self.schedule_close()


class ListeningPort(Port):
    """Accepts at most as many connections at once as descriptors are free; Twisted's own port accepts 100."""

    def doRead(self) -> None:
        self.numberAccepts = self.factory.max_accepts()
        super().doRead()


class DispatcherListener(Factory):
    """Accepts the dispatchers' connections within the limit on descriptors, and closes idle connections."""

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
        """Set the limits.

        `descriptors`: file descriptors that the process may use; `flows`: a flows.assembly.Flows that meters
        connections, or None; `memory`: bytes that the process may use.
        """
        self.engine, self.deadlines, self.report = engine, deadlines, report
        self.tenants = tenants
        self.flows = flows
        self.max_connections = max(1, descriptors - RESERVED_DESCRIPTORS - max_catalogue_links(descriptors))
        self.connections: Slots[Connection] = Slots()
        self.stalled: dict[Connection, None] = {}  # clients that read no answers, longest stalled first
        self.max_stalled = max(
            1, int(memory * UNREAD_MEMORY_SHARE) // (MAX_READ + MAX_OPEN_REQUESTS * MAX_RESULT)
        )
        # connections that have not sent a complete array yet, oldest first
        self.without_array: dict[Connection, None] = {}
        self.idle_timeout = engine.machine.idle_timeout_us  # µs
        self.port: Any = None
        self.is_accepting = True
        engine.listeners.append(self)

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        """Open the listening socket. Raises CannotListenError if the address is not available."""
        self.port = ListeningPort(address[1], self, BACKLOG, address[0], reactor)
        self.port.startListening()

    def buildProtocol(self, addr: Any) -> Connection | None:
        """Accept a connection, and free descriptors when few are left.

        With many connections open, the longest idle connection gets a goaway, even if the client only checks
        health. Near the maximum, one connection is closed for each new one. With half of the spare
        connections left, accepting pauses, and new clients wait in the backlog. Cost: a client that is idle,
        or slow to send its first array, has to reconnect; all that such a client has sent is still read.
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
        """Return the number of open connections at which accepting pauses."""
        return max(1, self.max_connections - self.max_connections // CONNECTIONS_PER_SPARE // 2)

    def max_accepts(self) -> int:
        """Return how many connections to accept before the reactor reads from the open ones again."""
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
        """Resume accepting if enough connections have closed."""
        if len(self.connections) < self.accept_limit():
            self.set_accepting(True)

    def evict_one(self) -> None:
        """Close the oldest connection without a complete array, or else the longest idle one.

        Connections that have waited for the client's close for `EVICTION_MIN_IDLE` are aborted.
        """
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

    def longest_idle(self, min_idle_us: int, include_goaway_sent: bool) -> Connection | None:
        """Return the connection without open requests that is idle longest, for `min_idle_us` at least.

        Return None if no connection is idle for so long.

        `include_goaway_sent`: consider connections that got a goaway, too.
        """
        before = self.deadlines.now() - min_idle_us
        idle_connections = [
            each
            for each in self.connections
            if each.last_traffic < before
            and not (each.pending_requests or each.closing or each.write_closed)
            and (include_goaway_sent or not each.goaway_sent)
        ]
        return min(idle_connections, key=lambda each: each.last_traffic, default=None)

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set the time without traffic after which a connection gets a goaway."""
        self.idle_timeout = timeout_us
        for connection in self.connections:
            if not connection.goaway_sent:
                connection.restart_idle_timer()

    def describe(self) -> str:
        """Return the listener's part of the status line."""
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
        """Record a client that reads no answers; with more than `max_stalled`, abort the longest stalled one.

        The unread answers of more clients could exceed the memory for unread answers.
        """
        self.stalled[connection] = None
        if len(self.stalled) > self.max_stalled:
            next(iter(self.stalled)).abort("memory for others")

    def close(self) -> None:
        """Half-close all connections, even those with open requests."""
        for connection in self.connections:
            connection.close(in_any_case=True)

    def stop_listening(self) -> None:
        """Accept all connections that wait in the backlog, then close the listening socket."""
        if self.port is not None:
            self.port, port = None, self.port
            before = -1
            while before != self.report.counts["dispatchers connections"]:
                before = self.report.counts["dispatchers connections"]
                port.doRead()
            port.stopListening()
