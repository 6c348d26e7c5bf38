"""Metering and the bounded record queue: whatever happens, the records add up to what was metered."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.flows.meter import SEGMENT_OCTETS, Counts, EndReason, Meter, Record
from lichencleat.flows.pressure import MAX_AGGREGATES, RecordQueue

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
    flow = meter.open_flow(0, THERE, HERE)
    flow.add_received(10, 300)
    flow.add_sent(20, 5_000)
    flow.counts.honoured += 1
    meter.end_flow(30, flow)
    meter.end_flow(40, flow)  # a second end makes no record
    (record,) = due(meter, 50)
    assert (record.counts.octets_in, record.counts.octets_out, record.counts.honoured) == (300, 5_000, 1)
    assert (record.began, record.ended, record.end, record.flow) == (0, 30, EndReason.END_OF_FLOW, 1)
    assert (record.source, record.source_port, record.target_port) == (THERE[0], 40_000, 8443)
    assert not meter.open_flows


def test_a_connection_without_traffic_has_one_record_at_its_end(meter):
    flow = meter.open_flow(0, THERE, HERE)
    assert due(meter, 200 * SECOND) == []
    meter.end_flow(201 * SECOND, flow, EndReason.LACK_OF_RESOURCES)
    assert [record.end for record in due(meter, 201 * SECOND)] == [EndReason.LACK_OF_RESOURCES]


def test_the_records_of_a_long_flow_add_up(meter):
    flow = meter.open_flow(0, THERE, HERE)
    records = []
    for second in range(0, 7 * 24 * 3600, 30):  # a week
        flow.add_received(second * SECOND, 10)
        records += due(meter, second * SECOND)
    meter.end_flow(7 * 24 * 3600 * SECOND, flow)
    records += due(meter, 7 * 24 * 3600 * SECOND)
    assert sum(each.counts.octets_in for each in records) == 10 * 7 * 24 * 120
    assert {each.end for each in records[:-1]} == {EndReason.ACTIVE} and records[
        -1
    ].end is EndReason.END_OF_FLOW
    assert all(one.ended <= two.began for one, two in zip(records, records[1:], strict=False))
    assert 7 * 24 * 60 * 0.7 < len(records) <= 7 * 24 * 60 + 1


def test_a_quiet_flow_has_one_record_at_the_idle_timeout(meter):
    flow = meter.open_flow(0, THERE, HERE)
    flow.add_received(SECOND, 10)
    found = [record for second in range(100) for record in due(meter, second * SECOND)]
    assert [each.end for each in found] == [EndReason.IDLE] and found[0].ended <= 20 * SECOND


def test_a_change_of_tenant_ends_the_record(meter):
    flow = meter.open_flow(0, THERE, HERE)
    flow.add_received(1, 100)
    meter.set_owner(1, flow, "mainz1", "look", 7)
    flow.add_received(2, 50)
    meter.set_owner(2, flow, "oslo", "look", 7)
    flow.add_sent(3, 9)
    meter.end_flow(4, flow)
    assert [(each.tenant, each.counts.octets(), each.end) for each in due(meter, 5)] == [
        ("mainz1", 150, EndReason.FORCED),
        ("oslo", 9, EndReason.END_OF_FLOW),
    ]


def test_a_record_has_the_tariff_that_all_its_requests_share(meter):
    flow = meter.open_flow(0, THERE, HERE)
    for tariffs in (["look", "look"], ["look", "save", "look"], []):
        for tariff in tariffs:
            meter.set_owner(1, flow, "t", tariff, 7)
        flow.add_sent(1, 1)
        meter.drain(2)
    assert [each.tariff for each in due(meter, 2)] == ["look", "(several)", ""]


def test_a_drain_makes_records_of_ten_thousand_open_flows_despite_a_small_queue(meter):
    queue = RecordQueue(500)
    for n in range(10_000):
        flow = meter.open_flow(n, THERE, HERE)
        meter.set_owner(n, flow, f"t{n % 7}", "look", 1)
        flow.add_received(n, n)
    meter.drain(10_000)
    for each in due(meter, 10_000):
        queue.offer(each)
    taken = queue.take(1_000)
    assert len(taken) == 507 and sum(each.counts.octets_in for each in taken) == sum(range(10_000))


def test_a_drain_makes_records_of_open_flows_and_counts_nothing_twice(meter):
    flows = [meter.open_flow(0, THERE, HERE) for _ in range(300)]
    for flow in flows[:200]:
        flow.add_sent(1, 10)
    meter.drain(2)
    assert [each.end for each in due(meter, 2)] == [EndReason.FORCED] * 200
    for flow in flows:
        meter.end_flow(3, flow)
    assert sum(each.counts.octets() for each in due(meter, 3)) == 0
    assert meter.total.octets_out == 2_000


def test_packets_come_from_the_kernel_or_are_estimated(meter):
    counted, estimated = meter.open_flow(0, THERE, HERE), meter.open_flow(0, THERE, HERE)
    for flow in (counted, estimated):
        flow.add_received(1, 3 * SEGMENT_OCTETS + 1)
        flow.add_sent(1, 5)
        flow.add_sent(1, 5)
    meter.add_segments(counted, 9, 4)
    meter.end_flow(2, counted)
    meter.end_flow(2, estimated)
    one, two = due(meter, 3)
    assert (one.counts.packets_in, one.counts.packets_out, one.estimated) == (9, 4, False)
    assert (two.counts.packets_in, two.counts.packets_out, two.estimated) == (4, 2, True)


def test_segments_are_counted_since_the_previous_record(meter):
    flow = meter.open_flow(0, THERE, HERE)
    flow.add_received(1, 1)
    meter.add_segments(flow, 5, 5)
    meter.drain(2)
    flow.add_received(3, 1)
    meter.add_segments(flow, 7, 6)
    meter.end_flow(4, flow)
    assert [(each.counts.packets_in, each.counts.packets_out) for each in due(meter, 4)] == [(5, 5), (2, 1)]


def test_a_clock_that_steps_back_neither_delays_records_nor_makes_negative_durations(meter):
    flow = meter.open_flow(1_000 * SECOND, THERE, HERE)
    flow.add_received(1_000 * SECOND, 10)
    found = [record for second in range(100) for record in due(meter, (500 + second) * SECOND)]
    meter.end_flow(600 * SECOND, flow)
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
def test_records_aggregates_and_open_flows_add_up_to_all_that_was_metered(happened, most, seed):
    meter, queue, rng = Meter(active=20 * SECOND, idle=5 * SECOND), RecordQueue(most), random.Random(seed)
    flows, now, metered, sent = [], 100 * SECOND, Counts(), Counts()
    by_tenant, recorded = {}, {}
    for what, which, span in happened:
        now = max(0, now + span)
        flow = flows[which % len(flows)] if flows else None
        if what == "open":
            flows.append(meter.open_flow(now, THERE, HERE))
        elif flow is None:
            continue
        elif what in ("in", "out"):
            (flow.add_received if what == "in" else flow.add_sent)(now, which + 1)
            metered.add(Counts(octets_in=which + 1) if what == "in" else Counts(octets_out=which + 1))
            if flow.tenant:
                by_tenant[flow.tenant] = by_tenant.get(flow.tenant, 0) + which + 1
        elif what == "tenant":
            if not flow.tenant:  # octets before the first request belong to that request's tenant
                early = flow.counts.octets()
                if early:
                    by_tenant[f"t{which}"] = by_tenant.get(f"t{which}", 0) + early
            meter.set_owner(now, flow, f"t{which}", "look", 1)
        elif what == "honoured":
            flow.counts.honoured += 1
            metered.add(Counts(honoured=1))
        elif what == "end":
            meter.end_flow(now, flow)
            flows.remove(flow)
        else:
            meter.drain(now)
        for record in due(meter, now):
            queue.offer(record)
            recorded[record.tenant] = recorded.get(record.tenant, 0) + record.counts.octets()
        if rng.random() < 0.3:
            taken = queue.take(rng.randrange(1, 4))
            if rng.random() < 0.3:
                queue.requeue(taken)
            else:
                for each in taken:
                    sent.add(each.counts)
        assert len(queue.records) <= most
        together = Counts()
        for part in (sent, queue.queued_counts(), meter.open_counts()):
            together.add(part)
        assert (together.octets_in, together.octets_out) == (metered.octets_in, metered.octets_out)
        assert together.honoured == metered.honoured
        shown = dict(recorded)
        for each in flows:
            shown[each.tenant] = shown.get(each.tenant, 0) + each.counts.octets()
        assert {tenant: octets for tenant, octets in shown.items() if tenant and octets} == by_tenant


def record(tenant="t", octets=10):
    return Record(
        1,
        b"\0" * 4,
        b"\0" * 4,
        1,
        2,
        tenant,
        "",
        0,
        5,
        9,
        EndReason.END_OF_FLOW,
        False,
        Counts(octets_in=octets),
    )


def test_the_smallest_of_the_oldest_records_is_folded_into_its_tenants_aggregate():
    queue = RecordQueue(3)
    for octets in (500, 20, 900, 700):
        queue.offer(record(octets=octets))
    assert [each.counts.octets_in for each in queue.records] == [500, 900, 700]
    aggregate, first = queue.take(2)
    assert (aggregate.tenant, aggregate.folded, aggregate.counts.octets_in) == ("t", 1, 20)
    assert first.counts.octets_in == 500
    assert (queue.folded, queue.folded_counts.octets_in) == (1, 20)


def test_aggregates_are_bounded_and_further_tenants_share_an_unnamed_one():
    queue = RecordQueue(1)
    for n in range(MAX_AGGREGATES + 50):
        queue.offer(record(tenant=f"t{n}"))
    assert len(queue.aggregates) <= MAX_AGGREGATES + 1
    assert queue.aggregates[""].folded == 49
    assert queue.queued_counts().octets_in == 10 * (MAX_AGGREGATES + 50)


def test_a_requeued_aggregate_is_counted_once():
    queue = RecordQueue(1)
    for _ in range(3):
        queue.offer(record())
    taken = queue.take(9)
    queue.requeue(taken)
    assert queue.folded == 2 and queue.take(1)[0].folded == 2
