"""Encodes IPFIX messages (RFC 7011): packs templates and records into messages of limited size. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from lichencleat.flows.elements import VARIABLE_LENGTH, Element, Kind, Template

VERSION = 10
HEADER = struct.Struct("!HHIII")  # version, length, export time, sequence, domain (RFC 7011, 3.1)
SET_HEADER = struct.Struct("!HH")  # id, length (3.3.2)
UINT16 = struct.Struct("!H")
ENTERPRISE_FIELD = struct.Struct("!HHI")  # number with enterprise bit, length, enterprise (3.2)
ENTERPRISE_BIT = 0x8000
TEMPLATES, OPTION_TEMPLATES = 2, 3  # set ids (3.3.2)
MAX_SHORT_LENGTH = 254  # bytes; lengths above this take three bytes instead of one (7)
MAX_VALUE_BYTES = 65_535  # a value's length is encoded in at most two bytes
SEQUENCE_MODULUS = 1 << 32

Value = int | str | bytes
Row = tuple[Template, Sequence[Value]]


class RecordEncodeError(ValueError):
    """A value, record or template cannot be encoded without loss. The record is not sent; the caller counts
    it.
    """


def encode_value(element: Element, length: int, value: Value) -> bytes:
    """Encode one field. Raises RecordEncodeError if the value does not fit the field: no number is ever
    truncated.
    """
    if element.kind is Kind.UNSIGNED:
        try:
            return int(value).to_bytes(length, "big")
        except OverflowError as wrong:
            raise RecordEncodeError(
                f"{element.name}: value {value} does not fit in {length} bytes"
            ) from wrong
    data = value.encode() if isinstance(value, str) else bytes(value)  # type: ignore[arg-type]
    if length == VARIABLE_LENGTH:
        if len(data) > MAX_VALUE_BYTES:
            raise RecordEncodeError(
                f"{element.name}: value of {len(data)} bytes is longer than {MAX_VALUE_BYTES}"
            )
        return (
            bytes([len(data)]) if len(data) <= MAX_SHORT_LENGTH else b"\xff" + UINT16.pack(len(data))
        ) + data
    if len(data) != length:
        raise RecordEncodeError(f"{element.name}: value of {len(data)} bytes in a field of {length}")
    return data


def encode_record(template: Template, values: Sequence[Value]) -> bytes:
    """Encode one data record: the values of all fields of its template, in order."""
    return b"".join(
        encode_value(field.element, field.length, value)
        for field, value in zip(template.fields, values, strict=True)
    )


def encode_template(template: Template) -> bytes:
    """Encode a template record (3.4.1), or an options template record (3.4.2.2) if it has scopes."""
    parts = [struct.pack("!HH", template.number, len(template.fields))]
    if template.scopes:
        parts.append(UINT16.pack(template.scopes))
    for field in template.fields:
        element = field.element
        if element.enterprise:
            parts.append(
                ENTERPRISE_FIELD.pack(element.number | ENTERPRISE_BIT, field.length, element.enterprise)
            )
        else:
            parts.append(SET_HEADER.pack(element.number, field.length))
    return b"".join(parts)


class Writer:
    """Writes the messages of one observation domain on one transport session, in order."""

    def __init__(self, domain: int, max_bytes: int) -> None:
        """`max_bytes`: size of a message. Over UDP it should fit the path MTU, so that no message is
        fragmented (10.3.3).
        """
        self.domain, self.max_bytes = domain, max_bytes
        self.sequence = 0  # data records in messages so far, modulo 2^32 (3.1)
        self.sets: list[tuple[int, bytearray]] = []  # sets of the current message: id and encoded records
        self.size = HEADER.size
        self.records = 0

    def messages(self, seconds: int, templates: Iterable[Template], rows: Iterable[Row]) -> list[bytes]:
        """Encode templates, then records, in as few messages as possible. `seconds` is the export time in
        Unix time.

        Raises RecordEncodeError if a record fits no message; then this call changes neither the sequence
        number nor any other state.
        """
        pieces: list[tuple[int, bytes, bool]] = [
            (OPTION_TEMPLATES if each.scopes else TEMPLATES, encode_template(each), False)
            for each in templates
        ]
        for template, values in rows:
            pieces.append((template.number, encode_record(template, values), True))
        for _, data, _ in pieces:
            if HEADER.size + SET_HEADER.size + len(data) > self.max_bytes:
                raise RecordEncodeError(
                    f"record of {len(data)} bytes does not fit in a message of {self.max_bytes}"
                )
        made: list[bytes] = []
        for number, data, is_record in pieces:
            opens = not self.sets or self.sets[-1][0] != number
            if self.size + len(data) + (SET_HEADER.size if opens else 0) > self.max_bytes:
                made.append(self.finish(seconds))
                opens = True
            if opens:
                self.sets.append((number, bytearray()))
                self.size += SET_HEADER.size
            self.sets[-1][1].extend(data)
            self.size += len(data)
            self.records += is_record
        if self.sets:
            made.append(self.finish(seconds))
        return made

    def finish(self, seconds: int) -> bytes:
        """Encode the current message, advance the sequence number and start an empty message."""
        parts = [HEADER.pack(VERSION, self.size, seconds % SEQUENCE_MODULUS, self.sequence, self.domain)]
        for number, data in self.sets:
            parts += [SET_HEADER.pack(number, SET_HEADER.size + len(data)), bytes(data)]
        self.sequence = (self.sequence + self.records) % SEQUENCE_MODULUS
        self.sets, self.size, self.records = [], HEADER.size, 0
        return b"".join(parts)
