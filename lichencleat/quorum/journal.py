"""A member's log on the project's store: saves made into batches, and read back at a start; no I/O of its
own.

Keys: `t` the term, the vote, the base and the last index; `s` the snapshot; `e` and eight bytes an entry. A
save is one batch, so a cut leaves the whole of it or nothing.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lichencleat.quorum.terms import Durable, Entry, Save, Snapshot
from lichencleat.store.batch import Batch
from lichencleat.store.errors import DamagedError, Finding

TOP, SNAPSHOT, ENTRY = b"t", b"s", b"e"
encode = msgspec.msgpack.encode
decode_top = msgspec.msgpack.Decoder(tuple[int, int, int, int]).decode
decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode
decode_entry = msgspec.msgpack.Decoder(Entry).decode


def entry_key(index: int) -> bytes:
    return ENTRY + index.to_bytes(8, "big")


class Journal:
    """Knows which entries the store holds: those that count no more are deleted with the next save."""

    def __init__(self) -> None:
        self.base = self.last = 0  # entries held: from base + 1 to last

    def load(self, get: Callable[[bytes], bytes | None]) -> Durable:
        """Raises DamagedError where something that was confirmed is not there."""
        top = get(TOP)
        if top is None:
            return Durable()
        term, vote, self.base, self.last = decode_top(top)
        snapshot = get(SNAPSHOT)
        entries = []
        for index in range(self.base + 1, self.last + 1):
            data = get(entry_key(index))
            if data is None:
                raise DamagedError([Finding("the log", index, "an entry that was confirmed is missing")])
            entries.append(decode_entry(data))
        return Durable(term, vote, decode_snapshot(snapshot) if snapshot is not None else None, entries)

    def batch(self, save: Save) -> Batch:
        batch = Batch()
        if save.snapshot is not None:
            batch.put(SNAPSHOT, encode(save.snapshot))
        after = save.first + len(save.entries)
        for index in range(self.base + 1, min(self.last, save.base) + 1):
            batch.delete(entry_key(index))  # the snapshot stands for it
        for index in range(max(save.last, save.base) + 1, self.last + 1):
            if index >= after:
                batch.delete(entry_key(index))  # another leader's log ends before it
        for index, entry in enumerate(save.entries, save.first):
            batch.put(entry_key(index), encode(entry))
        batch.put(TOP, encode((save.term, save.vote, save.base, save.last)))
        self.base, self.last = save.base, save.last
        return batch

    def found(self, snapshot: Snapshot) -> Batch:
        """The first member of a new group: its log begins with who belongs to it."""
        batch = Batch().put(SNAPSHOT, encode(snapshot))
        return batch.put(TOP, encode((0, 0, snapshot.index, snapshot.index)))
