"""Which words go along with a datagram: the least passed on first, each some times, within the datagram's
bytes; no I/O.
"""

from __future__ import annotations

import math

from lichencleat.membership.terms import Word

DATAGRAM_MOST = 1_200  # bytes: within the smallest path that carries IPv6, so never in pieces
WORD_EXTRA = 40  # bytes of a word besides its names, at the most


def size_of(word: Word) -> int:
    return (
        WORD_EXTRA
        + len(word.name.encode())
        + len(word.host)
        + len(word.zone.encode())
        + len(word.role.encode())
    )


def times(count: int, factor: int) -> int:
    """How often a word is passed on in a group of so many: all have heard it then but for a tiny share."""
    return factor * math.ceil(math.log2(count + 2))


class Rumors:
    """At most one word a member: a newer one takes the place of the older."""

    def __init__(self) -> None:
        self.waiting: dict[str, tuple[int, Word]] = {}  # how often it was passed on

    def add(self, word: Word) -> None:
        self.waiting[word.name] = 0, word

    def take(self, most: int, limit: int, first: str = "") -> tuple[Word, ...]:
        """Words of up to `most` bytes, those passed on least before others; `first`: the word on that member,
        if there is one.
        """
        chosen: list[Word] = []
        ordered = sorted(self.waiting.items(), key=lambda each: (each[0] != first, each[1][0]))
        for name, (passed, word) in ordered:
            most -= size_of(word)
            if most < 0:
                break
            chosen.append(word)
            if passed + 1 >= limit:
                del self.waiting[name]
            else:
                self.waiting[name] = passed + 1, word
        return tuple(chosen)
