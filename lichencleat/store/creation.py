"""Creation of a store in an empty directory."""

from __future__ import annotations

from collections.abc import Sequence

from lichencleat.store import file_names, framing
from lichencleat.store.errors import DirectoryNotEmptyError, MissingMarkerError
from lichencleat.store.log import Log


def check_empty(names: Sequence[str], directory: str) -> None:
    """Check that the directory has no files except those of an interrupted creation, which may be removed.

    Raises:
        DirectoryNotEmptyError: If there are files of another program.
        MissingMarkerError: If there are segments of a store whose marker file is missing.
    """
    others = [
        each for each in names if each not in file_names.NON_SEGMENT_FILES and not file_names.is_segment(each)
    ]
    if others:
        raise DirectoryNotEmptyError(directory, others[0])
    first = file_names.SEGMENT.format(1)
    if any(file_names.is_segment(each) and each != first for each in names):
        raise MissingMarkerError(directory, file_names.STORE_MARKER)


def create_store(log: Log, names: Sequence[str]) -> None:
    """Create a new store with an empty log, after removing the files in `names`. Raises OSError.

    The marker file is written last: after a power cut without a marker file, the store is created again.
    """
    disk = log.disk
    for name in names:
        disk.remove(name)
    log.store = log.rng.randbytes(framing.SALT_BYTES)
    log.begin()
    file = disk.open(file_names.NEW_STORE_MARKER, create=True)
    try:
        disk.append(file, framing.encode_file_header(framing.STORE_MAGIC, log.store))
        disk.flush(file)
    finally:
        disk.close(file)
    disk.rename(file_names.NEW_STORE_MARKER, file_names.STORE_MARKER)
    disk.flush_directory()
    log.close_segments()
