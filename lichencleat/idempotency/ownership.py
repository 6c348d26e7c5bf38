"""Checks that a directory belongs to the node, before records are read from or written to the directory."""

from __future__ import annotations

from lichencleat.idempotency.errors import ForeignDirectoryError
from lichencleat.idempotency.records import (
    FORMAT_VERSION,
    OWNERSHIP_KEY,
    RECORD_PREFIX,
    Ownership,
    decode_ownership,
    encode,
)
from lichencleat.store.store import Store


def check_ownership(store: Store, node: str, directory_id: int) -> bytes | None:
    """Checks that the store's directory belongs to this node and is no copy.

    Prevents a second run of a request: another directory lacks the records of the node's last window.

    Args:
        store: The open store.
        node: Name of this node.
        directory_id: Inode of the store's directory.

    Returns:
        The ownership record to write, or None if the record is stored already.

    Raises:
        ForeignDirectoryError: The directory belongs to another node, is a copy or has another format.
    """
    stored = store.engine.get(OWNERSHIP_KEY)
    if stored is None:
        if any(True for _ in store.scan(RECORD_PREFIX)):
            problem = "the directory holds records but no owner; use another directory"
            raise ForeignDirectoryError(problem)
        return encode(Ownership(FORMAT_VERSION, node, directory_id))
    problem = _find_mismatch(decode_ownership(stored), node, directory_id)
    if problem:
        raise ForeignDirectoryError(problem)
    return None


def _find_mismatch(stored: Ownership, node: str, directory_id: int) -> str:
    """Returns the mismatch and its remedy, or an empty string."""
    if stored.format != FORMAT_VERSION:
        return (
            f"the records have format {stored.format}, this program reads format {FORMAT_VERSION}; "
            "use the version that wrote them"
        )
    if stored.node != node:
        return f"the directory belongs to the node {stored.node!r}, not to {node!r}; use this node's own"
    if stored.directory_id != directory_id:
        return (
            "the directory was copied or moved, and records of the last window may be missing; "
            "if it is complete, accept it by 'lichencleat keyed adopt DIR'"
        )
    return ""
