"""A member's log on the project's store: saves made into batches, and read back at a start; no I/O of its
own.

Keys: `t` the term, the vote, the base and the last index; `s` the snapshot; `e` and eight bytes an entry. A
save is one batch, so a cut leaves the whole of it or nothing.

A snapshot too large for one value stands in pieces: `p`, eight bytes of its index, four of the piece. They
are written before, each a batch of its own, and `s` then only counts them: a cut between leaves the snapshot
before whole. `w` names the pieces that are being written, so that those a cut left are found and deleted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from lichencleat.consensus.terms import Durable, Entry, Group, Save, Snapshot
from lichencleat.store.batch import Batch
from lichencleat.store.errors import CorruptDataError, Finding

TOP, SNAPSHOT, ENTRY, PIECE, UNDER_WAY = b"t", b"s", b"e", b"p", b"w"
PIECE_MOST = 4 << 20  # bytes: what the store's writer holds at once, far under a value's 16 MiB
Pieces = tuple[int, int]  # index of the snapshot that they make, how many; (0, 0): none
NO_PIECES: Pieces = (0, 0)


class Head(msgspec.Struct, frozen=True, array_like=True):
    """What stands under `s`: a whole snapshot, or one in pieces. The first four are a `Snapshot`'s, so that
    a file from before pieces is read; a program from before them finds no data, and does not start.
    """

    index: int
    term: int
    group: Group
    data: bytes | None
    pieces: int = 0
    size: int = 0  # bytes of all pieces


encode = msgspec.msgpack.encode
decode_top = msgspec.msgpack.Decoder(tuple[int, int, int, int]).decode
decode_head = msgspec.msgpack.Decoder(Head).decode
decode_pieces = msgspec.msgpack.Decoder(Pieces).decode
decode_entry = msgspec.msgpack.Decoder(Entry).decode


def entry_key(index: int) -> bytes:
    return ENTRY + index.to_bytes(8, "big")


def piece_key(index: int, number: int) -> bytes:
    return PIECE + index.to_bytes(8, "big") + number.to_bytes(4, "big")


def keys_of(pieces: Pieces) -> Iterable[bytes]:
    return (piece_key(pieces[0], number) for number in range(pieces[1]))


class Journal:
    """Knows which entries and pieces the store holds: those that count no more are deleted with the next
    save.
    """

    def __init__(self, piece_most: int = PIECE_MOST) -> None:
        self.piece_most = piece_most
        self.base = self.last = 0  # entries held: from base + 1 to last
        self.counting = NO_PIECES  # the snapshot's that stands
        self.under_way = NO_PIECES  # written, or in part, and not counting yet

    def load(self, get: Callable[[bytes], bytes | None]) -> Durable:
        """Raises CorruptDataError where something that was confirmed is not there."""
        begun = get(UNDER_WAY)
        if begun is not None:
            self.under_way = decode_pieces(begun)
        top = get(TOP)
        if top is None:
            return Durable()
        term, vote, self.base, self.last = decode_top(top)
        snapshot = self.load_snapshot(get)
        entries = []
        for index in range(self.base + 1, self.last + 1):
            data = get(entry_key(index))
            if data is None:
                raise CorruptDataError([Finding("the log", index, "an entry that was confirmed is missing")])
            entries.append(decode_entry(data))
        return Durable(term, vote, snapshot, entries)

    def load_snapshot(self, get: Callable[[bytes], bytes | None]) -> Snapshot | None:
        found = get(SNAPSHOT)
        if found is None:
            return None
        head = decode_head(found)
        if head.data is not None:
            return Snapshot(head.index, head.term, head.group, head.data)
        self.counting = (head.index, head.pieces)
        pieces = [get(key) for key in keys_of(self.counting)]
        data = b"".join(each for each in pieces if each is not None)
        if None in pieces or len(data) != head.size:
            raise CorruptDataError([Finding("the snapshot", head.index, "a confirmed piece is missing")])
        return Snapshot(head.index, head.term, head.group, data)

    def pieces(self, save: Save) -> Iterator[Batch]:
        """What is to be confirmed, one after the other, before the save's own batch is made and written:
        pieces of its snapshot, where that is a large one.
        """
        snapshot = save.snapshot
        if snapshot is None or len(snapshot.data) <= self.piece_most:
            return
        made = (snapshot.index, -(-len(snapshot.data) // self.piece_most))
        first = self.forget(Batch(), self.under_way).put(UNDER_WAY, encode(made))
        self.under_way = made
        yield first
        for number, key in enumerate(keys_of(made)):
            at = number * self.piece_most
            yield Batch().put(key, snapshot.data[at : at + self.piece_most])

    @staticmethod
    def forget(batch: Batch, pieces: Pieces) -> Batch:
        for key in keys_of(pieces):
            batch.delete(key)
        return batch

    def settle(self, batch: Batch, snapshot: Snapshot | None) -> None:
        """The pieces under way count from this batch on, where they are the snapshot's; else they go."""
        under_way, self.under_way = self.under_way, NO_PIECES
        if under_way != NO_PIECES:
            batch.delete(UNDER_WAY)
        if snapshot is None or len(snapshot.data) <= self.piece_most:
            self.forget(batch, under_way)
            if snapshot is not None:
                self.forget(batch, self.counting)
                self.counting = NO_PIECES
                batch.put(SNAPSHOT, encode(snapshot))
            return
        assert under_way[0] == snapshot.index, "its pieces are to be written before"
        if self.counting != under_way:
            self.forget(batch, self.counting)
        self.counting = under_way
        size = len(snapshot.data)
        head = Head(snapshot.index, snapshot.term, snapshot.group, None, under_way[1], size)
        batch.put(SNAPSHOT, encode(head))

    def batch(self, save: Save) -> Batch:
        batch = Batch()
        self.settle(batch, save.snapshot)
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
