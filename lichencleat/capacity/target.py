"""The fleet that is planned for, as its file says it, and the file of slopes: only here are files read."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from lichencleat.capacity.slopes import Slopes, WrongSlopesError, decode
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text

SLOPES_MOST = 4 << 20  # bytes of a file of slopes: it has some 50 KB
DAY = 86_400  # s

Count = Annotated[int, Meta(ge=1, le=1_000_000_000)]
Rate = Annotated[float, Meta(ge=0, le=1e12)]
Share = Annotated[float, Meta(gt=0, le=1)]


class ControlBudget(Struct, forbid_unknown_fields=True, frozen=True):
    """What a node may spend on control, all of it together."""

    core_share: Share = 0.014
    memory_mb: Annotated[float, Meta(gt=0, le=1e6)] = 64.0
    bytes_per_s: Annotated[float, Meta(gt=0, le=1e12)] = 4096.0


class Tree(Struct, forbid_unknown_fields=True, frozen=True):
    """How configuration is carried; a choice of the plan, not a given."""

    voters: Annotated[int, Meta(ge=1, le=7)] = 5
    publishers: Annotated[int, Meta(ge=0, le=1000)] = 2  # they change configuration, and look at it
    relays_a_region: Annotated[int, Meta(ge=1, le=32)] = 2
    relays_a_zone: Annotated[int, Meta(ge=1, le=32)] = 2
    processes_a_machine: Annotated[int, Meta(ge=1, le=64)] = 4


class Target(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

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
    turn_ms: Annotated[float, Meta(gt=0, le=1000)] = 1.0  # of the reactor, by what control does
    control: ControlBudget = ControlBudget()
    # from here on: what the plan supposes where the fleet's figures say nothing
    tree: Tree = Tree()
    rack: Count = 40  # nodes lost at once with a rack or a switch
    burst: Count = 50  # changes of configuration at once
    node_cores: Annotated[float, Meta(gt=0, le=1024)] = 1.0  # that a node's one process may use for requests
    node_sockets: Count = 20_000  # descriptors of a node's process
    connection_memory_mb: Annotated[float, Meta(gt=0, le=1e6)] = 64.0  # a node may spend on its callers
    routers_a_zone: Count = 3
    dependency_seats: Count = 3_300  # nodes that share one pool
    connections_a_node: Count = 1_000  # open at once, once somebody chooses a subset of nodes for each caller
    back_in_s: Annotated[float, Meta(gt=0, le=86_400)] = 60.0  # until the fleet's return after a power loss

    @property
    def records(self) -> int:
        """Of configuration: routes and tenants."""
        return self.routes + self.tenants

    @property
    def zone_nodes(self) -> int:
        """Of one zone, the next whole number up."""
        return -(-self.nodes // self.zones)

    @property
    def rate_a_node(self) -> float:
        """Requests a second at the peak."""
        return self.requests_per_s / self.nodes

    @property
    def changes_a_second(self) -> float:
        return self.changes_per_day / DAY

    @property
    def restarts_a_second(self) -> float:
        return self.restarts_per_day / DAY


def read_target(path: str) -> Target:
    """Raises InvalidConfigError: one line with file, line and what is wrong."""
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
            f"{path}, line {line}: nodes: {target.nodes} in {target.zones} zones; each has one"
        )
    return target


def read_slopes(path: str) -> Slopes:
    """Raises InvalidConfigError: one line with the file and what is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read(SLOPES_MOST + 1)
    except OSError as wrong:
        raise InvalidConfigError(
            f"{path}: {wrong.strerror}; name a file of slopes that can be read"
        ) from wrong
    if len(data) > SLOPES_MOST:
        raise InvalidConfigError(f"{path}: longer than {SLOPES_MOST} bytes; slopes take some thousand")
    try:
        return decode(data)
    except WrongSlopesError as wrong:
        raise InvalidConfigError(
            f"{path}: {wrong}; make it by python -m benchmarks.capacity --json FILE"
        ) from wrong
