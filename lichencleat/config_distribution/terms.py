"""Messages among the source, relays and subscribers, and their bounds; no I/O.

The messages are sent as the content of `ClientRequest` and `ClientResponse` (`transport/frames.py`): a
subscriber sends a request, and the relay or voter that it follows answers. The answer to a `follow` request
may be held until there is a newer version, for at most `MAX_HOLD_US`.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

PAGE_COUNT = 4_096  # pages of a table: a change rewrites one page, a snapshot sends whole pages
DIGEST_BYTES = 16  # size of a digest in bytes

MAX_KIND_CHARS = 16  # maximum length of a record's kind ("route", "tenant"), in characters
MAX_NAME_BYTES = 128  # maximum size of a record's name in UTF-8, in bytes
MAX_VALUE_BYTES = 4_096  # maximum size of a record's value, in bytes
MAX_BATCH_CHANGES = 512  # maximum of changes in a batch; bounds the memory for staged pages
MAX_BATCH_BYTES = 128 << 10  # maximum size of a batch's encoded changes, so that any batch fits one answer
MAX_RECORDS = 1_000_000  # maximum of records in a table; the target is 560,000
MAX_TABLE_BYTES = 128 << 20  # maximum size of a table's pages, in bytes
MAX_ANSWER_BYTES = 128 << 10  # bytes of batches or pages in an answer; a single larger one is sent alone
MAX_WINDOW_BATCHES = 8_192  # recent batches kept for subscribers that lag: four hours at 47,000 a day
MAX_WINDOW_BYTES = 16 << 20  # maximum size of the recent batches kept, in bytes
MAX_ZONES = 64  # maximum of zones with a separate count; further zones are counted under ""
MAX_RELAYS = 32  # maximum of relay addresses in a subscriber's settings
MAX_SUBSCRIBERS = 512  # maximum per relay; a subscriber costs the relay some 100 µs a second
MAX_VIEWS = 3  # maximum of versions whose snapshots a relay keeps at the same time

MAX_HOLD_US = 1_000_000  # µs that an answer may be held while there is no news
# operations of a `ClientRequest`
FOLLOW, DIGESTS, PAGES_OF, IN_FORCE, FIND = "follow", "digests", "pages", "in force", "find"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Sets or removes a record, which is identified by kind and name."""

    kind: str
    name: str
    value: bytes | None  # None: the record is removed


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Changes that are applied as a whole or not at all. Each record is named at most once."""

    version: int  # index of the log entry that made the batch; versions have gaps
    previous: int  # the batch is applied only to a table at this version
    digest: bytes  # digest of the whole table after the batch
    changes: tuple[Change, ...]


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Version counts of the nodes of one zone, added up along the relay tree."""

    zone: str
    nodes: int  # number of nodes
    lowest_version: int  # lowest version applied by any of the nodes
    max_age: int  # µs: highest age of the configuration at any of the nodes
    late_nodes: int  # number of nodes that lack a version that their relay has had for `LATE_AFTER_US`
    lowest_relay: str  # name of the relay that serves the node with the lowest version


LATE_AFTER_US = 5_000_000  # µs until a node that lacks its relay's version counts as late


class FollowRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for batches after `version`, and acknowledges that the subscriber has applied `version`."""

    version: int  # 0: the subscriber's table is empty
    digest: bytes  # digest of the subscriber's table
    # version counts of all nodes below the subscriber in the relay tree; a node includes itself
    counts: tuple[Count, ...]
    hold: int = MAX_HOLD_US  # µs that the answer may be held while there is no news


class FollowOutcome(IntEnum):
    """The outcome of a `FollowRequest`."""

    NEWS = 1  # `batches` follow the subscriber's version, in order
    SAME = 2  # the answering process has nothing newer
    SNAPSHOT = 3  # the batches after the subscriber's version are not kept: a snapshot has to be fetched
    BEHIND = 4  # the answering process has a lower version than the subscriber
    OTHER = 5  # another digest or history at the subscriber's version: one side has wrong data


class FollowAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a `FollowRequest`."""

    outcome: int  # a `FollowOutcome`
    version: int  # version of the answering process
    digest: bytes  # table digest of the answering process
    age: int  # µs since the source was known to have nothing newer than `version`
    batches: tuple[Batch, ...] = ()


class SnapshotHead(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot's head: version, digest and the digest of each page."""

    version: int
    digest: bytes  # table digest: covers the sum of the page digests, and the version
    pages: bytes  # the digests of all pages in order, DIGEST_BYTES each
    age: int  # µs since the source was known to have nothing newer than `version`


class PagesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests pages of the snapshot of a version."""

    version: int
    numbers: tuple[int, ...]  # page numbers


class PagesAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first requested pages, as many as fit; no pages if the version's snapshot is no longer kept."""

    version: int
    pages: tuple[tuple[int, bytes], ...]  # page number, and the page's bytes compressed by zlib


class RecordRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the value of a record at a version (0: the version in force)."""

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
