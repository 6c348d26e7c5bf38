"""SWIM's failure detector: this member's probes, and the indirect probes that it makes for others."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lichencleat.membership.local_health import LocalHealth
from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import GossipMessage, MemberState, MemberUpdate, MessageKind
from lichencleat.membership.outbox import Outbox
from lichencleat.membership.settings import GossipSettings

MAX_INDIRECT_PROBES = 256  # made for others, open at once


@dataclass(slots=True)
class Probe:
    """A probe of this member that is not answered yet."""

    target: MemberUpdate
    sequence: int
    started_at: int  # µs
    helpers_asked: int = 0
    nacks: int = 0  # helpers that got no answer either


class Prober:
    """Probes one member an interval; each is probed once, in random order, before any is again."""

    def __init__(
        self,
        own_name: str,
        table: MemberTable,
        outbox: Outbox,
        health: LocalHealth,
        settings: GossipSettings,
        rng: random.Random,
        now: int,
        on_probe_failed: Callable[[int, MemberUpdate], None],
    ) -> None:
        """`on_probe_failed` gets the time and the member, as it was known when the probe began."""
        self._own_name = own_name
        self._table = table
        self._outbox = outbox
        self._health = health
        self._settings = settings
        self._rng = rng
        self._on_probe_failed = on_probe_failed
        self._probe: Probe | None = None
        self._remaining: list[str] = []  # of this round, the next at the end
        self._next_probe_at = now + rng.randrange(settings.probe_interval)

    def on_ack(self, sequence: int) -> None:
        """Ends the probe of that number, if it is the current one."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
            self._health.improve()

    def on_nack(self, sequence: int) -> None:
        """Counts a helper that got no answer."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def on_timer(self, now: int) -> None:
        """Asks helpers, or ends the probe and begins the next, as is due."""
        probe = self._probe
        if probe is not None and not probe.helpers_asked and now >= self._helpers_deadline(probe):
            self._ask_helpers(probe)
        if now >= self._next_probe_at:
            if probe is not None:
                self._fail(now, probe)
            self._begin(now)

    def iter_deadlines(self) -> Iterator[int]:
        """Yields when `on_timer` has something to do, µs."""
        yield self._next_probe_at
        if self._probe is not None and not self._probe.helpers_asked:
            yield self._helpers_deadline(self._probe)

    def _helpers_deadline(self, probe: Probe) -> int:
        return probe.started_at + self._health.stretch(self._settings.probe_timeout)

    def _begin(self, now: int) -> None:
        self._next_probe_at = now + self._health.stretch(self._settings.probe_interval)
        while self._remaining or self._start_round():
            target = self._table.members.get(self._remaining.pop())
            if target is not None and target.state <= MemberState.SUSPECT:
                self._probe = Probe(target, self._outbox.next_sequence(), now)
                self._outbox.send(
                    target.host,
                    target.port,
                    MessageKind.PING,
                    self._probe.sequence,
                    recipient=target.name,
                )
                return

    def _start_round(self) -> bool:
        """Draws the order of the next round; returns False where there is nobody else."""
        self._remaining = [each.name for each in self._table.active() if each.name != self._own_name]
        self._rng.shuffle(self._remaining)
        return bool(self._remaining)

    def _ask_helpers(self, probe: Probe) -> None:
        target = probe.target.name
        others = [each for each in self._table.active() if each.name not in (self._own_name, target)]
        for helper in self._rng.sample(others, min(len(others), self._settings.indirect_probes)):
            probe.helpers_asked += 1
            self._outbox.send(
                helper.host, helper.port, MessageKind.PING_REQUEST, probe.sequence, target=target
            )
        probe.helpers_asked = max(1, probe.helpers_asked)

    def _fail(self, now: int, probe: Probe) -> None:
        """Reports the probe as failed; helpers that are silent, too, are a sign that this member is slow."""
        self._probe = None
        if probe.nacks < min(probe.helpers_asked, self._settings.indirect_probes) - 1:
            self._health.degrade()
        self._on_probe_failed(now, probe.target)


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe made for another member."""

    request: GossipMessage
    target: MemberUpdate
    started_at: int  # µs


class IndirectProber:
    """Probes targets for other members, and tells them of the answer or its absence."""

    def __init__(self, table: MemberTable, outbox: Outbox, settings: GossipSettings) -> None:
        self._table = table
        self._outbox = outbox
        self._settings = settings
        self._probes: dict[int, IndirectProbe] = {}  # by the sequence number of the own ping

    def on_request(self, now: int, request: GossipMessage) -> None:
        """Probes the target, if it is known and there is capacity."""
        target = self._table.members.get(request.target)
        if target is None or len(self._probes) >= MAX_INDIRECT_PROBES:
            return
        sequence = self._outbox.next_sequence()
        self._probes[sequence] = IndirectProbe(request, target, now)
        self._outbox.send(target.host, target.port, MessageKind.PING, sequence, recipient=target.name)

    def on_ack(self, sequence: int) -> bool:
        """Passes an ack on to the requester; returns whether it was of an indirect probe."""
        probe = self._probes.pop(sequence, None)
        if probe is None:
            return False
        self._reply(probe, MessageKind.ACK)
        return True

    def on_timer(self, now: int) -> None:
        """Tells requesters of targets that did not answer in time."""
        for sequence, probe in list(self._probes.items()):
            if now - probe.started_at >= self._settings.probe_timeout:
                del self._probes[sequence]
                self._reply(probe, MessageKind.NACK)

    def iter_deadlines(self) -> Iterator[int]:
        """Yields when `on_timer` has something to do, µs."""
        return (probe.started_at + self._settings.probe_timeout for probe in self._probes.values())

    def _reply(self, probe: IndirectProbe, kind: MessageKind) -> None:
        request = probe.request
        requester = self._table.members.get(request.sender)
        if requester is not None:
            self._outbox.send(
                requester.host, requester.port, kind, request.sequence, target=probe.target.name
            )
