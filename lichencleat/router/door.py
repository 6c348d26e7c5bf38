"""The router's client side: accepts requests from clients and carries out the decisions of `core`.

The protocol and the limits for clients are those of a node, from `node/dispatchers.py`.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from lichencleat.admission.types import NodeSpec
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.dispatchers import MAX_OPEN_REQUESTS, Connection, DispatcherListener
from lichencleat.node.pending_request import Answer, PendingRequest
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.slots import Slots
from lichencleat.router.core import Router
from lichencleat.router.links import Attempt, AttemptResult, NodeConnections
from lichencleat.router.terms import Action, AttemptOutcome, Decision, RoutedRequest

CAPACITY_PERIOD = 100_000  # µs between updates of the advertised capacity, as in a node
ID_BITS = 64  # bits of a request id, by the protocol; each attempt has its own id


class RouterConnection(Connection):
    """A client's connection to a router."""

    def handle_request(self, tag: int, words: list[bytes]) -> None:
        """Pass a request to the router. Raises BadRequestError if the request is invalid."""
        if len(self.pending_requests) >= MAX_OPEN_REQUESTS:
            raise BadRequestError("too many open requests on the connection")
        pending, _ = read_request(
            words, self.listener.engine, self.listener.tenants, partial(self.answer, tag)
        )
        self.pending_requests[tag] = pending
        self.listener.engine.on_request_received(pending, words[2], words[3])


class RouterListener(DispatcherListener):
    """Accepts the clients' connections to a router."""

    def buildProtocol(self, address: Any) -> Connection | None:
        return RouterConnection(self) if super().buildProtocol(address) is not None else None


class ForwardedRequest:
    """A pending request of a client, with the fields to forward and the attempt in flight."""

    __slots__ = ("pending", "routed", "request_class", "fields", "attempt", "result")

    def __init__(
        self, pending: PendingRequest, routed: RoutedRequest, request_class: bytes, fields: bytes
    ) -> None:
        self.pending, self.routed, self.request_class, self.fields = pending, routed, request_class, fields
        self.attempt: Attempt | None = None  # the attempt in flight, if there is one
        self.result = b""  # result that a node sent for the last attempt that ended


def retry_fields(fields: bytes, ident: bytes) -> bytes:
    """Return a request's fields with a new id and marked as a retry, otherwise unchanged."""
    kept = [each for each in fields.split(b",") if not each.startswith((b"i=", b"r="))]
    return b",".join([b"i=" + ident, *kept, b"r=1"])


class RouterEngine:
    """Owns the pending requests and the links to nodes; only `release_if_done` removes a request.

    The listener uses a router engine in place of a `node.host.RequestEngine`.
    """

    def __init__(
        self,
        reactor: Any,
        core: Router,
        machine: NodeSpec,
        addresses: dict[str, tuple[str, int]],
        clock: Any,
        deadlines: Deadlines,
        report: Report,
        rng: random.Random,
    ) -> None:
        self.reactor, self.core, self.machine, self.clock = reactor, core, machine, clock
        self.deadlines, self.report, self.rng = deadlines, report, rng
        self.request_classes = {each.name.encode(): each for each in machine.request_classes}
        self.pending_ids: set[bytes] = set()
        self.forwarded_requests: Slots[ForwardedRequest] = Slots()
        self.is_serving = True
        self.free_value: float | None = None  # advertised capacity; None: not advertised
        self.listeners: list[Any] = []
        self.nodes: dict[str, NodeConnections] = {}
        self.decisions_scheduled = False
        self.wake_timer: Deadline | None = None
        self.set_nodes(addresses)
        self.update_free_value()

    def set_nodes(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Set the nodes' addresses; attempts in flight at a removed or moved node continue on old links."""
        for name, address in addresses.items():
            known = self.nodes.get(name)
            if known is None or known.address != address:
                on_capacity = partial(self.core.on_capacity, name)
                self.nodes[name] = NodeConnections(
                    self.reactor, name, address, self.deadlines, self.report, on_capacity
                )
                if known is not None:
                    self.retire_links(known)
        for name in [each for each in self.nodes if each not in addresses]:
            self.retire_links(self.nodes.pop(name))

    @staticmethod
    def retire_links(links: NodeConnections) -> None:
        """Send no further attempts on these links, and close each link once it is idle."""
        for link in list(links.connections):
            links.retire(link)

    # -- clients -----------------------------------------------------------------------------------------

    def on_request_received(self, pending: PendingRequest, request_class: bytes, fields: bytes) -> None:
        """Accept a request from a client; `core` then decides which node gets the request."""
        request = pending.request
        self.report.count("router", "requests")
        routed = RoutedRequest(
            request.request_class,
            pending.ident,
            request.arrived,
            request.due,
            pending.key,
            request.rank,
            request.is_retry,
        )
        request.number = routed.number = self.forwarded_requests.acquire(
            ForwardedRequest(pending, routed, request_class, fields)
        )
        self.pending_ids.add(pending.ident)
        self.core.on_request(self.clock(), routed)
        self.schedule_decisions()

    def on_caller_gone(self, pending: PendingRequest) -> None:
        """Drop the request of a client that cancelled it or closed its connection."""
        forwarded = self.find_forwarded(pending)
        if pending.open and forwarded is not None:
            pending.open = False
            self.report.count("router", "abandoned")
            self.core.on_caller_left(self.clock(), forwarded.routed)
            self.release_if_done(forwarded)
            self.schedule_decisions()

    def abort_request(self, pending: PendingRequest) -> None:
        """Answer a request as failed after an internal error; other requests are not affected."""
        forwarded = self.find_forwarded(pending)
        self.answer(pending, Answer.FAILED)
        if forwarded is not None:
            self.core.on_caller_left(self.clock(), forwarded.routed)
            self.release_if_done(forwarded)
            self.schedule_decisions()

    def find_forwarded(self, pending: PendingRequest) -> ForwardedRequest | None:
        """Return the forwarded request of a pending request, or None if the request has ended."""
        forwarded = self.forwarded_requests.get(pending.request.number)
        return forwarded if forwarded is not None and forwarded.pending is pending else None

    def answer(
        self,
        pending: PendingRequest,
        answer: Answer,
        result: bytes = b"",
        retry_after_us: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Answer the request unless it was answered before.

        For a rejected request, `retry_after_us` is the delay before a retry; `no_retry` asks the client not
        to retry elsewhere.
        """
        if pending.open:
            pending.open = False
            self.report.count("router", answer.value)
            pending.reply(answer, result, min(retry_after_us, self.machine.max_retry_after_us), no_retry)

    def update_free_value(self) -> None:
        """Update the capacity that the router advertises, which follows the capacities of the nodes."""
        callers = sum(len(each.connections) for each in self.listeners)
        self.free_value = self.core.advertised_capacity(self.clock(), callers)
        self.deadlines.after(CAPACITY_PERIOD, self.update_free_value)

    def unanswered_count(self) -> int:
        """Return the number of pending requests without an answer."""
        return sum(each.pending.open for each in self.forwarded_requests)

    # -- nodes -------------------------------------------------------------------------------------------

    def on_attempt_ended(self, forwarded: ForwardedRequest, attempt: Attempt, result: AttemptResult) -> None:
        """Report the result of a request's current attempt to `core`; ignore results of earlier attempts."""
        if forwarded.attempt is attempt:
            forwarded.attempt, forwarded.result = None, result.result
            self.core.on_attempt_finished(
                self.clock(), forwarded.routed, result.outcome, result.retry_after_us, result.no_retry
            )
            self.schedule_decisions()

    # -- decisions ---------------------------------------------------------------------------------------

    def schedule_decisions(self) -> None:
        """Schedule one round of decisions for all the input that the reactor reads in this iteration."""
        if not self.decisions_scheduled:
            self.decisions_scheduled = True
            self.deadlines.after(0, self.run_decisions)

    def run_decisions(self) -> None:
        """Pull and carry out all decisions; an error fails only the request of the decision."""
        self.decisions_scheduled = False
        now = self.clock()
        while (decision := self.core.next_decision(now)) is not None:
            forwarded = (
                self.forwarded_requests.get(decision.request.number) if decision.request is not None else None
            )
            if decision.request is not None and (
                forwarded is None or forwarded.routed is not decision.request
            ):
                self.report.count("router", "decisions on ended requests")
                continue
            try:
                self.execute(decision, forwarded)
            except Exception:
                self.report.log_exception(f"carrying out {decision.action.name}")
                if forwarded is not None:
                    self.deadlines.after(0, self.abort_request, forwarded.pending)
                continue
            if forwarded is not None:
                self.release_if_done(forwarded)

    def execute(self, decision: Decision, forwarded: ForwardedRequest | None) -> None:
        """Carry out one decision."""
        if decision.action is Action.WAKE:
            self.deadlines.cancel(self.wake_timer)
            self.wake_timer = self.deadlines.after(decision.delay_us, self.schedule_decisions)
            return
        assert forwarded is not None
        if decision.action is Action.SEND:
            self.send(forwarded, decision)
        elif decision.action is Action.CANCEL:
            self.cancel_attempt(forwarded, decision)
        elif decision.action is Action.SERVE:
            self.answer(forwarded.pending, Answer.SERVED, forwarded.result)
        elif decision.action is Action.REJECT:
            self.answer(
                forwarded.pending,
                Answer.REJECTED,
                retry_after_us=decision.delay_us,
                no_retry=decision.no_retry,
            )
        else:
            self.answer(forwarded.pending, Answer.FAILED)

    def send(self, forwarded: ForwardedRequest, decision: Decision) -> None:
        """Send an attempt to the decision's node; every attempt but the first gets a new request id."""
        fields = forwarded.fields
        if not decision.is_first_attempt:
            fields = retry_fields(fields, b"%016x" % self.rng.getrandbits(ID_BITS))
        attempt = Attempt(
            [forwarded.request_class, fields, forwarded.pending.body],
            lambda result: self.on_attempt_ended(forwarded, attempt, result),
        )
        forwarded.attempt = attempt
        links = self.nodes.get(decision.node)
        if links is None or not links.send(attempt):
            # report the failure after this round of decisions
            self.deadlines.after(
                0, self.on_attempt_ended, forwarded, attempt, AttemptResult(AttemptOutcome.UNSENT)
            )

    def cancel_attempt(self, forwarded: ForwardedRequest, decision: Decision) -> None:
        """Cancel the attempt in flight, if there is one.

        If the client still waits and nothing has arrived on the attempt's link since the attempt was sent,
        the link gets no further attempts.
        """
        attempt, forwarded.attempt = forwarded.attempt, None
        if attempt is not None and attempt.connection is not None:
            if forwarded.pending.open and attempt.connection.last_received_at < attempt.sent_at:
                attempt.connection.node.retire(attempt.connection)
            attempt.connection.cancel(attempt)

    def release_if_done(self, forwarded: ForwardedRequest) -> None:
        """Remove the request if it is answered or abandoned and has no attempt in flight."""
        if (
            not forwarded.pending.open
            and forwarded.attempt is None
            and self.forwarded_requests.get(forwarded.routed.number) is forwarded
        ):
            self.pending_ids.discard(forwarded.pending.ident)
            self.forwarded_requests.release(forwarded.routed.number)

    def describe(self) -> str:
        """Return the router's part of the status line."""
        links = sum(len(each.connections) for each in self.nodes.values())
        return f"{self.core.status()}, {links} links to {len(self.nodes)} nodes"

    def close(self) -> None:
        """Close the links to all nodes."""
        for each in self.nodes.values():
            each.close()
