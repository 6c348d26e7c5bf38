"""A voter as what subscribers hang on: it answers from what it has applied, leader or follower.

What is applied is committed, so nothing that is answered is ever taken back. The age of it is counted from
the last moment at which this voter knew that it had all that was committed: a leader asks a majority whether
it still leads, some times a second, and counts from before it asked; a follower counts from a word of the
leader's whose commit it has applied by now. That word may come from a leader which has just lost its majority
and does not know yet: for an election's time at the most.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lichencleat.config_distribution.feed import Feeder
from lichencleat.config_distribution.serving import KNOWN, Serving
from lichencleat.config_distribution.source import Source
from lichencleat.consensus.extension import MemberView
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.transport.frames import ClientRequest, ClientResponse, encode_raw
from lichencleat.transport.inbound import InboundConnection

PART = "distribution"  # of the group's state
PROVE = 0.1  # s between a leader's questions whether it still leads: one word more to each voter
SILENCE = 1_000_000  # µs without a word, which even a learner hears twice a second: this process was stopped
DOUBT = 400_000  # µs after that in which words may be old ones, out of a socket's buffer: it is read by then
NOT_YET = "nothing here"
SECOND = 1_000_000  # µs


class Fresh:
    """Since when a member knows that it has all that is committed; no I/O."""

    def __init__(self) -> None:
        self.at: int | None = None  # µs: the last such moment
        self.heard: int | None = None  # µs: the last word
        self.doubt = 0  # µs: until then words are not counted
        self.waiting: tuple[int, int] | None = None  # when a word came whose commit is not applied, and that

    def word(self, now: int, commit: int, applied: int) -> None:
        """The leader's. After a pause many come at once, and nothing tells which of them is of now."""
        if self.heard is None or now - self.heard > SILENCE:
            self.doubt, self.waiting = now + DOUBT, None
        self.heard = now
        if now < self.doubt:
            return
        if commit <= applied:
            self.at, self.waiting = now, None
        elif self.waiting is None:
            self.waiting = (now, commit)

    def applied(self, index: int) -> None:
        if self.waiting is not None and self.waiting[1] <= index:
            self.at, self.waiting = self.waiting[0], None

    def proved(self, asked: int) -> None:
        """It led at some moment after `asked`, and has applied all that was committed then."""
        self.at = asked if self.at is None else max(self.at, asked)
        self.waiting = None


class Voting:
    """Hangs on `consensus.process.MemberProcess`, which calls all of this; `close` gives everything back."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        zone: str,
        log: Any,
        host: Callable[..., Any] = Serving,
    ) -> None:
        """`host`: carries a feeder's decisions to the links, as `serving.Serving`."""
        self.reactor, self.name, self.zone, self.log, self.host = reactor, name, zone, log, host
        self.fresh = Fresh()
        self.member: MemberView | None = None
        self.source: Source | None = None  # of the state that was seen last
        self.version = 0  # that the feeder knows
        self.index = 0  # applied
        self.feeder: Feeder | None = None
        self.serving: Any = None
        self.timer: Any = None
        self.ended = False

    def start(self, member: MemberView) -> None:
        self.member = member

    def now(self) -> int:
        assert self.member is not None
        return self.member.now()

    # -- what the member has ---------------------------------------------------------------------------

    def on_applied(self, state: StateMachine) -> None:
        self.index = state.applied
        self.fresh.applied(state.applied)
        source = state.states[PART]
        assert isinstance(source, Source)
        if source is not self.source:
            self.takes(source)
        elif source.table.version != self.version:
            self.grows(source)
        self.tell_age()

    def takes(self, source: Source) -> None:
        """Another state: at the start, or a snapshot's."""
        now, table = self.now(), source.table
        self.source, self.version = source, table.version
        if self.feeder is None:
            self.feeder = Feeder(self.name, self.zone, table, now)
            self.serving = self.host(self.reactor, self.feeder, self.now, self.log)
            self.prove()
        self.feeder.table = table
        kept = tuple(each.batch for each in source.window)
        if kept:  # a start feeds from what the dump brought along
            self.feeder.window.restart(*source.since)
        self.feeder.grew(now, kept)
        self.serving.stir()

    def grows(self, source: Source) -> None:
        new = []
        for past in reversed(source.window):
            if past.batch.version <= self.version:
                break
            new.append(past.batch)
        self.version = source.table.version
        assert self.feeder is not None
        self.feeder.grew(self.now(), tuple(reversed(new)))
        self.serving.stir()

    def on_leader_commit(self, commit: int) -> None:
        self.fresh.word(self.now(), commit, self.index)
        self.tell_age()

    def tell_age(self) -> None:
        if self.feeder is not None and self.fresh.at is not None:
            now = self.now()
            self.feeder.known(now, now - self.fresh.at)

    def prove(self) -> None:
        """Whether it leads is the group's to say: who does not is told so at once."""
        asked = self.now()

        def told(done: bool) -> None:
            if self.ended:
                return
            if done:
                self.fresh.proved(asked)
                self.tell_age()
            self.timer = self.reactor.callLater(PROVE, self.prove)

        if not self.ended and self.member is not None:
            self.member.confirm_leadership(told)

    # -- what is asked ---------------------------------------------------------------------------------

    def handles(self, what: str) -> bool:
        return what in KNOWN

    def on_request(self, link: InboundConnection, request: ClientRequest) -> None:
        if self.serving is None:  # it does not take part yet: what it holds may be put back from a copy
            link.reply(ClientResponse(request.number, False, encode_raw(NOT_YET)))
        else:
            self.serving.asked(link, request)

    def on_disconnected(self, link: InboundConnection) -> None:
        if self.serving is not None:
            self.serving.hung_up(link)

    def close(self) -> None:
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.serving is not None:
            self.serving.close()
