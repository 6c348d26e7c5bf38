"""Messages among the source, relays and subscribers, and their bounds; no I/O.

They travel as the content of `ClientRequest` and `ClientResponse` (`transport/frames.py`): a subscriber asks
and the process above it answers. The answer to a `follow` may be held until there is news, for at most
`MAX_HOLD_US`.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

PAGE_COUNT = 4_096  # pages of a table: a change rewrites one, a snapshot sends and digests whole pages
DIGEST_BYTES = 16  # bytes

MAX_KIND_CHARS = 16  # characters of a record's kind: "route", "tenant"
MAX_NAME_BYTES = 128  # bytes of a record's name, as UTF-8
MAX_VALUE_BYTES = 4_096  # bytes of a record's value
MAX_BATCH_CHANGES = 512  # changes in a batch; bounds what is staged beside the table
MAX_BATCH_BYTES = 128 << 10  # bytes of a batch's changes, encoded: any batch fits one answer
MAX_RECORDS = 1_000_000  # records of a table; the target has 560,000
MAX_TABLE_BYTES = 128 << 20  # bytes of a table's pages
MAX_ANSWER_BYTES = 128 << 10  # bytes of batches or pages in one answer, unless a single one is larger
MAX_WINDOW_BATCHES = 8_192  # batches kept for subscribers that lag: four hours of a day with 47,000 changes
MAX_WINDOW_BYTES = 16 << 20  # bytes of the batches kept
MAX_ZONES = 64  # zones with a count of their own; further ones are counted under ""
MAX_RELAYS = 32  # addresses that a subscriber may be given
MAX_SUBSCRIBERS = 512  # of one relay; each costs it some 100 µs a second
MAX_VIEWS = 3  # versions of which a relay keeps a snapshot for subscribers that fetch one

MAX_HOLD_US = 1_000_000  # µs that an answer may be held while there is no news
# operations of a `ClientRequest`
FOLLOW, DIGESTS, PAGES_OF, IN_FORCE, FIND = "follow", "digests", "pages", "in force", "find"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Sets or removes one record."""

    kind: str
    name: str
    value: bytes | None  # None: the record is removed


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Changes that are applied as a whole or not at all. Each record is named at most once."""

    version: int  # index of the log entry that made it; not dense
    previous: int  # the version that it follows; applied on top of that one alone
    digest: bytes  # of the whole table after the batch
    changes: tuple[Change, ...]


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one zone's nodes, added up along the tree: sums and extremes, and the name of one relay."""

    zone: str
    nodes: int
    lowest_version: int  # lowest version applied by any of the nodes
    max_age: int  # µs: highest age of any of the nodes
    late_nodes: int  # nodes without a version that their relay has had for `LATE_AFTER_US`
    lowest_relay: str  # name of the relay that serves the node with the lowest version


LATE_AFTER_US = 5_000_000  # µs until a node that lacks its relay's version counts as late


class FollowRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what is newer than `version`, and acknowledges that `version` is applied."""

    version: int  # 0: the subscriber's table is empty
    digest: bytes
    counts: tuple[Count, ...]  # of all nodes below this subscriber, itself included if it is a node
    hold: int = MAX_HOLD_US  # µs that the answer may be held while there is no news


class FollowOutcome(IntEnum):
    """The outcome of a `FollowRequest`."""

    NEWS = 1  # `batches` follow the subscriber's version, in order
    SAME = 2  # the answering process has nothing newer
    SNAPSHOT = 3  # the subscriber is too far behind for the window: it has to request the digests
    BEHIND = 4  # the answering process has less than the subscriber
    OTHER = 5  # the digests differ at the subscriber's version: one of the two has corrupt data


class FollowAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a `FollowRequest`."""

    outcome: int  # a `Say`
    version: int  # of the answering process
    digest: bytes
    age: int  # µs since the source was known to have nothing newer than `version`
    batches: tuple[Batch, ...] = ()


class SnapshotHead(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot's head: version, digest and the digest of each page."""

    version: int
    digest: bytes
    pages: bytes  # DIGEST_BYTES bytes of each page, in order; `digest` covers their sum and the version
    age: int


class PagesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests pages of that version's snapshot."""

    version: int
    numbers: tuple[int, ...]


class PagesAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first of the requested pages that fit; none if that snapshot is no longer kept."""

    version: int
    pages: tuple[tuple[int, bytes], ...]  # each page's number, and its bytes by zlib


class RecordRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests one record as it was at a version (0: now)."""

    kind: str
    name: str
    version: int = 0


encode = msgspec.msgpack.encode
decode_follow_request = msgspec.msgpack.Decoder(FollowRequest).decode
decode_follow_answer = msgspec.msgpack.Decoder(FollowAnswer).decode
decode_snapshot_head = msgspec.msgpack.Decoder(SnapshotHead).decode
decode_pages_request = msgspec.msgpack.Decoder(PagesRequest).decode
decode_pages_answer = msgspec.msgpack.Decoder(PagesAnswer).decode
decode_record_request = msgspec.msgpack.Decoder(RecordRequest).decode
decode_batch = msgspec.msgpack.Decoder(Batch).decode
