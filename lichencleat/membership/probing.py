"""SWIM's failure detector: this member's own probes, and indirect probes on behalf of other members.

A helper is a member that is asked for an indirect probe because a direct probe got no answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lichencleat.membership.local_health import LocalHealth
from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import GossipMessage, MemberState, MemberUpdate, MessageKind
from lichencleat.membership.outbox import Outbox
from lichencleat.membership.settings import GossipSettings

MAX_INDIRECT_PROBES = 256  # limit on the unanswered probes on behalf of other members


@dataclass(slots=True)
class Probe:
    """An unanswered probe that this member started."""

    target: MemberUpdate  # the update about the probed member when the probe started
    sequence: int
    started_at: int  # µs
    helpers_asked: int = 0  # number of helpers asked; 1 also if there is no helper to ask
    nacks: int = 0  # number of helpers that got no answer from the target either


class Prober:
    """Probes one member per interval, in rounds: each member once per round, in random order."""

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
        """`on_probe_failed` is called for a failed probe, with the time (µs) and the probe's `target`."""
        self._own_name = own_name
        self._table = table
        self._outbox = outbox
        self._health = health
        self._settings = settings
        self._rng = rng
        self._on_probe_failed = on_probe_failed
        self._probe: Probe | None = None
        self._remaining: list[str] = []  # names of members to probe in this round; the last name is next
        self._next_probe_at = now + rng.randrange(settings.probe_interval)

    def on_ack(self, sequence: int) -> None:
        """End the current probe if an ack with its sequence number has arrived."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
            self._health.improve()

    def on_nack(self, sequence: int) -> None:
        """Count a helper that got no answer from the target."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def on_timer(self, now: int) -> None:
        """Do what is due at `now` (µs): ask helpers for indirect probes, or start the next probe.

        The start of the next probe ends the current one, which has then failed.
        """
        probe = self._probe
        if probe is not None and not probe.helpers_asked and now >= self._helpers_deadline(probe):
            self._ask_helpers(probe)
        if now >= self._next_probe_at:
            if probe is not None:
                self._fail(now, probe)
            self._begin(now)

    def iter_deadlines(self) -> Iterator[int]:
        """Yield the times in µs at which `on_timer` is due."""
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
        """Draw the order of the next round; return False if there is no other member."""
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
        """Report the probe as failed.

        Missing nacks of helpers indicate that this member is slow, so this member's health score rises.
        """
        self._probe = None
        if probe.nacks < min(probe.helpers_asked, self._settings.indirect_probes) - 1:
            self._health.degrade()
        self._on_probe_failed(now, probe.target)


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another member."""

    request: GossipMessage  # the ping request of the other member
    target: MemberUpdate  # the update about the probed member
    started_at: int  # µs


class IndirectProber:
    """Probes targets on behalf of other members, and replies with an ack or a nack."""

    def __init__(self, table: MemberTable, outbox: Outbox, settings: GossipSettings) -> None:
        self._table = table
        self._outbox = outbox
        self._settings = settings
        self._probes: dict[int, IndirectProbe] = {}  # by the sequence number of this member's ping

    def on_request(self, now: int, request: GossipMessage) -> None:
        """Probe the target of a ping request, unless it is unknown or too many probes are unanswered."""
        target = self._table.members.get(request.target)
        if target is None or len(self._probes) >= MAX_INDIRECT_PROBES:
            return
        sequence = self._outbox.next_sequence()
        self._probes[sequence] = IndirectProbe(request, target, now)
        self._outbox.send(target.host, target.port, MessageKind.PING, sequence, recipient=target.name)

    def on_ack(self, sequence: int) -> bool:
        """Forward an ack to the requester; return False if the ack answers no indirect probe."""
        probe = self._probes.pop(sequence, None)
        if probe is None:
            return False
        self._reply(probe, MessageKind.ACK)
        return True

    def on_timer(self, now: int) -> None:
        """Send a nack for each target that did not answer in time."""
        for sequence, probe in list(self._probes.items()):
            if now - probe.started_at >= self._settings.probe_timeout:
                del self._probes[sequence]
                self._reply(probe, MessageKind.NACK)

    def iter_deadlines(self) -> Iterator[int]:
        """Iterate over the times in µs at which `on_timer` is due."""
        return (probe.started_at + self._settings.probe_timeout for probe in self._probes.values())

    def _reply(self, probe: IndirectProbe, kind: MessageKind) -> None:
        request = probe.request
        requester = self._table.members.get(request.sender)
        if requester is not None:
            self._outbox.send(
                requester.host, requester.port, kind, request.sequence, target=probe.target.name
            )
