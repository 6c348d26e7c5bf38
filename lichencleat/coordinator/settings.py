"""The settings of a member or client of a group, read from the operator's YAML file and validated."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from lichencleat.config.document import YamlDocument
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Address, LogConfig, Name
from lichencleat.consensus.messages import Timeouts
from lichencleat.units import MICROSECONDS_PER_MILLISECOND

__all__ = ["ElectionTimings", "QuorumSettings", "QuorumSettingsFile", "read_quorum_settings"]

# Heartbeat intervals that must fit into the election timeout; with fewer, one late message would end a
# leadership.
MIN_HEARTBEATS_PER_ELECTION = 3
REQUIRED_MEMBER_KEYS = ("name", "listen", "directory")

Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]


class InvalidQuorumSettingsError(InvalidConfigError):
    """A value of the section `quorum` is missing or wrong.

    Attributes:
        path: path of the file.
        line: line of the mistake, or None if the line is unknown.
        key: full path of the key in the file.
    """

    def __init__(self, path: str, line: int | None, key: str, explanation: str) -> None:
        super().__init__(f"{path}, line {line}: {key}: {explanation}")
        self.path = path
        self.line = line
        self.key = key


class ElectionTimings(Struct, forbid_unknown_fields=True, frozen=True):
    """The timeouts of the group in ms; they must be the same at each member."""

    beat_ms: Milliseconds = 60  # heartbeat interval
    election_ms: Milliseconds = 400  # election timeout
    spread_ms: Milliseconds = 400  # limit of the random addition to the election timeout
    transfer_ms: Milliseconds = 800  # timeout of a leadership transfer

    def to_timeouts(self) -> Timeouts:
        """Return the timeouts in µs for the consensus core."""
        return Timeouts(
            self.beat_ms * MICROSECONDS_PER_MILLISECOND,
            self.election_ms * MICROSECONDS_PER_MILLISECOND,
            self.spread_ms * MICROSECONDS_PER_MILLISECOND,
            self.transfer_ms * MICROSECONDS_PER_MILLISECOND,
        )


class QuorumSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """The section `quorum` of the file; a client needs only `group` and `members`."""

    group: Name  # name of the group, the same at each member and client
    # Addresses of members, at which clients look for the group's leader.
    members: Annotated[list[Address], Meta(min_length=1, max_length=64)]
    name: Name | None = None  # name of this member
    listen: Address | None = None  # address at which this member listens
    address: Address | None = None  # address at which others reach this member, if not `listen`
    directory: str | None = None  # directory of the member's store, which no other process may use
    zone: str = ""  # zone of this member
    times: ElectionTimings = ElectionTimings()
    log: LogConfig = LogConfig()
    distribution: bool = False  # whether the group replicates configuration and key-value pairs only
    disk: Literal["real", "held back"] = "real"  # "held back" is for tests: a kill loses unflushed writes


class QuorumSettingsFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The complete settings file."""

    quorum: QuorumSettings


def read_quorum_settings(path: str, member: bool = False) -> QuorumSettings:
    """Read and validate the settings file.

    Args:
        path: path of the YAML file.
        member: whether the settings are for a member, which needs more keys than a client.

    Raises:
        InvalidConfigError: the file can't be read, or a value in it is missing or wrong.
    """
    file, document = parse_config(path, read_config_text(path), QuorumSettingsFile)
    settings = file.quorum
    _check_timings(path, document, settings.times)
    if member:
        _check_member_keys(path, document, settings)
    return settings


def _check_timings(path: str, document: YamlDocument, timings: ElectionTimings) -> None:
    if timings.election_ms >= MIN_HEARTBEATS_PER_ELECTION * timings.beat_ms:
        return
    line = document.line_of("$.quorum.times.election_ms") or document.line_of("$.quorum.times.beat_ms")
    explanation = (
        f"{timings.election_ms} is less than three heartbeat intervals (beat_ms: {timings.beat_ms}); "
        "one late message would end a leadership, so increase it"
    )
    raise InvalidQuorumSettingsError(path, line, "quorum.times.election_ms", explanation)


def _check_member_keys(path: str, document: YamlDocument, settings: QuorumSettings) -> None:
    for key in REQUIRED_MEMBER_KEYS:
        if getattr(settings, key) is None:
            line = document.line_of("$.quorum")
            raise InvalidQuorumSettingsError(path, line, f"quorum.{key}", "is missing; a member needs it")
