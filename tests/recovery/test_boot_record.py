"""Boot record: previous process, validation, clock check."""

import msgspec
import pytest

from lichencleat.recovery.boot_record import (
    BootRecord,
    ClockCheck,
    InvalidBootRecordError,
    check_clock,
    create_record,
    encode_boot_record,
    load_previous,
)

SECOND = 1_000_000
HOUR = 3_600 * SECOND


def test_boot_record_carries_shutdown_and_count_to_the_next_start():
    first = create_record(None, 5, "g")
    assert (first.boot_count, first.clean_shutdown, first.epoch) == (1, False, 0)
    previous = load_previous(
        encode_boot_record(msgspec.structs.replace(first, clean_shutdown=True, epoch=4)), "g"
    )
    assert previous.clean_shutdown and create_record(previous, 9, "g") == BootRecord(1, 2, False, 9, "g", 4)
    assert load_previous(None, "g") is None


@pytest.mark.parametrize(
    ("stored", "message"),
    [
        (b"\xc1", "can't be read"),
        (encode_boot_record(BootRecord(9, 1, True, 0, "g", 0)), "format 9"),
        (encode_boot_record(BootRecord(1, 1, True, 0, "h", 0)), "the fleet 'h'"),
    ],
)
def test_load_previous_rejects_an_unusable_record(stored, message):
    with pytest.raises(InvalidBootRecordError, match=message):
        load_previous(stored, "g")


@pytest.mark.parametrize(
    ("offset", "expected"),
    [
        (0, ClockCheck.PLAUSIBLE),
        (HOUR, ClockCheck.PLAUSIBLE),
        (-SECOND // 2, ClockCheck.PLAUSIBLE),
        (-HOUR, ClockCheck.BEHIND),
        (-56 * 366 * 24 * HOUR, ClockCheck.BEHIND),
        (400 * 24 * HOUR, ClockCheck.AHEAD),
    ],
)
def test_check_clock_compares_with_the_last_record(offset, expected):
    last_alive = 100 * 366 * 24 * HOUR
    assert check_clock(BootRecord(1, 1, False, last_alive, "g", 0), last_alive + offset) is expected
    assert check_clock(None, offset) is ClockCheck.PLAUSIBLE
