"""A page: some hundred records in one bytes object, found by bisection; no I/O.

Layout, all numbers little-endian: number of records (4 bytes), the hash position of each (4 bytes,
ascending), the end offset of each (4 bytes), the records. A record is: length of the kind and of the name (1
byte each), kind, name, value. Records of the same position are sorted by their bytes. So the same records
make the same bytes, in whatever order they were written. A page without records has no bytes.

Page number and position are different bits of one hash of kind and name. Names with the same hash are
distinguished by their bytes, which are always compared in full.
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

# bytes of a page, and of what is inflated at once; four times the mean of a full table
MAX_PAGE_BYTES = 128 << 10
RECORD_HEADER_BYTES = 2  # bytes of the two lengths
PAGE_SHIFT = 64 - (PAGE_COUNT - 1).bit_length()  # the page number is the upper bits of the hash
POSITION_MASK = 0xFFFF_FFFF  # the position within the page is the lower bits
SUM_MASK = (1 << 8 * DIGEST_BYTES) - 1
ZLIB_LEVEL = 1  # zlib level: a fifth of the default level's time for a tenth more bytes

if sys.byteorder != "little":  # pages are read in place and have the same bytes on every machine
    raise ImportError("lichencleat.config_distribution needs a little-endian machine")

PageChange = tuple[int, bytes, bytes | None]
"""A change within a page: position, key, and the value or None."""


def encode_key(kind: str, name: str) -> bytes:
    """The encoded kind and name that a record starts with. Raises ValueError if they can't be encoded."""
    kind_bytes, name_bytes = kind.encode(), name.encode()
    return bytes((len(kind_bytes), len(name_bytes))) + kind_bytes + name_bytes


def hash_key(key: bytes) -> int:
    """The hash that gives a key its page and position."""
    return xxh3_64_intdigest(key)


def locate_key(key: bytes) -> tuple[int, int]:
    """Page number and position of a key."""
    whole = hash_key(key)
    return whole >> PAGE_SHIFT, whole & POSITION_MASK


def page_digest(number: int, page: bytes) -> int:
    """The digest of a page; it covers the page number."""
    return xxh3_128_intdigest(page, number)


# digests of the pages of an empty table
EMPTY_PAGE_DIGESTS = [page_digest(number, b"") for number in range(PAGE_COUNT)]


def table_digest(total: int, version: int) -> bytes:
    """The digest of a table; `total` is the sum of its pages' digests.

    It covers the version, so that a version number corrupted on its way is detected.
    """
    known = xxh3_128_intdigest(version.to_bytes(9, "little", signed=True), PAGE_COUNT) if version else 0
    return (total + known & SUM_MASK).to_bytes(DIGEST_BYTES, "little")


def find_value(page: bytes, position: int, key: bytes) -> bytes | None:
    """The value of the key's record, or None."""
    if not page:
        return None
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I")  # places, then ends
    at = bisect_left(heads, position, 0, count)
    while at < count and heads[at] == position:
        begin = heads[count + at - 1] if at else 4 + 8 * count
        if page.startswith(key, begin):
            return page[begin + len(key) : heads[count + at]]
        at += 1
    return None


def record_count(page: bytes) -> int:
    """How many records the page has."""
    return int.from_bytes(page[:4], "little")


def unpack_records(page: bytes) -> tuple[list[int], list[bytes]]:
    """Positions and records, in order."""
    if not page:
        return [], []
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I").tolist()
    ends = heads[count:]
    return heads[:count], [page[a:b] for a, b in pairwise([4 + 8 * count, *ends])]


def pack_records(positions: list[int], records: list[bytes]) -> bytes:
    """The page of these positions and records, which are in order."""
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
    """Kind, name and value of each record."""
    for record in unpack_records(page)[1]:
        middle = RECORD_HEADER_BYTES + record[0]
        end = middle + record[1]
        yield record[RECORD_HEADER_BYTES:middle].decode(), record[middle:end].decode(), record[end:]


def find_page_fault(number: int, page: bytes) -> str:
    """Why the bytes can't be that page, whatever their digest is; "" if they can. Some 100 µs."""
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
    """The page by zlib."""
    return zlib.compress(page, ZLIB_LEVEL)


def inflate_page(data: bytes) -> bytes:
    """The page of its zlib bytes.

    Raises CorruptTableError if it is invalid or above the bound, which limits inflation.
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
