"""Information elements (RFC 7012, the IANA registry) that are made or read here, and templates of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

REVERSE = 29_305  # enterprise under which an element counts the other direction (RFC 5103, 6.1)
VARIABLE = 65_535  # a field's length where each value says its own (RFC 7011, 7)
LEAST_TEMPLATE = 256  # the first id that is a template's (RFC 7011, 3.4.1; RFC 3954, 5.2)
EXAMPLE_ENTERPRISE = 32_473  # for documents and tests (RFC 5612), until the operator's file names one


class Kind(Enum):
    UNSIGNED = auto()
    ADDRESS = auto()  # bytes as they are on the wire: 4 or 16
    TEXT = auto()  # UTF-8
    BYTES = auto()  # of an element that is not known here


@dataclass(frozen=True, slots=True)
class Element:
    """`number` within `enterprise` (0: IANA's); `length` in bytes, VARIABLE where each value says its own."""

    name: str
    number: int
    kind: Kind
    length: int
    enterprise: int = 0


@dataclass(frozen=True, slots=True)
class Field:
    element: Element
    length: int  # bytes on the wire, or VARIABLE


@dataclass(frozen=True, slots=True)
class Template:
    """`scopes`: how many of its first fields say what an option record is about; 0: of a flow record."""

    number: int
    fields: tuple[Field, ...]
    scopes: int = 0

    def least(self) -> int:
        """Bytes of its shortest record."""
        return sum(1 if each.length == VARIABLE else each.length for each in self.fields)


IANA = [
    Element("octetDeltaCount", 1, Kind.UNSIGNED, 8),
    Element("packetDeltaCount", 2, Kind.UNSIGNED, 8),
    Element("protocolIdentifier", 4, Kind.UNSIGNED, 1),
    Element("sourceTransportPort", 7, Kind.UNSIGNED, 2),
    Element("sourceIPv4Address", 8, Kind.ADDRESS, 4),
    Element("destinationTransportPort", 11, Kind.UNSIGNED, 2),
    Element("destinationIPv4Address", 12, Kind.ADDRESS, 4),
    Element("flowEndSysUpTime", 21, Kind.UNSIGNED, 4),
    Element("flowStartSysUpTime", 22, Kind.UNSIGNED, 4),
    Element("sourceIPv6Address", 27, Kind.ADDRESS, 16),
    Element("destinationIPv6Address", 28, Kind.ADDRESS, 16),
    Element("exportedMessageTotalCount", 41, Kind.UNSIGNED, 8),
    Element("exportedFlowRecordTotalCount", 42, Kind.UNSIGNED, 8),
    Element("exporterIPv4Address", 130, Kind.ADDRESS, 4),
    Element("flowEndReason", 136, Kind.UNSIGNED, 1),
    Element("exportingProcessId", 144, Kind.UNSIGNED, 4),
    Element("flowId", 148, Kind.UNSIGNED, 8),
    Element("observationDomainId", 149, Kind.UNSIGNED, 4),
    Element("flowStartMilliseconds", 152, Kind.UNSIGNED, 8),
    Element("flowEndMilliseconds", 153, Kind.UNSIGNED, 8),
    Element("notSentFlowTotalCount", 166, Kind.UNSIGNED, 8),
    Element("notSentPacketTotalCount", 167, Kind.UNSIGNED, 8),
    Element("notSentOctetTotalCount", 168, Kind.UNSIGNED, 8),
    Element("userName", 371, Kind.TEXT, VARIABLE),
]
OURS = [  # name, number, kind, length; under the operator's enterprise number
    ("tenant", 1, Kind.TEXT, VARIABLE),
    ("dispatcher", 2, Kind.UNSIGNED, 4),
    ("tariff", 3, Kind.TEXT, VARIABLE),
    ("inquiriesHonoured", 4, Kind.UNSIGNED, 8),
    ("inquiriesDeferred", 5, Kind.UNSIGNED, 8),
    ("inquiriesGivenUp", 6, Kind.UNSIGNED, 8),
    ("inquiriesAbandoned", 7, Kind.UNSIGNED, 8),
    ("heldMicroseconds", 8, Kind.UNSIGNED, 8),
    ("runMicroseconds", 9, Kind.UNSIGNED, 8),
    ("packetsEstimated", 10, Kind.UNSIGNED, 1),
    ("flowsFolded", 11, Kind.UNSIGNED, 8),
    ("inquiriesNotSent", 12, Kind.UNSIGNED, 8),
]
BY_NAME = {each.name: each for each in IANA}
REVERSIBLE = ("octetDeltaCount", "packetDeltaCount")


class Elements:
    """The elements known here, with those of an enterprise number; others are read as bytes."""

    def __init__(self, enterprise: int = EXAMPLE_ENTERPRISE) -> None:
        self.enterprise = enterprise
        own = [Element(name, number, kind, length, enterprise) for name, number, kind, length in OURS]
        back = [
            Element("reverse" + name[0].upper() + name[1:], BY_NAME[name].number, Kind.UNSIGNED, 8, REVERSE)
            for name in REVERSIBLE
        ]
        known = [*IANA, *own, *back]
        self.by_name = {each.name: each for each in known}
        self.by_number = {(each.enterprise, each.number): each for each in known}

    def named(self, name: str) -> Element:
        return self.by_name[name]

    def numbered(self, enterprise: int, number: int) -> Element:
        """The element, or one of bytes under a name made of its numbers."""
        found = self.by_number.get((enterprise, number))
        return found or Element(f"{enterprise}/{number}", number, Kind.BYTES, VARIABLE, enterprise)

    def template(self, number: int, names: list[str], scopes: int = 0, text: int = VARIABLE) -> Template:
        """A template of these elements; `text`: bytes of a text where the wire knows no variable lengths."""
        fields = [self.named(each) for each in names]
        return Template(
            number,
            tuple(Field(each, text if each.length == VARIABLE else each.length) for each in fields),
            scopes,
        )
