"""A node's subscription to the distributed configuration, from which it takes the list of tenants.

Connects the subscriber and the store of `config_distribution/` to the node. To save memory, a node imports
this module only if the operators' file has a `distribution` section.
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

TENANT = "tenant"  # kind of the distributed records whose names are the tenants
SECOND = 1_000_000  # µs


class Tenants:
    """The known tenants; a request of an unknown tenant is refused.

    Until a version of the distributed configuration is known, these are the tenants of the start settings;
    after that, only those of the distributed table.
    """

    def __init__(self, settings: frozenset[bytes]) -> None:
        self.settings = settings
        self.table: Table | None = None

    def __bool__(self) -> bool:
        """Return false on a site without tenants, where requests of every tenant are accepted."""
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
    """Logs events with the prefix `distribution:`."""

    def __init__(self, events: Any) -> None:
        self.events = events

    def info(self, event: str, **fields: Any) -> None:
        self.events.info(f"distribution: {event}", **fields)

    def warning(self, event: str, **fields: Any) -> None:
        self.events.warning(f"distribution: {event}", **fields)


class DistributedConfig:
    """Owns the subscriber and the copy of the configuration on disk, until `stop`."""

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
        """Set up the tenants; `start` does the rest.

        `config`: a config.schema.DistributionConfig; `settings`: the tenants in the start settings;
        `unix_time`: returns µs; `report`: a node.report.Report.
        """
        self.reactor, self.name, self.config, self.unix_time, self.rng = reactor, name, config, unix_time, rng
        self.report, self.log = report, PrefixedLog(report.events())
        self.tenants = Tenants(settings)
        self.store: PersistedTable | None = None
        self.mark = b""  # mark of the group in the copy on disk; empty before it is known
        self.subscriber: Subscriber | None = None
        self.is_stopped = False

    @inlineCallbacks
    def start(self) -> Any:
        """Load the copy on disk, which applies at once if it is intact, then subscribe to the relays."""
        table = Table()
        if self.config.directory is not None:
            # imported only with a copy on disk, to save memory
            from lichencleat.config_distribution.kept import open_persisted_table

            try:
                self.store = yield open_persisted_table(
                    self.reactor,
                    self.config.directory,
                    self.unix_time,
                    self.rng,
                    group=self.config.group,
                    report=self.log_store_error,
                )
                table, self.mark, _ = yield self.store.load()
            except (StoreError, OSError) as error:  # the relays then send the table
                self.log_store_error(f"{error}; continuing without the copy on disk")
                store, self.store = self.store, None
                if store is not None:
                    store.close()
        if not self.is_stopped:
            self.start_subscriber(table)
        elif self.store is not None:
            self.store.close()

    def log_store_error(self, message: str) -> None:
        """Count and log a message of the store on disk."""
        self.report.count("distribution", "words of the disk")
        self.log.warning("disk", says=message)

    def start_subscriber(self, table: Table) -> None:
        """Subscribe to the relays, starting from the version of a table."""
        copy = TableCopy(table, self.mark)
        if self.config.tenants:
            self.tenants.table = table
        now = int(self.reactor.seconds() * SECOND)
        tiers = tuple(map(tuple, self.config.sources))
        follower = RelayFollower(tiers, copy, self.rng, now, True, self.config.zone)
        self.subscriber = Subscriber(
            self.reactor,
            self.config.group,
            self.name,
            follower,
            copy,
            self.rng,
            self.log,
            on_applied=self.on_batches_taken,
            on_answered=self.on_version_known,
        )
        self.subscriber.start()

    def on_batches_taken(self, batches: tuple[Batch, ...]) -> None:
        """Store batches that were applied to the table; without batches, store the whole table."""
        if self.store is None or self.subscriber is None:
            return
        table = self.subscriber.copy.table
        if batches:
            self.store.on_batches_applied(table, batches)
        else:
            self.store.on_snapshot_applied(table)

    def on_version_known(self) -> None:
        """Store the mark of the group if it has changed; it arrives with the first version."""
        if self.subscriber is not None and self.subscriber.copy.mark != self.mark:
            self.mark = self.subscriber.copy.mark
            if self.store is not None:
                self.store.set_group_mark(self.mark)

    def stop(self) -> Deferred[None]:
        """Unsubscribe; the returned Deferred fires once all changes are written to disk."""
        self.is_stopped = True
        self.update_counters()
        if self.subscriber is not None:
            self.subscriber.stop()
        return self.store.close() if self.store is not None else succeed(None)

    def update_counters(self) -> None:
        """Copy the subscriber's counters to the report."""
        if self.subscriber is not None:
            for counter, number in self.subscriber.counters().items():
                self.report.counts[f"distribution {counter}"] = number

    def describe(self) -> str:
        """Return the distribution part of the status line."""
        self.update_counters()
        return self.subscriber.describe_state() if self.subscriber is not None else "reads its disk"
