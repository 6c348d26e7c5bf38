"""The file of a router: YAML, its form, its defaults, and mistakes told with their place."""

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

__all__ = ["RouterChoice", "RouterFile", "ZoneChoice", "parse_address", "read_router"]

NODES_MOST = 4_096  # of all zones
Milliseconds = Annotated[float, Meta(ge=0, le=10_000)]


class ZoneChoice(Struct, forbid_unknown_fields=True, frozen=True):
    nodes: Annotated[dict[Name, Address], Meta(max_length=NODES_MOST)]
    far_ms: Milliseconds = 0.0  # the way there and back, from this router's zone


class RouterChoice(Struct, forbid_unknown_fields=True, frozen=True):
    name: Name  # of this router, among all
    zone: Name  # in which it stands
    listen: Address
    settings: Annotated[str, Meta(min_length=1)]  # a file with the nodes' settings, as they are told them
    zones: Annotated[dict[Name, ZoneChoice], Meta(min_length=1, max_length=32)]
    routers: Annotated[int, Meta(ge=1, le=1_024)] = 1  # of all zones: they share the room for guests
    stop_ms: Annotated[float, Meta(ge=500, le=600_000)] = 3_000.0  # from the notice to leave to the stop
    descriptors: Annotated[int, Meta(ge=64, le=1_048_576)] = 1_024
    memory_mb: Annotated[float, Meta(ge=32, le=1_000_000)] = 192.0
    group: Name | None = None  # of the voters that know the order of zones; absent: nothing is sent elsewhere
    members: Annotated[list[Address], Meta(max_length=64)] = []
    candidate: bool = False  # it may own the job `zones`


class RouterFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    router: RouterChoice
    log: LogConfig = LogConfig()


def read_router(path: str) -> tuple[RouterFile, NodeSpec, frozenset[bytes]]:
    """The file, and of the settings that it names the classes and tenants. Raises InvalidConfigError."""
    chosen, place = parse_config(path, read_config_text(path), RouterFile)
    sense(path, place, chosen.router)
    line = place.line_of("$.router.settings")
    try:
        settings = json.loads(read_config_text(chosen.router.settings))
        settings = settings.get("settings", settings)  # the platform's whole configuration does as well
        machine = decode_node_spec(settings)
        tenants = frozenset(each["name"].encode() for each in settings.get("orgs") or [])
        if not machine.request_classes or any(each.deadline <= 0 for each in machine.request_classes):
            raise InvalidInputError("no classes, or one without its deadline")
    except (InvalidConfigError, InvalidInputError, ValueError, KeyError, TypeError, AttributeError) as wrong:
        raise InvalidConfigError(
            f"{path}, line {line}: router.settings: {chosen.router.settings}: {wrong!s:.200}; "
            "name a JSON file with the nodes' settings"
        ) from wrong
    return chosen, machine, tenants


def sense(path: str, place: YamlDocument, router: RouterChoice) -> None:
    """Values that are each in their form and do not fit together."""
    if router.zone not in router.zones:
        line = place.line_of("$.router.zone")
        there = ", ".join(sorted(router.zones))
        raise InvalidConfigError(
            f"{path}, line {line}: router.zone: {router.zone!r} is none of zones ({there})"
        )
    seen: dict[str, str] = {}
    for zone, choice in router.zones.items():
        for name, address in choice.nodes.items():
            where = f"router.zones.{zone}.nodes.{name}"
            check_address(path, place, where, address, "192.0.2.7:6000")
            if name in seen:
                raise InvalidConfigError(
                    f"{path}, line {place.line_of('$.' + where)}: {where}: the node {name!r} stands in "
                    f"{seen[name]!r} as well; each has a name of its own"
                )
            seen[name] = zone
    if len(seen) > NODES_MOST:
        raise InvalidConfigError(f"{path}: router.zones: {len(seen)} nodes; {NODES_MOST} at the most")
    if router.group is None and (router.members or router.candidate):
        line = place.line_of("$.router.members") or place.line_of("$.router.candidate")
        raise InvalidConfigError(
            f"{path}, line {line}: router.group: is missing; members and candidate are of a group of voters"
        )
    if router.group is not None and not router.members:
        line = place.line_of("$.router.group")
        raise InvalidConfigError(
            f"{path}, line {line}: router.members: is missing; name the voters' addresses"
        )
