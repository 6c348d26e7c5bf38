"""Reads and validates the settings that the platform gives a node at its start; each error is one line."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from lichencleat.admission.node_spec import MAX_AMOUNT, InvalidInputError, decode_gauges, decode_node_spec
from lichencleat.admission.types import NodeSpec

MB = 1 << 20  # bytes
MAX_PORT = 65_535


@dataclass(slots=True)
class StartSettings:
    """The settings of a node from the platform's configuration file."""

    name: str
    listen: tuple[str, int]
    interpreter: tuple[str, int]
    members: tuple[str, int]
    catalogue: tuple[str, int] | None  # None on the last tier, which makes no calls
    seed: str
    stop_after: int  # µs from the signal to stop until the process must have ended
    descriptors: int  # maximum number of open file descriptors of the process
    memory: int | None  # memory limit of the process in bytes; None if the platform sets no limit
    machine: NodeSpec
    gauges: list[str | None]  # field of ResourceUsage for each gauge of the interpreter, None if unknown
    tenants: frozenset[bytes]  # empty on a site without tenants
    settings_checksum: int  # CRC-32 of the file's `settings` section, to detect changes at a reload


def read_start_settings(environment: Mapping[str, str]) -> StartSettings:
    """Read the file that BALANCER_CONFIG names. Raises InvalidInputError on a missing or invalid setting."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise InvalidInputError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidInputError(f"BALANCER_CONFIG: {error}") from error
    if not isinstance(document, dict):
        raise InvalidInputError("BALANCER_CONFIG: not a JSON object")
    document.setdefault("name", environment.get("BALANCER_NAME"))
    document.setdefault("listen", environment.get("BALANCER_LISTEN"))
    settings, limits = read_field(document, "settings", dict), read_field(document, "limits", dict)
    return StartSettings(
        name=read_field(document, "name", str),
        listen=read_address(document, "listen"),
        interpreter=read_address(document, "vm"),
        members=read_address(document, "members"),
        catalogue=read_address(document, "catalog") if document.get("catalog") else None,
        seed=str(read_field(document, "seed", (str, int))),
        stop_after=round(read_field(document, "stop_ms", (int, float)) * 1000),
        descriptors=read_field(limits, "sockets", int),
        memory=int(read_field(limits, "memory_mb", (int, float)) * MB) if "memory_mb" in limits else None,
        machine=read_node_spec(settings),
        gauges=decode_settings(decode_gauges, settings),
        tenants=read_tenants(settings),
        settings_checksum=crc32(json.dumps(settings, sort_keys=True).encode()),
    )


def read_field(document: dict, key: str, kind: Any) -> Any:
    """Return the value of a key. Raises InvalidInputError if its type, or the range of a number, is wrong."""
    value = document.get(key)
    if (
        not isinstance(value, kind)
        or isinstance(value, bool)
        or (isinstance(value, int | float) and key != "seed" and not 0 <= value <= MAX_AMOUNT)
    ):
        raise InvalidInputError(f"BALANCER_CONFIG: {key!r} is missing or invalid: {value!r:.60}")
    return value


def read_address(document: dict, key: str) -> tuple[str, int]:
    """Return the host and port under a key. Raises InvalidInputError if the value is not an address."""
    host, _, port = read_field(document, key, str).rpartition(":")
    if not host or not port.isdecimal() or len(port) > 5 or int(port) > MAX_PORT:
        raise InvalidInputError(f"BALANCER_CONFIG: {key!r} is not an address: {document[key]!r:.60}")
    return host, int(port)


def read_tenants(settings: dict) -> frozenset[bytes]:
    """Return the names of the tenants; the set is empty on a site without tenants."""
    try:
        return frozenset(each["name"].encode() for each in settings.get("orgs") or [])
    except (KeyError, TypeError, AttributeError) as error:
        raise InvalidInputError(f"BALANCER_CONFIG: 'settings': 'orgs': {error!r:.200}") from error


def decode_settings(decode: Callable[[dict], Any], settings: dict) -> Any:
    """Decode the `settings` section with a function; an error names the section."""
    try:
        return decode(settings)
    except InvalidInputError as error:
        raise InvalidInputError(f"BALANCER_CONFIG: 'settings': {error}") from error


def read_node_spec(settings: dict) -> NodeSpec:
    """Decode the admission controller's settings.

    Raises InvalidInputError if there are no request classes, or if a request class has no deadline.
    """
    node_spec = decode_settings(decode_node_spec, settings)
    if not node_spec.request_classes or any(each.deadline <= 0 for each in node_spec.request_classes):
        raise InvalidInputError("BALANCER_CONFIG: 'settings': no request classes, or one without a deadline")
    return node_spec
