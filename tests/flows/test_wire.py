"""The flows' wire: encoders and decoder against bytes worked out by hand, against each other, against
anything at all.
"""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.flows import decode, ipfix, netflow9
from lichencleat.flows.elements import EXAMPLE_ENTERPRISE, VARIABLE, Elements, Kind
from lichencleat.flows.ipfix import UnfitRecordError

FLOW = ["sourceIPv4Address", "destinationIPv4Address", "octetDeltaCount", "packetDeltaCount"]
FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=200)


@pytest.fixture
def elements():
    return Elements()


@pytest.fixture
def session(elements):
    return decode.Session(elements)


def by_hand_ipfix():
    """RFC 7011, 3.1 to 3.4 and 7, a line a field; lengths added up beside."""
    template = bytes.fromhex(
        "0002 001c"  # set 2 (templates), 4 + 24 bytes
        "0100 0004"  # template 256, 4 fields
        "0008 0004"  # sourceIPv4Address, 4 bytes
        "0001 0008"  # octetDeltaCount, 8 bytes
        "8001 ffff 00007ed9"  # our element 1 (tenant), variable, enterprise 32473
        "0088 0001"  # flowEndReason, 1 byte
    )
    data = bytes.fromhex(
        "0100 0018"  # set 256, 4 + 20 bytes
        "7f000001"  # 127.0.0.1
        "0000000100000002"  # 2^32 + 2
        "06 6d61696e7a31"  # 6 bytes: mainz1
        "03"  # end of flow
    )
    # 16 + 28 + 24 = 68 bytes; 5 s, sequence 9, domain 7
    head = bytes.fromhex("000a 0044 00000005 00000009 00000007")
    return head + template + data


IPFIX_NAMES = ["sourceIPv4Address", "octetDeltaCount", "tenant", "flowEndReason"]
IPFIX_ROW = [b"\x7f\0\0\x01", (1 << 32) + 2, "mainz1", 3]


def test_an_ipfix_message_is_made_as_worked_out_by_hand(elements):
    writer = ipfix.Writer(domain=7, most=1400)
    writer.sequence = 9
    template = elements.template(256, IPFIX_NAMES)
    assert writer.messages(5, [template], [(template, IPFIX_ROW)]) == [by_hand_ipfix()]
    assert writer.sequence == 10


def test_an_ipfix_message_worked_out_by_hand_is_read(session):
    (read,) = session.datagram(by_hand_ipfix())
    assert (read.version, read.domain, read.template, read.seconds) == (10, 7, 256, 5)
    assert read.named() == dict(zip(IPFIX_NAMES, IPFIX_ROW, strict=True))
    assert session.domains[10, 7].expected == 10


def by_hand_netflow():
    """RFC 3954, 5.1 to 5.3 and 6.1."""
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
    # 5 records, 2 s up, 5 s, packet 3, source 7
    head = bytes.fromhex("0009 0005 000007d0 00000005 00000003 00000007")
    return head + template + options + data + about


def test_a_netflow_packet_is_made_as_worked_out_by_hand(elements):
    writer = netflow9.Writer(source=7, most=1400, started_ms=3_000)
    writer.sequence = 3
    flow = elements.template(257, ["octetDeltaCount", "protocolIdentifier"])
    option = elements.template(258, ["observationDomainId", "exportedFlowRecordTotalCount"], scopes=1)
    rows = [(flow, [1_000, 6]), (flow, [(1 << 64) - 1, 17]), (option, [0, 2])]
    assert writer.packets(5_000, [flow, option], rows) == [by_hand_netflow()]
    assert writer.sequence == 4


def test_a_netflow_packet_worked_out_by_hand_is_read(session):
    one, two, about = session.datagram(by_hand_netflow())
    assert one.named() == {"octetDeltaCount": 1_000, "protocolIdentifier": 6}
    assert two.named()["octetDeltaCount"] == (1 << 64) - 1
    assert about.scopes == 1 and about.named()["exportedFlowRecordTotalCount"] == 2
    assert (one.uptime_ms, one.seconds, one.domain) == (2_000, 5, 7)


VALUES = {
    Kind.UNSIGNED: lambda length: st.integers(0, (1 << 8 * length) - 1),
    Kind.ADDRESS: lambda length: st.binary(min_size=length, max_size=length),
    Kind.TEXT: lambda length: st.text(max_size=300 if length == VARIABLE else length // 4).map(
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
        text=32 if for_netflow else VARIABLE,
    )
    row = st.tuples(*(VALUES[each.element.kind](each.length) for each in template.fields))
    return template, draw(st.lists(row, max_size=40))


@FIXED
@given(flows(for_netflow=False), st.integers(0, (1 << 32) - 1))
def test_whatever_ipfix_is_made_is_read_back(flow, sequence):
    template, rows = flow
    writer, session = ipfix.Writer(1, most=9_000), decode.Session(Elements())
    writer.sequence = sequence
    made = writer.messages(1, [template], [(template, row) for row in rows])
    found = [read for message in made for read in session.datagram(message)]
    assert [[value for _, value in read.values] for read in found] == [list(row) for row in rows]
    assert all(len(each) <= 9_000 for each in made) and session.counts["records lost"] == 0
    assert writer.sequence == (sequence + len(rows)) % (1 << 32)


@FIXED
@given(flows(for_netflow=True))
def test_whatever_netflow_is_made_is_read_back(flow):
    template, rows = flow
    if template.least() < 4 and len(rows) % 4:
        return  # padding of three bytes can't be told from records of three: no real template is as short
    writer, session = netflow9.Writer(1, most=1_400, started_ms=0), decode.Session(Elements())
    made = writer.packets(1_000, [template], [(template, row) for row in rows])
    found = [read for packet in made for read in session.datagram(packet)]
    assert [[value for _, value in read.values] for read in found] == [list(row) for row in rows]
    assert all(len(each) <= 1_400 and len(each) % 4 == 0 for each in made)


@FIXED
@given(st.binary(max_size=200))
def test_no_bytes_make_the_decoder_raise(noise):
    session = decode.Session(Elements())
    for head in (b"", b"\0\x09\0\x01" + bytes(16), struct.pack("!HHIII", 10, 16 + len(noise), 0, 0, 0)):
        session.datagram(head + noise)
        stream = decode.Stream(session)
        stream.feed(head + noise)
        assert len(stream.buffer) <= decode.MESSAGE_MOST


@FIXED
@given(st.integers(0, 67), st.integers(0, 255))
def test_no_altered_byte_of_a_good_message_makes_the_decoder_raise(at, byte):
    for good in (by_hand_ipfix(), by_hand_netflow()):
        bad = bytearray(good)
        bad[at] = byte
        decode.Session(Elements()).datagram(bytes(bad))


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
        (message((2, template_of(256, (371, VARIABLE))), (256, b"\xff\xff")), "a field ends behind its set"),
        (message((77, b"1234")), "sets of an unknown kind"),
    ],
)
def test_each_trouble_is_one_counter(session, bad, counter):
    assert session.datagram(bad) == []
    assert session.counts == {"messages": 1, "records": 0, counter: 1}


def test_a_hostile_sender_takes_bounded_room(session):
    many = [template_of(number, (1, 8)) for number in range(256, 256 + 2 * decode.TEMPLATES_MOST)]
    session.datagram(message((2, b"".join(many))))
    assert len(session.domains[10, 7].templates) == decode.TEMPLATES_MOST
    for number in range(2 * decode.DOMAINS_MOST):
        session.datagram(message((999, b"x" * 1_000), domain=number))
    assert len(session.domains) == decode.DOMAINS_MOST
    assert len(session.waiting) <= decode.WAITING_MOST and session.waiting_bytes <= decode.WAITING_BYTES
    assert session.counts["sets without a template dropped"] == 2 * decode.DOMAINS_MOST - decode.WAITING_MOST
    one_byte = message((2, template_of(300, (4, 1))), (300, bytes(60_000)), domain=1)
    assert len(session.datagram(one_byte)) == decode.RECORDS_MOST


def test_data_before_its_template_is_read_when_that_comes(session):
    assert session.datagram(message((256, bytes(7) + b"\x05"))) == []
    (read,) = session.datagram(message((2, template_of(256, (1, 8)))))
    assert read.named() == {"octetDeltaCount": 5} and session.waiting == []


def test_lost_records_are_counted_and_a_sender_that_begins_anew_is_no_loss(session):
    data = (256, bytes(8))
    session.datagram(message((2, template_of(256, (1, 8))), data))
    session.datagram(message(data, sequence=1))
    session.datagram(message(data, sequence=12))
    assert session.counts["records lost"] == 10
    session.datagram(message(data, sequence=0))
    assert session.counts["records lost"] == 10
    assert session.counts["sequences begun anew or out of order"] == 1


def test_a_withdrawn_template_is_forgotten(session):
    session.datagram(message((2, template_of(256, (1, 8)) + template_of(257, (2, 8)))))
    session.datagram(message((2, struct.pack("!HH", 256, 0))))
    assert list(session.domains[10, 7].templates) == [257]
    session.datagram(message((2, struct.pack("!HH", 2, 0))))
    assert not session.domains[10, 7].templates


def test_no_count_is_cut_to_fit(elements):
    template = elements.template(256, ["flowStartSysUpTime", "octetDeltaCount"])
    for row in ([1 << 32, 0], [0, 1 << 64], [-1, 0]):
        for make in (
            lambda row=row: ipfix.Writer(1, 1400).messages(0, [], [(template, row)]),
            lambda row=row: netflow9.Writer(1, 1400, 0).packets(0, [], [(template, row)]),
        ):
            with pytest.raises(UnfitRecordError):
                make()


def test_a_record_that_fits_no_message_is_refused_and_nothing_is_counted(elements):
    template = elements.template(256, ["tenant"])
    writer = ipfix.Writer(1, most=100)
    with pytest.raises(UnfitRecordError):
        writer.messages(0, [template], [(template, ["good"]), (template, ["x" * 200])])
    assert (writer.sequence, writer.sets) == (0, [])
    assert len(writer.messages(0, [template], [(template, ["good"])] * 50)) > 1


def test_netflow_refuses_what_it_has_no_words_for(elements):
    for template in (elements.template(256, ["tariff"]), elements.template(256, ["userName"])):
        with pytest.raises(UnfitRecordError):
            netflow9.Writer(1, 1400, 0).packets(0, [template], [])
    assert elements.named("tariff").enterprise == EXAMPLE_ENTERPRISE


def test_uptime_wraps_and_a_clock_that_steps_back_gives_none_below_zero():
    writer = netflow9.Writer(1, 1400, started_ms=10_000)
    assert writer.uptime(9_000) == 0
    assert writer.uptime(10_000 + (1 << 32) + 5) == 5
