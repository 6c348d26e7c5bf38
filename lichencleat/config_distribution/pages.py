"""A page: some hundred records in one object of bytes, found by bisection; no I/O.

The layout, all numbers little-endian: how many records there are (4 bytes), the place of each (4 bytes, in
order), where each ends (4 bytes), the records: length of the kind and of the name (1 byte each), kind, name,
value. Records of the same place stand in the order of their bytes. So the same records make the same bytes,
whatever came before them. A page without records has no bytes.

Place and page come from different bits of one hash of kind and name. Two names of the same hash are told
apart by their bytes, which are always compared whole.
"""

from __future__ import annotations

import sys
import zlib
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from itertools import accumulate, pairwise

from xxhash import xxh3_64_intdigest, xxh3_128_intdigest

from lichencleat.config_distribution.errors import SpoiltError
from lichencleat.config_distribution.terms import DIGEST, PAGES

PAGE_MOST = 128 << 10  # bytes of a page: four times the mean of a full table; what is inflated at once
RECORD_HEAD = 2  # bytes: the two lengths
PAGE_SHIFT = 64 - (PAGES - 1).bit_length()  # the hash's upper bits name the page
PLACE_MASK = 0xFFFF_FFFF  # its lower ones the place within
SUM_MASK = (1 << 8 * DIGEST) - 1
LEVEL = 1  # of zlib: a fifth of the time of the usual level, for a tenth more bytes

if sys.byteorder != "little":  # pages are read in place, and their bytes are the same everywhere
    raise ImportError("lichencleat.config_distribution needs a little-endian machine")

Put = tuple[int, bytes, bytes | None]
"""A change within a page: place, key, the value or None."""


def key_of(kind: str, name: str) -> bytes:
    """What a record begins with, and is known by. Raises ValueError where kind or name can't be one's."""
    kind_bytes, name_bytes = kind.encode(), name.encode()
    return bytes((len(kind_bytes), len(name_bytes))) + kind_bytes + name_bytes


def hash_of(key: bytes) -> int:
    return xxh3_64_intdigest(key)


def place_of(key: bytes) -> tuple[int, int]:
    """Its page's number, and its place in it."""
    whole = hash_of(key)
    return whole >> PAGE_SHIFT, whole & PLACE_MASK


def digest_of(number: int, page: bytes) -> int:
    return xxh3_128_intdigest(page, number)


EMPTY = [digest_of(number, b"") for number in range(PAGES)]  # of a table without records


def digest_bytes(total: int, version: int) -> bytes:
    """Of a table: `total` is the sum of its pages' digests. The version counts, so that none is taken for
    another's, also where a number was spoilt on its way.
    """
    known = xxh3_128_intdigest(version.to_bytes(9, "little", signed=True), PAGES) if version else 0
    return (total + known & SUM_MASK).to_bytes(DIGEST, "little")


def find(page: bytes, place: int, key: bytes) -> bytes | None:
    if not page:
        return None
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I")  # places, then ends
    at = bisect_left(heads, place, 0, count)
    while at < count and heads[at] == place:
        begin = heads[count + at - 1] if at else 4 + 8 * count
        if page.startswith(key, begin):
            return page[begin + len(key) : heads[count + at]]
        at += 1
    return None


def count_of(page: bytes) -> int:
    return int.from_bytes(page[:4], "little")


def unpacked(page: bytes) -> tuple[list[int], list[bytes]]:
    """Places and records, in order."""
    if not page:
        return [], []
    count = int.from_bytes(page[:4], "little")
    heads = memoryview(page)[4 : 4 + 8 * count].cast("I").tolist()
    ends = heads[count:]
    return heads[:count], [page[a:b] for a, b in pairwise([4 + 8 * count, *ends])]


def packed(places: list[int], records: list[bytes]) -> bytes:
    if not records:
        return b""
    count = len(records)
    ends = array("I", accumulate(map(len, records), initial=4 + 8 * count))
    return b"".join((count.to_bytes(4, "little"), array("I", places), ends[1:], *records))


def rewritten(page: bytes, puts: Iterable[Put]) -> tuple[bytes, list[bytes | None]]:
    """The page after these changes, and the value that each found."""
    places, records = unpacked(page)
    before: list[bytes | None] = []
    for place, key, value in puts:
        at = bisect_left(places, place)
        while at < len(places) and places[at] == place and records[at][: len(key)] < key:
            at += 1
        there = at < len(places) and places[at] == place and records[at].startswith(key)
        before.append(records[at][len(key) :] if there else None)
        if there and value is not None:
            records[at] = key + value
        elif there:
            del places[at], records[at]
        elif value is not None:
            places.insert(at, place)
            records.insert(at, key + value)
    return packed(places, records), before


def entries(page: bytes) -> Iterator[tuple[str, str, bytes]]:
    """Kind, name and value of each record."""
    for record in unpacked(page)[1]:
        middle = RECORD_HEAD + record[0]
        end = middle + record[1]
        yield record[RECORD_HEAD:middle].decode(), record[middle:end].decode(), record[end:]


def fault(number: int, page: bytes) -> str:
    """Why these bytes can't be that page, whatever their digest says; "" where they can. Some 100 µs."""
    if not page:
        return ""
    if len(page) > PAGE_MOST:
        return f"{len(page)} bytes, {PAGE_MOST} at the most"
    count = count_of(page)
    base = 4 + 8 * count
    if count == 0 or base > len(page):
        return "its head is cut off"
    heads = memoryview(page)[4:base].cast("I").tolist()
    begin, past = base, (-1, b"")
    for place, end in zip(heads[:count], heads[count:], strict=True):
        if not begin + RECORD_HEAD < end <= len(page):
            return "a record's end is out of place"
        key = page[begin : begin + RECORD_HEAD + page[begin] + page[begin + 1]]
        if begin + len(key) > end or not page[begin] or not page[begin + 1]:
            return "a record's name is cut off"
        if place_of(key) != (number, place):
            return "a record is on the wrong page or place"
        if (place, key) <= past:
            return "records are out of order"
        try:
            key[RECORD_HEAD : RECORD_HEAD + key[0]].decode()
            key[RECORD_HEAD + key[0] :].decode()
        except ValueError:
            return "a record's name is no UTF-8"
        begin, past = end, (place, key)
    return "" if begin == len(page) else "bytes behind the last record"


def deflated(page: bytes) -> bytes:
    return zlib.compress(page, LEVEL)


def inflated(data: bytes) -> bytes:
    """Raises SpoiltError where it is no page's, or more than one can have: no more than that is inflated."""
    stream = zlib.decompressobj()
    try:
        page = stream.decompress(data, PAGE_MOST + 1)
    except zlib.error as wrong:
        raise SpoiltError(f"a page can't be inflated: {wrong}") from wrong
    if len(page) > PAGE_MOST:
        raise SpoiltError(f"a page has over {PAGE_MOST} bytes")
    if not stream.eof or stream.unused_data:
        raise SpoiltError("a page's bytes end too early or too late")
    return page
