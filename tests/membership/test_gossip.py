"""One gossip member driven by direct calls, and simulated groups with faults."""

import random

import msgspec
import pytest
from membership.updates import update

from lichencleat.membership.dissemination import MAX_DATAGRAM_BYTES
from lichencleat.membership.gossip import GossipMember
from lichencleat.membership.messages import GossipMessage, MemberState, MessageKind
from lichencleat.membership.outbox import MemberChanged, SendDatagram
from lichencleat.membership.settings import GossipSettings
from lichencleat.testkit.simulation.members import SECOND, MembersWorld


class SingleMember:
    """One member with a clock that the test moves, and helpers that collect its actions."""

    def __init__(self, *others, period=1_000_000):
        self.settings = GossipSettings(probe_interval=period)
        self.gossip = GossipMember(
            "g", update("me"), [("10.0.0.9", 7000)], self.settings, random.Random(2), 0
        )
        self.now = 0
        for each in others:
            self.receive(GossipMessage("g", MessageKind.SYNC_STATE, 0, "seed", updates=(update(each),)))
        self.actions()

    def receive(self, message):
        self.gossip.on_message(self.now, "10.0.0.2", 7000, message)

    def actions(self):
        actions = []
        while (action := self.gossip.next_action()) is not None:
            actions.append(action)
        return actions

    def sent(self, kind):
        return [
            each.message
            for each in self.actions()
            if isinstance(each, SendDatagram) and each.message.kind == kind
        ]

    def run_until_sent(self, kind, timeout_us=10_000_000):
        end = self.now + timeout_us
        while self.now < end:
            self.now = max(self.now, self.gossip.next_deadline())
            self.gossip.on_timer(self.now)
            if messages := self.sent(kind):
                return messages[0]
        raise AssertionError(kind)

    def state(self, name):
        return MemberState(self.gossip.table.members[name].state)


def test_gossip_probes_a_silent_member_indirectly_then_suspects_it_then_declares_it_dead():
    member = SingleMember("a", "b", "c")
    ping = member.run_until_sent(MessageKind.PING)
    request = member.run_until_sent(MessageKind.PING_REQUEST)
    assert request.sequence == ping.sequence
    target = request.target
    for helper in {"a", "b", "c"} - {target}:
        member.receive(GossipMessage("g", MessageKind.NACK, request.sequence, helper, target))
    member.run_until_sent(MessageKind.PING)
    assert member.state(target) == MemberState.SUSPECT
    for _ in range(200):
        member.now = member.gossip.next_deadline()
        member.gossip.on_timer(member.now)
        member.actions()
    assert member.state(target) == MemberState.DEAD


def test_gossip_ends_a_probe_by_the_ack_of_any_helper():
    member = SingleMember("a", "b", "c")
    member.run_until_sent(MessageKind.PING)
    request = member.run_until_sent(MessageKind.PING_REQUEST)
    member.receive(GossipMessage("g", MessageKind.ACK, request.sequence, "b", request.target))
    member.run_until_sent(MessageKind.PING)
    assert member.state(request.target) == MemberState.ALIVE and member.gossip.health.score == 0


def test_gossip_refutes_its_own_death_and_degrades_its_local_health():
    member = SingleMember("a")
    member.receive(GossipMessage("g", MessageKind.PING, 5, "a", updates=(update("me", MemberState.DEAD, 7),)))
    (ack,) = member.sent(MessageKind.ACK)
    assert update("me", MemberState.ALIVE, 8) in ack.updates and member.gossip.health.score == 1


def test_gossip_replies_to_a_ping_request_with_ack_or_nack():
    member = SingleMember("a", "b")
    member.receive(GossipMessage("g", MessageKind.PING_REQUEST, 77, "a", "b"))
    (ping,) = member.sent(MessageKind.PING)
    member.receive(GossipMessage("g", MessageKind.ACK, ping.sequence, "b"))
    assert [(each.sequence, each.target) for each in member.sent(MessageKind.ACK)] == [(77, "b")]
    member.receive(GossipMessage("g", MessageKind.PING_REQUEST, 78, "a", "b"))
    member.actions()
    assert member.run_until_sent(MessageKind.NACK).sequence == 78


def test_gossip_ignores_other_groups_and_bounds_its_datagrams():
    member = SingleMember()
    member.receive(GossipMessage("other", MessageKind.PING, 5, "a", updates=(update("a"),)))
    assert member.sent(MessageKind.ACK) == [] and "a" not in member.gossip.table.members
    for number in range(400):
        member.gossip.apply_update(0, update(f"n{number}"), "a")
    member.receive(GossipMessage("g", MessageKind.SYNC_REQUEST, 0, "a"))
    sizes = [len(msgspec.msgpack.encode(each)) for each in member.sent(MessageKind.SYNC_STATE)]
    assert len(sizes) > 5 and max(sizes) <= MAX_DATAGRAM_BYTES


def test_gossip_announces_that_it_leaves():
    member = SingleMember("a")
    member.gossip.leave(5)
    (ping,) = member.sent(MessageKind.PING)
    assert ping.updates[0].state == MemberState.LEFT
    other = SingleMember()
    other.receive(
        GossipMessage("g", MessageKind.PING, 0, "me2", updates=(update("b"), update("b", MemberState.LEFT)))
    )
    changes = [each.update.state for each in other.actions() if isinstance(each, MemberChanged)]
    assert changes == [MemberState.ALIVE, MemberState.LEFT]


@pytest.fixture
def world():
    world = MembersWorld(
        3, 40, settings=GossipSettings(probe_interval=200_000, probe_timeout=60_000, sync_interval=1_000_000)
    )
    for each in world.instances:
        world.clockwork.after(world.rng.randrange(SECOND), each.start)
    world.run(SECOND)
    assert world.run_until_converged(60 * SECOND) is not None
    return world


def test_gossip_detects_four_in_ten_members_killed_at_once(world):
    for each in world.instances[::5] + world.instances[1::5]:
        each.kill()
    assert world.run_until_converged(60 * SECOND) is not None
    assert world.counts["false deaths"] == 0


def test_gossip_merges_partitions(world):
    left, right = range(20), range(20, 40)
    pairs = [(a, b) for a in left for b in right] + [(b, a) for a in left for b in right]
    world.network.cut(pairs)
    world.run(60 * SECOND)
    assert all(each.active_names() == {f"n{n}" for n in left} for each in world.instances[:20])
    world.network.heal(pairs)
    assert world.run_until_converged(120 * SECOND) is not None


def test_gossip_declares_no_member_dead_under_datagram_loss(world):
    world.network.loss = 0.05
    world.run(60 * SECOND)
    assert world.counts["false deaths"] == 0


def test_gossip_converges_after_a_member_has_flapped(world):
    flapping = world.instances[7]
    for _ in range(6):
        flapping.kill()
        world.run(3 * SECOND)
        flapping.start()
        world.run(SECOND)
    assert world.run_until_converged(60 * SECOND) is not None
