"""IPFIX and NetFlow v9 read, from any sender: nothing raises, everything is bounded, each trouble is a
counter; no I/O.

Shares with the encoders the table of elements and nothing else.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Literal

from lichencleat.flows.elements import LEAST_TEMPLATE, VARIABLE, Element, Elements, Field, Kind, Template

DOMAINS_MOST = 1_024  # of a sender; the one longest unused is forgotten: a hostile one names them all
TEMPLATES_MOST = 256  # of a domain: a real exporter has some ten
FIELDS_MOST = 128  # of a template: the longest known have some sixty
WAITING_MOST = 64  # sets that wait for their template: what a collector that was restarted misses in a second
WAITING_BYTES = 1 << 20  # of these
# of one message: 65,535 bytes of four-byte records; a template of one byte makes no more
RECORDS_MOST = 16_384
IPFIX_HEAD, NETFLOW_HEAD, SET_HEAD = 16, 20, 4  # bytes
MESSAGE_MOST = 65_535  # bytes: the length has two
NO_REVERSE_BIT = 0x7FFF  # of a field's number, without the enterprise bit

Value = int | str | bytes


@dataclass(slots=True)
class Read:
    """One data record as read. `values` in the template's order; the first `scopes` say what an option is
    about.
    """

    version: int
    domain: int
    template: int
    scopes: int
    seconds: int  # Unix time of its export
    uptime_ms: int  # NetFlow v9's; 0 in IPFIX
    values: list[tuple[Element, Value]]

    def named(self) -> dict[str, Value]:
        return {element.name: value for element, value in self.values}


@dataclass(slots=True)
class Waiting:
    """A set whose template is not known yet."""

    version: int
    domain: int
    template: int
    seconds: int
    uptime_ms: int
    data: bytes


@dataclass(slots=True)
class Domain:
    """What is known of one observation domain, or source."""

    templates: dict[int, Template] = field(default_factory=dict)
    expected: int | None = None  # the sequence that the next message has to have


class BrokenMessageError(Exception):
    """The rest of the message can't be read; caught here, counted."""


class Cursor:
    """Bytes read in place, never past their end."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes, at: int = 0, end: int | None = None) -> None:
        self.data, self.at = data, at
        self.end = len(data) if end is None else end

    def left(self) -> int:
        return self.end - self.at

    def number(self, length: int) -> int:
        return int.from_bytes(self.bytes(length), "big")

    def bytes(self, length: int) -> bytes:
        at = self.at
        if at + length > self.end:
            raise BrokenMessageError("a field ends behind its set")
        self.at = at + length
        return self.data[at : at + length]


class Session:
    """All that one sender says on one transport session. What it holds is bounded by the constants above."""

    def __init__(self, elements: Elements) -> None:
        self.elements = elements
        self.domains: OrderedDict[tuple[int, int], Domain] = OrderedDict()
        self.waiting: list[Waiting] = []
        self.waiting_bytes = 0
        self.counts: Counter[str] = Counter()

    def datagram(self, data: bytes) -> list[Read]:
        """The records of one message, and of sets that waited for a template that it brought."""
        found: list[Read] = []
        self.counts["messages"] += 1
        try:
            version = int.from_bytes(data[:2], "big")
            if version == 10:
                self.ipfix(data, found)
            elif version == 9:
                self.netflow(data, found)
            else:
                raise BrokenMessageError("a version that is neither 9 nor 10")
        except BrokenMessageError as broken:
            self.counts[str(broken)] += 1
        self.counts["records"] += len(found)
        return found

    def domain(self, version: int, number: int) -> Domain:
        key = (version, number)
        known = self.domains.get(key)
        if known is None:
            if len(self.domains) >= DOMAINS_MOST:
                self.domains.popitem(last=False)
                self.counts["domains forgotten"] += 1
            known = self.domains[key] = Domain()
        self.domains.move_to_end(key)
        return known

    def follows(self, domain: Domain, sequence: int, lost: Literal["records lost", "packets lost"]) -> None:
        """Compares the sequence with the one expected; a sender that began anew is no loss."""
        if domain.expected is not None and sequence != domain.expected:
            gap = (sequence - domain.expected) % (1 << 32)
            if gap < 1 << 31 and sequence:
                self.counts[lost] += gap
            else:
                self.counts["sequences begun anew or out of order"] += 1

    # -- IPFIX -------------------------------------------------------------------------------------

    def ipfix(self, data: bytes, found: list[Read]) -> None:
        if len(data) < IPFIX_HEAD or int.from_bytes(data[2:4], "big") != len(data):
            raise BrokenMessageError("a message's length is not its own")
        head = Cursor(data, 4)
        seconds, sequence, number = head.number(4), head.number(4), head.number(4)
        domain = self.domain(10, number)
        self.follows(domain, sequence, "records lost")
        before, unknown = len(found), False
        domain.expected = None  # until all of it was read
        cursor = Cursor(data, IPFIX_HEAD)
        while cursor.left() >= SET_HEAD:
            set_number, part = self.next_set(cursor)
            if set_number in (2, 3):
                self.ipfix_templates(domain, part, set_number == 3)
            elif set_number >= LEAST_TEMPLATE:
                template = domain.templates.get(set_number)
                if template is None:
                    unknown = True
                    rest = part.bytes(part.left())
                    self.wait(Waiting(10, number, set_number, seconds, 0, rest))
                else:
                    self.records(template, part, found, (10, number, seconds, 0))
            else:
                self.counts["sets of an unknown kind"] += 1
        if not unknown:
            domain.expected = (sequence + len(found) - before) % (1 << 32)
        self.serve_waiting(found)

    def next_set(self, cursor: Cursor) -> tuple[int, Cursor]:
        number, length = cursor.number(2), cursor.number(2)
        if length < SET_HEAD or length - SET_HEAD > cursor.left():
            raise BrokenMessageError("a set's length is not its own")
        part = Cursor(cursor.data, cursor.at, cursor.at + length - SET_HEAD)
        cursor.at = part.end
        return number, part

    def ipfix_templates(self, domain: Domain, part: Cursor, options: bool) -> None:
        while part.left() >= 4:
            number, count = part.number(2), part.number(2)
            if count == 0:  # a withdrawal (RFC 7011, 8.1); of the set's own id: of all
                if number == (3 if options else 2):
                    kept = {n: t for n, t in domain.templates.items() if bool(t.scopes) != options}
                    domain.templates = kept
                domain.templates.pop(number, None)
                self.counts["templates withdrawn"] += 1
                continue
            scopes = part.number(2) if options else 0
            fields = []
            if count > FIELDS_MOST:
                raise BrokenMessageError("a template with too many fields")
            for _ in range(count):
                field_number, length = part.number(2), part.number(2)
                enterprise = part.number(4) if field_number > NO_REVERSE_BIT else 0
                element = self.elements.numbered(enterprise, field_number & NO_REVERSE_BIT)
                fields.append(Field(element, length))
            if options and not 0 < scopes <= count:
                self.counts["option templates without a scope"] += 1
                continue
            self.learn(domain, Template(number, tuple(fields), scopes))

    def learn(self, domain: Domain, template: Template) -> None:
        if template.number < LEAST_TEMPLATE:
            self.counts["templates with a number that is none"] += 1
        elif template.least() == 0:
            self.counts["templates of no bytes"] += 1  # its records would never end
        elif template.number not in domain.templates and len(domain.templates) >= TEMPLATES_MOST:
            self.counts["templates over the bound"] += 1
        else:
            domain.templates[template.number] = template

    # -- NetFlow v9 --------------------------------------------------------------------------------

    def netflow(self, data: bytes, found: list[Read]) -> None:
        if len(data) < NETFLOW_HEAD:
            raise BrokenMessageError("a message's length is not its own")
        head = Cursor(data, 4)
        uptime, seconds, sequence, number = (head.number(4) for _ in range(4))
        domain = self.domain(9, number)
        self.follows(domain, sequence, "packets lost")
        domain.expected = (sequence + 1) % (1 << 32)
        cursor = Cursor(data, NETFLOW_HEAD)
        while cursor.left() >= SET_HEAD:
            set_number, part = self.next_set(cursor)
            if set_number == 0:
                self.netflow_templates(domain, part)
            elif set_number == 1:
                self.netflow_options(domain, part)
            elif set_number >= LEAST_TEMPLATE:
                template = domain.templates.get(set_number)
                if template is None:
                    rest = part.bytes(part.left())
                    self.wait(Waiting(9, number, set_number, seconds, uptime, rest))
                else:
                    self.records(template, part, found, (9, number, seconds, uptime))
            else:
                self.counts["sets of an unknown kind"] += 1
        self.serve_waiting(found)

    def netflow_templates(self, domain: Domain, part: Cursor) -> None:
        while part.left() >= 4:
            number, count = part.number(2), part.number(2)
            if number == 0 and count == 0:
                return  # padding
            if count > FIELDS_MOST:
                raise BrokenMessageError("a template with too many fields")
            fields = tuple(self.netflow_field(part) for _ in range(count))
            self.learn(domain, Template(number, fields))

    def netflow_options(self, domain: Domain, part: Cursor) -> None:
        while part.left() >= 6:
            number, scope_bytes, option_bytes = part.number(2), part.number(2), part.number(2)
            if number == 0:
                return  # padding
            if scope_bytes % 4 or option_bytes % 4 or scope_bytes + option_bytes > 4 * FIELDS_MOST:
                raise BrokenMessageError("an option template's lengths are none")
            scopes = tuple(
                Field(Element(f"scope/{part.number(2)}", 0, Kind.UNSIGNED, 4), part.number(2))
                for _ in range(scope_bytes // 4)
            )
            fields = tuple(self.netflow_field(part) for _ in range(option_bytes // 4))
            if scopes:
                self.learn(domain, Template(number, scopes + fields, len(scopes)))
            else:
                self.counts["option templates without a scope"] += 1

    def netflow_field(self, part: Cursor) -> Field:
        number, length = part.number(2), part.number(2)
        if length == VARIABLE:
            raise BrokenMessageError("a variable length, which NetFlow v9 has not")
        return Field(self.elements.numbered(0, number), length)

    # -- records -----------------------------------------------------------------------------------

    def records(
        self, template: Template, part: Cursor, found: list[Read], of: tuple[int, int, int, int]
    ) -> None:
        version, domain, seconds, uptime = of
        least, fields = template.least(), template.fields
        data, at, end = part.data, part.at, part.end
        number, scopes, unsigned, text = template.number, template.scopes, Kind.UNSIGNED, Kind.TEXT
        plan = [(each.element, each.length, each.element.kind) for each in fields]
        while end - at >= least:  # what is left then is padding (RFC 7011, 3.3.1)
            if len(found) >= RECORDS_MOST:
                raise BrokenMessageError("more records than a message may have")
            values: list[tuple[Element, Value]] = []
            for element, length, kind in plan:
                if length == VARIABLE:
                    length, at = self.length(data, at, end)
                after = at + length
                if after > end:
                    raise BrokenMessageError("a field ends behind its set")
                piece = data[at:after]
                at = after
                if kind is unsigned:  # also of fewer bytes than the element has (RFC 7011, 6.2)
                    values.append((element, int.from_bytes(piece, "big")))
                elif kind is text:
                    values.append((element, piece.rstrip(b"\0").decode(errors="replace")))
                else:
                    values.append((element, piece))
            found.append(Read(version, domain, number, scopes, seconds, uptime, values))

    def length(self, data: bytes, at: int, end: int) -> tuple[int, int]:
        """The length that a value says itself (RFC 7011, 7), and where the value begins."""
        if at >= end or (data[at] == 255 and at + 3 > end):
            raise BrokenMessageError("a field ends behind its set")
        if data[at] < 255:
            return data[at], at + 1
        return data[at + 1] << 8 | data[at + 2], at + 3

    def wait(self, waiting: Waiting) -> None:
        """Guards a collector that was restarted: data may come before its template, which is sent again."""
        self.counts["sets before their template"] += 1
        if len(self.waiting) >= WAITING_MOST or self.waiting_bytes + len(waiting.data) > WAITING_BYTES:
            self.counts["sets without a template dropped"] += 1
            return
        self.waiting.append(waiting)
        self.waiting_bytes += len(waiting.data)

    def serve_waiting(self, found: list[Read]) -> None:
        waiting, self.waiting, self.waiting_bytes = self.waiting, [], 0
        for each in waiting:
            known = self.domains.get((each.version, each.domain))
            template = known.templates.get(each.template) if known else None
            if template is None:
                self.waiting.append(each)
                self.waiting_bytes += len(each.data)
                continue
            try:
                of = (each.version, each.domain, each.seconds, each.uptime_ms)
                self.records(template, Cursor(each.data), found, of)
            except BrokenMessageError as broken:
                self.counts[str(broken)] += 1


class Stream:
    """IPFIX over TCP: messages cut out of a stream, one under way at the most; `broken` once it can't go
    on.
    """

    def __init__(self, session: Session) -> None:
        self.session = session
        self.buffer = bytearray()
        self.broken = False

    def feed(self, data: bytes) -> list[Read]:
        """The records of all messages that are whole now. Nothing more is read once it is broken."""
        found: list[Read] = []
        if self.broken:
            return found
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= SET_HEAD:
            version = int.from_bytes(self.buffer[at : at + 2], "big")
            length = int.from_bytes(self.buffer[at + 2 : at + 4], "big")
            if version != 10 or length < IPFIX_HEAD:
                self.broken = True
                self.session.counts["streams broken"] += 1
                at = len(self.buffer)
                break
            if len(self.buffer) - at < length:
                break
            found += self.session.datagram(bytes(self.buffer[at : at + length]))
            at += length
        del self.buffer[:at]
        return found
