"""The file of a voter or learner: YAML, its form, its defaults, and mistakes told with their place."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from lichencleat.config.addresses import parse_address
from lichencleat.config.document import YamlDocument
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Address, LogConfig, Name
from lichencleat.consensus.terms import Times

__all__ = ["QuorumChoice", "QuorumFile", "parse_address", "read_quorum"]

Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]


class TimesChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """Of the group; the same at each member."""

    beat_ms: Milliseconds = 60
    election_ms: Milliseconds = 400
    spread_ms: Milliseconds = 400
    transfer_ms: Milliseconds = 800

    def times(self) -> Times:
        return Times(
            self.beat_ms * 1000, self.election_ms * 1000, self.spread_ms * 1000, self.transfer_ms * 1000
        )


class QuorumChoice(Struct, forbid_unknown_fields=True, frozen=True):
    group: Name  # the same at each member and client
    members: Annotated[list[Address], Meta(min_length=1, max_length=64)]  # where clients look for the group
    name: Name | None = None  # of this member; a client needs none
    listen: Address | None = None
    address: Address | None = None  # where others reach it, if that is not where it listens
    directory: str | None = None  # a store of its own
    zone: str = ""
    times: TimesChoice = TimesChoice()
    log: LogConfig = LogConfig()
    distribution: bool = False  # of configuration, and of nothing else but facts
    disk: Literal["real", "held back"] = "real"  # held back: for tests, a kill loses what was not flushed


class QuorumFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    quorum: QuorumChoice


def read_quorum(path: str, member: bool = False) -> QuorumChoice:
    """Raises InvalidConfigError. `member`: of a process that is to be one, not of a client."""
    chosen, place = parse_config(path, read_config_text(path), QuorumFile)
    quorum: QuorumChoice = chosen.quorum
    sense(path, place, quorum, member)
    return quorum


def sense(path: str, place: YamlDocument, quorum: QuorumChoice, member: bool) -> None:
    times = quorum.times
    if times.election_ms < 3 * times.beat_ms:
        line = place.line_of("$.quorum.times.election_ms") or place.line_of("$.quorum.times.beat_ms")
        raise InvalidConfigError(
            f"{path}, line {line}: quorum.times.election_ms: {times.election_ms} is under three beats "
            f"({times.beat_ms} each); one late message would end a leadership, so make it larger"
        )
    for key in ("name", "listen", "directory"):
        if member and getattr(quorum, key) is None:
            line = place.line_of("$.quorum")
            raise InvalidConfigError(f"{path}, line {line}: quorum.{key}: is missing; a member needs it")
