"""Boot record: how often a node was started, and how and when its last process ended; no I/O."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from lichencleat.decode_errors import UNDECODABLE

# A clock is plausible if it is at most this far behind the time of the last boot record: twice the size of
# usual clock adjustments.
MAX_CLOCK_BEHIND_US = 1_000_000
# A clock is plausible if it is at most this far ahead of the time of the last boot record; a longer downtime
# is implausible.
MAX_CLOCK_AHEAD_US = 366 * 86_400_000_000
FORMAT = 1


class BootRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored record of one process, rewritten while the process runs.

    Fields are never moved or dropped.
    """

    format: int
    boot_count: int  # number of starts of the node, including the start of this process
    clean_shutdown: bool  # set by a graceful shutdown; false while the process runs
    last_alive: int  # µs of Unix time: when the record was last written
    group: str  # name of the fleet's consensus group, empty if there is none
    epoch: int  # last epoch in which the node took part


class ClockCheck(Enum):
    """The result of comparing the machine's clock with the time of the last boot record."""

    PLAUSIBLE = auto()
    BEHIND = auto()  # the clock shows an earlier time: its battery is empty, or an operator set it back
    AHEAD = auto()  # the clock shows an implausibly late time


class InvalidBootRecordError(ValueError):
    """The boot record can't be used; the message says what is wrong."""


class UnreadableBootRecordError(InvalidBootRecordError):
    """The boot record can't be decoded."""

    def __init__(self) -> None:
        super().__init__("the boot record can't be read; see 'lichencleat store check'")


class UnknownBootRecordFormatError(InvalidBootRecordError):
    """The boot record was written by another version of the program.

    Attributes:
        format: The format that the record names.
    """

    def __init__(self, format: int) -> None:
        super().__init__(f"the boot record has format {format}, this program reads format {FORMAT}")
        self.format = format


class ForeignBootRecordError(InvalidBootRecordError):
    """The boot record belongs to a node of another fleet.

    Attributes:
        recorded_group: The consensus group that the record names.
        group: The consensus group of this node.
    """

    def __init__(self, recorded_group: str, group: str) -> None:
        super().__init__(f"the boot record belongs to the fleet {recorded_group!r}, this node to {group!r}")
        self.recorded_group = recorded_group
        self.group = group


decode_boot_record = msgspec.msgpack.Decoder(BootRecord).decode
encode_boot_record = msgspec.msgpack.encode


def load_previous(stored: bytes | None, group: str) -> BootRecord | None:
    """Decode the record of the previous process.

    Args:
        stored: The bytes of the record, None at a first start.
        group: The consensus group of this node, empty if there is none.

    Raises:
        InvalidBootRecordError: The record can't be decoded, or has another format or group.
    """
    if stored is None:
        return None
    try:
        record = decode_boot_record(stored)
    except UNDECODABLE as error:
        raise UnreadableBootRecordError from error
    if record.format != FORMAT:
        raise UnknownBootRecordFormatError(record.format)
    if record.group and group and record.group != group:
        raise ForeignBootRecordError(record.group, group)
    return record


def create_record(previous: BootRecord | None, unix_time: int, group: str) -> BootRecord:
    """Return the boot record of a process that starts, with the epoch of the previous process."""
    boot_count = 1 if previous is None else previous.boot_count + 1
    epoch = 0 if previous is None else previous.epoch
    return BootRecord(FORMAT, boot_count, False, unix_time, group, epoch)


def check_clock(previous: BootRecord | None, unix_time: int) -> ClockCheck:
    """Compare the machine's clock (µs) with the time of the last boot record."""
    if previous is None:
        return ClockCheck.PLAUSIBLE
    elapsed = unix_time - previous.last_alive
    if -MAX_CLOCK_BEHIND_US <= elapsed <= MAX_CLOCK_AHEAD_US:
        return ClockCheck.PLAUSIBLE
    return ClockCheck.BEHIND if elapsed < 0 else ClockCheck.AHEAD
