"""The host of a `Publisher`: reads the requests of subscribers from links and writes the answers.

Relays and voters use the same code. In each turn of the reactor all received requests are passed to the
publisher, then its decisions are pulled once; an answer to many subscribers is encoded once. A subscriber has
at most one open request, so at most one answer waits to be written to a subscriber. A subscriber that doesn't
read an answer for `UNREAD_TIMEOUT_US` is disconnected and counted.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from lichencleat.config_distribution.feed import Answer, Drop, Publisher
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FIND,
    FOLLOW,
    IN_FORCE,
    PAGES_OF,
    decode_follow_request,
    decode_pages_request,
    decode_record_request,
    encode,
)
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.frames import ClientRequest, ClientResponse, encode_raw

# maximum of answers written in one turn of the reactor, so that new requests don't wait for all answers
MAX_ANSWERS_PER_TURN = 64
# µs that an answer may remain unread: at 13 KB per second the largest answer gets through in time
UNREAD_TIMEOUT_US = 10_000_000
UNREAD_CHECK_INTERVAL_US = 1_000_000  # µs between checks of the links with an unread answer
SECOND = 1_000_000  # µs

REQUEST_DECODERS: dict[str, Callable[[bytes], Any]] = {
    FOLLOW: decode_follow_request,
    PAGES_OF: decode_pages_request,
    FIND: decode_record_request,
}
# operations whose sender is registered as a subscriber
SUBSCRIBER_OPERATIONS = frozenset([FOLLOW, DIGESTS, PAGES_OF])
OPERATIONS = SUBSCRIBER_OPERATIONS | {IN_FORCE, FIND}


class Link(Protocol):
    """The connection to a subscriber; implemented by `transport.inbound.InboundConnection`."""

    transport: Any

    def reply(self, reply: ClientResponse) -> None: ...

    def unsent_bytes(self) -> int: ...


class LinkState:
    """The state of a link over which a request was received."""

    __slots__ = ("link", "open_request", "is_subscriber", "unread_since")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.open_request: int | None = None  # number of the open request
        self.is_subscriber = False  # the link is registered as a subscriber
        self.unread_since: int | None = None  # µs: since when an answer waits to be written


class PublisherHost:
    """Owns the timers and the state of each link that sent a request; `close` releases them."""

    def __init__(
        self,
        reactor: Any,
        publisher: Publisher,
        now: Callable[[], int],
        log: EventLogger,
        status_fields: Callable[[], dict[str, Any]] = dict,
        answers_per_turn: int = MAX_ANSWERS_PER_TURN,
    ) -> None:
        """`now`: µs on the monotonic clock; `status_fields`: returns further content for `status`;
        `answers_per_turn`: maximum of answers in one turn of the reactor.
        """
        self.reactor, self.publisher, self.now, self.log = reactor, publisher, now, log
        self.status_fields, self.answers_per_turn = status_fields, answers_per_turn
        self.links: dict[int, LinkState] = {}  # subscriber id -> link
        self.numbers: dict[Link, int] = {}  # link -> subscriber id
        self.last = 0  # the last subscriber id given to a link
        self.pull_scheduled = self.closed = False
        self.timer: Any = None  # for the publisher's deadline
        self.unread_timer: Any = None  # set while an answer waits to be written
        self.counts: dict[str, int] = {}
        # id() of an answer's content -> (content, encoded content); emptied after each pull
        self.encoded: dict[int, tuple[Any, msgspec.Raw]] = {}

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- events ------------------------------------------------------------------------------------------

    def handles(self, what: str) -> bool:
        """Whether an operation is one of the configuration distribution."""
        return what in OPERATIONS

    def on_request(self, link: Link, request: ClientRequest) -> None:
        """Handles a request received over a link."""
        if self.closed:
            return
        subscriber_id = self.numbers.get(link)
        if subscriber_id is None:
            self.last += 1
            subscriber_id = self.numbers[link] = self.last
            self.links[subscriber_id] = LinkState(link)
        link_state = self.links[subscriber_id]
        if link_state.open_request is not None or link.unsent_bytes():
            # the last request is open or the last answer unread: at most one answer may wait for a subscriber
            self.count("asked again before the answer")
            link.transport.abortConnection()
            return
        link_state.open_request, link_state.unread_since = request.number, None
        try:
            decode = REQUEST_DECODERS.get(request.operation)
            content = decode(request.content) if decode is not None else None
        except UNDECODABLE:
            self.count("questions that can't be read")
            self.answer(link_state, False, encode_raw("unfit"))
            return
        if request.operation in SUBSCRIBER_OPERATIONS and not link_state.is_subscriber:
            link_state.is_subscriber = self.publisher.add_subscriber(self.now(), subscriber_id)
            if not link_state.is_subscriber:
                self.answer(link_state, False, encode_raw("full"))
                return
        self.publisher.on_request(self.now(), subscriber_id, request.number, request.operation, content)
        self.schedule_pull()

    def on_disconnected(self, link: Link) -> None:
        """Removes the state of a link that has ended."""
        subscriber_id = self.numbers.pop(link, None)
        if subscriber_id is None:
            return
        link_state = self.links.pop(subscriber_id)
        if not self.closed:
            self.publisher.remove_subscriber(self.now(), subscriber_id)
            if link_state.is_subscriber:
                self.schedule_pull()

    def schedule_pull(self) -> None:
        """Schedules `pull` for the next turn of the reactor, unless it is scheduled already."""
        if not self.pull_scheduled and not self.closed:
            self.pull_scheduled = True
            self.reactor.callLater(0, self.pull)

    # -- decisions ---------------------------------------------------------------------------------------

    def pull(self) -> None:
        """Pulls the publisher's decisions and writes the answers."""
        self.pull_scheduled = False
        if self.closed:
            return
        self.encoded.clear()
        left = self.answers_per_turn
        try:
            while left and (decision := self.publisher.next_decision(self.now())) is not None:
                left -= 1
                link_state = self.links.get(decision.subscriber_id)
                if isinstance(decision, Drop):
                    if link_state is not None:
                        link_state.link.transport.abortConnection()
                elif link_state is None or link_state.open_request != decision.number:
                    continue  # the link has ended or its request was answered meanwhile
                elif isinstance(decision, Answer):
                    content = decision.content
                    extended = {**content, **self.status_fields()} if isinstance(content, dict) else content
                    self.answer(link_state, True, self.encode_once(extended))
                else:
                    self.answer(link_state, False, encode_raw(decision.why))
        except Exception:  # an error here must not stop a voter from leading and confirming
            self.count("errors")
            self.log.warning(
                "cannot answer subscribers", trace=traceback.format_exc(limit=-3).replace("\n", " | ")
            )
        self.encoded.clear()
        if not left:
            self.schedule_pull()
        self.set_timer()

    def encode_once(self, content: Any) -> msgspec.Raw:
        """The encoded content of an answer. Content that was encoded in this pull is not encoded again."""
        known = self.encoded.get(id(content))
        if known is None:
            # the entry keeps the content alive, so that its id() is not reused for other content
            known = self.encoded[id(content)] = (content, msgspec.Raw(encode(content)))
        return known[1]

    def answer(self, link_state: LinkState, done: bool, content: msgspec.Raw) -> None:
        """Writes the answer to the link's open request."""
        number, link_state.open_request = link_state.open_request, None
        assert number is not None
        link_state.link.reply(ClientResponse(number, done, content))
        if link_state.link.unsent_bytes() and link_state.unread_since is None:
            link_state.unread_since = self.now()
            if self.unread_timer is None:
                self.unread_timer = self.reactor.callLater(
                    UNREAD_CHECK_INTERVAL_US / SECOND, self.check_unread
                )

    def check_unread(self) -> None:
        """Disconnects subscribers that don't read an answer, because unread answers occupy memory."""
        self.unread_timer = None
        now, some = self.now(), False
        for link_state in list(self.links.values()):
            if link_state.unread_since is None:
                continue
            if not link_state.link.unsent_bytes():
                link_state.unread_since = None
            elif now - link_state.unread_since >= UNREAD_TIMEOUT_US:
                self.count("dropped: does not read")
                link_state.unread_since = None
                link_state.link.transport.abortConnection()
            else:
                some = True
        if some:
            self.unread_timer = self.reactor.callLater(UNREAD_CHECK_INTERVAL_US / SECOND, self.check_unread)

    def set_timer(self) -> None:
        """Sets the timer for the publisher's deadline."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        deadline = self.publisher.deadline()
        self.timer = None
        if deadline is not None and not self.pull_scheduled:
            self.timer = self.reactor.callLater(max(0, deadline - self.now()) / SECOND, self.on_timer)

    def on_timer(self) -> None:
        self.timer = None
        self.pull()

    def close(self) -> None:
        """Stops answering. The links stay open; the listener closes them."""
        self.closed = True
        for timer in (self.timer, self.unread_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.unread_timer = None
        self.links.clear()
        self.numbers.clear()
