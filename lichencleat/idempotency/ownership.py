"""Ownership of the directory, checked before anything in it is trusted or written."""

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
    """Checks that the directory is this node's and was not copied; `directory_id` is its inode.

    A directory without the node's last window would let a request run a second time.

    Returns:
        The ownership record that is to be written, or None where it is there.

    Raises:
        ForeignDirectoryError: it is another node's, a copy, or of another format.
    """
    stored = store.engine.get(OWNERSHIP_KEY)
    if stored is None:
        if any(True for _ in store.scan(RECORD_PREFIX)):
            problem = "it holds entries and names no node; name another directory"
            raise ForeignDirectoryError(problem)
        return encode(Ownership(FORMAT_VERSION, node, directory_id))
    problem = _find_mismatch(decode_ownership(stored), node, directory_id)
    if problem:
        raise ForeignDirectoryError(problem)
    return None


def _find_mismatch(stored: Ownership, node: str, directory_id: int) -> str:
    """Returns what does not fit and what to do, or an empty text."""
    if stored.format != FORMAT_VERSION:
        return (
            f"it has format {stored.format}, and this program's is {FORMAT_VERSION}; "
            "run the program that wrote it"
        )
    if stored.node != node:
        return f"it belongs to the node {stored.node!r}, and this is {node!r}; name its own"
    if stored.directory_id != directory_id:
        return (
            "it was copied or moved: what the last window ran may be missing; "
            "where it is whole, 'lichencleat keyed adopt DIR' takes it on"
        )
    return ""
