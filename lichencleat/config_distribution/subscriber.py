"""The host of a `RelayFollower`: opens links to relays, sends requests, and has updates staged in slices and
applied.

One slice of an update is staged per turn of the reactor, so that a node's clients don't wait for the whole
update. An answer that can't be decoded ends the link to its relay and is counted.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory

from lichencleat.config.addresses import parse_address
from lichencleat.config_distribution.acts import Action, Decision
from lichencleat.config_distribution.copy import Copy
from lichencleat.config_distribution.counts import MAX_AGE_US
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FOLLOW,
    PAGES_OF,
    Batch,
    decode_follow_answer,
    decode_pages_answer,
    decode_snapshot_head,
)
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.framed_protocol import FramedProtocol
from lichencleat.transport.frames import (
    FORMAT_VERSION,
    ClientRequest,
    ClientResponse,
    Greeting,
    GreetingResponse,
    encode_raw,
)
from lichencleat.transport.identity import GreetingResult, Incarnation

# s for a TCP connection to open; the follower's own limit is shorter and includes the greeting
CONNECT_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1  # s between an error while decisions are carried out and the next pull
SECOND = 1_000_000  # µs

ANSWER_DECODERS: dict[str, Callable[[bytes], Any]] = {
    FOLLOW: decode_follow_answer,
    DIGESTS: decode_snapshot_head,
    PAGES_OF: decode_pages_answer,
}
decode_reason = msgspec.msgpack.Decoder(str).decode


class RelayLink(FramedProtocol):
    """The connection to a relay."""

    def __init__(self, attempt: RelayAttempt) -> None:
        self.attempt = attempt

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        host = self.attempt.host
        self.send(
            Greeting(FORMAT_VERSION, host.copy.mark, host.group, 0, 0, Incarnation(0, 0), host.caller_name)
        )

    def stringReceived(self, data: bytes) -> None:
        frame = self.read(data)
        if isinstance(frame, GreetingResponse) and self.attempt.link is None:
            self.attempt.on_greeting_response(self, frame)
        elif isinstance(frame, GreetingResponse) and self.attempt.link is self and not self.attempt.mark:
            self.attempt.on_group_learned(frame)
        elif isinstance(frame, ClientResponse) and self.attempt.link is self:
            self.attempt.on_response(frame)
        elif frame is None:
            self.attempt.end("its frame could not be decoded", "frames that can't be read")
        else:
            self.attempt.end("it sent an unexpected frame", "frames out of place")

    def connectionLost(self, reason: Any = None) -> None:
        self.attempt.end("the connection ended")


class RelayAttempt(ClientFactory):
    """One attempt to use a relay, from opening the link to the end of the link.

    The attempt has no timer: the follower leaves relays whose link doesn't open or that don't answer.
    """

    noisy = False

    def __init__(self, host: Subscriber, relay: str) -> None:
        self.host, self.relay = host, relay
        self.link: RelayLink | None = None  # set when the relay has accepted the greeting
        self.mark = b""  # identifier of the group, as the relay reported it; b"": not known yet
        self.number = 0  # number of the last request
        self.open_operation = ""  # operation of the open request; "": no request is open
        self.ended = False
        where, port = parse_address(relay)
        self.connector = host.reactor.connectTCP(where, port, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, address: Any) -> RelayLink:
        return RelayLink(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.end("the connection could not be opened")

    def on_greeting_response(self, link: RelayLink, answer: GreetingResponse) -> None:
        """Handles the relay's first response to the greeting."""
        if answer.result != GreetingResult.ACCEPTED:
            self.end("it belongs to another group", "turned away")
            return
        self.link, self.mark = link, answer.cluster_id
        self.host.on_opened(self)

    def on_group_learned(self, answer: GreetingResponse) -> None:
        """Handles the second greeting response of a relay that learned its group after the first."""
        if (
            answer.result != GreetingResult.ACCEPTED
            or (self.host.copy.mark or answer.cluster_id) != answer.cluster_id
        ):
            self.end("it belongs to another group", "turned away")
            return
        self.mark = answer.cluster_id
        self.host.on_group_learned(self)

    def ask(self, what: str, content: Any) -> None:
        """Sends a request to the relay."""
        assert self.link is not None
        self.number += 1
        self.open_operation = what
        self.link.send(ClientRequest(self.number, what, encode_raw(content)))

    def on_response(self, reply: ClientResponse) -> None:
        """Decodes the relay's answer to the open request and passes it to the host."""
        if reply.number != self.number or not self.open_operation:
            self.end("it sent an answer without a request", "frames out of place")
            return
        what, self.open_operation = self.open_operation, ""
        content, why = None, ""
        try:
            if reply.done:
                content = ANSWER_DECODERS[what](reply.content)
            else:
                why = decode_reason(reply.content)
        except UNDECODABLE:
            self.end("its answer could not be decoded", "answers that can't be read")
            return
        self.host.on_answer(self, what, content, why)

    def end(self, why: str, counted: str = "") -> None:
        """Closes the link and reports the end of the attempt to the host, once.

        `counted`: name of the counter to increase, "" for none.
        """
        if self.ended:
            return
        if counted:
            self.host.count(counted)
        self.drop()
        self.host.on_lost(self, why)

    def drop(self) -> None:
        """Closes the link without a report to the host, for a decision of the follower."""
        self.ended = True
        if self.link is not None:
            self.link.transport.abortConnection()
        else:
            self.connector.disconnect()


class Subscriber:
    """Owns the links to relays and the timers; `stop` releases them."""

    def __init__(
        self,
        reactor: Any,
        group: str,
        caller_name: str,
        follower: RelayFollower,
        copy: Copy,
        rng: random.Random,
        log: EventLogger,
        now: Callable[[], int] | None = None,
        on_applied: Callable[[tuple[Batch, ...]], None] = lambda batches: None,
        on_answered: Callable[[], None] = lambda: None,
        before_pull: Callable[[], None] = lambda: None,
    ) -> None:
        """`group`: the group's name; `caller_name`: this process's name in the relays' logs; `now`: µs on the
        monotonic clock.

        Callbacks: `on_applied` after an update was applied, with the update's batches, () for a snapshot;
        `on_answered` after each answer; `before_pull` before decisions are pulled, to update the version
        counts of the nodes below this process.
        """
        self.reactor, self.group, self.caller_name, self.rng, self.log = reactor, group, caller_name, rng, log
        self.follower, self.copy = follower, copy
        self.now = now or (lambda: int(reactor.seconds() * SECOND))
        self.on_applied, self.on_answered, self.before_pull = on_applied, on_answered, before_pull
        self.attempts: dict[str, RelayAttempt] = {}  # by relay address
        self.counts: dict[str, int] = {}
        self.started = self.stopped = self.pull_scheduled = False
        self.timer: Any = None  # for the follower's deadline
        self.stepping: Any = None  # the scheduled call of `step`

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def start(self) -> None:
        """Starts to follow a relay."""
        self.started = True
        self.schedule_pull()

    def stop(self) -> None:
        """Closes all links and timers."""
        self.stopped = True
        for timer in (self.timer, self.stepping):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.stepping = None
        for attempt in list(self.attempts.values()):
            attempt.drop()
        self.attempts.clear()

    # -- events ------------------------------------------------------------------------------------------

    def on_opened(self, attempt: RelayAttempt) -> None:
        """Handles that the relay of an attempt has accepted the link."""
        if self.attempts.get(attempt.relay) is attempt:
            self.follower.on_link_opened(self.now(), attempt.relay, attempt.mark)
            self.schedule_pull()

    def on_group_learned(self, attempt: RelayAttempt) -> None:
        """Handles that the followed relay has reported the identifier of its group."""
        if self.attempts.get(attempt.relay) is attempt and self.follower.relay == attempt.relay:
            self.follower.mark = attempt.mark
            self.on_answered()

    def on_answer(self, attempt: RelayAttempt, what: str, content: Any, why: str) -> None:
        """Passes an answer of the attempt's relay to the follower."""
        if self.attempts.get(attempt.relay) is attempt:
            self.follower.on_answer(self.now(), attempt.relay, what, content, why)
            self.on_answered()
            self.schedule_pull()

    def on_lost(self, attempt: RelayAttempt, why: str) -> None:
        """Handles the end of an attempt to use a relay; passes the reason `why` to the follower."""
        if self.attempts.get(attempt.relay) is attempt:
            del self.attempts[attempt.relay]
            self.follower.on_link_lost(self.now(), attempt.relay, why)
            self.schedule_pull()

    def on_timer(self) -> None:
        """Handles that the follower's deadline has passed."""
        self.timer = None
        self.follower.on_timer(self.now())
        self.schedule_pull()

    def step(self) -> None:
        """Processes one slice of the staged update."""
        self.stepping = None
        try:
            ready: bool | None = self.copy.step()
        except TableError as error:
            self.log.warning("received corrupt data", why=str(error), relay=self.follower.relay or "")
            ready = None
        except Exception:  # the node keeps running; the staged update is discarded
            self.log_error()
            ready = None
        self.follower.on_stepped(self.now(), ready)
        self.pull()  # in the same turn, so that an applied update is reported before other input is handled

    def schedule_pull(self) -> None:
        """Schedules `pull` for the next turn of the reactor, unless it is scheduled already."""
        if self.started and not self.pull_scheduled and not self.stopped:
            self.pull_scheduled = True
            self.reactor.callLater(0, self.pull)

    # -- decisions ---------------------------------------------------------------------------------------

    def pull(self) -> None:
        """Pulls the follower's decisions and carries them out."""
        self.pull_scheduled = False
        if self.stopped:
            return
        try:
            self.before_pull()
            while not self.stopped and (decision := self.follower.next_decision(self.now())) is not None:
                self.carry_out(decision)
        except Exception:  # the node keeps running with its version
            self.log_error()
            self.set_timer(RETRY_DELAY_S)
            return
        if not self.stopped:
            self.set_timer(max(0, self.follower.deadline() - self.now()) / SECOND)

    def log_error(self) -> None:
        """Counts and logs an unexpected error."""
        self.count("errors")
        self.log.warning(
            "unexpected error while following a relay",
            trace=traceback.format_exc(limit=-3).replace("\n", " | "),
        )

    def set_timer(self, span: float) -> None:
        """Sets the timer for the follower's deadline, `span` seconds from now."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(span, self.on_timer)

    def carry_out(self, decision: Decision) -> None:
        """Carries out one decision of the follower."""
        act = decision.act
        if act is Action.OPEN:
            self.drop(decision.relay)
            self.attempts[decision.relay] = RelayAttempt(self, decision.relay)
        elif act is Action.CLOSE:
            self.drop(decision.relay)
        elif act is Action.ASK:
            attempt = self.attempts.get(decision.relay)
            if attempt is not None and attempt.link is not None:
                attempt.ask(decision.what, decision.content)
        elif act is Action.STEP:
            if self.stepping is None:
                self.stepping = self.reactor.callLater(0, self.step)
        elif act is Action.APPLIED:
            self.on_applied(decision.batches)
        elif act is Action.LOG:
            self.log.info(decision.text)

    def drop(self, relay: str) -> None:
        """Ends the attempt at a relay, if there is one."""
        attempt = self.attempts.pop(relay, None)
        if attempt is not None:
            attempt.drop()

    # -- state -------------------------------------------------------------------------------------------

    def describe_state(self) -> str:
        """One line with the version in force, the age and the followed relay."""
        age = self.follower.age(self.now())
        age_text = f"{age / SECOND:.1f} s" if age < MAX_AGE_US else "unknown"
        return f"version {self.copy.version}, age {age_text}, relay {self.follower.relay or 'none'}"

    def counters(self) -> dict[str, int]:
        """All counters, of the links and of the updates."""
        return {**self.follower.counters, **self.counts}
