"""A node that is told the fleet's configuration: a subscriber of its zone's relays, and what is used of it.

Puts together what `config_distribution/` makes; decides nothing. Imported only where the operators' file
names a
distribution. What the node uses is which tenants there are.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.subscriber import Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Batch
from lichencleat.store.errors import StoreError

if TYPE_CHECKING:
    from lichencleat.config_distribution.kept import PersistedTable

TENANT = "tenant"  # a record's kind; its name is what a request bears
SECOND = 1_000_000  # µs


class Tenants:
    """Which tenants there are: the settings' word until a version is in force, then the table's alone.

    Stands where the settings' own list stood: a request of one that is not in it is refused.
    """

    def __init__(self, settings: frozenset[bytes]) -> None:
        self.settings = settings
        self.table: Table | None = None

    def __bool__(self) -> bool:
        """False: a site without tenants, where any request is taken."""
        return bool(self.settings) or (self.table is not None and self.table.version > 0)

    def __contains__(self, tenant: bytes) -> bool:
        if self.table is None or not self.table.version:
            return tenant in self.settings
        try:
            name = tenant.decode()
        except ValueError:
            return False
        return self.table.find(TENANT, name) is not None


class Said:
    """The node's events, with what they are of."""

    def __init__(self, events: Any) -> None:
        self.events = events

    def info(self, event: str, **fields: Any) -> None:
        self.events.info(f"distribution: {event}", **fields)

    def warning(self, event: str, **fields: Any) -> None:
        self.events.warning(f"distribution: {event}", **fields)


class Distributed:
    """Owns the links to relays and what is kept on the disk; given back in `stop`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        chosen: Any,
        settings: frozenset[bytes],
        unix: Callable[[], int],
        rng: random.Random,
        report: Any,
    ) -> None:
        """`chosen`: as config.schema.DistributionConfig; `settings`: the tenants that the settings name;
        `unix`: µs; `report`: as net.report.Report.
        """
        self.reactor, self.name, self.chosen, self.unix, self.rng = reactor, name, chosen, unix, rng
        self.report, self.log = report, Said(report.events())
        self.tenants = Tenants(settings)
        self.kept: PersistedTable | None = None
        self.mark = b""
        self.subscriber: Subscriber | None = None
        self.stopped = False

    @inlineCallbacks
    def start(self) -> Any:
        """What is on the disk is in force once it is checked; where none is whole, nothing is."""
        table = Table()
        if self.chosen.directory is not None:
            from lichencleat.config_distribution.kept import (
                open_persisted_table,  # off means not imported: memory counts
            )

            try:
                self.kept = yield open_persisted_table(
                    self.reactor,
                    self.chosen.directory,
                    self.unix,
                    self.rng,
                    group=self.chosen.group,
                    report=self.disk_says,
                )
                table, self.mark, _ = yield self.kept.load()
            except (StoreError, OSError) as wrong:  # it goes on without: what it lacks comes from a relay
                self.disk_says(f"{wrong}; goes on without it")
                kept, self.kept = self.kept, None
                if kept is not None:
                    kept.close()
        if not self.stopped:
            self.follow(table)
        elif self.kept is not None:
            self.kept.close()

    def disk_says(self, what: str) -> None:
        self.report.count("distribution", "words of the disk")
        self.log.warning("disk", says=what)

    def follow(self, table: Table) -> None:
        copy = TableCopy(table, self.mark)
        if self.chosen.tenants:
            self.tenants.table = table
        now = int(self.reactor.seconds() * SECOND)
        tiers = tuple(map(tuple, self.chosen.sources))
        follower = RelayFollower(tiers, copy, self.rng, now, True, self.chosen.zone)
        self.subscriber = Subscriber(
            self.reactor,
            self.chosen.group,
            self.name,
            follower,
            copy,
            self.rng,
            self.log,
            on_applied=self.taken,
            on_answered=self.told,
        )
        self.subscriber.start()

    def taken(self, batches: tuple[Batch, ...]) -> None:
        if self.kept is None or self.subscriber is None:
            return
        table = self.subscriber.copy.table
        if batches:
            self.kept.on_batches_applied(table, batches)
        else:
            self.kept.on_snapshot_applied(table)

    def told(self) -> None:
        """The group's mark is known with the first version."""
        if self.subscriber is not None and self.subscriber.copy.mark != self.mark:
            self.mark = self.subscriber.copy.mark
            if self.kept is not None:
                self.kept.set_group_mark(self.mark)

    def stop(self) -> Deferred[None]:
        """Fires once the disk has what it was given."""
        self.stopped = True
        self.tell_counts()
        if self.subscriber is not None:
            self.subscriber.stop()
        return self.kept.close() if self.kept is not None else succeed(None)

    def tell_counts(self) -> None:
        if self.subscriber is not None:
            for what, number in self.subscriber.counters().items():
                self.report.counts[f"distribution {what}"] = number

    def beliefs(self) -> str:
        self.tell_counts()
        return self.subscriber.describe_state() if self.subscriber is not None else "reads its disk"
