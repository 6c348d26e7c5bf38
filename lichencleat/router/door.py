"""The router's client side: reads requests as a node does, and carries out the decisions of `core`.

The listener and its limits are the node's (`node/dispatchers.py`).
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from lichencleat.admission.types import NodeSpec
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.dispatchers import MAX_OPEN_REQUESTS, Connection, DispatcherListener
from lichencleat.node.host import Answer, PendingRequest
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.slots import Slots
from lichencleat.router.core import Router
from lichencleat.router.links import Attempt, AttemptResult, NodeConnections
from lichencleat.router.terms import Action, AttemptOutcome, Decision, RoutedRequest

CAPACITY_PERIOD = 100_000  # µs between updates of the advertised capacity; a node's period is the same
ID_BITS = 64  # of an attempt's id, by the protocol


class RouterConnection(Connection):
    """A client's connection to a router."""

    def handle_request(self, tag: int, words: list[bytes]) -> None:
        """Pass a request to the router; raises BadRequestError."""
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
    """A pending request: what its client sent, and its attempt in flight."""

    __slots__ = ("pending", "carried", "request_class", "fields", "attempt", "result")

    def __init__(
        self, pending: PendingRequest, carried: RoutedRequest, request_class: bytes, fields: bytes
    ) -> None:
        self.pending, self.carried, self.request_class, self.fields = pending, carried, request_class, fields
        self.attempt: Attempt | None = None
        self.result = b""  # of the last attempt


def retry_fields(fields: bytes, ident: bytes) -> bytes:
    """The fields of a retry: with an id of its own and marked as a retry, otherwise unchanged."""
    kept = [each for each in fields.split(b",") if not each.startswith((b"i=", b"r="))]
    return b",".join([b"i=" + ident, *kept, b"r=1"])


class RouterEngine:
    """Owns the pending requests and the links to nodes; only `release_if_done` removes a request.

    The listener uses it in place of a `node.host.RequestEngine`.
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
        self.free_value: float | None = None
        self.listeners: list[Any] = []
        self.nodes: dict[str, NodeConnections] = {}
        self.decisions_scheduled = False
        self.wake_timer: Deadline | None = None
        self.set_nodes(addresses)
        self.update_free_value()

    def set_nodes(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Set the nodes' addresses. Requests in flight to a removed or moved node end on their old links."""
        for name, address in addresses.items():
            known = self.nodes.get(name)
            if known is None or known.address != address:
                says = partial(self.core.on_capacity, name)
                self.nodes[name] = NodeConnections(
                    self.reactor, name, address, self.deadlines, self.report, says
                )
                if known is not None:
                    self.retire_links(known)
        for name in [each for each in self.nodes if each not in addresses]:
            self.retire_links(self.nodes.pop(name))

    @staticmethod
    def retire_links(links: NodeConnections) -> None:
        """Send no further requests on these links."""
        for link in list(links.connections):
            links.retire(link)

    # -- clients -----------------------------------------------------------------------------------------

    def on_request_received(self, pending: PendingRequest, request_class: bytes, fields: bytes) -> None:
        """Add a request, to be forwarded to a node."""
        request = pending.request
        self.report.count("router", "requests")
        carried = RoutedRequest(
            request.request_class,
            pending.ident,
            request.arrived,
            request.due,
            pending.key,
            request.rank,
            request.is_retry,
        )
        request.number = carried.number = self.forwarded_requests.acquire(
            ForwardedRequest(pending, carried, request_class, fields)
        )
        self.pending_ids.add(pending.ident)
        self.core.on_request(self.clock(), carried)
        self.schedule_decisions()

    def on_caller_gone(self, pending: PendingRequest) -> None:
        """Drop the request of a client that cancelled it or closed its connection."""
        forwarded = self.find_forwarded(pending)
        if pending.open and forwarded is not None:
            pending.open = False
            self.report.count("router", "abandoned")
            self.core.on_caller_left(self.clock(), forwarded.carried)
            self.release_if_done(forwarded)
            self.schedule_decisions()

    def abort_request(self, pending: PendingRequest) -> None:
        """Fail a request after an internal error; other requests are not affected."""
        forwarded = self.find_forwarded(pending)
        self.answer(pending, Answer.FAILED)
        if forwarded is not None:
            self.core.on_caller_left(self.clock(), forwarded.carried)
            self.release_if_done(forwarded)
            self.schedule_decisions()

    def find_forwarded(self, pending: PendingRequest) -> ForwardedRequest | None:
        """The forwarded request of a pending one, or None if it has ended."""
        forwarded = self.forwarded_requests.get(pending.request.number)
        return forwarded if forwarded is not None and forwarded.pending is pending else None

    def answer(
        self, pending: PendingRequest, answer: Answer, result: bytes = b"", span: int = 0, last: bool = False
    ) -> None:
        """Answer the request unless it was answered before."""
        if pending.open:
            pending.open = False
            self.report.count("router", answer.value)
            pending.reply(answer, result, min(span, self.machine.max_retry_after_us), last)

    def update_free_value(self) -> None:
        """Update the capacity that each answer advertises, from what the nodes advertise."""
        callers = sum(len(each.connections) for each in self.listeners)
        self.free_value = self.core.advertised_capacity(self.clock(), callers)
        self.deadlines.after(CAPACITY_PERIOD, self.update_free_value)

    def unanswered_count(self) -> int:
        """The number of requests without an answer."""
        return sum(each.pending.open for each in self.forwarded_requests)

    # -- nodes -------------------------------------------------------------------------------------------

    def on_attempt_ended(self, forwarded: ForwardedRequest, attempt: Attempt, told: AttemptResult) -> None:
        """Report the end of a request's current attempt to the router's core."""
        if forwarded.attempt is attempt:
            forwarded.attempt, forwarded.result = None, told.result
            self.core.on_attempt_finished(
                self.clock(), forwarded.carried, told.outcome, told.retry_after_us, told.no_retry
            )
            self.schedule_decisions()

    # -- decisions ---------------------------------------------------------------------------------------

    def schedule_decisions(self) -> None:
        """Run one round of decisions for all that the reactor reads in this turn."""
        if not self.decisions_scheduled:
            self.decisions_scheduled = True
            self.deadlines.after(0, self.run_decisions)

    def run_decisions(self) -> None:
        """Pull and carry out all decisions; an error in one fails its request alone."""
        self.decisions_scheduled = False
        now = self.clock()
        while (decision := self.core.next_decision(now)) is not None:
            forwarded = (
                self.forwarded_requests.get(decision.request.number) if decision.request is not None else None
            )
            if decision.request is not None and (
                forwarded is None or forwarded.carried is not decision.request
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
            self.answer(forwarded.pending, Answer.REJECTED, span=decision.delay_us, last=decision.no_retry)
        else:
            self.answer(forwarded.pending, Answer.FAILED)

    def send(self, forwarded: ForwardedRequest, decision: Decision) -> None:
        """Send an attempt to the node of the decision; every attempt but the first gets a new id."""
        fields = forwarded.fields
        if not decision.is_first_attempt:
            fields = retry_fields(fields, b"%016x" % self.rng.getrandbits(ID_BITS))
        attempt = Attempt(
            [forwarded.request_class, fields, forwarded.pending.body],
            lambda told: self.on_attempt_ended(forwarded, attempt, told),
        )
        forwarded.attempt = attempt
        links = self.nodes.get(decision.node)
        if links is None or not links.send(attempt):
            # after this round of decisions
            self.deadlines.after(
                0, self.on_attempt_ended, forwarded, attempt, AttemptResult(AttemptOutcome.UNSENT)
            )

    def cancel_attempt(self, forwarded: ForwardedRequest, decision: Decision) -> None:
        """Cancel the attempt in flight; if its link has been silent since, no other attempt is sent there."""
        attempt, forwarded.attempt = forwarded.attempt, None
        if attempt is not None and attempt.connection is not None:
            if forwarded.pending.open and attempt.connection.last_received_at < attempt.sent_at:
                attempt.connection.node.retire(attempt.connection)
            attempt.connection.cancel(attempt)

    def release_if_done(self, forwarded: ForwardedRequest) -> None:
        """Remove the request if it is answered or abandoned, and no attempt is in flight."""
        if (
            not forwarded.pending.open
            and forwarded.attempt is None
            and self.forwarded_requests.get(forwarded.carried.number) is forwarded
        ):
            self.pending_ids.discard(forwarded.pending.ident)
            self.forwarded_requests.release(forwarded.carried.number)

    def describe(self) -> str:
        """The router's part of the status line."""
        links = sum(len(each.connections) for each in self.nodes.values())
        return f"{self.core.status()}, {links} links to {len(self.nodes)} nodes"

    def close(self) -> None:
        """Close the links to all nodes."""
        for each in self.nodes.values():
            each.close()
