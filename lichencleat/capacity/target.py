"""The fleet that is planned for, read from its settings file, and the slopes file. The package reads files
only here.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from lichencleat.capacity.slopes import InvalidSlopesError, Slopes, decode
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text

MAX_SLOPES_BYTES = 4 << 20  # most bytes of a slopes file; usual files have about 50 KB
DAY_S = 86_400

Count = Annotated[int, Meta(ge=1, le=1_000_000_000)]
Rate = Annotated[float, Meta(ge=0, le=1e12)]
Share = Annotated[float, Meta(gt=0, le=1)]


class ControlBudget(Struct, forbid_unknown_fields=True, frozen=True):
    """What one node may spend on control in total."""

    core_share: Share = 0.014
    memory_mb: Annotated[float, Meta(gt=0, le=1e6)] = 64.0
    bytes_per_s: Annotated[float, Meta(gt=0, le=1e12)] = 4096.0


class Tree(Struct, forbid_unknown_fields=True, frozen=True):
    """The tree of relays that distributes configuration. The plan may choose these numbers."""

    voters: Annotated[int, Meta(ge=1, le=7)] = 5
    # processes through which configuration is changed and read
    publishers: Annotated[int, Meta(ge=0, le=1000)] = 2
    relays_a_region: Annotated[int, Meta(ge=1, le=32)] = 2
    relays_a_zone: Annotated[int, Meta(ge=1, le=32)] = 2
    processes_a_machine: Annotated[int, Meta(ge=1, le=64)] = 4


class Target(Struct, forbid_unknown_fields=True, frozen=True):
    """The content of a target file."""

    nodes: Count
    callers: Count
    services: Count
    requests_per_s: Rate
    routes: Count
    tenants: Count
    added_p99_ms: Annotated[float, Meta(gt=0, le=60_000)]
    regions: Annotated[int, Meta(ge=1, le=1000)]
    zones: Annotated[int, Meta(ge=1, le=10_000)]
    changes_per_day: Rate
    in_force_s: Annotated[float, Meta(gt=0, le=86_400)]
    machines: Annotated[int, Meta(ge=1, le=100_000)]
    failures_per_day: Rate
    restarts_per_day: Rate
    turn_ms: Annotated[float, Meta(gt=0, le=1000)] = 1.0  # longest time that control may block the reactor
    control: ControlBudget = ControlBudget()
    # the fields below are assumptions, for which the fleet gives no figures
    tree: Tree = Tree()
    rack: Count = 40  # number of nodes that are lost at once with a rack or a switch
    burst: Count = 50  # number of configuration changes made at once
    # cores that a node's process may use for requests
    node_cores: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    node_sockets: Count = 20_000  # descriptors that a node's process may open
    # memory of a node for its callers' connections
    connection_memory_mb: Annotated[float, Meta(gt=0, le=1e6)] = 64.0
    routers_a_zone: Count = 3
    dependency_seats: Count = 3_300  # nodes that share one quota pool
    connections_a_node: Count = 1_000  # open connections of a node if each caller uses a subset
    # longest recovery of the fleet after a power loss
    back_in_s: Annotated[float, Meta(gt=0, le=86_400)] = 60.0

    @property
    def records(self) -> int:
        """The records of configuration: routes and tenants."""
        return self.routes + self.tenants

    @property
    def zone_nodes(self) -> int:
        """The nodes of one zone, rounded up."""
        return -(-self.nodes // self.zones)

    @property
    def rate_per_node(self) -> float:
        """Requests per second of one node at the peak."""
        return self.requests_per_s / self.nodes

    @property
    def changes_per_second(self) -> float:
        """Changes of configuration per second."""
        return self.changes_per_day / DAY_S

    @property
    def restarts_per_second(self) -> float:
        """Restarts of nodes per second in the whole fleet."""
        return self.restarts_per_day / DAY_S


def read_target(path: str) -> Target:
    """Read a target file. Raises InvalidConfigError: one line with file, line and what is wrong."""
    text = read_config_text(path)
    target, place = parse_config(path, text, Target)
    if target.zones < target.regions:
        line = place.line_of("$.zones")
        raise InvalidConfigError(
            f"{path}, line {line}: zones: {target.zones} in {target.regions} regions; each has one"
        )
    if target.nodes < target.zones:
        line = place.line_of("$.nodes")
        raise InvalidConfigError(
            f"{path}, line {line}: nodes: {target.nodes} in {target.zones} zones; "
            "each zone needs at least one node"
        )
    return target


def read_slopes(path: str) -> Slopes:
    """Read a slopes file. Raises InvalidConfigError: one line with file and what is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_SLOPES_BYTES + 1)
    except OSError as wrong:
        raise InvalidConfigError(
            f"{path}: {wrong.strerror}; name a file of slopes that can be read"
        ) from wrong
    if len(data) > MAX_SLOPES_BYTES:
        raise InvalidConfigError(f"{path}: longer than {MAX_SLOPES_BYTES} bytes; slopes take some thousand")
    try:
        return decode(data)
    except InvalidSlopesError as wrong:
        raise InvalidConfigError(
            f"{path}: {wrong}; make it by python -m benchmarks.capacity --json FILE"
        ) from wrong
