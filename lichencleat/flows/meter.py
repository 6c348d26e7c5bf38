"""Meters connections: counts octets, packets and requests of each, and makes flow records when they are due.
No I/O, and no clock of its own.

Events only add to counters. The caller asks for due records until there are none. A record holds what was
counted since the flow's previous record, so the records of a flow add up to its totals: no octet is counted
twice and none is missing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import IntEnum

# payload octets of a full TCP segment on Ethernet with timestamps; used to estimate packets from octets
SEGMENT_OCTETS = 1_448
SEVERAL_TARIFFS = "(several)"  # tariff of a record whose requests had more than one tariff
MAX_NAME_CHARACTERS = 64  # characters kept of a tenant's or tariff's name in a record
SECOND = 1_000_000  # µs


class EndReason(IntEnum):
    """Why a flow record ends (RFC 5102, 5.11.3: flowEndReason)."""

    IDLE = 1
    ACTIVE = 2
    END_OF_FLOW = 3
    FORCED = 4  # the meter was drained, or the tenant changed
    LACK_OF_RESOURCES = 5  # the node closed the connection because resources ran short


@dataclass(slots=True)
class Counts:
    """Counters of a flow record, an aggregate of records, or all flows together. Requests are counted by
    outcome: `honoured` (served), `deferred` (rejected), `given_up` (failed), `abandoned` (cancelled by the
    client).
    """

    octets_in: int = 0  # sent by the connection's initiator
    octets_out: int = 0
    packets_in: int = 0
    packets_out: int = 0
    honoured: int = 0
    deferred: int = 0
    given_up: int = 0
    abandoned: int = 0
    held: int = 0  # µs that requests waited before they ran, summed over all requests
    run: int = 0  # µs that requests ran, summed over all requests

    def add(self, more: Counts) -> None:
        """Add all counters of another instance to this one."""
        self.octets_in += more.octets_in
        self.octets_out += more.octets_out
        self.packets_in += more.packets_in
        self.packets_out += more.packets_out
        self.honoured += more.honoured
        self.deferred += more.deferred
        self.given_up += more.given_up
        self.abandoned += more.abandoned
        self.held += more.held
        self.run += more.run

    def octets(self) -> int:
        """Return the octets of both directions."""
        return self.octets_in + self.octets_out

    def requests(self) -> int:
        """Return the number of requests, whatever their outcome."""
        return self.honoured + self.deferred + self.given_up + self.abandoned


@dataclass(slots=True)
class Record:
    """What one flow did since its previous record. Times are in µs of Unix time; addresses are 4 or 16 bytes
    in network byte order.
    """

    flow: int
    source: bytes
    target: bytes
    source_port: int
    target_port: int
    tenant: str
    tariff: str  # tariff of all requests in the record, or SEVERAL_TARIFFS
    dispatcher: int
    began: int
    ended: int
    end: EndReason
    estimated: bool  # packets are estimated, because the kernel reported no segment counts
    counts: Counts
    folded: int = 0  # in an aggregate: number of records added to it; otherwise 0


class Flow:
    """One open connection and its counters since the last flow record. `Meter.end_flow` releases the flow."""

    __slots__ = (
        "number",
        "source",
        "target",
        "source_port",
        "target_port",
        "tenant",
        "tariff",
        "dispatcher",
        "since",
        "last",
        "counts",
        "reads",
        "writes",
        "segments_in",
        "segments_out",
        "split",
    )

    def __init__(self, number: int, source: tuple[bytes, int], target: tuple[bytes, int], now: int) -> None:
        self.number = number
        self.source, self.source_port = source
        self.target, self.target_port = target
        self.tenant = self.tariff = ""
        self.dispatcher = 0
        self.since = self.last = now  # start of the next record; time of the last traffic
        self.counts = Counts()
        self.reads = self.writes = 0  # calls of add_received and add_sent since the last record
        self.segments_in = self.segments_out = -1  # last segment counts from the kernel; -1: none reported
        self.split: deque[Record] | None = None

    def add_received(self, now: int, octets: int) -> None:
        """Count octets that the connection's initiator sent."""
        self.counts.octets_in += octets
        self.reads += 1
        self.last = now

    def add_sent(self, now: int, octets: int) -> None:
        """Count octets sent to the connection's initiator."""
        self.counts.octets_out += octets
        self.writes += 1
        self.last = now


class Meter:
    """Holds the open flows and the records not yet taken. Both are bounded by the number of connections."""

    def __init__(self, active: int, idle: int) -> None:
        """`active` is the active timeout: µs after which a record of an open flow is due. `idle` is the idle
        timeout: µs without traffic after which a record is due.
        """
        self.active, self.idle = active, idle
        # µs between checks of one flow: a record may be late by up to this time
        self.check_interval = max(1, min(active, idle) // 4)
        # open flows and the time of the next check of each, earliest first
        self.open_flows: OrderedDict[Flow, int] = OrderedDict()
        self.ready: deque[Record] = deque()
        self.total = Counts()  # sum over all records made
        self.last_flow_id = 0

    def open_flow(self, now: int, source: tuple[bytes, int], target: tuple[bytes, int]) -> Flow:
        """Start metering a connection. `source` and `target` are pairs of address and port; `source`
        initiated the connection.
        """
        self.last_flow_id += 1
        flow = Flow(self.last_flow_id, source, target, now)
        self.open_flows[flow] = now + self.check_interval
        return flow

    def set_owner(self, now: int, flow: Flow, tenant: str, tariff: str, dispatcher: int) -> None:
        """Record the tenant, tariff and dispatcher of a request that arrived on the flow. When the tenant
        changes, the counts of the previous tenant become a record of their own.
        """
        tenant = tenant[:MAX_NAME_CHARACTERS]
        if tenant != flow.tenant:
            if flow.tenant:
                self.make_record(now, flow, EndReason.FORCED)
            flow.tenant = tenant
        tariff = tariff[:MAX_NAME_CHARACTERS]
        if tariff != flow.tariff:
            flow.tariff = SEVERAL_TARIFFS if flow.tariff else tariff
        flow.dispatcher = dispatcher

    def add_segments(self, flow: Flow, received: int, sent: int) -> None:
        """Record the kernel's counts of TCP segments since the start of the connection; call this before a
        record of the flow is made.
        """
        if flow.segments_in >= 0:
            flow.counts.packets_in += max(0, received - flow.segments_in)
            flow.counts.packets_out += max(0, sent - flow.segments_out)
        else:
            flow.counts.packets_in += received
            flow.counts.packets_out += sent
        flow.segments_in, flow.segments_out = received, sent

    def end_flow(self, now: int, flow: Flow, end: EndReason = EndReason.END_OF_FLOW) -> None:
        """Stop metering a connection that is closed, and make its last record, even if nothing was counted. A
        second call for the same flow does nothing.
        """
        if self.open_flows.pop(flow, None) is not None:
            self.make_record(now, flow, end)

    def drain(self, now: int) -> None:
        """Make a record of each open flow that has counts. The flows stay open and get a final record when
        they end.
        """
        for flow in self.open_flows:
            if flow.counts.octets() or flow.counts.requests():
                self.make_record(now, flow, EndReason.FORCED)

    def make_record(self, now: int, flow: Flow, end: EndReason) -> None:
        """Make a record of the flow's counts since its previous record, and reset the counts."""
        counts, flow.counts = flow.counts, Counts()
        estimated = flow.segments_in < 0
        if estimated:
            counts.packets_in = max(flow.reads, -(-counts.octets_in // SEGMENT_OCTETS))
            counts.packets_out = max(flow.writes, -(-counts.octets_out // SEGMENT_OCTETS))
        flow.reads = flow.writes = 0
        tariff, flow.tariff = flow.tariff, ""
        # if the clock stepped back, the record still ends no earlier than it began
        began, flow.since = flow.since, max(now, flow.since)
        self.total.add(counts)
        self.ready.append(
            Record(
                flow.number,
                flow.source,
                flow.target,
                flow.source_port,
                flow.target_port,
                flow.tenant,
                tariff,
                flow.dispatcher,
                began,
                max(began, now),
                end,
                estimated,
                counts,
            )
        )

    def next_record(self, now: int) -> Record | None:
        """Return the next record that is due, or None. Each flow is checked once per `check_interval` µs,
        which keeps a call cheap.
        """
        while not self.ready and self.open_flows:
            flow, due = next(iter(self.open_flows.items()))
            # a check time further ahead than check_interval means that the clock stepped back
            if due > now and due <= now + self.check_interval:
                return None
            del self.open_flows[flow]
            self.open_flows[flow] = now + self.check_interval
            if flow.counts.octets() or flow.counts.requests():
                if now - flow.since >= self.active:
                    self.make_record(now, flow, EndReason.ACTIVE)
                elif now - flow.last >= self.idle:
                    self.make_record(now, flow, EndReason.IDLE)
            elif due > now:
                return None
        return self.ready.popleft() if self.ready else None

    def open_counts(self) -> Counts:
        """Return the counts of open flows that are in no record yet. Together with `total` they are all that
        was ever metered.
        """
        held = Counts()
        for flow in self.open_flows:
            held.add(flow.counts)
        return held
