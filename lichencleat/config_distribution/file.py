"""The YAML file of a relay: schema and defaults. Errors name the line."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Address, LogConfig, Name, RelayTiers
from lichencleat.config.validation import check_address, check_relay_tiers


class RelaySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a relay."""

    group: Name  # name of the group of voters; the same at all relays and subscribers below them
    name: Name  # name of this relay, shown by `status`
    listen: Address
    sources: RelayTiers  # addresses of the processes above in the relay tree, nearest tier first
    zone: str = ""
    directory: str | None = None  # for the last version; absent: a start fetches the whole table
    disk: Literal["real", "held back"] = "real"  # "held back" is for tests: a kill loses unflushed data
    log: LogConfig = LogConfig()


class RelayFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The content of a relay's file."""

    distribution: RelaySettings


def read_relay_file(path: str) -> RelaySettings:
    """Reads and checks the file of a relay. Raises InvalidConfigError."""
    chosen, place = parse_config(path, read_config_text(path), RelayFile)
    relay: RelaySettings = chosen.distribution
    check_address(path, place, "distribution.listen", relay.listen, "192.0.2.7:7931")
    check_relay_tiers(path, place, relay.sources, relay.listen)
    return relay
