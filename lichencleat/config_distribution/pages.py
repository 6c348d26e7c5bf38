"""A page: some hundred records in one bytes object. Records are found by bisection; no I/O.

Layout, all numbers little-endian: the number of records (4 bytes), the hash position of each record (4 bytes
each, ascending), the end offset of each record (4 bytes each), then the records. A record consists of the
length of the kind and the length of the name (1 byte each), kind, name and value. Records of the same
position are sorted by their bytes. So the same records make the same bytes, in whatever order they were
written. A page without records has no bytes.

A record's key is its encoded kind and name, with their lengths. The page number and the position of a record
are different bits of one hash of the key. Keys with the same hash are distinguished by their bytes, which are
always compared in full.
"""

from __future__ import annotations

import sys
import zlib
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from itertools import accumulate, pairwise

from xxhash import xxh3_64_intdigest, xxh3_128_intdigest

from lichencleat.config_distribution.errors import CorruptTableError
from lichencleat.config_distribution.terms import DIGEST_BYTES, PAGE_COUNT

# maximum size of a page, and limit of decompression, in bytes; four times the mean page size of a full table
MAX_PAGE_BYTES = 128 << 10
RECORD_HEADER_BYTES = 2  # bytes for the lengths of kind and name at the start of a record
PAGE_SHIFT = 64 - (PAGE_COUNT - 1).bit_length()  # the page number is the upper bits of the hash
POSITION_MASK = 0xFFFF_FFFF  # the position within the page is the lower bits
SUM_MASK = (1 << 8 * DIGEST_BYTES) - 1
ZLIB_LEVEL = 1  # zlib level: a fifth of the default level's time for a tenth more bytes

if sys.byteorder != "little":  # pages are read in place and have the same bytes on every machine
    raise ImportError("lichencleat.config_distribution needs a little-endian machine")

PageChange = tuple[int, bytes, bytes | None]
"""A change within a page: position, key and new value; None removes the record."""


def encode_key(kind: str, name: str) -> bytes:
    """The key of a record: encoded kind and name. Raises ValueError if kind or name can't be encoded."""
    kind_bytes, name_bytes = kind.encode(), name.encode()
    return bytes((len(kind_bytes), len(name_bytes))) + kind_bytes + name_bytes


def hash_key(key: bytes) -> int:
    """The 64-bit hash that determines the page and position of a key."""
    return xxh3_64_intdigest(key)


def locate_key(key: bytes) -> tuple[int, int]:
    """Page number and position of a key."""
    whole = hash_key(key)
    return whole >> PAGE_SHIFT, whole & POSITION_MASK


def page_digest(number: int, page: bytes) -> int:
    """The digest of a page's number and content."""
    return xxh3_128_intdigest(page, number)


# digests of the pages of an empty table
EMPTY_PAGE_DIGESTS = [page_digest(number, b"") for number in range(PAGE_COUNT)]


def table_digest(total: int, version: int) -> bytes:
    """The digest of a table. `total`: the sum of the page digests.

    The digest covers the version, so that a version number corrupted in transit is detected.
    """
    known = xxh3_128_intdigest(version.to_bytes(9, "little", signed=True), PAGE_COUNT) if version else 0
    return (total + known & SUM_MASK).to_bytes(DIGEST_BYTES, "little")


def find_value(page: bytes, position: int, key: bytes) -> bytes | None:
    """The value of the record with this position and key, or None if the page has no such record."""
    if not page:
        return None
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I")  # positions, then end offsets
    at = bisect_left(heads, position, 0, count)
    while at < count and heads[at] == position:
        begin = heads[count + at - 1] if at else 4 + 8 * count
        if page.startswith(key, begin):
            return page[begin + len(key) : heads[count + at]]
        at += 1
    return None


def record_count(page: bytes) -> int:
    """The number of records in a page."""
    return int.from_bytes(page[:4], "little")


def unpack_records(page: bytes) -> tuple[list[int], list[bytes]]:
    """The positions and the records of a page, in order."""
    if not page:
        return [], []
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I").tolist()
    ends = heads[count:]
    return heads[:count], [page[a:b] for a, b in pairwise([4 + 8 * count, *ends])]


def pack_records(positions: list[int], records: list[bytes]) -> bytes:
    """The page that consists of these records and their positions, both in the page's order."""
    if not records:
        return b""
    count = len(records)
    ends = array("I", accumulate(map(len, records), initial=4 + 8 * count))
    return b"".join((count.to_bytes(4, "little"), array("I", positions), ends[1:], *records))


def rewrite_page(page: bytes, puts: Iterable[PageChange]) -> tuple[bytes, list[bytes | None]]:
    """The page after the changes, and the value that each change replaced."""
    positions, records = unpack_records(page)
    before: list[bytes | None] = []
    for position, key, value in puts:
        at = bisect_left(positions, position)
        while at < len(positions) and positions[at] == position and records[at][: len(key)] < key:
            at += 1
        there = at < len(positions) and positions[at] == position and records[at].startswith(key)
        before.append(records[at][len(key) :] if there else None)
        if there and value is not None:
            records[at] = key + value
        elif there:
            del positions[at], records[at]
        elif value is not None:
            positions.insert(at, position)
            records.insert(at, key + value)
    return pack_records(positions, records), before


def iterate_records(page: bytes) -> Iterator[tuple[str, str, bytes]]:
    """Kind, name and value of each record of a page."""
    for record in unpack_records(page)[1]:
        middle = RECORD_HEADER_BYTES + record[0]
        end = middle + record[1]
        yield record[RECORD_HEADER_BYTES:middle].decode(), record[middle:end].decode(), record[end:]


def find_page_fault(number: int, page: bytes) -> str:
    """The reason why `page` is not a valid page with this number; "" if it is valid.

    The digest is not checked. Takes some 100 µs.
    """
    if not page:
        return ""
    if len(page) > MAX_PAGE_BYTES:
        return f"{len(page)} bytes, the maximum is {MAX_PAGE_BYTES}"
    count = record_count(page)
    base = 4 + 8 * count
    if count == 0 or base > len(page):
        return "its header is incomplete"
    heads = memoryview(page)[4:base].cast("I").tolist()
    begin, past = base, (-1, b"")
    for position, end in zip(heads[:count], heads[count:], strict=True):
        if not begin + RECORD_HEADER_BYTES < end <= len(page):
            return "a record's end offset is out of range"
        key = page[begin : begin + RECORD_HEADER_BYTES + page[begin] + page[begin + 1]]
        if begin + len(key) > end or not page[begin] or not page[begin + 1]:
            return "a record's name is incomplete"
        if locate_key(key) != (number, position):
            return "a record is on the wrong page or at the wrong position"
        if (position, key) <= past:
            return "records are out of order"
        try:
            key[RECORD_HEADER_BYTES : RECORD_HEADER_BYTES + key[0]].decode()
            key[RECORD_HEADER_BYTES + key[0] :].decode()
        except ValueError:
            return "a record's name is not UTF-8"
        begin, past = end, (position, key)
    return "" if begin == len(page) else "bytes after the last record"


def deflate_page(page: bytes) -> bytes:
    """A page compressed by zlib."""
    return zlib.compress(page, ZLIB_LEVEL)


def inflate_page(data: bytes) -> bytes:
    """Decompresses a page, to at most `MAX_PAGE_BYTES`.

    Raises CorruptTableError if the compressed data is invalid or the page is larger.
    """
    stream = zlib.decompressobj()
    try:
        page = stream.decompress(data, MAX_PAGE_BYTES + 1)
    except zlib.error as error:
        raise CorruptTableError(f"cannot inflate a page: {error}") from error
    if len(page) > MAX_PAGE_BYTES:
        raise CorruptTableError(f"a page has more than {MAX_PAGE_BYTES} bytes")
    if not stream.eof or stream.unused_data:
        raise CorruptTableError("the compressed data of a page is incomplete or has trailing bytes")
    return page
