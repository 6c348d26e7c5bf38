"""Which word on each member holds; no I/O. Words form a half-lattice: heard in any order, any number of
times, all that heard the same words hold the same.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from crc32c import crc32c

from lichencleat.membership.terms import State, Word

MEMBERS_MOST = 1_024  # words on more are left out: a datagram must not be able to fill the memory


class Table:
    def __init__(self) -> None:
        self.words: dict[str, Word] = {}
        self.changed_at: dict[str, int] = {}  # µs: when a member's state changed here

    def hear(self, now: int, word: Word) -> bool:
        """Is it news?"""
        known = self.words.get(word.name)
        if known is not None and word.weight() <= known.weight():
            return False
        if known is None and (len(self.words) >= MEMBERS_MOST or word.state not in State._value2member_map_):
            return False
        if known is None or known.state != word.state:
            self.changed_at[word.name] = now
        self.words[word.name] = word
        return True

    def forget(self, now: int, span: int) -> list[str]:
        """Those that are gone for so long."""
        old = [
            name
            for name, word in self.words.items()
            if word.state >= State.GONE and now - self.changed_at[name] >= span
        ]
        for name in old:
            del self.words[name], self.changed_at[name]
        return old

    def here(self) -> Iterator[Word]:
        """Those that are there, suspects too."""
        return (each for each in self.words.values() if each.state <= State.SUSPECT)

    def digest(self) -> int:
        """The same for tables that hold the same (but once in 4 billion)."""
        rows = sorted((each.name, each.incarnation, each.state) for each in self.words.values())
        return crc32c(msgspec.msgpack.encode(rows)) or 1

    def count(self) -> int:
        return sum(1 for _ in self.here())
