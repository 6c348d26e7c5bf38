"""What the platform tells a node at its start, checked; what is wrong is said in one line."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from lichencleat.admission.node_spec import MAX_AMOUNT, InvalidInputError, decode_gauges, decode_node_spec
from lichencleat.admission.types import NodeSpec

MB = 1 << 20  # bytes
PORT_MOST = 65_535  # the last one there is


@dataclass(slots=True)
class Told:
    name: str
    listen: tuple[str, int]
    interpreter: tuple[str, int]
    members: tuple[str, int]
    catalogue: tuple[str, int] | None  # None on the last tier
    seed: str
    stop_after: int  # µs from the notice to leave to the stop
    descriptors: int
    memory: int | None  # bytes that the program may have, where it is told
    machine: NodeSpec
    gauges: list[str | None]
    tenants: frozenset[bytes]  # empty at a site without them
    mark: int  # of the settings, to see whether they change


def read_told(environment: Mapping[str, str]) -> Told:
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise InvalidInputError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError, RecursionError) as wrong:
        raise InvalidInputError(f"BALANCER_CONFIG: {wrong}") from wrong
    if not isinstance(told, dict):
        raise InvalidInputError("BALANCER_CONFIG: not a JSON object")
    told.setdefault("name", environment.get("BALANCER_NAME"))
    told.setdefault("listen", environment.get("BALANCER_LISTEN"))
    settings, limits = field(told, "settings", dict), field(told, "limits", dict)
    return Told(
        name=field(told, "name", str),
        listen=address(told, "listen"),
        interpreter=address(told, "vm"),
        members=address(told, "members"),
        catalogue=address(told, "catalog") if told.get("catalog") else None,
        seed=str(field(told, "seed", (str, int))),
        stop_after=round(field(told, "stop_ms", (int, float)) * 1000),
        descriptors=field(limits, "sockets", int),
        memory=int(field(limits, "memory_mb", (int, float)) * MB) if "memory_mb" in limits else None,
        machine=machine(settings),
        gauges=decoded(decode_gauges, settings),
        tenants=tenants(settings),
        mark=crc32(json.dumps(settings, sort_keys=True).encode()),
    )


def field(told: dict, key: str, kind: Any) -> Any:
    value = told.get(key)
    if (
        not isinstance(value, kind)
        or isinstance(value, bool)
        or (isinstance(value, int | float) and key != "seed" and not 0 <= value <= MAX_AMOUNT)
    ):
        raise InvalidInputError(f"BALANCER_CONFIG: {key!r} is missing or wrong: {value!r:.60}")
    return value


def address(told: dict, key: str) -> tuple[str, int]:
    host, _, port = field(told, key, str).rpartition(":")
    if not host or not port.isdecimal() or len(port) > 5 or int(port) > PORT_MOST:
        raise InvalidInputError(f"BALANCER_CONFIG: {key!r} is no address: {told[key]!r:.60}")
    return host, int(port)


def tenants(settings: dict) -> frozenset[bytes]:
    try:
        return frozenset(each["name"].encode() for each in settings.get("orgs") or [])
    except (KeyError, TypeError, AttributeError) as wrong:
        raise InvalidInputError(f"BALANCER_CONFIG: 'settings': 'orgs': {wrong!r:.200}") from wrong


def decoded(decode: Callable[[dict], Any], settings: dict) -> Any:
    try:
        return decode(settings)
    except InvalidInputError as wrong:
        raise InvalidInputError(f"BALANCER_CONFIG: 'settings': {wrong}") from wrong


def machine(settings: dict) -> NodeSpec:
    made = decoded(decode_node_spec, settings)
    if not made.request_classes or any(each.deadline <= 0 for each in made.request_classes):
        raise InvalidInputError("BALANCER_CONFIG: 'settings': no classes, or one without its deadline")
    return made
