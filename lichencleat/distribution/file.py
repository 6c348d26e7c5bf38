"""The file of a relay: YAML, its form, its defaults, and mistakes told with their place."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from lichencleat.chosen.file import Address, LogChoice, Name, Place, WrongFileError, host_port, load, read_as
from lichencleat.distribution.terms import RELAYS_MOST

TIERS_MOST = 8  # zone, region, voters, and room for more

Tier = Annotated[list[Address], Meta(min_length=1, max_length=RELAYS_MOST)]
Sources = Annotated[list[Tier], Meta(min_length=1, max_length=TIERS_MOST)]  # nearest first


class RelayChoice(Struct, forbid_unknown_fields=True, frozen=True):
    group: Name  # of the voters for configuration; the same at all that hang on them
    name: Name  # of this relay: `status` names it
    listen: Address
    sources: Sources
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
    check_address(path, place, "distribution.listen", relay.listen)
    check_sources(path, place, relay.sources, relay.listen)
    return relay


def check_sources(path: str, place: Place, sources: list[list[str]], listen: str = "") -> None:
    """Raises WrongFileError, with the line. `listen`: of the process itself, which is no source."""
    seen: set[str] = {listen}
    for tier, addresses in enumerate(sources):
        for at, each in enumerate(addresses):
            where = f"distribution.sources[{tier}][{at}]"
            check_address(path, place, where, each)
            if each in seen:
                what = "is this process itself" if each == listen else "stands twice"
                raise wrong(path, place, where, f"{each} {what}; leave it out")
            seen.add(each)
    if len(seen) - 1 > RELAYS_MOST:
        raise wrong(
            path,
            place,
            "distribution.sources",
            f"{len(seen) - 1} addresses; {RELAYS_MOST} at the most, two of a tier are enough",
        )


def check_address(path: str, place: Place, where: str, address: str) -> None:
    host, port = host_port(address)
    octets = host.split(".") if "." in host else []
    if not 0 < port <= 65_535 or any(int(octet) > 255 for octet in octets):
        raise wrong(
            path, place, where, f"{address} is none; write it as 192.0.2.7:7901 (names are not looked up)"
        )


def wrong(path: str, place: Place, where: str, what: str) -> WrongFileError:
    return WrongFileError(f"{path}, line {place.line('$.' + where)}: {where}: {what}")
