"""NetFlow v9 packets made (RFC 3954): flow sets of templates and records, padded, in packets of a stated
size; no I/O.

It knows no enterprise numbers and no variable lengths: texts have a fixed one and are filled with zeros.
Counts go in eight bytes, as their length is the template's to say, so that none is cut to 32 bits.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from lichencleat.flows.elements import VARIABLE, Kind, Template
from lichencleat.flows.ipfix import Row, UnfitRecordError, Value, encode_value

VERSION = 9
HEADER = struct.Struct("!HHIIII")  # version, records, ms of uptime, s, sequence, source (RFC 3954, 5.1)
SET = struct.Struct("!HH")  # id, length with padding (5.2)
OPTION_HEAD = struct.Struct("!HHH")  # template, bytes of scope fields, bytes of option fields (6.1)
TEMPLATES, OPTION_TEMPLATES = 0, 1
ALIGN = 4  # bytes (5.2)
SCOPE_SYSTEM = 1  # the scope type that stands for the exporter as a whole (6.1)
WRAP = 1 << 32


def encode_template(template: Template) -> bytes:
    fields = [(each.element.number, each.length) for each in template.fields]
    for each in template.fields:
        if each.element.enterprise or each.length == VARIABLE:
            raise UnfitRecordError(f"{each.element.name} can't be told by NetFlow v9")
    parts = [SET.pack(number, length) for number, length in fields]
    if not template.scopes:
        return SET.pack(template.number, len(fields)) + b"".join(parts)
    parts[: template.scopes] = [SET.pack(SCOPE_SYSTEM, length) for _, length in fields[: template.scopes]]
    scope, option = SET.size * template.scopes, SET.size * (len(fields) - template.scopes)
    return OPTION_HEAD.pack(template.number, scope, option) + b"".join(parts)


def encode_record(template: Template, values: Sequence[Value]) -> bytes:
    parts = []
    for field, value in zip(template.fields, values, strict=True):
        if field.element.kind is Kind.TEXT:
            data = value.encode() if isinstance(value, str) else bytes(value)  # type: ignore[arg-type]
            # a name, not a count: it may be cut
            parts.append(data[: field.length].ljust(field.length, b"\0"))
        else:
            parts.append(encode_value(field.element, field.length, value))
    return b"".join(parts)


class Writer:
    """The packets of one source, in order."""

    def __init__(self, source: int, most: int, started_ms: int) -> None:
        """`most`: bytes of a packet; `started_ms`: the clock's ms at which uptime is 0."""
        self.source, self.most, self.started = source, most, started_ms
        self.sequence = 0  # packets sent so far, mod 2^32

    def uptime(self, ms: int) -> int:
        """As FIRST_SWITCHED and LAST_SWITCHED want it; it wraps after 49 days, as routers' does."""
        return max(0, ms - self.started) % WRAP

    def packets(self, now_ms: int, templates: Iterable[Template], rows: Iterable[Row]) -> list[bytes]:
        """All of it, templates first. Raises UnfitRecordError; then nothing of this call is made, nor
        counted.
        """
        pieces = [
            (OPTION_TEMPLATES if each.scopes else TEMPLATES, encode_template(each)) for each in templates
        ]
        pieces += [(template.number, encode_record(template, values)) for template, values in rows]
        groups: list[list[tuple[int, bytearray, int]]] = []  # packets of sets: id, records' bytes, how many
        size = 0
        for number, data in pieces:
            if HEADER.size + SET.size + len(data) + -len(data) % ALIGN > self.most:
                raise UnfitRecordError(f"a record of {len(data)} bytes in packets of {self.most}")
            opens = not groups or groups[-1][-1][0] != number
            grown = size + len(data) + (SET.size + ALIGN - 1 if opens else 0)  # with what padding may take
            if not groups or grown > self.most:
                groups.append([])
                size, opens = HEADER.size, True
            if opens:
                groups[-1].append((number, bytearray(), 0))
                size += SET.size + ALIGN - 1
            _, held, count = groups[-1][-1]
            held.extend(data)
            groups[-1][-1] = (number, held, count + 1)
            size += len(data)
        return [self.packet(now_ms, each) for each in groups]

    def packet(self, now_ms: int, sets: list[tuple[int, bytearray, int]]) -> bytes:
        count = sum(each for _, _, each in sets)
        parts = [
            HEADER.pack(
                VERSION, count, self.uptime(now_ms), now_ms // 1000 % WRAP, self.sequence, self.source
            )
        ]
        for number, data, _ in sets:
            padding = -len(data) % ALIGN
            parts += [SET.pack(number, SET.size + len(data) + padding), bytes(data), bytes(padding)]
        self.sequence = (self.sequence + 1) % WRAP
        return b"".join(parts)
