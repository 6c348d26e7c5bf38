"""Publishes the configuration at a voter. Leaders and followers answer subscribers from the applied entries.

Applied entries are committed, so no answer is ever revoked. The age in an answer counts from the last moment
at which this voter is known to have had all committed entries. A leader confirms its leadership with a
majority several times a second; at a leader the age counts from the start of the last confirmation. At a
follower the age counts from the arrival of the last message of the leader whose commit index the follower has
applied. For at most an election timeout, the sender of that message may be a leader that has lost its
majority and doesn't know it yet; the age is then too low.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.serving import OPERATIONS, PublisherHost
from lichencleat.config_distribution.source import Source
from lichencleat.consensus.extension import MemberView
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.transport.frames import ClientRequest, ClientResponse, encode_raw
from lichencleat.transport.inbound import InboundConnection

STATE_PART = "distribution"  # the name of the source within the group's replicated state
# s between two confirmations of leadership; each costs one more message to each voter
CONFIRM_INTERVAL_S = 0.1
# µs without a message of the leader, above which this process counts as having been stopped: even a learner
# gets two messages a second
PAUSE_THRESHOLD_US = 1_000_000
# µs after such a pause for which messages are ignored: they may be old ones from the receive buffer
IGNORE_AFTER_PAUSE_US = 400_000
NOT_READY_REASON = "nothing here"
SECOND = 1_000_000  # µs


class CommitFreshness:
    """Tracks the last moment at which a member is known to have had all committed entries; no I/O."""

    def __init__(self) -> None:
        self.known_at: int | None = None  # µs: the last such moment, None: none known
        self.last_message_at: int | None = None  # µs: when the last message of the leader arrived
        self.ignored_until = 0  # µs: messages of the leader that arrive earlier are ignored
        # a message whose commit index is not applied yet: when it arrived (µs), and the commit index
        self.waiting: tuple[int, int] | None = None

    def on_leader_message(self, now: int, commit: int, applied: int) -> None:
        """Handles a message of the leader with the index `commit`.

        Messages are ignored for a while after a pause: many then arrive at once, and a message doesn't show
        when it was sent.
        """
        if self.last_message_at is None or now - self.last_message_at > PAUSE_THRESHOLD_US:
            self.ignored_until, self.waiting = now + IGNORE_AFTER_PAUSE_US, None
        self.last_message_at = now
        if now < self.ignored_until:
            return
        if commit <= applied:
            self.known_at, self.waiting = now, None
        elif self.waiting is None:
            self.waiting = (now, commit)

    def on_applied(self, index: int) -> None:
        """Handles that the member has applied the entries up to `index`."""
        if self.waiting is not None and self.waiting[1] <= index:
            self.known_at, self.waiting = self.waiting[0], None

    def on_leadership_confirmed(self, asked: int) -> None:
        """The member led at a moment after `asked`, and has applied all entries committed by that moment."""
        self.known_at = asked if self.known_at is None else max(self.known_at, asked)
        self.waiting = None


class VoterPublisher:
    """Publishes a voter's table, for `consensus.process.MemberProcess`; `close` releases all resources."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        zone: str,
        log: Any,
        host: Callable[..., Any] = PublisherHost,
    ) -> None:
        """`host`: makes the object that carries out a publisher's decisions (`serving.PublisherHost`)."""
        self.reactor, self.name, self.zone, self.log, self.host = reactor, name, zone, log, host
        self.freshness = CommitFreshness()
        self.member: MemberView | None = None
        self.source: Source | None = None  # the source in the member's last applied state
        self.version = 0  # version that was last passed to the publisher
        self.index = 0  # index of the last entry applied
        self.publisher: Publisher | None = None
        self.serving: Any = None
        self.timer: Any = None
        self.ended = False

    def start(self, member: MemberView) -> None:
        """Sets the member, which is ready to confirm its leadership."""
        self.member = member

    def now(self) -> int:
        """µs on the monotonic clock."""
        assert self.member is not None
        return self.member.now()

    # -- events of the member ----------------------------------------------------------------------------

    def on_applied(self, state: StateMachine) -> None:
        """Handles that the member has applied entries or loaded a snapshot."""
        self.index = state.applied
        self.freshness.on_applied(state.applied)
        source = state.states[STATE_PART]
        assert isinstance(source, Source)
        if source is not self.source:
            self.use_source(source)
        elif source.table.version != self.version:
            self.publish_batches(source)
        self.report_age()

    def use_source(self, source: Source) -> None:
        """Publishes from another source object: at the start, or after the member loaded a snapshot."""
        now, table = self.now(), source.table
        self.source, self.version = source, table.version
        if self.publisher is None:
            self.publisher = Publisher(self.name, self.zone, table, now)
            self.serving = self.host(self.reactor, self.publisher, self.now, self.log)
            self.confirm_leadership()
        self.publisher.table = table
        kept = tuple(each.batch for each in source.window)
        if kept:  # the batches that the source has kept can be sent to subscribers
            self.publisher.window.restart(*source.since)
        self.publisher.on_applied(now, kept)
        self.serving.schedule_pull()

    def publish_batches(self, source: Source) -> None:
        """Passes the batches since the last published version to the publisher."""
        new = []
        for past in reversed(source.window):
            if past.batch.version <= self.version:
                break
            new.append(past.batch)
        self.version = source.table.version
        assert self.publisher is not None
        self.publisher.on_applied(self.now(), tuple(reversed(new)))
        self.serving.schedule_pull()

    def on_leader_commit(self, commit: int) -> None:
        """Handles a message of the leader with the leader's commit index."""
        self.freshness.on_leader_message(self.now(), commit, self.index)
        self.report_age()

    def report_age(self) -> None:
        """Passes the table's age to the publisher, if the age is known."""
        if self.publisher is not None and self.freshness.known_at is not None:
            now = self.now()
            self.publisher.set_age(now, now - self.freshness.known_at)

    def confirm_leadership(self) -> None:
        """Starts a confirmation of leadership and schedules the next one after the result.

        At a member that doesn't lead, the confirmation fails at once.
        """
        asked = self.now()

        def on_result(done: bool) -> None:
            if self.ended:
                return
            if done:
                self.freshness.on_leadership_confirmed(asked)
                self.report_age()
            self.timer = self.reactor.callLater(CONFIRM_INTERVAL_S, self.confirm_leadership)

        if not self.ended and self.member is not None:
            self.member.confirm_leadership(on_result)

    # -- requests ----------------------------------------------------------------------------------------

    def handles(self, what: str) -> bool:
        """Whether an operation is one of the configuration distribution."""
        return what in OPERATIONS

    def on_request(self, link: InboundConnection, request: ClientRequest) -> None:
        """Passes a request to the publisher's host. Declines it if the member doesn't take part yet."""
        # before the member takes part, its state may still be restored from a copy
        if self.serving is None:
            link.reply(ClientResponse(request.number, False, encode_raw(NOT_READY_REASON)))
        else:
            self.serving.on_request(link, request)

    def on_disconnected(self, link: InboundConnection) -> None:
        """Removes the state of a link that has ended."""
        if self.serving is not None:
            self.serving.on_disconnected(link)

    def close(self) -> None:
        """Stops the confirmations of leadership and the answers to subscribers."""
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.serving is not None:
            self.serving.close()
