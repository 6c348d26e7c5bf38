"""What is known of each key, and what follows: what a repeat is told, what is let go, when there is no room.

No I/O; times are µs of the node's own time, which runs on through its lives and stands still between them
(see `keeper.py`). So whatever the system's clock did meanwhile, no window ends too early. Harm: entries stay
longer by the time that the node was down.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from lichencleat.idempotency.records import Entry, State

READ_LATE = (
    10_000_000  # µs that an entry stays past its window, for tries that came before and are read after
)
HOT_MOST = 4 << 20  # bytes of results kept in memory; the others are read back
ENTRY_COST = 160  # bytes on disk beside a result: names, times, frames
SWEEP_MOST = 2_000  # entries let go at once, each second: some ms
LATE = 1_000_000  # µs past its due time by which the interpreter has told of a run, if it ever does
PACKED = struct.Struct(
    "<BQ16sI"
)  # state, until, body's mark, result's bytes: objects take four times as much


class Told(Enum):
    """What holds of an arriving try."""

    NEW = auto()  # nothing is known of its key, or no more
    OTHER = auto()  # the key came before with another body
    RESULT = auto()  # it repeats one that ran, and whose result is kept
    FAILED = auto()  # it repeats one that ran and came to nothing
    AWAITED = auto()  # it repeats one of a life before that may be running yet
    UNKNOWN = auto()  # it repeats one that may have run, and nobody will ever know


@dataclass(slots=True)
class Open:
    """An intent of a life before, whose run the interpreter may tell of yet."""

    key: bytes
    entry: Entry
    until: int  # no later


class Book:
    def __init__(self, entries_most: int, bytes_most: int, hot_most: int = HOT_MOST) -> None:
        self.entries_most, self.bytes_most, self.hot_most = entries_most, bytes_most, hot_most
        self.known: dict[bytes, bytes] = {}  # key's mark -> packed; about by age
        self.sizes = 0  # bytes on disk, about
        self.hot: OrderedDict[bytes, bytes] = OrderedDict()
        self.hot_bytes = 0
        self.open: dict[bytes, Open] = {}  # by the run's name at the interpreter
        self.stands = False  # all that the disk holds was read

    # -- what is known ---------------------------------------------------------------------------------

    def told(self, key: bytes, body: bytes, arrived: int) -> Told:
        """Of a try that came then, with that key and the mark of its tariff and body."""
        packed = self.known.get(key)
        if packed is None:
            return Told.NEW
        state, until, known, _ = PACKED.unpack(packed)
        if arrived > until:
            return Told.NEW
        if known != body:
            return Told.OTHER
        if state == State.DONE:
            return Told.RESULT
        if state == State.FAILED:
            return Told.FAILED
        return Told.AWAITED if any(each.key == key for each in self.open.values()) else Told.UNKNOWN

    def room(self) -> bool:
        """For one more entry; none in its window ever gives way to another."""
        return len(self.known) < self.entries_most and self.sizes + ENTRY_COST <= self.bytes_most

    def take(self, key: bytes, entry: Entry) -> None:
        """An entry that stands, or is being written."""
        self.drop(key)
        size = len(entry.result)
        self.known[key] = PACKED.pack(entry.state, entry.until, entry.body, size)
        self.sizes += ENTRY_COST + size
        if size:
            self.keep_hot(key, entry.result)

    def drop(self, key: bytes) -> None:
        packed = self.known.pop(key, None)
        if packed is not None:
            self.sizes -= ENTRY_COST + PACKED.unpack(packed)[3]
            self.hot_bytes -= len(self.hot.pop(key, b""))

    def keep_hot(self, key: bytes, result: bytes) -> None:
        """Guards the sum against a result read back twice at once, or whose entry has gone meanwhile."""
        if key in self.hot or key not in self.known:
            return
        self.hot[key] = result
        self.hot_bytes += len(result)
        while self.hot_bytes > self.hot_most:
            _, gone = self.hot.popitem(last=False)
            self.hot_bytes -= len(gone)

    def result(self, key: bytes) -> bytes | None:
        """The result where it is hot, else None: it has to be read. One that is empty is always here."""
        if key in self.hot:
            self.hot.move_to_end(key)
            return self.hot[key]
        return None if PACKED.unpack(self.known[key])[3] else b""

    def over(self, now: int) -> list[bytes]:
        """Keys past their window and what may be read late, from the oldest on; they are dropped here."""
        gone = []
        for key, packed in self.known.items():
            if PACKED.unpack(packed)[1] + READ_LATE >= now or len(gone) >= SWEEP_MOST:
                break
            gone.append(key)
        for key in gone:
            self.drop(key)
        return gone

    # -- after a restart -------------------------------------------------------------------------------

    def recover(self, key: bytes, entry: Entry, now: int) -> bool:
        """An entry of a life before, as it was read. Is it still of use?"""
        if entry.until + READ_LATE < now or key in self.known:
            return key in self.known  # what this life has written since is newer
        size = len(entry.result)  # the result itself is read when asked for
        self.known[key] = PACKED.pack(entry.state, entry.until, entry.body, size)
        self.sizes += ENTRY_COST + size
        if entry.state == State.OPEN and entry.due + LATE > now:
            self.open[entry.ident] = Open(key, entry, entry.due + LATE)
        return True

    def none_runs(self) -> None:
        """The interpreter began after those intents: nothing that it says can prove more."""
        self.open.clear()

    def out_of_time(self, now: int) -> list[bytes]:
        """Runs of a life before that nobody will tell of any more; their repeats need not wait."""
        late = [ident for ident, each in self.open.items() if each.until <= now]
        return [self.open.pop(ident).key for ident in late]

    def resolved(self, ident: bytes) -> Open | None:
        """The interpreter has told of that run."""
        return self.open.pop(ident, None)
