"""Loads and updates the boot record, which is in the same store as the node's idempotency records."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lichencleat.recovery.boot_record import (
    BootRecord,
    ClockCheck,
    check_clock,
    create_record,
    encode_boot_record,
    load_previous,
)
from lichencleat.recovery.interfaces import StoreReader

BOOT_RECORD_KEY = b"b"  # key of the boot record in the node's store


class BootRecordStore:
    """Loads the boot record of the previous process, and encodes that of this process.

    The idempotency service stores the record of this process with each of its heartbeats.

    Args:
        group: The consensus group of this node.
        unix_time: Returns µs of Unix time.
    """

    def __init__(self, group: str, unix_time: Callable[[], int]) -> None:
        self.group = group
        self.unix_time = unix_time
        self.previous: BootRecord | None = None  # of the previous process; None at a first start
        self.current: BootRecord | None = None  # of this process; None until the store is open
        self.clock_check = ClockCheck.PLAUSIBLE
        self.epoch = 0  # last epoch in which the node took part

    def on_store_opened(self, read: StoreReader) -> None:
        """Load the record of the previous process and create that of this process.

        Raises:
            InvalidBootRecordError: The record of the previous process can't be used.
        """
        self.previous = load_previous(read(BOOT_RECORD_KEY), self.group)
        self.clock_check = check_clock(self.previous, self.unix_time())
        self.current = create_record(self.previous, self.unix_time(), self.group)
        self.epoch = self.current.epoch

    def to_entry(self, is_last: bool) -> tuple[bytes, bytes]:
        """Return the key and the encoded boot record to store with a heartbeat.

        Args:
            is_last: Whether this is the last heartbeat before a graceful shutdown.
        """
        assert self.current is not None
        record = msgspec.structs.replace(
            self.current, clean_shutdown=is_last, last_alive=self.unix_time(), epoch=self.epoch
        )
        return BOOT_RECORD_KEY, encode_boot_record(record)
