"""A router between its callers and its nodes: reads requests as a node does, and carries out what `core`
decides.

What reads and answers callers is the node's own (`node/dispatchers.py`), with all its bounds.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from lichencleat.admission.types import NodeSpec
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.dispatchers import OPEN_MOST, Connection, Dispatchers
from lichencleat.node.host import Answer, Case
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.slots import Slots
from lichencleat.router.core import Router
from lichencleat.router.links import Attempt, AttemptResult, NodeConnections
from lichencleat.router.terms import Action, AttemptOutcome, Decision, RoutedRequest

TELL = 100_000  # µs between looks at what callers are to be told: as often as a node's
IDENT_BITS = 64  # of a try's name, by the protocol


class RouterConnection(Connection):
    """A caller's connection to a router."""

    def request(self, tag: int, words: list[bytes]) -> None:
        if len(self.cases) >= OPEN_MOST:
            raise BadRequestError("more open than a connection carries")
        case, _ = read_request(words, self.door.host, self.door.tenants, partial(self.answer, tag))
        self.cases[tag] = case
        self.door.host.carries(case, words[2], words[3])


class Callers(Dispatchers):
    """Owns the callers' connections."""

    def buildProtocol(self, address: Any) -> Connection | None:
        return RouterConnection(self) if super().buildProtocol(address) is not None else None


class Hand:
    """A request in hand: what its caller sent, and its try under way."""

    __slots__ = ("case", "carried", "request_class", "fields", "made", "result")

    def __init__(self, case: Case, carried: RoutedRequest, request_class: bytes, fields: bytes) -> None:
        self.case, self.carried, self.request_class, self.fields = case, carried, request_class, fields
        self.made: Attempt | None = None
        self.result = b""  # that came for it


def again(fields: bytes, ident: bytes) -> bytes:
    """The fields of a further try: under a name of its own and marked as one; all else as it came."""
    kept = [each for each in fields.split(b",") if not each.startswith((b"i=", b"r="))]
    return b",".join([b"i=" + ident, *kept, b"r=1"])


class RouterHost:
    """Owns the requests in hand and the links; each request is given back in `release_if_done`.

    To what reads callers it looks like `net.host.Host`.
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
        self.idents: set[bytes] = set()
        self.hands: Slots[Hand] = Slots()
        self.healthy = True
        self.free_value: float | None = None
        self.doors: list[Any] = []
        self.nodes: dict[str, NodeConnections] = {}
        self.stirred = False
        self.waking: Deadline | None = None
        self.members(addresses)
        self.tell()

    def members(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Where the nodes are now. One that is gone or has moved ends what is open there as it ends."""
        for name, address in addresses.items():
            known = self.nodes.get(name)
            if known is None or known.address != address:
                says = partial(self.core.on_capacity, name)
                self.nodes[name] = NodeConnections(
                    self.reactor, name, address, self.deadlines, self.report, says
                )
                if known is not None:
                    self.let_go(known)
        for name in [each for each in self.nodes if each not in addresses]:
            self.let_go(self.nodes.pop(name))

    @staticmethod
    def let_go(links: NodeConnections) -> None:
        for link in list(links.connections):
            links.retire(link)

    # -- callers -----------------------------------------------------------------------------------------

    def carries(self, case: Case, request_class: bytes, fields: bytes) -> None:
        request = case.request
        self.report.count("router", "requests")
        carried = RoutedRequest(
            request.request_class,
            case.ident,
            request.arrived,
            request.due,
            case.key,
            request.rank,
            request.is_retry,
        )
        request.number = carried.number = self.hands.take(Hand(case, carried, request_class, fields))
        self.idents.add(case.ident)
        self.core.on_request(self.clock(), carried)
        self.stir()

    def caller_left(self, case: Case) -> None:
        hand = self.hand_of(case)
        if case.open and hand is not None:
            case.open = False
            self.report.count("router", "abandoned")
            self.core.on_caller_left(self.clock(), hand.carried)
            self.release_if_done(hand)
            self.stir()

    def fail(self, case: Case) -> None:
        """Guards the router against an error with one request: that one is given up, the others go on."""
        hand = self.hand_of(case)
        self.answer(case, Answer.GIVEN_UP)
        if hand is not None:
            self.core.on_caller_left(self.clock(), hand.carried)
            self.release_if_done(hand)
            self.stir()

    def hand_of(self, case: Case) -> Hand | None:
        hand = self.hands.get(case.request.number)
        return hand if hand is not None and hand.case is case else None

    def answer(
        self, case: Case, answer: Answer, result: bytes = b"", span: int = 0, last: bool = False
    ) -> None:
        if case.open:
            case.open = False
            self.report.count("router", answer.value)
            case.reply(answer, result, min(span, self.machine.max_retry_after_us), last)

    def tell(self) -> None:
        """What callers read in every answer, by what the nodes say."""
        callers = sum(len(each.connections) for each in self.doors)
        self.free_value = self.core.advertised_capacity(self.clock(), callers)
        self.deadlines.after(TELL, self.tell)

    def owed(self) -> int:
        return sum(each.case.open for each in self.hands)

    # -- nodes -------------------------------------------------------------------------------------------

    def try_over(self, hand: Hand, made: Attempt, told: AttemptResult) -> None:
        if hand.made is made:
            hand.made, hand.result = None, told.result
            self.core.on_attempt_finished(
                self.clock(), hand.carried, told.outcome, told.retry_after_us, told.no_retry
            )
            self.stir()

    # -- decisions ---------------------------------------------------------------------------------------

    def stir(self) -> None:
        """Decisions are pulled once for all that the reactor reads in one turn."""
        if not self.stirred:
            self.stirred = True
            self.deadlines.after(0, self.pull)

    def pull(self) -> None:
        self.stirred = False
        now = self.clock()
        while (decision := self.core.next_decision(now)) is not None:
            hand = self.hands.get(decision.request.number) if decision.request is not None else None
            if decision.request is not None and (hand is None or hand.carried is not decision.request):
                self.report.count("router", "decisions on ended requests")
                continue
            try:
                self.carry_out(decision, hand)
            except Exception:
                self.report.trouble(f"carrying out {decision.action.name}")
                if hand is not None:
                    self.deadlines.after(0, self.fail, hand.case)
                continue
            if hand is not None:
                self.release_if_done(hand)

    def carry_out(self, decision: Decision, hand: Hand | None) -> None:
        if decision.action is Action.WAKE:
            self.deadlines.cancel(self.waking)
            self.waking = self.deadlines.after(decision.delay_us, self.stir)
            return
        assert hand is not None
        if decision.action is Action.SEND:
            self.send(hand, decision)
        elif decision.action is Action.CANCEL:
            self.quit(hand, decision)
        elif decision.action is Action.SERVE:
            self.answer(hand.case, Answer.HONOURED, hand.result)
        elif decision.action is Action.REJECT:
            self.answer(hand.case, Answer.DEFERRED, span=decision.delay_us, last=decision.no_retry)
        else:
            self.answer(hand.case, Answer.GIVEN_UP)

    def send(self, hand: Hand, decision: Decision) -> None:
        fields = hand.fields
        if not decision.is_first_attempt:
            fields = again(fields, b"%016x" % self.rng.getrandbits(IDENT_BITS))
        made = Attempt(
            [hand.request_class, fields, hand.case.body], lambda told: self.try_over(hand, made, told)
        )
        hand.made = made
        links = self.nodes.get(decision.node)
        if links is None or not links.send(made):
            self.deadlines.after(
                0, self.try_over, hand, made, AttemptResult(AttemptOutcome.UNSENT)
            )  # after this round

    def quit(self, hand: Hand, decision: Decision) -> None:
        """Guards what comes after against a link that says nothing: no other try goes out on it."""
        made, hand.made = hand.made, None
        if made is not None and made.connection is not None:
            if hand.case.open and made.connection.last_received_at < made.sent_at:
                made.connection.node.retire(made.connection)
            made.connection.cancel(made)

    def release_if_done(self, hand: Hand) -> None:
        """It has its answer, or nobody waits for one, and no try of it is under way."""
        if not hand.case.open and hand.made is None and self.hands.get(hand.carried.number) is hand:
            self.idents.discard(hand.case.ident)
            self.hands.give_back(hand.carried.number)

    def beliefs(self) -> str:
        links = sum(len(each.connections) for each in self.nodes.values())
        return f"{self.core.status()}, {links} links to {len(self.nodes)} nodes"

    def close(self) -> None:
        for each in self.nodes.values():
            each.close()
