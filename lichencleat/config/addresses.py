"""Addresses of other processes in configuration files: `host:port`, with an IPv6 host in brackets."""

from __future__ import annotations

MAX_PORT = 65_535
MAX_OCTET = 255


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host of an address, without the brackets of IPv6, and its port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_valid_address(address: str) -> bool:
    """Whether the port and, for IPv4, the octets are in range; `address` must have the form of an address."""
    host, port = parse_address(address)
    octets = host.split(".") if "." in host else []
    return 0 < port <= MAX_PORT and all(int(octet) <= MAX_OCTET for octet in octets)
