"""The client of a group: finds the leader, retries unanswered requests, and has each proposal applied once.

Proposals are sent one at a time in a session. A retry has the same sequence number as the first attempt, so
the group applies the proposal only once, and answers each attempt with the same result. If the group has
evicted the session meanwhile, the request fails, and the error says that the request may have taken effect.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from typing import Any, TypeAlias

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.framed_protocol import FramedProtocol
from lichencleat.transport.frames import (
    FORMAT_VERSION,
    ClientRequest,
    ClientResponse,
    Encodable,
    Greeting,
    GreetingResponse,
    encode_command,
    encode_raw,
)
from lichencleat.transport.identity import CLIENT_ID, NO_INCARNATION, GreetingResult
from lichencleat.transport.outcomes import RejectReason, SessionOutcome
from lichencleat.transport.twisted_types import Connector, DelayedCall, TcpReactor

ATTEMPT_TIMEOUT_S = 1.0  # limit for an attempt at one member: longer than an election, below usual timeouts
MIN_BACKOFF_S = 0.02  # first pause before another attempt; doubled after each attempt, with jitter
MAX_BACKOFF_S = 0.4
REQUEST_TIMEOUT_S = 10.0  # default time limit for a request, with all of its attempts
MAX_PENDING_REQUESTS = 1_024
# Reasons for a rejection that another attempt would get as well.
FINAL_REASONS = frozenset([RejectReason.INVALID_REQUEST.value, RejectReason.LAST_VOTER.value])

# Names of a group's operations. The values are on the wire.
PROPOSE = "propose"
READ = "read"
OPEN_SESSION = "open"

Address: TypeAlias = tuple[str, int]  # host and port
Result: TypeAlias = Any  # decoded MessagePack; its type depends on the operation


class _PendingRequest:
    """A request that is neither answered nor past its deadline."""

    def __init__(self, operation: str, content: Encodable, deadline: float) -> None:
        self.operation = operation
        self.content = content
        self.deadline = deadline  # s of the reactor's clock
        self.result: Deferred[Result] = Deferred()
        self.sequence = 0  # sequence number of a proposal in the session; 0 before the first attempt
        self.may_take_effect = False  # whether an attempt may have reached the group


class _ClientConnection(FramedProtocol):
    """One connection to a member."""

    def __init__(self, client: GroupClient, factory: _ConnectionFactory) -> None:
        self.client = client
        self.factory = factory

    def connectionMade(self) -> None:
        self.tcp.setTcpNoDelay(True)
        client = self.client
        self.send(
            Greeting(
                FORMAT_VERSION,
                b"",
                client.cluster_name,
                CLIENT_ID,
                CLIENT_ID,
                NO_INCARNATION,
                client.caller_name,
            )
        )

    def stringReceived(self, string: bytes) -> None:
        frame = self.read(string)
        if isinstance(frame, GreetingResponse):
            self.client.on_greeting_response(self, frame)
        elif isinstance(frame, ClientResponse):
            self.client.on_response(self, frame)
        elif frame is not None:
            self.tcp.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.client.on_connection_lost(self.factory)


class _ConnectionFactory(ClientFactory):
    """Creates one connection; the client compares factories to recognize events of dropped connections."""

    noisy = False

    def __init__(self, client: GroupClient) -> None:
        self.client = client

    def buildProtocol(self, addr: IAddress | None) -> _ClientConnection:
        return _ClientConnection(self.client, self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.client.on_connection_lost(self)


class GroupClient:
    """Owns the pending requests and one connection at a time, until `close`."""

    def __init__(
        self,
        reactor: TcpReactor,
        cluster_name: str,
        addresses: Sequence[Address],
        rng: random.Random,
        caller_name: str = "",
    ) -> None:
        """Create the client, which connects at the first request.

        Args:
            reactor: Opens the connections and times the attempts.
            cluster_name: Name of the group; members of other groups reject the greeting.
            addresses: Addresses of members; any of them may be down.
            rng: Chooses members and draws jitter.
            caller_name: Name of the calling process, for the members' logs.
        """
        self.cluster_name = cluster_name
        self.caller_name = caller_name
        self._reactor = reactor
        self._rng = rng
        self._addresses = list(addresses)
        self._address = rng.choice(self._addresses)  # address of the current member
        self._connection: _ClientConnection | None = None  # set once the member has answered the greeting
        self._is_accepted = False  # whether the member has accepted the greeting
        self._connector: Connector | None = None
        self._factory: _ConnectionFactory | None = None  # factory of the current connection
        self._pending: deque[_PendingRequest] = deque()
        self._session_id = 0  # 0 while no session is open
        self._last_sequence = 0  # last sequence number used in the session
        self._request_number = 0  # number of the last request that was sent
        self._backoff_s = MIN_BACKOFF_S  # next backoff, before jitter
        self._timer: DelayedCall | None = None  # timeout of the current attempt, or end of the backoff
        self._is_closed = False
        self._last_failure = "nobody answers"

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending."""
        return not self._pending

    # -- requests ----------------------------------------------------------------------------------------

    def propose(
        self, state_name: str, command: Encodable, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Deferred[Result]:
        """Have a command applied once to the named replicated state.

        Returns:
            Fires with the result of the command. Fails with RequestFailedError, at the latest after
            `timeout_s` seconds.
        """
        return self.call(PROPOSE, encode_command(state_name, command), timeout_s)

    def read(
        self, state_name: str, query: Encodable, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Deferred[Result]:
        """Run a linearizable read of the named replicated state.

        Returns:
            Fires with the answer. Fails with RequestFailedError, at the latest after `timeout_s` seconds.
        """
        return self.call(READ, (state_name, query), timeout_s)

    def call(
        self, operation: str, content: Encodable = None, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Deferred[Result]:
        """Have the leader carry out an operation; a request is sent once all earlier requests are finished.

        Returns:
            Fires with the result. Fails with RequestFailedError, at the latest after `timeout_s` seconds.
        """
        request = _PendingRequest(operation, content, self._reactor.seconds() + timeout_s)
        if self._is_closed or len(self._pending) >= MAX_PENDING_REQUESTS:
            reason = "the client is closed or has too many pending requests"
            request.result.errback(RequestFailedError(reason, False))
            return request.result
        self._pending.append(request)
        if len(self._pending) == 1:
            self._backoff_s = MIN_BACKOFF_S
            self._attempt()
        return request.result

    def close(self) -> None:
        """Close the connection; all pending requests fail."""
        self._is_closed = True
        self._stop_timer()
        self._drop_connection()
        while self._pending:
            request = self._pending.popleft()
            request.result.errback(RequestFailedError("the client was closed", request.may_take_effect))

    # -- attempts ----------------------------------------------------------------------------------------

    def _attempt(self) -> None:
        """Send the first pending request to the current member; connect to the member before, if needed."""
        self._stop_timer()
        if self._is_closed or not self._pending:
            return
        request = self._pending[0]
        time_left = request.deadline - self._reactor.seconds()
        if time_left <= 0:
            self._fail_first(RequestFailedError(self._last_failure, request.may_take_effect))
            return
        self._timer = self._reactor.callLater(min(ATTEMPT_TIMEOUT_S, time_left), self._on_attempt_timeout)
        if self._connection is not None:
            if self._is_accepted:
                self._send_request(request)
        elif self._connector is None:
            self._connect()

    def _connect(self) -> None:
        self._is_accepted = False
        host, port = self._address
        self._factory = _ConnectionFactory(self)
        self._connector = self._reactor.connectTCP(host, port, self._factory, timeout=ATTEMPT_TIMEOUT_S)

    def _send_request(self, request: _PendingRequest) -> None:
        assert self._connection is not None
        self._request_number += 1
        number = self._request_number
        if request.operation != PROPOSE:
            frame = ClientRequest(number, request.operation, encode_raw(request.content))
        elif not self._session_id:
            frame = ClientRequest(number, OPEN_SESSION)
        else:
            if not request.sequence:
                self._last_sequence += 1
                request.sequence = self._last_sequence
            request.may_take_effect = True  # from here on, even if the connection is lost
            proposal = (self._session_id, request.sequence, request.content)
            frame = ClientRequest(number, PROPOSE, encode_raw(proposal))
        self._connection.send(frame)

    def _on_attempt_timeout(self) -> None:
        self._timer = None
        self._last_failure = "no answer from {}:{}".format(*self._address)
        self._switch_member()

    def _switch_member(self, leader: Address | None = None) -> None:
        """Switch to the given leader at once, or to any other member after the backoff."""
        self._drop_connection()
        others = [each for each in self._addresses if each != self._address] or self._addresses
        self._address = leader or self._rng.choice(others)
        if leader:
            self._schedule_attempt(0.0)
        else:
            self._back_off()

    def _back_off(self) -> None:
        """Schedule the next attempt after the backoff."""
        self._stop_timer()
        delay = self._backoff_s * (0.5 + self._rng.random())
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._schedule_attempt(delay)

    def _schedule_attempt(self, delay: float) -> None:
        self._stop_timer()
        self._timer = self._reactor.callLater(delay, self._attempt)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _drop_connection(self) -> None:
        connection = self._connection
        connector = self._connector
        self._connection = None
        self._connector = None
        self._factory = None
        if connection is not None:
            connection.tcp.abortConnection()
        elif connector is not None:
            connector.disconnect()

    # -- outcomes ----------------------------------------------------------------------------------------

    def _succeed_first(self, result: Result) -> None:
        self._stop_timer()
        request = self._pending.popleft()
        self._start_next()
        request.result.callback(result)

    def _fail_first(self, error: RequestFailedError) -> None:
        self._stop_timer()
        request = self._pending.popleft()
        if request.sequence:
            # the group may have used this sequence number or not, so the next proposal opens a new session
            self._session_id = 0
        self._start_next()
        request.result.errback(error)

    def _start_next(self) -> None:
        if self._pending:
            self._backoff_s = MIN_BACKOFF_S
            self._reactor.callLater(0, self._attempt)

    # -- events of the connection ------------------------------------------------------------------------

    def on_greeting_response(self, connection: _ClientConnection, response: GreetingResponse) -> None:
        """Send the first request, or switch to another member if the greeting was rejected."""
        if connection.factory is not self._factory:
            connection.tcp.abortConnection()
            return
        self._connection = connection
        self._is_accepted = response.result == GreetingResult.ACCEPTED
        if not self._is_accepted:
            self._last_failure = "{}:{} belongs to another group".format(*self._address)
            self._switch_member()
        elif self._pending:
            self._send_request(self._pending[0])

    def on_connection_lost(self, factory: _ConnectionFactory) -> None:
        """Switch to another member, unless this client had already dropped the connection."""
        if factory is not self._factory:
            return
        self._last_failure = "no connection to {}:{}".format(*self._address)
        self._connection = None
        self._connector = None
        self._factory = None
        if self._pending and not self._is_closed:
            self._switch_member()

    def on_response(self, connection: _ClientConnection, response: ClientResponse) -> None:
        """Handle the response to the last request; responses to earlier requests are ignored."""
        is_current = connection is self._connection and response.number == self._request_number
        if not is_current or not self._pending:
            return
        try:
            content = msgspec.msgpack.decode(response.content)
        except UNDECODABLE:  # corrupted; the attempt counts as unanswered
            connection.tcp.abortConnection()
            return
        if response.done:
            self._on_success(content)
        else:
            self._on_rejected(response, content)

    def _on_success(self, content: Result) -> None:
        if self._pending[0].operation == PROPOSE and not self._session_id:
            self._session_id = content
            self._last_sequence = 0
            self._attempt()
            return
        self._succeed_first(content)

    def _on_rejected(self, response: ClientResponse, reason: str) -> None:
        if reason in FINAL_REASONS:
            self._fail_first(RequestFailedError(reason, False))
        elif reason in SessionOutcome.__members__:  # the group evicted the session or never had it
            self._session_id = 0
            explanation = f"the group has dropped the session ({reason.lower()})"
            self._fail_first(RequestFailedError(explanation, self._pending[0].may_take_effect))
        else:
            self._retry(response, reason)

    def _retry(self, response: ClientResponse, reason: str) -> None:
        self._last_failure = reason
        leader = (response.leader_host, response.leader_port)
        if response.leader_id and leader != self._address and response.leader_port:
            self._switch_member(leader)
        elif reason == RejectReason.NOT_LEADER.value:
            self._switch_member()
        else:
            self._back_off()
