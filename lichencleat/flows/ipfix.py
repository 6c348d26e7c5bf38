"""IPFIX messages made (RFC 7011): templates and records packed into messages of a stated size; no I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from lichencleat.flows.elements import VARIABLE, Element, Kind, Template

VERSION = 10
HEADER = struct.Struct("!HHIII")  # version, length, export time, sequence, domain (RFC 7011, 3.1)
SET = struct.Struct("!HH")  # id, length (3.3.2)
TWO = struct.Struct("!H")
ENTERPRISE = struct.Struct("!HHI")  # number with the enterprise bit, length, enterprise (3.2)
ENTERPRISE_BIT = 0x8000
TEMPLATES, OPTION_TEMPLATES = 2, 3  # set ids (3.3.2)
SHORT_MOST = 254  # bytes of a value whose length takes one byte (7)
TEXT_MOST = 65_535  # bytes of any value: its length has two bytes
SEQUENCES = 1 << 32

Value = int | str | bytes
Row = tuple[Template, Sequence[Value]]


class UnfitRecordError(ValueError):
    """A record that the wire can't carry whole: it is not sent, and who made it counts that."""


def encode_value(element: Element, length: int, value: Value) -> bytes:
    """One field. Raises UnfitRecordError for a number of more bytes than the field has: none is ever cut."""
    if element.kind is Kind.UNSIGNED:
        try:
            return int(value).to_bytes(length, "big")
        except OverflowError as wrong:
            raise UnfitRecordError(f"{element.name}: {value} does not fit {length} bytes") from wrong
    data = value.encode() if isinstance(value, str) else bytes(value)  # type: ignore[arg-type]
    if length == VARIABLE:
        if len(data) > TEXT_MOST:
            raise UnfitRecordError(f"{element.name}: {len(data)} bytes")
        return (bytes([len(data)]) if len(data) <= SHORT_MOST else b"\xff" + TWO.pack(len(data))) + data
    if len(data) != length:
        raise UnfitRecordError(f"{element.name}: {len(data)} bytes where {length} belong")
    return data


def encode_record(template: Template, values: Sequence[Value]) -> bytes:
    return b"".join(
        encode_value(field.element, field.length, value)
        for field, value in zip(template.fields, values, strict=True)
    )


def encode_template(template: Template) -> bytes:
    """A template record (3.4.1), or an options template record (3.4.2.2) where it has scopes."""
    parts = [struct.pack("!HH", template.number, len(template.fields))]
    if template.scopes:
        parts.append(TWO.pack(template.scopes))
    for field in template.fields:
        element = field.element
        if element.enterprise:
            parts.append(ENTERPRISE.pack(element.number | ENTERPRISE_BIT, field.length, element.enterprise))
        else:
            parts.append(SET.pack(element.number, field.length))
    return b"".join(parts)


class Writer:
    """The messages of one domain on one transport session, in order."""

    def __init__(self, domain: int, most: int) -> None:
        """`most`: bytes of a message; over UDP what crosses the path unbroken (10.3.3)."""
        self.domain, self.most = domain, most
        self.sequence = 0  # data records sent so far, mod 2^32 (3.1)
        self.sets: list[tuple[int, bytearray]] = []  # of the message under way
        self.size = HEADER.size
        self.records = 0

    def messages(self, seconds: int, templates: Iterable[Template], rows: Iterable[Row]) -> list[bytes]:
        """All of it, templates first, in as few messages as fit. `seconds`: Unix time of the export.

        Raises UnfitRecordError for a record that fits no message; then nothing of this call is made, nor
        counted.
        """
        pieces: list[tuple[int, bytes, bool]] = [
            (OPTION_TEMPLATES if each.scopes else TEMPLATES, encode_template(each), False)
            for each in templates
        ]
        for template, values in rows:
            pieces.append((template.number, encode_record(template, values), True))
        for _, data, _ in pieces:
            if HEADER.size + SET.size + len(data) > self.most:
                raise UnfitRecordError(f"a record of {len(data)} bytes in messages of {self.most}")
        made: list[bytes] = []
        for number, data, is_record in pieces:
            opens = not self.sets or self.sets[-1][0] != number
            if self.size + len(data) + (SET.size if opens else 0) > self.most:
                made.append(self.finish(seconds))
                opens = True
            if opens:
                self.sets.append((number, bytearray()))
                self.size += SET.size
            self.sets[-1][1].extend(data)
            self.size += len(data)
            self.records += is_record
        if self.sets:
            made.append(self.finish(seconds))
        return made

    def finish(self, seconds: int) -> bytes:
        parts = [HEADER.pack(VERSION, self.size, seconds % SEQUENCES, self.sequence, self.domain)]
        for number, data in self.sets:
            parts += [SET.pack(number, SET.size + len(data)), bytes(data)]
        self.sequence = (self.sequence + self.records) % SEQUENCES
        self.sets, self.size, self.records = [], HEADER.size, 0
        return b"".join(parts)
