"""The configuration file of a router: YAML schema, defaults, and validation errors with line numbers."""

from __future__ import annotations

import json
from typing import Annotated

from msgspec import Meta, Struct

from lichencleat.admission.node_spec import InvalidInputError, decode_node_spec
from lichencleat.admission.types import NodeSpec
from lichencleat.config.addresses import parse_address
from lichencleat.config.document import YamlDocument
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Address, LogConfig, Name
from lichencleat.config.validation import check_address

__all__ = ["RouterConfig", "RouterFile", "ZoneConfig", "parse_address", "read_router"]

MAX_NODES = 4_096  # nodes in all zones together
Milliseconds = Annotated[float, Meta(ge=0, le=10_000)]


class ZoneConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A zone and its nodes."""

    nodes: Annotated[dict[Name, Address], Meta(max_length=MAX_NODES)]
    far_ms: Milliseconds = 0.0  # round-trip time from this router's zone to the zone


class RouterConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a router."""

    name: Name  # unique among all routers
    zone: Name  # the router's own zone
    listen: Address
    settings: Annotated[str, Meta(min_length=1)]  # path of a JSON file with the nodes' settings
    zones: Annotated[dict[Name, ZoneConfig], Meta(min_length=1, max_length=32)]
    # number of routers in all zones; the spillover is divided among them
    routers: Annotated[int, Meta(ge=1, le=1_024)] = 1
    # time from the request to stop until the process exits
    stop_ms: Annotated[float, Meta(ge=500, le=600_000)] = 3_000.0
    descriptors: Annotated[int, Meta(ge=64, le=1_048_576)] = 1_024  # file descriptors that may be open
    memory_mb: Annotated[float, Meta(ge=32, le=1_000_000)] = 192.0  # memory that the process may use
    group: Name | None = None  # group of the voters that keep the routing plan; absent: no spillover
    members: Annotated[list[Address], Meta(max_length=64)] = []  # addresses of the group's voters
    candidate: bool = False  # whether the router may hold the lease of the job `zones`


class RouterFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration file of a router."""

    router: RouterConfig
    log: LogConfig = LogConfig()


def read_router(path: str) -> tuple[RouterFile, NodeSpec, frozenset[bytes]]:
    """Read a router's configuration file and the file with the nodes' settings that it names.

    Returns:
        The configuration file, the nodes' settings with the request classes, and the names of the tenants.

    Raises:
        InvalidConfigError: If a file is missing or invalid.
    """
    file, document = parse_config(path, read_config_text(path), RouterFile)
    check_consistency(path, document, file.router)
    line = document.line_of("$.router.settings")
    try:
        settings = json.loads(read_config_text(file.router.settings))
        settings = settings.get("settings", settings)  # the platform's whole configuration is accepted too
        node_spec = decode_node_spec(settings)
        tenants = frozenset(each["name"].encode() for each in settings.get("orgs") or [])
        if not node_spec.request_classes or any(each.deadline <= 0 for each in node_spec.request_classes):
            raise InvalidInputError("no request classes, or one without a deadline")
    except (InvalidConfigError, InvalidInputError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidConfigError(
            f"{path}, line {line}: router.settings: {file.router.settings}: {error!s:.200}; "
            "name a JSON file with the nodes' settings"
        ) from error
    return file, node_spec, tenants


def check_consistency(path: str, document: YamlDocument, router: RouterConfig) -> None:
    """Raise InvalidConfigError if settings that are valid alone contradict each other."""
    if router.zone not in router.zones:
        line = document.line_of("$.router.zone")
        known = ", ".join(sorted(router.zones))
        raise InvalidConfigError(
            f"{path}, line {line}: router.zone: {router.zone!r} is not one of the zones ({known})"
        )
    seen: dict[str, str] = {}
    for zone, config in router.zones.items():
        for name, address in config.nodes.items():
            where = f"router.zones.{zone}.nodes.{name}"
            check_address(path, document, where, address, "192.0.2.7:6000")
            if name in seen:
                raise InvalidConfigError(
                    f"{path}, line {document.line_of('$.' + where)}: {where}: the node {name!r} is also in "
                    f"zone {seen[name]!r}; node names must be unique"
                )
            seen[name] = zone
    if len(seen) > MAX_NODES:
        raise InvalidConfigError(f"{path}: router.zones: {len(seen)} nodes; at most {MAX_NODES}")
    if router.group is None and (router.members or router.candidate):
        line = document.line_of("$.router.members") or document.line_of("$.router.candidate")
        raise InvalidConfigError(
            f"{path}, line {line}: router.group: is missing; members and candidate need a group of voters"
        )
    if router.group is not None and not router.members:
        line = document.line_of("$.router.group")
        raise InvalidConfigError(
            f"{path}, line {line}: router.members: is missing; name the voters' addresses"
        )
