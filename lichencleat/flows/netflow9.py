"""Encodes NetFlow v9 packets (RFC 3954): packs templates and records into padded flow sets and packets of
limited size. No I/O.

NetFlow v9 has no enterprise numbers and no variable lengths: text fields have a fixed length and are padded
with zeros. Counters are encoded in eight bytes, which the template declares, so none is truncated to 32 bits.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from lichencleat.flows.elements import VARIABLE_LENGTH, Kind, Template
from lichencleat.flows.ipfix import RecordEncodeError, Row, Value, encode_value

VERSION = 9
HEADER = struct.Struct("!HHIIII")  # version, records, uptime in ms, Unix time in s, sequence, source id (5.1)
SET_HEADER = struct.Struct("!HH")  # id, length including padding (5.2)
OPTIONS_TEMPLATE_HEADER = struct.Struct("!HHH")  # template id, bytes of scope fields, of option fields
TEMPLATES, OPTION_TEMPLATES = 0, 1  # flow set ids (5.2, 6.1)
SET_ALIGNMENT = 4  # bytes; flow sets are padded to a multiple of it (5.2)
SCOPE_SYSTEM = 1  # scope type that stands for the exporter as a whole (6.1)
UINT32_MODULUS = 1 << 32


def encode_template(template: Template) -> bytes:
    """Encode a template, or an options template if it has scopes. Raises RecordEncodeError if a field has an
    enterprise number or a variable length.
    """
    fields = [(each.element.number, each.length) for each in template.fields]
    for each in template.fields:
        if each.element.enterprise or each.length == VARIABLE_LENGTH:
            raise RecordEncodeError(f"{each.element.name} cannot be encoded in NetFlow v9")
    parts = [SET_HEADER.pack(number, length) for number, length in fields]
    if not template.scopes:
        return SET_HEADER.pack(template.number, len(fields)) + b"".join(parts)
    parts[: template.scopes] = [
        SET_HEADER.pack(SCOPE_SYSTEM, length) for _, length in fields[: template.scopes]
    ]
    scope, option = SET_HEADER.size * template.scopes, SET_HEADER.size * (len(fields) - template.scopes)
    return OPTIONS_TEMPLATE_HEADER.pack(template.number, scope, option) + b"".join(parts)


def encode_record(template: Template, values: Sequence[Value]) -> bytes:
    """Encode one data record: the values of all fields of its template, in order. Texts longer than their
    field are truncated.
    """
    parts = []
    for field, value in zip(template.fields, values, strict=True):
        if field.element.kind is Kind.TEXT:
            data = value.encode() if isinstance(value, str) else bytes(value)  # type: ignore[arg-type]
            # text may be truncated, unlike numbers
            parts.append(data[: field.length].ljust(field.length, b"\0"))
        else:
            parts.append(encode_value(field.element, field.length, value))
    return b"".join(parts)


class Writer:
    """Writes the packets of one source id, in order."""

    def __init__(self, source: int, max_bytes: int, started_ms: int) -> None:
        """`max_bytes`: size of a packet. `started_ms`: Unix time in ms at which the uptime is 0."""
        self.source, self.max_bytes, self.started = source, max_bytes, started_ms
        self.sequence = 0  # packets encoded so far, modulo 2^32

    def uptime(self, ms: int) -> int:
        """Return a Unix time as ms of uptime, for FIRST_SWITCHED and LAST_SWITCHED. Like a router's uptime,
        the value wraps around after 49 days.
        """
        return max(0, ms - self.started) % UINT32_MODULUS

    def packets(self, now_ms: int, templates: Iterable[Template], rows: Iterable[Row]) -> list[bytes]:
        """Encode templates, then records. Raises RecordEncodeError if something cannot be encoded; then this
        call produces no packet and the sequence number is unchanged.
        """
        pieces = [
            (OPTION_TEMPLATES if each.scopes else TEMPLATES, encode_template(each)) for each in templates
        ]
        pieces += [(template.number, encode_record(template, values)) for template, values in rows]
        # packets, each a list of sets: id, encoded records, number of records
        groups: list[list[tuple[int, bytearray, int]]] = []
        size = 0
        for number, data in pieces:
            if HEADER.size + SET_HEADER.size + len(data) + -len(data) % SET_ALIGNMENT > self.max_bytes:
                raise RecordEncodeError(
                    f"record of {len(data)} bytes does not fit in a packet of {self.max_bytes}"
                )
            opens = not groups or groups[-1][-1][0] != number
            grown = size + len(data) + (SET_HEADER.size + SET_ALIGNMENT - 1 if opens else 0)  # with padding
            if not groups or grown > self.max_bytes:
                groups.append([])
                size, opens = HEADER.size, True
            if opens:
                groups[-1].append((number, bytearray(), 0))
                size += SET_HEADER.size + SET_ALIGNMENT - 1
            _, held, count = groups[-1][-1]
            held.extend(data)
            groups[-1][-1] = (number, held, count + 1)
            size += len(data)
        return [self.packet(now_ms, each) for each in groups]

    def packet(self, now_ms: int, sets: list[tuple[int, bytearray, int]]) -> bytes:
        """Encode one packet of the given sets and advance the sequence number. Each set is its id, the
        encoded records and their number.
        """
        count = sum(each for _, _, each in sets)
        parts = [
            HEADER.pack(
                VERSION,
                count,
                self.uptime(now_ms),
                now_ms // 1000 % UINT32_MODULUS,
                self.sequence,
                self.source,
            )
        ]
        for number, data, _ in sets:
            padding = -len(data) % SET_ALIGNMENT
            parts += [
                SET_HEADER.pack(number, SET_HEADER.size + len(data) + padding),
                bytes(data),
                bytes(padding),
            ]
        self.sequence = (self.sequence + 1) % UINT32_MODULUS
        return b"".join(parts)
