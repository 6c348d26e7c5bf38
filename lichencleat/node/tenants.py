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
from lichencleat.config_distribution.follow import Follower
from lichencleat.config_distribution.subscriber import Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Batch
from lichencleat.store.errors import StoreError

if TYPE_CHECKING:
    from lichencleat.config_distribution.kept import Kept

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


class PrefixedLog:
    """The node's events, with what they are of."""

    def __init__(self, events: Any) -> None:
        self.events = events

    def info(self, event: str, **fields: Any) -> None:
        self.events.info(f"distribution: {event}", **fields)

    def warning(self, event: str, **fields: Any) -> None:
        self.events.warning(f"distribution: {event}", **fields)


class DistributedConfig:
    """Owns the links to relays and what is kept on the disk; given back in `stop`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        config: Any,
        settings: frozenset[bytes],
        unix_time: Callable[[], int],
        rng: random.Random,
        report: Any,
    ) -> None:
        """`chosen`: as config.schema.DistributionConfig; `settings`: the tenants that the settings name;
        `unix`: µs; `report`: as net.report.Report.
        """
        self.reactor, self.name, self.config, self.unix_time, self.rng = reactor, name, config, unix_time, rng
        self.report, self.log = report, PrefixedLog(report.events())
        self.tenants = Tenants(settings)
        self.store: Kept | None = None
        self.mark = b""
        self.subscriber: Subscriber | None = None
        self.is_stopped = False

    @inlineCallbacks
    def start(self) -> Any:
        """What is on the disk is in force once it is checked; where none is whole, nothing is."""
        table = Table()
        if self.config.directory is not None:
            from lichencleat.config_distribution.kept import (
                open_kept,  # off means not imported: memory counts
            )

            try:
                self.store = yield open_kept(
                    self.reactor,
                    self.config.directory,
                    self.unix_time,
                    self.rng,
                    group=self.config.group,
                    tell=self.log_store_error,
                )
                table, self.mark, _ = yield self.store.load()
            except (StoreError, OSError) as error:  # it goes on without: what it lacks comes from a relay
                self.log_store_error(f"{error}; goes on without it")
                store, self.store = self.store, None
                if store is not None:
                    store.close()
        if not self.is_stopped:
            self.start_subscriber(table)
        elif self.store is not None:
            self.store.close()

    def log_store_error(self, name_: str) -> None:
        self.report.count("distribution", "words of the disk")
        self.log.warning("disk", says=name_)

    def start_subscriber(self, table: Table) -> None:
        copy = TableCopy(table, self.mark)
        if self.config.tenants:
            self.tenants.table = table
        now = int(self.reactor.seconds() * SECOND)
        tiers = tuple(map(tuple, self.config.sources))
        follower = Follower(tiers, copy, self.rng, now, True, self.config.zone)
        self.subscriber = Subscriber(
            self.reactor,
            self.config.group,
            self.name,
            follower,
            copy,
            self.rng,
            self.log,
            on_taken=self.on_batches_taken,
            on_told=self.on_version_known,
        )
        self.subscriber.start()

    def on_batches_taken(self, batches: tuple[Batch, ...]) -> None:
        if self.store is None or self.subscriber is None:
            return
        table = self.subscriber.copy.table
        if batches:
            self.store.wrote(table, batches)
        else:
            self.store.replaced(table)

    def on_version_known(self) -> None:
        """The group's mark is known with the first version."""
        if self.subscriber is not None and self.subscriber.copy.mark != self.mark:
            self.mark = self.subscriber.copy.mark
            if self.store is not None:
                self.store.mark(self.mark)

    def stop(self) -> Deferred[None]:
        """Fires once the disk has what it was given."""
        self.is_stopped = True
        self.update_counters()
        if self.subscriber is not None:
            self.subscriber.stop()
        return self.store.close() if self.store is not None else succeed(None)

    def update_counters(self) -> None:
        if self.subscriber is not None:
            for name_, number in self.subscriber.counters().items():
                self.report.counts[f"distribution {name_}"] = number

    def describe(self) -> str:
        self.update_counters()
        return self.subscriber.beliefs() if self.subscriber is not None else "reads its disk"
