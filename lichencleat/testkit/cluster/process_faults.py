"""Faults that a process of the test kit installs in itself: a clock that drifts and a volatile write cache.

The environment variable that `clock.py` defines names the file that controls the clocks. Without the variable
the clocks are correct.
"""

from __future__ import annotations

import os

from lichencleat.reactor import install_clock
from lichencleat.store.disk import Disk
from lichencleat.store.disk_kinds import register_disk_kind
from lichencleat.testkit.cluster.clock import CLOCK_FILE_VARIABLE, ControlledClock

VOLATILE_DISK_KIND = "held back"  # name of the disk in the settings


def open_volatile_disk(directory: str) -> Disk:
    """Open a directory whose unflushed bytes a kill loses."""
    from lichencleat.testkit.cluster.heldback import VolatileDisk  # few of the processes use this disk

    return VolatileDisk(directory, create=True)


def install_faults() -> None:
    """Make both faults available in this process; call it before the reactor is made."""
    register_disk_kind(VOLATILE_DISK_KIND, open_volatile_disk)
    clock_file = os.environ.get(CLOCK_FILE_VARIABLE)
    if clock_file:
        install_clock(ControlledClock(clock_file))
