"""A relay's YAML file: its schema and defaults; errors name the line."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Address, LogConfig, Name, RelayTiers
from lichencleat.config.validation import check_address, check_relay_tiers


class RelaySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a relay."""

    group: Name  # of the configuration's voters; the same at all processes below them
    name: Name  # of this relay, shown by `status`
    listen: Address
    sources: RelayTiers  # nearest first
    zone: str = ""
    directory: str | None = None  # the last version is persisted there; absent: a start fetches everything
    disk: Literal["real", "held back"] = "real"  # "held back": for tests, a kill loses unflushed data
    log: LogConfig = LogConfig()


class RelayFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    distribution: RelaySettings


def read_relay_file(path: str) -> RelaySettings:
    """Reads the file and checks it. Raises InvalidConfigError."""
    chosen, place = parse_config(path, read_config_text(path), RelayFile)
    relay: RelaySettings = chosen.distribution
    check_address(path, place, "distribution.listen", relay.listen, "192.0.2.7:7931")
    check_relay_tiers(path, place, relay.sources, relay.listen)
    return relay
