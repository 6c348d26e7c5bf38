"""The file of a relay: YAML, its form, its defaults, and mistakes told with their place."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from lichencleat.config.file import (
    Address,
    LogChoice,
    Name,
    Sources,
    check_address,
    check_sources,
    load,
    read_as,
)


class RelayChoice(Struct, forbid_unknown_fields=True, frozen=True):
    group: Name  # of the voters for configuration; the same at all that hang on them
    name: Name  # of this relay: `status` names it
    listen: Address
    sources: Sources  # nearest first
    zone: str = ""
    directory: str | None = None  # its last version is kept there; absent: a start fetches all anew
    disk: Literal["real", "held back"] = "real"  # held back: for tests, a kill loses what was not flushed
    log: LogChoice = LogChoice()


class RelayFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    distribution: RelayChoice


def read_relay(path: str) -> RelayChoice:
    """Raises WrongFileError."""
    chosen, place = read_as(path, load(path), RelayFile)
    relay: RelayChoice = chosen.distribution
    check_address(path, place, "distribution.listen", relay.listen, "192.0.2.7:7931")
    check_sources(path, place, relay.sources, relay.listen)
    return relay
