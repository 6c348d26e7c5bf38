"""Encoders and decoder of IPFIX and NetFlow v9: against messages assembled by hand, against each other, and
against arbitrary bytes.
"""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.flows import decode, ipfix, netflow9
from lichencleat.flows.elements import EXAMPLE_ENTERPRISE, VARIABLE_LENGTH, Elements, Kind
from lichencleat.flows.ipfix import RecordEncodeError

FLOW = ["sourceIPv4Address", "destinationIPv4Address", "octetDeltaCount", "packetDeltaCount"]
FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=200)


@pytest.fixture
def elements():
    return Elements()


@pytest.fixture
def session(elements):
    return decode.Session(elements)


def by_hand_ipfix():
    """An IPFIX message (RFC 7011, 3.1 to 3.4 and 7), one field a line, with lengths in the comments."""
    template = bytes.fromhex(
        "0002 001c"  # set 2 (templates), 4 + 24 bytes
        "0100 0004"  # template 256, 4 fields
        "0008 0004"  # sourceIPv4Address, 4 bytes
        "0001 0008"  # octetDeltaCount, 8 bytes
        "8001 ffff 00007ed9"  # enterprise element 1 (tenant), variable length, enterprise 32473
        "0088 0001"  # flowEndReason, 1 byte
    )
    data = bytes.fromhex(
        "0100 0018"  # set 256, 4 + 20 bytes
        "7f000001"  # 127.0.0.1
        "0000000100000002"  # 2^32 + 2
        "06 6d61696e7a31"  # 6 bytes: mainz1
        "03"  # flowEndReason 3: end of flow
    )
    # 16 + 28 + 24 = 68 bytes; export time 5 s, sequence 9, domain 7
    head = bytes.fromhex("000a 0044 00000005 00000009 00000007")
    return head + template + data


IPFIX_NAMES = ["sourceIPv4Address", "octetDeltaCount", "tenant", "flowEndReason"]
IPFIX_ROW = [b"\x7f\0\0\x01", (1 << 32) + 2, "mainz1", 3]


def test_an_encoded_ipfix_message_equals_the_one_made_by_hand(elements):
    writer = ipfix.Writer(domain=7, max_bytes=1400)
    writer.sequence = 9
    template = elements.template(256, IPFIX_NAMES)
    assert writer.messages(5, [template], [(template, IPFIX_ROW)]) == [by_hand_ipfix()]
    assert writer.sequence == 10


def test_an_ipfix_message_made_by_hand_is_decoded(session):
    (read,) = session.decode_message(by_hand_ipfix())
    assert (read.version, read.domain, read.template, read.seconds) == (10, 7, 256, 5)
    assert read.as_dict() == dict(zip(IPFIX_NAMES, IPFIX_ROW, strict=True))
    assert session.domains[10, 7].expected == 10


def by_hand_netflow():
    """A NetFlow v9 packet (RFC 3954, 5.1 to 5.3 and 6.1), one field a line."""
    template = bytes.fromhex(
        "0000 0010"  # flow set 0 (templates), 4 + 12 bytes
        "0101 0002"  # template 257, 2 fields
        "0001 0008"  # IN_BYTES, 8 bytes
        "0004 0001"  # PROTOCOL, 1 byte
    )
    options = bytes.fromhex(
        "0001 0014"  # flow set 1 (option templates), 4 + 14 + 2 bytes
        "0102 0004 0004"  # template 258, 4 bytes of scopes, 4 of options
        "0001 0004"  # scope: system, 4 bytes
        "002a 0008"  # TOTAL_FLOWS_EXP, 8 bytes
        "0000"  # padding to 4
    )
    data = bytes.fromhex(
        "0101 0018"  # flow set 257, 4 + 2 x 9 + 2 bytes
        "00000000000003e8 06"  # 1,000 bytes, TCP
        "ffffffffffffffff 11"  # 2^64 - 1 bytes, UDP
        "0000"
    )
    about = bytes.fromhex("0102 0010 00000000 0000000000000002")  # flow set 258, 4 + 12 bytes
    # 5 records, uptime 2 s, Unix time 5 s, sequence 3, source id 7
    head = bytes.fromhex("0009 0005 000007d0 00000005 00000003 00000007")
    return head + template + options + data + about


def test_an_encoded_netflow_packet_equals_the_one_made_by_hand(elements):
    writer = netflow9.Writer(source=7, max_bytes=1400, started_ms=3_000)
    writer.sequence = 3
    flow = elements.template(257, ["octetDeltaCount", "protocolIdentifier"])
    option = elements.template(258, ["observationDomainId", "exportedFlowRecordTotalCount"], scopes=1)
    rows = [(flow, [1_000, 6]), (flow, [(1 << 64) - 1, 17]), (option, [0, 2])]
    assert writer.packets(5_000, [flow, option], rows) == [by_hand_netflow()]
    assert writer.sequence == 4


def test_a_netflow_packet_made_by_hand_is_decoded(session):
    one, two, about = session.decode_message(by_hand_netflow())
    assert one.as_dict() == {"octetDeltaCount": 1_000, "protocolIdentifier": 6}
    assert two.as_dict()["octetDeltaCount"] == (1 << 64) - 1
    assert about.scopes == 1 and about.as_dict()["exportedFlowRecordTotalCount"] == 2
    assert (one.uptime_ms, one.seconds, one.domain) == (2_000, 5, 7)


VALUES = {
    Kind.UNSIGNED: lambda length: st.integers(0, (1 << 8 * length) - 1),
    Kind.ADDRESS: lambda length: st.binary(min_size=length, max_size=length),
    Kind.TEXT: lambda length: st.text(max_size=300 if length == VARIABLE_LENGTH else length // 4).map(
        lambda t: t.rstrip("\0")
    ),
}


@st.composite
def flows(draw, for_netflow):
    known = Elements()
    names = [n for n, each in known.by_name.items() if not (for_netflow and each.enterprise)]
    template = known.template(
        draw(st.integers(256, 65_535)),
        draw(st.lists(st.sampled_from(names), min_size=1, max_size=12)),
        text=32 if for_netflow else VARIABLE_LENGTH,
    )
    row = st.tuples(*(VALUES[each.element.kind](each.length) for each in template.fields))
    return template, draw(st.lists(row, max_size=40))


@FIXED
@given(flows(for_netflow=False), st.integers(0, (1 << 32) - 1))
def test_encoded_ipfix_is_decoded_to_the_same_values(flow, sequence):
    template, rows = flow
    writer, session = ipfix.Writer(1, max_bytes=9_000), decode.Session(Elements())
    writer.sequence = sequence
    made = writer.messages(1, [template], [(template, row) for row in rows])
    found = [read for message in made for read in session.decode_message(message)]
    assert [[value for _, value in read.values] for read in found] == [list(row) for row in rows]
    assert all(len(each) <= 9_000 for each in made) and session.counts["records lost"] == 0
    assert writer.sequence == (sequence + len(rows)) % (1 << 32)


@FIXED
@given(flows(for_netflow=True))
def test_encoded_netflow_is_decoded_to_the_same_values(flow):
    template, rows = flow
    if template.min_record_bytes() < 4 and len(rows) % 4:
        return  # padding looks like a record of at most three bytes; real templates are longer
    writer, session = netflow9.Writer(1, max_bytes=1_400, started_ms=0), decode.Session(Elements())
    made = writer.packets(1_000, [template], [(template, row) for row in rows])
    found = [read for packet in made for read in session.decode_message(packet)]
    assert [[value for _, value in read.values] for read in found] == [list(row) for row in rows]
    assert all(len(each) <= 1_400 and len(each) % 4 == 0 for each in made)


@FIXED
@given(st.binary(max_size=200))
def test_no_bytes_make_the_decoder_raise(noise):
    session = decode.Session(Elements())
    for head in (b"", b"\0\x09\0\x01" + bytes(16), struct.pack("!HHIII", 10, 16 + len(noise), 0, 0, 0)):
        session.decode_message(head + noise)
        stream = decode.Stream(session)
        stream.feed(head + noise)
        assert len(stream.buffer) <= decode.MAX_MESSAGE_BYTES


@FIXED
@given(st.integers(0, 67), st.integers(0, 255))
def test_no_altered_byte_of_a_good_message_makes_the_decoder_raise(at, byte):
    for good in (by_hand_ipfix(), by_hand_netflow()):
        bad = bytearray(good)
        bad[at] = byte
        decode.Session(Elements()).decode_message(bytes(bad))


@pytest.mark.parametrize("step", [1, 7, 68, 500])
def test_a_stream_may_be_split_anywhere(session, step):
    stream = decode.Stream(session)
    data = by_hand_ipfix() * 5
    found = [read for at in range(0, len(data), step) for read in stream.feed(data[at : at + step])]
    assert len(found) == 5 and not stream.buffer and not stream.broken


def message(*sets, domain=7, sequence=0):
    body = b"".join(struct.pack("!HH", number, 4 + len(data)) + data for number, data in sets)
    return struct.pack("!HHIII", 10, 16 + len(body), 5, sequence, domain) + body


def template_of(number, *fields):
    return struct.pack("!HH", number, len(fields)) + b"".join(struct.pack("!HH", *each) for each in fields)


@pytest.mark.parametrize(
    ("bad", "counter"),
    [
        (b"\0\x05" + bytes(30), "a version that is neither 9 nor 10"),
        (message((2, b"")) + b"x", "a message's length is not its own"),
        (message()[:15], "a message's length is not its own"),
        (struct.pack("!HHIIIHH", 10, 20, 0, 0, 0, 256, 3), "a set's length is not its own"),
        (struct.pack("!HHIIIHH", 10, 20, 0, 0, 0, 256, 900), "a set's length is not its own"),
        (message((2, template_of(256, (1, 0)))), "templates of no bytes"),
        (message((2, template_of(255, (1, 8)))), "templates with a number that is none"),
        (message((2, struct.pack("!HH", 256, 60_000))), "a template with too many fields"),
        (message((2, struct.pack("!HH", 256, 9))), "a field ends behind its set"),
        (message((3, struct.pack("!HHH", 256, 1, 2) + b"\0\x01\0\x08")), "option templates without a scope"),
        (
            message((2, template_of(256, (371, VARIABLE_LENGTH))), (256, b"\xff\xff")),
            "a field ends behind its set",
        ),
        (message((77, b"1234")), "sets of an unknown kind"),
    ],
)
def test_each_kind_of_error_has_its_counter(session, bad, counter):
    assert session.decode_message(bad) == []
    assert session.counts == {"messages": 1, "records": 0, counter: 1}


def test_state_is_bounded_with_a_hostile_sender(session):
    many = [template_of(number, (1, 8)) for number in range(256, 256 + 2 * decode.MAX_TEMPLATES)]
    session.decode_message(message((2, b"".join(many))))
    assert len(session.domains[10, 7].templates) == decode.MAX_TEMPLATES
    for number in range(2 * decode.MAX_DOMAINS):
        session.decode_message(message((999, b"x" * 1_000), domain=number))
    assert len(session.domains) == decode.MAX_DOMAINS
    assert (
        len(session.pending_sets) <= decode.MAX_PENDING_SETS
        and session.pending_bytes <= decode.MAX_PENDING_BYTES
    )
    assert (
        session.counts["sets without a template dropped"] == 2 * decode.MAX_DOMAINS - decode.MAX_PENDING_SETS
    )
    one_byte = message((2, template_of(300, (4, 1))), (300, bytes(60_000)), domain=1)
    assert len(session.decode_message(one_byte)) == decode.MAX_RECORDS


def test_data_before_its_template_is_decoded_when_the_template_arrives(session):
    assert session.decode_message(message((256, bytes(7) + b"\x05"))) == []
    (read,) = session.decode_message(message((2, template_of(256, (1, 8)))))
    assert read.as_dict() == {"octetDeltaCount": 5} and session.pending_sets == []


def test_lost_records_are_counted_and_a_restarted_sender_is_no_loss(session):
    data = (256, bytes(8))
    session.decode_message(message((2, template_of(256, (1, 8))), data))
    session.decode_message(message(data, sequence=1))
    session.decode_message(message(data, sequence=12))
    assert session.counts["records lost"] == 10
    session.decode_message(message(data, sequence=0))
    assert session.counts["records lost"] == 10
    assert session.counts["sequences begun anew or out of order"] == 1


def test_a_withdrawn_template_is_forgotten(session):
    session.decode_message(message((2, template_of(256, (1, 8)) + template_of(257, (2, 8)))))
    session.decode_message(message((2, struct.pack("!HH", 256, 0))))
    assert list(session.domains[10, 7].templates) == [257]
    session.decode_message(message((2, struct.pack("!HH", 2, 0))))
    assert not session.domains[10, 7].templates


def test_no_number_is_truncated(elements):
    template = elements.template(256, ["flowStartSysUpTime", "octetDeltaCount"])
    for row in ([1 << 32, 0], [0, 1 << 64], [-1, 0]):
        for make in (
            lambda row=row: ipfix.Writer(1, 1400).messages(0, [], [(template, row)]),
            lambda row=row: netflow9.Writer(1, 1400, 0).packets(0, [], [(template, row)]),
        ):
            with pytest.raises(RecordEncodeError):
                make()


def test_a_record_that_fits_no_message_raises_and_leaves_the_writer_unchanged(elements):
    template = elements.template(256, ["tenant"])
    writer = ipfix.Writer(1, max_bytes=100)
    with pytest.raises(RecordEncodeError):
        writer.messages(0, [template], [(template, ["good"]), (template, ["x" * 200])])
    assert (writer.sequence, writer.sets) == (0, [])
    assert len(writer.messages(0, [template], [(template, ["good"])] * 50)) > 1


def test_netflow_rejects_elements_that_it_cannot_encode(elements):
    for template in (elements.template(256, ["tariff"]), elements.template(256, ["userName"])):
        with pytest.raises(RecordEncodeError):
            netflow9.Writer(1, 1400, 0).packets(0, [template], [])
    assert elements.named("tariff").enterprise == EXAMPLE_ENTERPRISE


def test_uptime_wraps_around_and_is_never_negative():
    writer = netflow9.Writer(1, 1400, started_ms=10_000)
    assert writer.uptime(9_000) == 0
    assert writer.uptime(10_000 + (1 << 32) + 5) == 5
