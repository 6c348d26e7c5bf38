"""Addresses of peers in configuration files: `host:port`, IPv6 hosts in brackets."""

from __future__ import annotations

MAX_PORT = 65_535
MAX_OCTET = 255


def parse_address(address: str) -> tuple[str, int]:
    """Returns host, without the brackets of IPv6, and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_valid_address(address: str) -> bool:
    """Whether port and IPv4 octets are in range; the text must have the form of an address."""
    host, port = parse_address(address)
    octets = host.split(".") if "." in host else []
    return 0 < port <= MAX_PORT and all(int(octet) <= MAX_OCTET for octet in octets)
