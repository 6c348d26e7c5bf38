"""A voter as a source for subscribers: it answers from the entries that it has applied, leader or follower.

Applied entries are committed, so no answer is ever revoked. The age counts from the last moment at which this
voter knew that it had all committed entries: a leader confirms its leadership with a majority several times a
second, and the age counts from before that; at a follower it counts from a message of the leader whose commit
is applied by now. That message may come from a leader that has just lost its majority and doesn't know it
yet, for at most an election timeout.
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

STATE_PART = "distribution"  # the name of this part of the group's state
# s between a leader's confirmations of its leadership: one more message to each voter
CONFIRM_INTERVAL_S = 0.1
# µs without a message, of which even a learner gets two a second: this process was stopped
PAUSE_THRESHOLD_US = 1_000_000
# µs after that in which messages may be old ones from the receive buffer, which is then read
IGNORE_AFTER_PAUSE_US = 400_000
NOT_READY_REASON = "nothing here"
SECOND = 1_000_000  # µs


class CommitFreshness:
    """Since when a member knows that it has all committed entries; no I/O."""

    def __init__(self) -> None:
        self.known_at: int | None = None  # µs: the last such moment
        self.last_message_at: int | None = None  # µs: the last message
        self.ignored_until = 0  # µs: messages before it are ignored
        # when a message arrived whose commit is not applied yet, and that commit
        self.waiting: tuple[int, int] | None = None

    def on_leader_message(self, now: int, commit: int, applied: int) -> None:
        """A message of the leader. After a pause many arrive at once, and none shows when it was sent."""
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
        """The member has applied the entries up to `index`."""
        if self.waiting is not None and self.waiting[1] <= index:
            self.known_at, self.waiting = self.waiting[0], None

    def on_leadership_confirmed(self, asked: int) -> None:
        """The member led at some moment after `asked`, and has applied all entries committed by then."""
        self.known_at = asked if self.known_at is None else max(self.known_at, asked)
        self.waiting = None


class VoterPublisher:
    """Publishes a voter's table. `consensus.process.MemberProcess` calls it; `close` releases everything."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        zone: str,
        log: Any,
        host: Callable[..., Any] = PublisherHost,
    ) -> None:
        """`host`: carries out a publisher's decisions, as `serving.PublisherHost`."""
        self.reactor, self.name, self.zone, self.log, self.host = reactor, name, zone, log, host
        self.freshness = CommitFreshness()
        self.member: MemberView | None = None
        self.source: Source | None = None  # the source in the last state seen
        self.version = 0  # the publisher's version
        self.index = 0  # of the last entry applied
        self.publisher: Publisher | None = None
        self.serving: Any = None
        self.timer: Any = None
        self.ended = False

    def start(self, member: MemberView) -> None:
        """The member is ready to confirm its leadership."""
        self.member = member

    def now(self) -> int:
        """µs on the monotonic clock."""
        assert self.member is not None
        return self.member.now()

    # -- events of the member ----------------------------------------------------------------------------

    def on_applied(self, state: StateMachine) -> None:
        """The member has applied entries, or loaded a snapshot."""
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
        """Uses another state object: at the start, or after a snapshot."""
        now, table = self.now(), source.table
        self.source, self.version = source, table.version
        if self.publisher is None:
            self.publisher = Publisher(self.name, self.zone, table, now)
            self.serving = self.host(self.reactor, self.publisher, self.now, self.log)
            self.confirm_leadership()
        self.publisher.table = table
        kept = tuple(each.batch for each in source.window)
        if kept:  # subscribers can be sent the batches that the dump includes
            self.publisher.window.restart(*source.since)
        self.publisher.on_applied(now, kept)
        self.serving.schedule_pull()

    def publish_batches(self, source: Source) -> None:
        """Passes new batches to the publisher."""
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
        """A message of the leader with its commit index has arrived."""
        self.freshness.on_leader_message(self.now(), commit, self.index)
        self.report_age()

    def report_age(self) -> None:
        """Passes the age to the publisher."""
        if self.publisher is not None and self.freshness.known_at is not None:
            now = self.now()
            self.publisher.set_age(now, now - self.freshness.known_at)

    def confirm_leadership(self) -> None:
        """Confirms the leadership, again and again; at a member that doesn't lead that fails at once."""
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
        """Whether the operation belongs to the distribution."""
        return what in OPERATIONS

    def on_request(self, link: InboundConnection, request: ClientRequest) -> None:
        """Passes a request on, or declines it before the member takes part."""
        # the member doesn't take part yet: its state may still be restored from a copy
        if self.serving is None:
            link.reply(ClientResponse(request.number, False, encode_raw(NOT_READY_REASON)))
        else:
            self.serving.on_request(link, request)

    def on_disconnected(self, link: InboundConnection) -> None:
        """Forgets the link."""
        if self.serving is not None:
            self.serving.on_disconnected(link)

    def close(self) -> None:
        """Stops the timer and the answers."""
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.serving is not None:
            self.serving.close()
