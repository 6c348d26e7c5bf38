"""Whose directory it is: found before anything in it is trusted, or written."""

from __future__ import annotations

from lichencleat.idempotency.records import ENTRY, FORMAT, WHOSE, Whose, decode_whose, encode
from lichencleat.store.store import Store


class NotOursError(Exception):
    """The directory is somebody else's, or a copy: what, where, what to do, in one line."""


def check_whose(store: Store, node: str, place: int) -> bytes | None:
    """What is to be written of it, None where that stands. `place`: the directory's number on its disk.

    Guards the rule on effects against a directory that does not tell of this node's last window. Raises
    NotOursError.
    """
    said = store.engine.get(WHOSE)
    if said is None:
        if any(True for _ in store.scan(ENTRY)):
            raise NotOursError("it holds entries and names no node; name another directory")
        return encode(Whose(FORMAT, node, place))
    whose = decode_whose(said)
    if whose.format != FORMAT:
        raise NotOursError(
            f"it has format {whose.format}, and this program's is {FORMAT}; run the program that wrote it"
        )
    if whose.node != node:
        raise NotOursError(f"it belongs to the node {whose.node!r}, and this is {node!r}; name its own")
    if whose.place != place:
        raise NotOursError(
            "it was copied or moved: what the last window ran may be missing; "
            "where it is whole, 'lichencleat keyed adopt DIR' takes it on"
        )
    return None
