"""What the source, relays and subscribers tell one another, and the bounds of it all; no I/O.

All of it travels as the content of `ClientRequest` and `ClientResponse` (`transport/frames.py`): a subscriber
asks, the one above answers. A `follow` may be held back until there is news, `HOLD` at the most.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

PAGES = 4_096  # of a table: a page is rewritten by a change, sent in a snapshot, digested as a whole
DIGEST = 16  # bytes

KIND_MOST = 16  # characters of a record's kind: "route", "tenant"
NAME_MOST = 128  # bytes of a record's name, as UTF-8
VALUE_MOST = 4_096  # bytes of a record's value
BATCH_MOST = 512  # changes in a batch: what is staged beside the table while it is taken
BATCH_BYTES = 128 << 10  # of these, encoded: one answer holds any batch
RECORDS_MOST = 1_000_000  # in all: the target has 560,000
TABLE_BYTES = 128 << 20  # of all pages
FED_BYTES = 128 << 10  # bytes of batches or pages in one answer, unless one of them alone has more
WINDOW_BATCHES = 8_192  # kept for those behind: four hours of a day with 47,000 changes
WINDOW_BYTES = 16 << 20  # of these
ZONES_MOST = 64  # told apart in counts; what is over is counted under ""
RELAYS_MOST = 32  # addresses a subscriber may know
SUBSCRIBERS_MOST = 512  # of one relay: some 100 µs of each a second
VIEWS_MOST = 3  # snapshots of different versions that a relay keeps for those that fetch one

HOLD = 1_000_000  # µs that an answer may be held back where there is no news
# what a Request asks
FOLLOW, DIGESTS, PAGES_OF, IN_FORCE, FIND = "follow", "digests", "pages", "in force", "find"


class Change(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    name: str
    value: bytes | None  # None: the record goes


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Changes that hold whole or not at all. Each record is named at most once."""

    version: int  # index of the log's entry that made it; not dense
    past: int  # the version that it follows: taken on top of that one alone
    digest: bytes  # of the whole table after it
    changes: tuple[Change, ...]


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Nodes of one zone, added up on the way up: sums and extremes, no names but that of one relay."""

    zone: str
    nodes: int
    lowest: int  # version in force at the node that is furthest behind
    oldest: int  # µs: the highest age of any
    late: int  # nodes without a version that their relay has had for `LATE`
    by: str  # name of the relay at which the lowest hangs


LATE = 5_000_000  # µs


class Follow(msgspec.Struct, frozen=True, array_like=True):
    """What is newer than that? It also acknowledges: `version` is in force here, whole."""

    version: int  # 0: nothing
    digest: bytes
    counts: tuple[Count, ...]  # of all below this subscriber, itself included where it is a node
    hold: int = HOLD


class Say(IntEnum):
    NEWS = 1  # `batches` follow the subscriber's version, in order
    SAME = 2  # there is nothing newer here
    SNAPSHOT = 3  # too far behind for the window: ask for the digests
    BEHIND = 4  # the one that was asked has less than the subscriber
    OTHER = 5  # at that version its digest is another: one of the two is wrong


class Fed(msgspec.Struct, frozen=True, array_like=True):
    say: int
    version: int  # of the one that answers
    digest: bytes
    age: int  # µs since the source was known to have nothing newer than `version`
    batches: tuple[Batch, ...] = ()


class Digests(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot's head: which pages it is made of."""

    version: int
    digest: bytes
    pages: bytes  # DIGEST bytes of each page, in order: `digest` is made of their sum and the version
    age: int


class Wanted(msgspec.Struct, frozen=True, array_like=True):
    """Asks for pages of that version's snapshot."""

    version: int
    numbers: tuple[int, ...]


class Pages(msgspec.Struct, frozen=True, array_like=True):
    """As many of the pages asked for as fit, from the first on; none where that snapshot is kept no more."""

    version: int
    pages: tuple[tuple[int, bytes], ...]  # number, and its bytes by zlib


class Wanting(msgspec.Struct, frozen=True, array_like=True):
    """Asks for one record, as it was at a version (0: now)."""

    kind: str
    name: str
    at: int = 0


encode = msgspec.msgpack.encode
decode_follow = msgspec.msgpack.Decoder(Follow).decode
decode_fed = msgspec.msgpack.Decoder(Fed).decode
decode_digests = msgspec.msgpack.Decoder(Digests).decode
decode_wanted = msgspec.msgpack.Decoder(Wanted).decode
decode_pages = msgspec.msgpack.Decoder(Pages).decode
decode_wanting = msgspec.msgpack.Decoder(Wanting).decode
decode_batch = msgspec.msgpack.Decoder(Batch).decode
