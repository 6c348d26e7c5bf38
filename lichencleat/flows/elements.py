"""Information elements (RFC 7012 and the IANA registry) that are encoded or decoded here, and templates of
them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

REVERSE_ENTERPRISE = 29_305  # enterprise number of elements that count the reverse direction (RFC 5103, 6.1)
VARIABLE_LENGTH = 65_535  # field length that means: each value carries its own length (RFC 7011, 7)
MIN_TEMPLATE_ID = 256  # lowest id that a template may have (RFC 7011, 3.4.1; RFC 3954, 5.2)
EXAMPLE_ENTERPRISE = 32_473  # reserved for documentation (RFC 5612); the default if settings name no other


class Kind(Enum):
    """How the value of an information element is encoded."""

    UNSIGNED = auto()
    ADDRESS = auto()  # IP address in network byte order: 4 or 16 bytes
    TEXT = auto()  # UTF-8
    BYTES = auto()  # value of an unknown element, not interpreted


@dataclass(frozen=True, slots=True)
class Element:
    """An information element. `number` is its id within `enterprise` (0: IANA). `length` is in bytes, or
    `VARIABLE_LENGTH` if each value carries its own length.
    """

    name: str
    number: int
    kind: Kind
    length: int
    enterprise: int = 0


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a template: an information element and its encoded length."""

    element: Element
    length: int  # bytes in an encoded record, or VARIABLE_LENGTH


@dataclass(frozen=True, slots=True)
class Template:
    """A template of data records. The first `scopes` fields are the scope of an options record (what the
    record is about); a template of flow records has 0 scopes.
    """

    number: int
    fields: tuple[Field, ...]
    scopes: int = 0

    def min_record_bytes(self) -> int:
        """Return the length of the shortest possible record of the template, in bytes."""
        return sum(1 if each.length == VARIABLE_LENGTH else each.length for each in self.fields)


IANA_ELEMENTS = [
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
    Element("userName", 371, Kind.TEXT, VARIABLE_LENGTH),
]
ENTERPRISE_ELEMENTS = [  # name, number, kind, length; defined under the operator's enterprise number
    ("tenant", 1, Kind.TEXT, VARIABLE_LENGTH),
    ("dispatcher", 2, Kind.UNSIGNED, 4),
    ("tariff", 3, Kind.TEXT, VARIABLE_LENGTH),
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
BY_NAME = {each.name: each for each in IANA_ELEMENTS}
REVERSIBLE = ("octetDeltaCount", "packetDeltaCount")


class Elements:
    """The known information elements, including those of one enterprise number. Elements that are not known
    are decoded as bytes.
    """

    def __init__(self, enterprise: int = EXAMPLE_ENTERPRISE) -> None:
        self.enterprise = enterprise
        own = [
            Element(name, number, kind, length, enterprise)
            for name, number, kind, length in ENTERPRISE_ELEMENTS
        ]
        back = [
            Element(
                "reverse" + name[0].upper() + name[1:],
                BY_NAME[name].number,
                Kind.UNSIGNED,
                8,
                REVERSE_ENTERPRISE,
            )
            for name in REVERSIBLE
        ]
        known = [*IANA_ELEMENTS, *own, *back]
        self.by_name = {each.name: each for each in known}
        self.by_number = {(each.enterprise, each.number): each for each in known}

    def named(self, name: str) -> Element:
        """Return the known element with a name. Raises KeyError if there is none."""
        return self.by_name[name]

    def numbered(self, enterprise: int, number: int) -> Element:
        """Return the element with an enterprise and element number. For an unknown element, return one of
        kind BYTES named after its numbers.
        """
        found = self.by_number.get((enterprise, number))
        return found or Element(f"{enterprise}/{number}", number, Kind.BYTES, VARIABLE_LENGTH, enterprise)

    def template(
        self, number: int, names: list[str], scopes: int = 0, text: int = VARIABLE_LENGTH
    ) -> Template:
        """Return a template of the elements with the given names. `text` is the length of text fields in
        bytes, for NetFlow v9, which has no variable lengths.
        """
        fields = [self.named(each) for each in names]
        return Template(
            number,
            tuple(Field(each, text if each.length == VARIABLE_LENGTH else each.length) for each in fields),
            scopes,
        )
