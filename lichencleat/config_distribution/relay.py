"""A relay process: one table, kept up to date from above and served to subscribers below in the relay tree.

A `Subscriber` follows a process above, and a `PublisherHost` answers the subscribers. The last version may be
kept on a disk.

After a start the relay serves the version from the disk as soon as that version is checked. The age of the
version is unknown until a process above has answered. An unknown age counts as higher than any limit, so
subscribers prefer other relays until then.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, succeed

from lichencleat.config.addresses import parse_address
from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.file import RelaySettings
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.serving import PublisherHost
from lichencleat.config_distribution.subscriber import Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Batch
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.frames import (
    FORMAT_VERSION,
    ClientRequest,
    ClientResponse,
    Greeting,
    GreetingResponse,
    encode_raw,
)
from lichencleat.transport.identity import GreetingResult, Incarnation
from lichencleat.transport.inbound import InboundConnection, Listener

if TYPE_CHECKING:
    from lichencleat.config_distribution.kept import PersistedTable  # imported only if needed, to save memory

# µs between sums of the version counts of the nodes below; a sum is sent about once a second
COUNT_INTERVAL_US = 200_000
SWEEP_INTERVAL_S = 5.0  # s between checks for links without a greeting
SECOND = 1_000_000  # µs


class RelayProcess:
    """Owns the listener, the links to processes above, the timers and the disk; `stop` releases all."""

    def __init__(
        self,
        reactor: Any,
        settings: RelaySettings,
        log: EventLogger,
        rng: random.Random,
        table: Table,
        mark: bytes = b"",
        recent: Sequence[Batch] = (),
        kept: PersistedTable | None = None,
    ) -> None:
        """`table`, `mark`, `recent`: table, group identifier and last batches, as loaded from the disk.

        Raises CannotListenError if the listening address can't be used.
        """
        self.reactor, self.settings, self.log, self.kept = reactor, settings, log, kept
        self.table, self.mark, self.persisted_mark = table, mark, mark
        self.copy = TableCopy(table, mark)
        self.counts: dict[str, int] = {}
        self.silent: set[InboundConnection] = set()  # links without a greeting at the last check
        self.counted_at = 0  # µs: when the version counts were last summed
        self.stopped = False
        now = self.now()
        self.publisher = Publisher(settings.name, settings.zone, table, now, recent)
        self.serving = PublisherHost(reactor, self.publisher, self.now, log, self.status_fields)
        tiers = tuple(map(tuple, settings.sources))
        self.follower = RelayFollower(tiers, self.copy, rng, now, False, settings.zone)
        self.subscriber = Subscriber(
            reactor,
            settings.group,
            settings.name,
            self.follower,
            self.copy,
            rng,
            log,
            self.now,
            self.on_applied,
            self.on_answer,
            self.update_counts,
        )
        self.listener = Listener(reactor, self, *parse_address(settings.listen))
        self.sweeping = reactor.callLater(SWEEP_INTERVAL_S, self.close_silent_links)

    def now(self) -> int:
        """µs on the monotonic clock."""
        return int(self.reactor.seconds() * SECOND)

    def start(self) -> None:
        """Starts to follow a process above."""
        self.subscriber.start()

    def stop(self) -> Deferred[None]:
        """Stops requests and answers. The Deferred fires once the disk has the pending changes."""
        if self.stopped:
            return succeed(None)
        self.stopped = True
        self.sweeping.cancel()
        self.subscriber.stop()
        self.serving.close()
        self.listener.close()
        return self.kept.close() if self.kept is not None else succeed(None)

    # -- events from above -------------------------------------------------------------------------------

    def update_counts(self) -> None:
        """Updates the version counts of the nodes below, for the next request to a process above."""
        now = self.now()
        if now - self.counted_at >= COUNT_INTERVAL_US:
            self.counted_at = now
            self.follower.counts_below = self.publisher.counts(now)

    def on_answer(self) -> None:
        """Handles an answer from a process above: the age or the group's identifier may have changed."""
        now = self.now()
        self.publisher.set_age(now, self.follower.age(now))
        self.adopt_group_mark()

    def on_applied(self, batches: tuple[Batch, ...]) -> None:
        """Handles that the table has applied batches; (): a snapshot."""
        now = self.now()
        self.adopt_group_mark()
        self.publisher.on_applied(now, batches)
        self.publisher.set_age(now, self.follower.age(now))
        if self.kept is not None:
            if batches:
                self.kept.on_batches_applied(self.table, batches)
            else:
                self.kept.on_snapshot_applied(self.table)
        self.log.info(
            "applied batches" if batches else "applied a snapshot",
            version=self.table.version,
            batches=len(batches),
            records=self.table.records,
        )
        self.serving.schedule_pull()

    def adopt_group_mark(self) -> None:
        """Adopts the group's identifier (mark): the table's mark or, if unknown, that of the relay above.

        Links that were accepted while the mark was unknown get a second greeting response, so that
        subscribers don't have to reconnect at a first start. Links that were given another mark are closed.
        """
        if self.copy.mark != self.persisted_mark:
            self.persisted_mark = self.copy.mark
            if self.kept is not None:
                self.kept.set_group_mark(self.persisted_mark)
        past, self.mark = self.mark, self.copy.mark or self.follower.mark or self.mark
        if past == self.mark:
            return
        self.log.info("joined the group", mark=self.mark.hex())
        for link in [each for each in self.listener.connections if each.is_accepted]:
            if past:
                link.transport.loseConnection()
            else:
                link.send(self.greeting_response(GreetingResult.ACCEPTED))

    def greeting_response(self, welcome: GreetingResult) -> GreetingResponse:
        """The response to a greeting, with the given result."""
        return GreetingResponse(welcome, self.mark, 0, self.settings.name, Incarnation(0, 0))

    # -- events of the listener --------------------------------------------------------------------------

    def on_greeting(self, link: InboundConnection, greeting: Greeting) -> None:
        """Accepts links of this relay's group and closes others."""
        mine = (
            greeting.format_version == FORMAT_VERSION
            and greeting.cluster_name == self.settings.group
            and greeting.member_id == 0
        )
        if greeting.cluster_id and self.mark and greeting.cluster_id != self.mark:
            mine = False
        link.is_accepted = mine
        link.send(self.greeting_response(GreetingResult.ACCEPTED if mine else GreetingResult.WRONG_CLUSTER))
        if not mine:
            self.count("turned away")
            self.log.warning(
                "rejected a link of another group", who=greeting.caller_name, group=greeting.cluster_name
            )
            link.transport.loseConnection()

    def on_request(self, link: InboundConnection, request: ClientRequest) -> None:
        """Passes requests of the configuration distribution to the publisher's host and declines others."""
        if self.serving.handles(request.operation):
            self.serving.on_request(link, request)
        else:
            self.count("questions of another kind")
            link.reply(ClientResponse(request.number, False, encode_raw("unfit")))

    def on_disconnected(self, link: InboundConnection, member_id: int) -> None:
        """Removes the state of a link that has ended."""
        self.silent.discard(link)
        self.serving.on_disconnected(link)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def on_peer_message(self, message: object) -> None:
        """Counts a message between group members, which a relay doesn't expect."""
        self.count("frames out of place")

    def close_silent_links(self) -> None:
        """Closes links without a greeting since the last check, because the number of links is limited."""
        for link in self.silent:
            self.count("silent callers")
            link.transport.abortConnection()
        self.silent = {each for each in self.listener.connections if each.greeting is None}
        self.sweeping = self.reactor.callLater(SWEEP_INTERVAL_S, self.close_silent_links)

    def counters(self) -> dict[str, int]:
        """All counters of this process: of the listener, the answers to subscribers and the own requests."""
        totals = dict(self.counts)
        for part in (self.publisher.counters, self.serving.counts, self.subscriber.counters()):
            for what, number in part.items():
                totals[what] = totals.get(what, 0) + number
        return totals

    def status_fields(self) -> dict[str, Any]:
        """The fields that `status` shows besides the publisher's state."""
        return {"above": self.follower.relay or "", "counters": dict(sorted(self.counters().items()))}
