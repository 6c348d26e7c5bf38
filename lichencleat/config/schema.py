"""Types and defaults of the settings in the operator's file. Field names are the file's keys."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from lichencleat.config.addresses import parse_address

MAX_RELAY_ADDRESSES = 32  # addresses of relays in all tiers together
MAX_RELAY_TIERS = 8  # a tier is a group of relays; the tiers are listed nearest first

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
RelayTier = Annotated[list[Address], Meta(min_length=1, max_length=MAX_RELAY_ADDRESSES)]
RelayTiers = Annotated[list[RelayTier], Meta(min_length=1, max_length=MAX_RELAY_TIERS)]


class CollectorConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """One collector of flow records."""

    address: Address
    wire: Literal["ipfix-udp", "ipfix-tcp", "netflow9-udp"] = "ipfix-udp"
    name: Name | None = None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Host and port of the collector."""
        return parse_address(self.address)


class FlowExportConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Export of flow records to collectors. If absent, flow export is off."""

    collectors: Annotated[list[CollectorConfig], Meta(min_length=1, max_length=8)]
    # IANA private enterprise number of the information elements that IANA has not standardized.
    enterprise: Annotated[int, Meta(ge=1, le=0xFFFFFFFF)] = 32_473
    domain: Annotated[int, Meta(ge=0, le=0xFFFFFFFF)] = 1  # id of the observation domain
    to: Literal["all", "first that lives"] = "all"  # export to all collectors, or to the first reachable one
    active_s: Seconds = 60.0  # active timeout: a flow that goes on is exported after this time
    idle_s: Seconds = 15.0  # idle timeout: a flow without packets for this time is exported
    waiting: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000  # maximum of records queued per collector
    message_bytes: Annotated[int, Meta(ge=512, le=65_000)] = 1_400  # maximum size of a message
    flush_s: Annotated[float, Meta(ge=0, le=60)] = 0.2  # maximum time to send the last records at the stop
    links: bool = False  # whether to meter connections to the interpreter and of downstream calls too


class QuotaConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The quota of downstream calls to a dependency, which the fleet allocates to its nodes."""

    pool: Name
    # `floor` and `term_s` must have the same values as in the pool's definition.
    floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    term_s: Annotated[float, Meta(ge=0.3, le=600)] = 5.0


class FleetConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """This node as a client of a group of voters. If absent, the node runs without a group."""

    group: Name
    # Addresses of members of the group, at which the node looks for the group's leader.
    members: Annotated[list[Address], Meta(min_length=1, max_length=64)]
    zone: str = ""  # the zone of this node
    candidate: bool = False  # whether the node may hold leases on the fleet's jobs
    shares: QuotaConfig | None = None
    revive: bool = False  # whether the node takes part in the fleet's recovery after a power loss


class DistributionConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet's configuration, got from the zone's relays. If absent, the node only uses its own files."""

    group: Name  # name of the group of voters that hold the configuration
    sources: RelayTiers  # addresses of the relays, nearest tier first
    zone: str = ""
    directory: Annotated[str, Meta(min_length=1)] | None = None  # directory of the last version
    tenants: bool = False  # whether tenants are taken from the distributed table, not from the settings


class IdempotencyConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Idempotency records and results that survive a restart. If absent, a restart loses both."""

    directory: Annotated[str, Meta(min_length=1)]  # on durable storage, used by this node alone
    entries: Annotated[int, Meta(ge=100, le=10_000_000)] = 100_000  # maximum number of unexpired keys
    disk_mb: Annotated[float, Meta(ge=32, le=1_000_000)] = 256.0
    disk: Literal["real", "held back"] = "real"  # "held back" is for tests: a kill loses unflushed writes


class LogConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Structured log lines instead of plain ones."""

    form: Literal["logfmt", "json"] = "logfmt"


class NodeConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration file of a node."""

    flows: FlowExportConfig | None = None
    keyed: IdempotencyConfig | None = None
    fleet: FleetConfig | None = None
    distribution: DistributionConfig | None = None
    log: LogConfig | None = None  # if absent, the node logs plain lines
