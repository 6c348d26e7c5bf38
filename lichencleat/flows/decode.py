"""Decodes IPFIX and NetFlow v9 from any sender. No input raises, everything is bounded, and each kind of
error has a counter. No I/O.

The table of information elements is all that the decoder has in common with the encoders.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Literal

from lichencleat.flows.elements import (
    MIN_TEMPLATE_ID,
    VARIABLE_LENGTH,
    Element,
    Elements,
    Field,
    Kind,
    Template,
)

# domains of one sender; beyond this, the least recently used one is forgotten, as a hostile sender could use
# any number of domains
MAX_DOMAINS = 1_024
MAX_TEMPLATES = 256  # templates of one domain; usual exporters have about ten
MAX_FIELDS = 128  # fields of one template; the longest known templates have about sixty
# data sets kept until their template arrives; a restarted collector receives about so many in a second
MAX_PENDING_SETS = 64
MAX_PENDING_BYTES = 1 << 20  # total size of pending sets
# records of one message: 65,535 bytes hold as many of four bytes; shorter records get the same limit
MAX_RECORDS = 16_384
IPFIX_HEADER_BYTES, NETFLOW_HEADER_BYTES, SET_HEADER_BYTES = 16, 20, 4  # bytes
MAX_MESSAGE_BYTES = 65_535  # bytes; a message's length field has 16 bits
ELEMENT_NUMBER_MASK = 0x7FFF  # removes the enterprise bit from a field's element number

Value = int | str | bytes


@dataclass(slots=True)
class DataRecord:
    """One decoded data record. `values` are in the order of the template; the first `scopes` are the scope of
    an options record (what the record is about).
    """

    version: int
    domain: int
    template: int
    scopes: int
    seconds: int  # export time as Unix time
    uptime_ms: int  # exporter's uptime in NetFlow v9; 0 in IPFIX
    values: list[tuple[Element, Value]]

    def as_dict(self) -> dict[str, Value]:
        """Return the values by the names of their elements."""
        return {element.name: value for element, value in self.values}


@dataclass(slots=True)
class PendingSet:
    """A data set whose template is not known yet."""

    version: int
    domain: int
    template: int
    seconds: int
    uptime_ms: int
    data: bytes


@dataclass(slots=True)
class Domain:
    """What is known of one observation domain (IPFIX) or source id (NetFlow v9)."""

    templates: dict[int, Template] = field(default_factory=dict)
    expected: int | None = None  # expected sequence number of the next message; None: unknown


class BrokenMessageError(Exception):
    """The rest of a message cannot be decoded. Caught in this module; the text is the name of a counter."""


class Cursor:
    """A position in bytes that are read in order, never past their end."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes, at: int = 0, end: int | None = None) -> None:
        self.data, self.at = data, at
        self.end = len(data) if end is None else end

    def remaining(self) -> int:
        """Return the number of bytes not read yet."""
        return self.end - self.at

    def read_number(self, length: int) -> int:
        """Read an unsigned big-endian number of `length` bytes."""
        return int.from_bytes(self.read_bytes(length), "big")

    def read_bytes(self, length: int) -> bytes:
        """Read `length` bytes. Raises BrokenMessageError if fewer remain."""
        at = self.at
        if at + length > self.end:
            raise BrokenMessageError("a field ends behind its set")
        self.at = at + length
        return self.data[at : at + length]


class Session:
    """Decodes the messages of one sender on one transport session. The constants above bound all state."""

    def __init__(self, elements: Elements) -> None:
        self.elements = elements
        self.domains: OrderedDict[tuple[int, int], Domain] = OrderedDict()
        self.pending_sets: list[PendingSet] = []
        self.pending_bytes = 0
        self.counts: Counter[str] = Counter()

    def decode_message(self, data: bytes) -> list[DataRecord]:
        """Return the records of one message, and of pending sets whose template arrived in the message."""
        found: list[DataRecord] = []
        self.counts["messages"] += 1
        try:
            version = int.from_bytes(data[:2], "big")
            if version == 10:
                self.decode_ipfix(data, found)
            elif version == 9:
                self.decode_netflow(data, found)
            else:
                raise BrokenMessageError("a version that is neither 9 nor 10")
        except BrokenMessageError as broken:
            self.counts[str(broken)] += 1
        self.counts["records"] += len(found)
        return found

    def get_domain(self, version: int, number: int) -> Domain:
        """Return the state of an observation domain. If the domain is new and too many are known, the least
        recently used one is forgotten.
        """
        key = (version, number)
        known = self.domains.get(key)
        if known is None:
            if len(self.domains) >= MAX_DOMAINS:
                self.domains.popitem(last=False)
                self.counts["domains forgotten"] += 1
            known = self.domains[key] = Domain()
        self.domains.move_to_end(key)
        return known

    def check_sequence(
        self, domain: Domain, sequence: int, lost: Literal["records lost", "packets lost"]
    ) -> None:
        """Compare a sequence number with the expected one and count the gap as lost. A sender that restarted
        does not count as a loss.
        """
        if domain.expected is not None and sequence != domain.expected:
            gap = (sequence - domain.expected) % (1 << 32)
            if gap < 1 << 31 and sequence:
                self.counts[lost] += gap
            else:
                self.counts["sequences begun anew or out of order"] += 1

    # -- IPFIX -------------------------------------------------------------------------------------

    def decode_ipfix(self, data: bytes, found: list[DataRecord]) -> None:
        """Decode an IPFIX message (RFC 7011, 3) and append its records to `found`."""
        if len(data) < IPFIX_HEADER_BYTES or int.from_bytes(data[2:4], "big") != len(data):
            raise BrokenMessageError("a message's length is not its own")
        head = Cursor(data, 4)
        seconds, sequence, number = head.read_number(4), head.read_number(4), head.read_number(4)
        domain = self.get_domain(10, number)
        self.check_sequence(domain, sequence, "records lost")
        before, unknown = len(found), False
        domain.expected = None  # stays unknown if the message cannot be decoded completely
        cursor = Cursor(data, IPFIX_HEADER_BYTES)
        while cursor.remaining() >= SET_HEADER_BYTES:
            set_number, part = self.next_set(cursor)
            if set_number in (2, 3):
                self.decode_ipfix_templates(domain, part, set_number == 3)
            elif set_number >= MIN_TEMPLATE_ID:
                template = domain.templates.get(set_number)
                if template is None:
                    unknown = True
                    rest = part.read_bytes(part.remaining())
                    self.keep_pending(PendingSet(10, number, set_number, seconds, 0, rest))
                else:
                    self.decode_records(template, part, found, (10, number, seconds, 0))
            else:
                self.counts["sets of an unknown kind"] += 1
        if not unknown:
            domain.expected = (sequence + len(found) - before) % (1 << 32)
        self.decode_pending(found)

    def next_set(self, cursor: Cursor) -> tuple[int, Cursor]:
        """Read a set header. Return the id of the set and a cursor over its content."""
        number, length = cursor.read_number(2), cursor.read_number(2)
        if length < SET_HEADER_BYTES or length - SET_HEADER_BYTES > cursor.remaining():
            raise BrokenMessageError("a set's length is not its own")
        part = Cursor(cursor.data, cursor.at, cursor.at + length - SET_HEADER_BYTES)
        cursor.at = part.end
        return number, part

    def decode_ipfix_templates(self, domain: Domain, part: Cursor, options: bool) -> None:
        """Decode a template set, or an options template set if `options` is true."""
        while part.remaining() >= 4:
            number, count = part.read_number(2), part.read_number(2)
            if count == 0:  # withdrawal (RFC 7011, 8.1); the set's own id withdraws all templates
                if number == (3 if options else 2):
                    kept = {n: t for n, t in domain.templates.items() if bool(t.scopes) != options}
                    domain.templates = kept
                domain.templates.pop(number, None)
                self.counts["templates withdrawn"] += 1
                continue
            scopes = part.read_number(2) if options else 0
            fields = []
            if count > MAX_FIELDS:
                raise BrokenMessageError("a template with too many fields")
            for _ in range(count):
                field_number, length = part.read_number(2), part.read_number(2)
                enterprise = part.read_number(4) if field_number > ELEMENT_NUMBER_MASK else 0
                element = self.elements.numbered(enterprise, field_number & ELEMENT_NUMBER_MASK)
                fields.append(Field(element, length))
            if options and not 0 < scopes <= count:
                self.counts["option templates without a scope"] += 1
                continue
            self.add_template(domain, Template(number, tuple(fields), scopes))

    def add_template(self, domain: Domain, template: Template) -> None:
        """Store a template, unless the template is invalid or the domain has too many."""
        if template.number < MIN_TEMPLATE_ID:
            self.counts["templates with a number that is none"] += 1
        elif template.min_record_bytes() == 0:
            self.counts["templates of no bytes"] += 1  # decoding records of 0 bytes would never end
        elif template.number not in domain.templates and len(domain.templates) >= MAX_TEMPLATES:
            self.counts["templates over the bound"] += 1
        else:
            domain.templates[template.number] = template

    # -- NetFlow v9 --------------------------------------------------------------------------------

    def decode_netflow(self, data: bytes, found: list[DataRecord]) -> None:
        """Decode a NetFlow v9 packet (RFC 3954, 5) and append its records to `found`."""
        if len(data) < NETFLOW_HEADER_BYTES:
            raise BrokenMessageError("a message's length is not its own")
        head = Cursor(data, 4)
        uptime, seconds, sequence, number = (head.read_number(4) for _ in range(4))
        domain = self.get_domain(9, number)
        self.check_sequence(domain, sequence, "packets lost")
        domain.expected = (sequence + 1) % (1 << 32)
        cursor = Cursor(data, NETFLOW_HEADER_BYTES)
        while cursor.remaining() >= SET_HEADER_BYTES:
            set_number, part = self.next_set(cursor)
            if set_number == 0:
                self.decode_netflow_templates(domain, part)
            elif set_number == 1:
                self.decode_netflow_options(domain, part)
            elif set_number >= MIN_TEMPLATE_ID:
                template = domain.templates.get(set_number)
                if template is None:
                    rest = part.read_bytes(part.remaining())
                    self.keep_pending(PendingSet(9, number, set_number, seconds, uptime, rest))
                else:
                    self.decode_records(template, part, found, (9, number, seconds, uptime))
            else:
                self.counts["sets of an unknown kind"] += 1
        self.decode_pending(found)

    def decode_netflow_templates(self, domain: Domain, part: Cursor) -> None:
        """Decode a flow set of templates."""
        while part.remaining() >= 4:
            number, count = part.read_number(2), part.read_number(2)
            if number == 0 and count == 0:
                return  # padding
            if count > MAX_FIELDS:
                raise BrokenMessageError("a template with too many fields")
            fields = tuple(self.read_netflow_field(part) for _ in range(count))
            self.add_template(domain, Template(number, fields))

    def decode_netflow_options(self, domain: Domain, part: Cursor) -> None:
        """Decode a flow set of options templates."""
        while part.remaining() >= 6:
            number, scope_bytes, option_bytes = part.read_number(2), part.read_number(2), part.read_number(2)
            if number == 0:
                return  # padding
            if scope_bytes % 4 or option_bytes % 4 or scope_bytes + option_bytes > 4 * MAX_FIELDS:
                raise BrokenMessageError("an option template's lengths are none")
            scopes = tuple(
                Field(Element(f"scope/{part.read_number(2)}", 0, Kind.UNSIGNED, 4), part.read_number(2))
                for _ in range(scope_bytes // 4)
            )
            fields = tuple(self.read_netflow_field(part) for _ in range(option_bytes // 4))
            if scopes:
                self.add_template(domain, Template(number, scopes + fields, len(scopes)))
            else:
                self.counts["option templates without a scope"] += 1

    def read_netflow_field(self, part: Cursor) -> Field:
        """Read a field specifier of a template."""
        number, length = part.read_number(2), part.read_number(2)
        if length == VARIABLE_LENGTH:
            raise BrokenMessageError("a variable length, which NetFlow v9 has not")
        return Field(self.elements.numbered(0, number), length)

    # -- records -----------------------------------------------------------------------------------

    def decode_records(
        self, template: Template, part: Cursor, found: list[DataRecord], of: tuple[int, int, int, int]
    ) -> None:
        """Decode the records of a data set and append them to `found`. `of` is version, domain, export time
        in s and uptime in ms.
        """
        version, domain, seconds, uptime = of
        least, fields = template.min_record_bytes(), template.fields
        data, at, end = part.data, part.at, part.end
        number, scopes, unsigned, text = template.number, template.scopes, Kind.UNSIGNED, Kind.TEXT
        plan = [(each.element, each.length, each.element.kind) for each in fields]
        while end - at >= least:  # fewer bytes are padding (RFC 7011, 3.3.1)
            if len(found) >= MAX_RECORDS:
                raise BrokenMessageError("more records than a message may have")
            values: list[tuple[Element, Value]] = []
            for element, length, kind in plan:
                if length == VARIABLE_LENGTH:
                    length, at = self.read_variable_length(data, at, end)
                after = at + length
                if after > end:
                    raise BrokenMessageError("a field ends behind its set")
                piece = data[at:after]
                at = after
                if kind is unsigned:  # reduced-size encoding is allowed (RFC 7011, 6.2)
                    values.append((element, int.from_bytes(piece, "big")))
                elif kind is text:
                    values.append((element, piece.rstrip(b"\0").decode(errors="replace")))
                else:
                    values.append((element, piece))
            found.append(DataRecord(version, domain, number, scopes, seconds, uptime, values))

    def read_variable_length(self, data: bytes, at: int, end: int) -> tuple[int, int]:
        """Read the length that precedes a value of variable length (RFC 7011, 7). Return the length and the
        offset of the value.
        """
        if at >= end or (data[at] == 255 and at + 3 > end):
            raise BrokenMessageError("a field ends behind its set")
        if data[at] < 255:
            return data[at], at + 1
        return data[at + 1] << 8 | data[at + 2], at + 3

    def keep_pending(self, waiting: PendingSet) -> None:
        """Keep a data set until its template arrives. Without this, a restarted collector would lose the data
        that arrives before templates are sent again.
        """
        self.counts["sets before their template"] += 1
        if (
            len(self.pending_sets) >= MAX_PENDING_SETS
            or self.pending_bytes + len(waiting.data) > MAX_PENDING_BYTES
        ):
            self.counts["sets without a template dropped"] += 1
            return
        self.pending_sets.append(waiting)
        self.pending_bytes += len(waiting.data)

    def decode_pending(self, found: list[DataRecord]) -> None:
        """Decode the pending sets whose template is known now, and keep the others."""
        waiting, self.pending_sets, self.pending_bytes = self.pending_sets, [], 0
        for each in waiting:
            known = self.domains.get((each.version, each.domain))
            template = known.templates.get(each.template) if known else None
            if template is None:
                self.pending_sets.append(each)
                self.pending_bytes += len(each.data)
                continue
            try:
                of = (each.version, each.domain, each.seconds, each.uptime_ms)
                self.decode_records(template, Cursor(each.data), found, of)
            except BrokenMessageError as broken:
                self.counts[str(broken)] += 1


class Stream:
    """Splits IPFIX over TCP into messages. At most one incomplete message is buffered. `broken` is set once
    the stream cannot be decoded any further.
    """

    def __init__(self, session: Session) -> None:
        self.session = session
        self.buffer = bytearray()
        self.broken = False

    def feed(self, data: bytes) -> list[DataRecord]:
        """Add received bytes and return the records of all messages that are complete. A broken stream
        ignores further bytes.
        """
        found: list[DataRecord] = []
        if self.broken:
            return found
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= SET_HEADER_BYTES:
            version = int.from_bytes(self.buffer[at : at + 2], "big")
            length = int.from_bytes(self.buffer[at + 2 : at + 4], "big")
            if version != 10 or length < IPFIX_HEADER_BYTES:
                self.broken = True
                self.session.counts["streams broken"] += 1
                at = len(self.buffer)
                break
            if len(self.buffer) - at < length:
                break
            found += self.session.decode_message(bytes(self.buffer[at : at + length]))
            at += length
        del self.buffer[:at]
        return found
