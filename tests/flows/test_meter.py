"""Metering and what gives way under pressure: whatever happens, the records add up to what was metered."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.flows.meter import SEGMENT, Counts, End, Meter, Record
from lichencleat.flows.pressure import TENANTS_MOST, Pressure

SECOND = 1_000_000
HERE, THERE = (b"\x7f\0\0\x01", 8443), (b"\x7f\0\0\x02", 40_000)


@pytest.fixture
def meter():
    return Meter(active=60 * SECOND, idle=15 * SECOND)


def due(meter, now):
    found = []
    while (record := meter.next_record(now)) is not None:
        found.append(record)
    return found


def test_a_short_connection_is_one_record(meter):
    flow = meter.opened(0, THERE, HERE)
    flow.received(10, 300)
    flow.sent(20, 5_000)
    flow.counts.honoured += 1
    meter.ended(30, flow)
    meter.ended(40, flow)  # its end is told once
    (record,) = due(meter, 50)
    assert (record.counts.octets_in, record.counts.octets_out, record.counts.honoured) == (300, 5_000, 1)
    assert (record.began, record.ended, record.end, record.flow) == (0, 30, End.ENDED, 1)
    assert (record.source, record.source_port, record.target_port) == (THERE[0], 40_000, 8443)
    assert not meter.round


def test_a_connection_that_did_nothing_is_told_at_its_end_only(meter):
    flow = meter.opened(0, THERE, HERE)
    assert due(meter, 200 * SECOND) == []
    meter.ended(201 * SECOND, flow, End.LACK)
    assert [record.end for record in due(meter, 201 * SECOND)] == [End.LACK]


def test_a_long_flow_is_told_in_parts_that_add_up(meter):
    flow = meter.opened(0, THERE, HERE)
    records = []
    for second in range(0, 7 * 24 * 3600, 30):  # a week
        flow.received(second * SECOND, 10)
        records += due(meter, second * SECOND)
    meter.ended(7 * 24 * 3600 * SECOND, flow)
    records += due(meter, 7 * 24 * 3600 * SECOND)
    assert sum(each.counts.octets_in for each in records) == 10 * 7 * 24 * 120
    assert {each.end for each in records[:-1]} == {End.ACTIVE} and records[-1].end is End.ENDED
    assert all(one.ended <= two.began for one, two in zip(records, records[1:], strict=False))
    assert 7 * 24 * 60 * 0.7 < len(records) <= 7 * 24 * 60 + 1


def test_a_quiet_flow_is_told_once_at_the_idle_time(meter):
    flow = meter.opened(0, THERE, HERE)
    flow.received(SECOND, 10)
    found = [record for second in range(100) for record in due(meter, second * SECOND)]
    assert [each.end for each in found] == [End.IDLE] and found[0].ended <= 20 * SECOND


def test_a_tenant_that_changes_ends_the_record(meter):
    flow = meter.opened(0, THERE, HERE)
    flow.received(1, 100)
    meter.belongs(1, flow, "mainz1", "look", 7)
    flow.received(2, 50)
    meter.belongs(2, flow, "oslo", "look", 7)
    flow.sent(3, 9)
    meter.ended(4, flow)
    assert [(each.tenant, each.counts.octets(), each.end) for each in due(meter, 5)] == [
        ("mainz1", 150, End.FORCED),
        ("oslo", 9, End.ENDED),
    ]


def test_the_tariff_is_told_where_all_requests_of_a_record_have_the_same(meter):
    flow = meter.opened(0, THERE, HERE)
    for tariffs in (["look", "look"], ["look", "save", "look"], []):
        for tariff in tariffs:
            meter.belongs(1, flow, "t", tariff, 7)
        flow.sent(1, 1)
        meter.drain(2)
    assert [each.tariff for each in due(meter, 2)] == ["look", "(several)", ""]


def test_ten_thousand_open_flows_are_told_at_a_drain_whatever_waits(meter):
    pressure = Pressure(500)
    for n in range(10_000):
        flow = meter.opened(n, THERE, HERE)
        meter.belongs(n, flow, f"t{n % 7}", "look", 1)
        flow.received(n, n)
    meter.drain(10_000)
    for each in due(meter, 10_000):
        pressure.offer(each)
    taken = pressure.take(1_000)
    assert len(taken) == 507 and sum(each.counts.octets_in for each in taken) == sum(range(10_000))


def test_a_drain_tells_what_is_open_and_counts_nothing_twice(meter):
    flows = [meter.opened(0, THERE, HERE) for _ in range(300)]
    for flow in flows[:200]:
        flow.sent(1, 10)
    meter.drain(2)
    assert [each.end for each in due(meter, 2)] == [End.FORCED] * 200
    for flow in flows:
        meter.ended(3, flow)
    assert sum(each.counts.octets() for each in due(meter, 3)) == 0
    assert meter.total.octets_out == 2_000


def test_packets_are_the_kernels_where_it_tells_and_an_estimate_else(meter):
    told, guessed = meter.opened(0, THERE, HERE), meter.opened(0, THERE, HERE)
    for flow in (told, guessed):
        flow.received(1, 3 * SEGMENT + 1)
        flow.sent(1, 5)
        flow.sent(1, 5)
    meter.segments(told, 9, 4)
    meter.ended(2, told)
    meter.ended(2, guessed)
    one, two = due(meter, 3)
    assert (one.counts.packets_in, one.counts.packets_out, one.estimated) == (9, 4, False)
    assert (two.counts.packets_in, two.counts.packets_out, two.estimated) == (4, 2, True)


def test_segments_are_told_since_the_record_before(meter):
    flow = meter.opened(0, THERE, HERE)
    flow.received(1, 1)
    meter.segments(flow, 5, 5)
    meter.drain(2)
    flow.received(3, 1)
    meter.segments(flow, 7, 6)
    meter.ended(4, flow)
    assert [(each.counts.packets_in, each.counts.packets_out) for each in due(meter, 4)] == [(5, 5), (2, 1)]


def test_a_clock_that_steps_back_delays_no_record_for_long_and_makes_none_of_the_past(meter):
    flow = meter.opened(1_000 * SECOND, THERE, HERE)
    flow.received(1_000 * SECOND, 10)
    found = [record for second in range(100) for record in due(meter, (500 + second) * SECOND)]
    meter.ended(600 * SECOND, flow)
    found += due(meter, 600 * SECOND)
    assert sum(each.counts.octets_in for each in found) == 10
    assert all(each.began <= each.ended for each in found)


events = st.lists(
    st.tuples(
        st.sampled_from(["open", "in", "out", "tenant", "end", "drain", "honoured"]),
        st.integers(0, 5),
        st.integers(-5 * SECOND, 40 * SECOND),
    ),
    max_size=120,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(events, st.integers(1, 6), st.integers(0, 1 << 16))
def test_records_folds_and_what_is_open_add_up_to_all_that_was_metered(happened, most, seed):
    meter, pressure, rng = Meter(active=20 * SECOND, idle=5 * SECOND), Pressure(most), random.Random(seed)
    flows, now, metered, sent = [], 100 * SECOND, Counts(), Counts()
    by_tenant, told = {}, {}
    for what, which, span in happened:
        now = max(0, now + span)
        flow = flows[which % len(flows)] if flows else None
        if what == "open":
            flows.append(meter.opened(now, THERE, HERE))
        elif flow is None:
            continue
        elif what in ("in", "out"):
            (flow.received if what == "in" else flow.sent)(now, which + 1)
            metered.add(Counts(octets_in=which + 1) if what == "in" else Counts(octets_out=which + 1))
            if flow.tenant:
                by_tenant[flow.tenant] = by_tenant.get(flow.tenant, 0) + which + 1
        elif what == "tenant":
            if not flow.tenant:  # what came before the first request is its tenant's as well
                early = flow.counts.octets()
                if early:
                    by_tenant[f"t{which}"] = by_tenant.get(f"t{which}", 0) + early
            meter.belongs(now, flow, f"t{which}", "look", 1)
        elif what == "honoured":
            flow.counts.honoured += 1
            metered.add(Counts(honoured=1))
        elif what == "end":
            meter.ended(now, flow)
            flows.remove(flow)
        else:
            meter.drain(now)
        for record in due(meter, now):
            pressure.offer(record)
            told[record.tenant] = told.get(record.tenant, 0) + record.counts.octets()
        if rng.random() < 0.3:
            taken = pressure.take(rng.randrange(1, 4))
            if rng.random() < 0.3:
                pressure.give_back(taken)
            else:
                for each in taken:
                    sent.add(each.counts)
        assert len(pressure.queue) <= most
        together = Counts()
        for part in (sent, pressure.held(), meter.open_counts()):
            together.add(part)
        assert (together.octets_in, together.octets_out) == (metered.octets_in, metered.octets_out)
        assert together.honoured == metered.honoured
        shown = dict(told)
        for each in flows:
            shown[each.tenant] = shown.get(each.tenant, 0) + each.counts.octets()
        assert {tenant: octets for tenant, octets in shown.items() if tenant and octets} == by_tenant


def record(tenant="t", octets=10):
    return Record(
        1, b"\0" * 4, b"\0" * 4, 1, 2, tenant, "", 0, 5, 9, End.ENDED, False, Counts(octets_in=octets)
    )


def test_the_least_of_the_oldest_gives_way_into_its_tenants_aggregate():
    pressure = Pressure(3)
    for octets in (500, 20, 900, 700):
        pressure.offer(record(octets=octets))
    assert [each.counts.octets_in for each in pressure.queue] == [500, 900, 700]
    aggregate, first = pressure.take(2)
    assert (aggregate.tenant, aggregate.folded, aggregate.counts.octets_in) == ("t", 1, 20)
    assert first.counts.octets_in == 500
    assert (pressure.folded, pressure.folded_counts.octets_in) == (1, 20)


def test_aggregates_are_bounded_and_the_rest_goes_without_a_name():
    pressure = Pressure(1)
    for n in range(TENANTS_MOST + 50):
        pressure.offer(record(tenant=f"t{n}"))
    assert len(pressure.aggregates) <= TENANTS_MOST + 1
    assert pressure.aggregates[""].folded == 49
    assert pressure.held().octets_in == 10 * (TENANTS_MOST + 50)


def test_an_aggregate_that_could_not_be_sent_is_counted_once():
    pressure = Pressure(1)
    for _ in range(3):
        pressure.offer(record())
    taken = pressure.take(9)
    pressure.give_back(taken)
    assert pressure.folded == 2 and pressure.take(1)[0].folded == 2
