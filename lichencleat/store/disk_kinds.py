"""The kinds of disk that a settings file can name, and the function that opens each kind.

The program itself has the kind `real` only. The test kit registers other kinds, such as a disk with a
volatile write cache, in the processes that it starts.
"""

from __future__ import annotations

from collections.abc import Callable

from lichencleat.store.disk import Disk, RealDisk
from lichencleat.store.errors import StoreError

DiskFactory = Callable[[str], Disk]  # opens the directory of that path; creates a missing directory


class UnknownDiskKindError(StoreError):
    """The named kind of disk is not available in this process.

    Attributes:
        kind: The name given in the settings.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(f"disk: {kind!r} is only available in the test kit's programs; set it to 'real'")
        self.kind = kind


def _open_real_disk(directory: str) -> Disk:
    return RealDisk(directory, create=True)


_factories: dict[str, DiskFactory] = {"real": _open_real_disk}


def register_disk_kind(kind: str, factory: DiskFactory) -> None:
    """Make a kind of disk available in this process; a kind with the same name is replaced."""
    _factories[kind] = factory


def open_disk(kind: str, directory: str) -> Disk:
    """Open a directory as the named kind of disk.

    Raises:
        UnknownDiskKindError: If the kind is not registered.
        OSError: If the directory can't be opened or created.
    """
    factory = _factories.get(kind)
    if factory is None:
        raise UnknownDiskKindError(kind)
    return factory(directory)
