"""Meters connections: octets, packets and requests of each, made into records when they are due; no I/O, no
clock.

Inputs only add to counters. The host asks for the records that are due until there is none. A record holds
what came since the one before it, so that all records of a flow add up to its totals: no octet twice, none
missing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import IntEnum

# octets of a TCP segment on Ethernet with time stamps: what an estimate of packets divides by
SEGMENT = 1_448
SEVERAL = "(several)"  # the tariff of a record with requests of more than one
TEXT_MOST = 64  # characters of a tenant's or tariff's name in a record
SECOND = 1_000_000  # µs


class End(IntEnum):
    """Why a record ends (RFC 5102, 5.11.3: flowEndReason)."""

    IDLE = 1
    ACTIVE = 2
    ENDED = 3
    FORCED = 4  # by a drain, or because the tenant changed
    LACK = 5  # cut off for want of room


@dataclass(slots=True)
class Counts:
    """What is added up, of a flow's record, an aggregate or all."""

    octets_in: int = 0  # from the one who began the connection
    octets_out: int = 0
    packets_in: int = 0
    packets_out: int = 0
    honoured: int = 0
    deferred: int = 0
    given_up: int = 0
    abandoned: int = 0
    held: int = 0  # µs, of all requests together
    run: int = 0

    def add(self, more: Counts) -> None:
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
        return self.octets_in + self.octets_out

    def requests(self) -> int:
        return self.honoured + self.deferred + self.given_up + self.abandoned


@dataclass(slots=True)
class Record:
    """What one flow did since its last record; times in µs of Unix time. Addresses as bytes, 4 or 16."""

    flow: int
    source: bytes
    target: bytes
    source_port: int
    target_port: int
    tenant: str
    tariff: str  # of all its requests, or SEVERAL
    dispatcher: int
    began: int
    ended: int
    end: End
    estimated: bool  # packets are worked out of octets
    counts: Counts
    folded: int = 0  # records that this one stands for: of an aggregate


class Flow:
    """One connection. Whoever serves it adds to it; `Meter.ended` gives it back."""

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
        self.since = self.last = now
        self.counts = Counts()
        self.reads = self.writes = 0  # since the last record
        self.segments_in = self.segments_out = -1  # the kernel's, at the last record; -1: it tells none
        self.split: deque[Record] | None = None

    def received(self, now: int, octets: int) -> None:
        self.counts.octets_in += octets
        self.reads += 1
        self.last = now

    def sent(self, now: int, octets: int) -> None:
        self.counts.octets_out += octets
        self.writes += 1
        self.last = now


class Meter:
    """Owns the open flows and the records not asked for yet; both are bounded by the connections that there
    may be.
    """

    def __init__(self, active: int, idle: int) -> None:
        """`active`: µs after which an open flow's record is due; `idle`: µs without traffic after which it
        is.
        """
        self.active, self.idle = active, idle
        # µs between looks at one flow: by so much a record may be late
        self.look = max(1, min(active, idle) // 4)
        # open flows and when each is looked at, in that order
        self.round: OrderedDict[Flow, int] = OrderedDict()
        self.ready: deque[Record] = deque()
        self.total = Counts()  # of all records made
        self.numbers = 0

    def opened(self, now: int, source: tuple[bytes, int], target: tuple[bytes, int]) -> Flow:
        self.numbers += 1
        flow = Flow(self.numbers, source, target, now)
        self.round[flow] = now + self.look
        return flow

    def belongs(self, now: int, flow: Flow, tenant: str, tariff: str, dispatcher: int) -> None:
        """Whose request, of which tariff, came on it. Where that changes, what the one before did is a record
        of its own.
        """
        tenant = tenant[:TEXT_MOST]
        if tenant != flow.tenant:
            if flow.tenant:
                self.cut(now, flow, End.FORCED)
            flow.tenant = tenant
        tariff = tariff[:TEXT_MOST]
        if tariff != flow.tariff:
            flow.tariff = SEVERAL if flow.tariff else tariff
        flow.dispatcher = dispatcher

    def segments(self, flow: Flow, received: int, sent: int) -> None:
        """The kernel's own counts of segments since the connection began; told before a record is made."""
        if flow.segments_in >= 0:
            flow.counts.packets_in += max(0, received - flow.segments_in)
            flow.counts.packets_out += max(0, sent - flow.segments_out)
        else:
            flow.counts.packets_in += received
            flow.counts.packets_out += sent
        flow.segments_in, flow.segments_out = received, sent

    def ended(self, now: int, flow: Flow, end: End = End.ENDED) -> None:
        """The connection is over: its last record, also of one that did nothing."""
        if self.round.pop(flow, None) is not None:
            self.cut(now, flow, end)

    def drain(self, now: int) -> None:
        """All that is open is told now; the flows stay open, and their ends are told when they come."""
        for flow in self.round:
            if flow.counts.octets() or flow.counts.requests():
                self.cut(now, flow, End.FORCED)

    def cut(self, now: int, flow: Flow, end: End) -> None:
        counts, flow.counts = flow.counts, Counts()
        estimated = flow.segments_in < 0
        if estimated:
            counts.packets_in = max(flow.reads, -(-counts.octets_in // SEGMENT))
            counts.packets_out = max(flow.writes, -(-counts.octets_out // SEGMENT))
        flow.reads = flow.writes = 0
        tariff, flow.tariff = flow.tariff, ""
        # a clock that stepped back makes no record of the past
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
        """The next record that is due, or None. Looks at a flow once in `look` µs, so a call costs little."""
        while not self.ready and self.round:
            flow, due = next(iter(self.round.items()))
            # one that lies further ahead is a clock's that stepped back
            if due > now and due <= now + self.look:
                return None
            del self.round[flow]
            self.round[flow] = now + self.look
            if flow.counts.octets() or flow.counts.requests():
                if now - flow.since >= self.active:
                    self.cut(now, flow, End.ACTIVE)
                elif now - flow.last >= self.idle:
                    self.cut(now, flow, End.IDLE)
            elif due > now:
                return None
        return self.ready.popleft() if self.ready else None

    def open_counts(self) -> Counts:
        """What open flows hold that is in no record yet: with `total`, all that was ever metered."""
        held = Counts()
        for flow in self.round:
            held.add(flow.counts)
        return held
