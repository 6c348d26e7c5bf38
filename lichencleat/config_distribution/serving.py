"""The host round a `Feeder`: what subscribers ask is read off their links, and what it decides is written.

For relays and voters alike. For each turn of the reactor all that was read is handed over, then decisions
are pulled once; an answer that goes to many is encoded once. A subscriber has one question open at most, so
one answer at most waits to be written to it; one that does not read it is dropped after a while, counted.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from lichencleat.config_distribution.feed import Answer, Drop, Feeder
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FIND,
    FOLLOW,
    IN_FORCE,
    PAGES_OF,
    decode_follow,
    decode_wanted,
    decode_wanting,
    encode,
)
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.frames import ClientRequest, ClientResponse, encode_raw

ANSWERS_TURN = 64  # written in one turn of the reactor: what was read meanwhile is not kept waiting for all
UNREAD = 10_000_000  # µs that an answer may wait to be read: at 13 KB a second the largest one is through
LOOK = 1_000_000  # µs between looks at the links with an answer that was not taken
SECOND = 1_000_000  # µs

DECODE: dict[str, Callable[[bytes], Any]] = {
    FOLLOW: decode_follow,
    PAGES_OF: decode_wanted,
    FIND: decode_wanting,
}
SUBSCRIBES = frozenset([FOLLOW, DIGESTS, PAGES_OF])  # who asks one of these counts as a subscriber
KNOWN = SUBSCRIBES | {IN_FORCE, FIND}


class Link(Protocol):
    """What a question came over, as quorum.links.Called."""

    transport: Any

    def reply(self, reply: ClientResponse) -> None: ...

    def unsent_bytes(self) -> int: ...


class Asker:
    """One link that has asked."""

    __slots__ = ("link", "number", "joined", "unread_since")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.number: int | None = None  # of its open question
        self.joined = False  # the feeder counts it among its subscribers
        self.unread_since: int | None = None  # an answer waits to be written since then


class Serving:
    """Owns the timers and what is known of each link that asked; given back in `close`."""

    def __init__(
        self,
        reactor: Any,
        feeder: Feeder,
        now: Callable[[], int],
        log: EventLogger,
        also: Callable[[], dict[str, Any]] = dict,
        turn: int = ANSWERS_TURN,
    ) -> None:
        """`now`: µs on the monotonic clock; `also`: what `status` is told beside the feeder's word; `turn`:
        answers in one turn.
        """
        self.reactor, self.feeder, self.now, self.log = reactor, feeder, now, log
        self.also, self.turn = also, turn
        self.askers: dict[int, Asker] = {}
        self.numbers: dict[Link, int] = {}
        self.last = 0  # number given to a link
        self.stirred = self.closed = False
        self.timer: Any = None  # for the feeder's deadline
        self.looking: Any = None  # while an answer waits to be read
        self.counts: dict[str, int] = {}
        self.encoded: dict[int, tuple[Any, msgspec.Raw]] = {}  # of this pull: the content, by its id

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- what happened ---------------------------------------------------------------------------------

    def wants(self, what: str) -> bool:
        """Is it a question for the distribution?"""
        return what in KNOWN

    def asked(self, link: Link, request: ClientRequest) -> None:
        if self.closed:
            return
        who = self.numbers.get(link)
        if who is None:
            self.last += 1
            who = self.numbers[link] = self.last
            self.askers[who] = Asker(link)
        asker = self.askers[who]
        if asker.number is not None or link.unsent_bytes():
            # its last answer is still open, or not read: what waits for it stays at one answer
            self.count("asked again before the answer")
            link.transport.abortConnection()
            return
        asker.number, asker.unread_since = request.number, None
        try:
            decode = DECODE.get(request.operation)
            content = decode(request.content) if decode is not None else None
        except UNDECODABLE:
            self.count("questions that can't be read")
            self.answer(asker, False, encode_raw("unfit"))
            return
        if request.operation in SUBSCRIBES and not asker.joined:
            asker.joined = self.feeder.joined(self.now(), who)
            if not asker.joined:
                self.answer(asker, False, encode_raw("full"))
                return
        self.feeder.asked(self.now(), who, request.number, request.operation, content)
        self.stir()

    def hung_up(self, link: Link) -> None:
        who = self.numbers.pop(link, None)
        if who is None:
            return
        asker = self.askers.pop(who)
        if not self.closed:
            self.feeder.left(self.now(), who)
            if asker.joined:
                self.stir()

    def stir(self) -> None:
        """The feeder knows something new: decisions are pulled in the next turn, once."""
        if not self.stirred and not self.closed:
            self.stirred = True
            self.reactor.callLater(0, self.pull)

    # -- decisions -------------------------------------------------------------------------------------

    def pull(self) -> None:
        self.stirred = False
        if self.closed:
            return
        self.encoded.clear()
        left = self.turn
        try:
            while left and (decision := self.feeder.next_decision(self.now())) is not None:
                left -= 1
                asker = self.askers.get(decision.who)
                if isinstance(decision, Drop):
                    if asker is not None:
                        asker.link.transport.abortConnection()
                elif asker is None or asker.number != decision.number:
                    continue  # it has hung up meanwhile
                elif isinstance(decision, Answer):
                    content = decision.content
                    told = {**content, **self.also()} if isinstance(content, dict) else content
                    self.answer(asker, True, self.encode_once(told))
                else:
                    self.answer(asker, False, encode_raw(decision.why))
        except Exception:  # guards a voter: it leads and confirms whatever becomes of those that follow
            self.count("errors")
            self.log.warning("error", trace=traceback.format_exc(limit=-3).replace("\n", " | "))
        self.encoded.clear()
        if not left:
            self.stir()
        self.arm()

    def encode_once(self, content: Any) -> msgspec.Raw:
        known = self.encoded.get(id(content))
        if known is None:
            # with the content itself, so that its id is nobody else's as long as this stands
            known = self.encoded[id(content)] = (content, msgspec.Raw(encode(content)))
        return known[1]

    def answer(self, asker: Asker, done: bool, content: msgspec.Raw) -> None:
        number, asker.number = asker.number, None
        assert number is not None
        asker.link.reply(ClientResponse(number, done, content))
        if asker.link.unsent_bytes() and asker.unread_since is None:
            asker.unread_since = self.now()
            if self.looking is None:
                self.looking = self.reactor.callLater(LOOK / SECOND, self.look)

    def look(self) -> None:
        """Drops who does not read: what waits for it is memory of this process."""
        self.looking = None
        now, some = self.now(), False
        for asker in list(self.askers.values()):
            if asker.unread_since is None:
                continue
            if not asker.link.unsent_bytes():
                asker.unread_since = None
            elif now - asker.unread_since >= UNREAD:
                self.count("dropped: does not read")
                asker.unread_since = None
                asker.link.transport.abortConnection()
            else:
                some = True
        if some:
            self.looking = self.reactor.callLater(LOOK / SECOND, self.look)

    def arm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        deadline = self.feeder.deadline()
        self.timer = None
        if deadline is not None and not self.stirred:
            self.timer = self.reactor.callLater(max(0, deadline - self.now()) / SECOND, self.wake)

    def wake(self) -> None:
        self.timer = None
        self.pull()

    def close(self) -> None:
        """Nothing is answered from here on; the links are their door's."""
        self.closed = True
        for timer in (self.timer, self.looking):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.looking = None
        self.askers.clear()
        self.numbers.clear()
