"""A complete member process without sockets."""

import random
from types import SimpleNamespace

import msgspec
from twisted.internet.defer import fail, succeed
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from lichencleat.config_distribution.source import PublishCommand, Source
from lichencleat.config_distribution.terms import Change, FollowOutcome, FollowRequest, decode_follow_answer
from lichencleat.config_distribution.voting import VoterPublisher
from lichencleat.consensus.extension import GuardedExtension
from lichencleat.consensus.identity import Identity, load_identity
from lichencleat.consensus.leader_proposals import LeaderProposer
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import Action, ActionType, Configuration, Member, Message, MessageType
from lichencleat.consensus.process import MemberOptions, MemberProcess
from lichencleat.consensus.role import Role
from lichencleat.consensus.state_machine import bootstrap_snapshot
from lichencleat.coordinator.states import make_config_distribution_states
from lichencleat.store.engine import Engine
from lichencleat.store.errors import FullError, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk
from lichencleat.transport.frames import ClientRequest, encode_command, encode_raw
from lichencleat.transport.outcomes import RejectReason

decode = msgspec.msgpack.decode


def test_leader_proposer_asks_the_states_also_while_entries_wait_to_be_applied():
    reactor, passed_states = MemoryReactorClock(), []
    state, node = SimpleNamespace(applied=1), SimpleNamespace(commit_index=2)
    applier = SimpleNamespace(state_machine=state)
    proposer = LeaderProposer(
        reactor, node, applier, None, lambda state, now: passed_states.append(state) or [], None
    )
    proposer.on_role_changed(Role.LEADER)
    reactor.advance(1)
    assert passed_states[:2] == [state, state]
    proposer.role = Role.FOLLOWER
    proposer.propose_due()
    assert passed_states[-1] is None and proposer._timer is None


def test_member_process_ignores_the_rejection_of_a_leaders_own_proposal():
    assert (
        MemberProcess._execute(None, Action(ActionType.REJECT, context=None, reason=RejectReason.NOT_LEADER))
        is None
    )


class FakeConnection:
    """A stand-in for a connection that a subscriber or client opened."""

    transport = None

    def __init__(self):
        self.replies = []

    def unsent_bytes(self):
        return 0

    def reply(self, reply):
        self.replies.append(reply)


def make_single_member(reactor, disk):
    """Make the only member of a group for configuration, with its store on that disk."""

    def run_at_once(call, *args):
        try:
            return succeed(call(*args))
        except StoreError as error:
            return fail(error)

    engine = Engine.open(disk, lambda: 1, random.Random(1), create=True)
    member = Member(5, "v1", "10.0.0.1", 1, True, "z1")
    if engine.get(b"t") is None:
        assert engine.commit(
            [LogStorage().bootstrap_batch(bootstrap_snapshot(Configuration((member,))))]
        ) == [None]
    store, events = Store(reactor, engine, run_at_once, run_at_once, maintenance=False), []
    log = SimpleNamespace(
        info=lambda event, **more: events.append(event), warning=lambda event, **more: events.append(event)
    )
    voting = VoterPublisher(reactor, "v1", "z1", log)
    identity = Identity(b"mark", "g", "v1", 5, 1)
    process = MemberProcess(
        reactor,
        store,
        identity,
        ("127.0.0.1", 1),
        log,
        random.Random(1),
        MemberOptions(make_config_distribution_states, zone="z1", extension=voting),
    )
    return process, events


def advance(reactor, seconds=1.0):
    for _ in range(int(seconds / 0.02)):
        reactor.advance(0.02)


def publish(process, reactor, link, name, number):
    what = encode_command("distribution", PublishCommand((Change("tenant", name, b"1"),)))
    process.on_request(link, ClientRequest(number, "propose", encode_raw((0, 0, what))))
    advance(reactor, 0.1)


def follow(process, link, number, version=0, digest=b"", hold=0):
    process.on_request(
        link, ClientRequest(number, "follow", encode_raw(FollowRequest(version, digest, (), hold)))
    )


def test_member_process_serves_subscribers_what_it_has_applied_with_its_age():
    reactor, link, client = MemoryReactorClock(), FakeConnection(), FakeConnection()
    process, events = make_single_member(reactor, FaultyDisk())
    follow(process, link, 1)
    assert not link.replies[0].done and decode(link.replies[0].content) == "nothing here"
    advance(reactor)
    assert "became leader" in events
    publish(process, reactor, client, "a", 1)
    assert client.replies[-1].done
    follow(process, link, 2, digest=Source().table.digest)
    advance(reactor, 0.1)
    first = decode_follow_answer(link.replies[1].content)
    assert first.outcome == FollowOutcome.NEWS and [each.changes[0].name for each in first.batches] == ["a"]
    assert 0 <= first.age < 300_000
    follow(process, link, 3, first.version, first.digest, 1_000_000)
    advance(reactor, 0.3)
    assert len(link.replies) == 2  # the request waits for a new version
    publish(process, reactor, client, "b", 2)
    advance(reactor, 0.1)
    news = decode_follow_answer(link.replies[2].content)
    assert news.batches[0].previous == first.version and news.batches[0].changes[0].name == "b"
    process.on_request(link, ClientRequest(4, "in force"))
    advance(reactor, 0.1)
    assert decode(link.replies[3].content)["version"] == news.version
    process.on_disconnected(link, 0)
    assert process.extension.extension.publisher.in_force(process.now())["subscribers"] == 0
    process.end(0)


def test_member_process_answers_nothing_after_its_disk_failed():
    reactor, link, client, disk = MemoryReactorClock(), FakeConnection(), FakeConnection(), FaultyDisk()
    process, _ = make_single_member(reactor, disk)
    advance(reactor)
    publish(process, reactor, client, "a", 1)
    follow(process, link, 1, digest=Source().table.digest)
    advance(reactor, 0.1)
    assert len(link.replies) == 1 and process.extension.handles("follow")
    process.on_disk_failed(Failure(FullError("bytes on disk")))
    assert not process.is_ending  # it halts in the next iteration; until then it answers nothing
    follow(process, link, 2)
    assert [decode(each.content) for each in link.replies[1:]] == [RejectReason.INVALID_REQUEST.value]
    advance(reactor, 0.1)
    assert process.is_ending and len(link.replies) == 2


def test_member_process_ends_on_a_full_disk_before_serving_what_it_could_not_write():
    reactor, link, client, disk = MemoryReactorClock(), FakeConnection(), FakeConnection(), FaultyDisk()
    process, _ = make_single_member(reactor, disk)
    advance(reactor)
    publish(process, reactor, client, "a", 1)
    version = process.applier.state_machine.states["distribution"].table.version
    digest = process.applier.state_machine.states["distribution"].table.digest
    follow(process, link, 1, version, digest, 1_000_000)
    advance(reactor, 0.1)
    disk.room = disk.used()
    publish(process, reactor, client, "b", 2)
    advance(reactor, 2)
    assert process.is_ending and not link.replies and not client.replies[-1].done
    assert process.applier.state_machine.states["distribution"].table.version == version


def test_member_process_serves_the_batches_of_its_snapshot_after_a_restart():
    reactor, disk, client, link = MemoryReactorClock(), FaultyDisk(), FakeConnection(), FakeConnection()
    process, _ = make_single_member(reactor, disk)
    advance(reactor)
    for number in range(1, 6):
        publish(process, reactor, client, f"t{number}", number)
    version, data = process.applier.state_machine.applied, process.applier.state_machine.dump()
    process.node.compact(version, data)
    advance(reactor, 0.1)
    process.end(0)
    advance(reactor, 0.1)
    disk.locked = False
    again, _ = make_single_member(reactor, disk)
    assert again.node.log.snapshot_index == version
    advance(reactor, 0.1)
    follow(again, link, 1, digest=Source().table.digest)
    advance(reactor, 0.1)
    fed = decode_follow_answer(link.replies[0].content)
    assert fed.outcome == FollowOutcome.NEWS and [each.changes[0].name for each in fed.batches] == [
        f"t{number}" for number in range(1, 6)
    ]
    again.end(0)


def test_state_applier_takes_a_snapshot_after_many_entries_or_many_bytes(monkeypatch):
    monkeypatch.setattr("lichencleat.consensus.state_applier.MAX_BYTES_PER_SNAPSHOT", 300)
    reactor, client = MemoryReactorClock(), FakeConnection()
    process, _ = make_single_member(reactor, FaultyDisk())
    advance(reactor)
    for number in range(1, 30):
        publish(process, reactor, client, f"t{number}", number)
    assert process.node.log.snapshot_index > 3 and process.applier.state_machine.applied < 40
    assert len(process.node.log.entries) < 30
    process.end(0)


def test_member_process_notifies_its_extension_of_appends_of_the_current_term_only():
    process, commit_indices = MemberProcess.__new__(MemberProcess), []
    process.reactor, process.is_ending = MemoryReactorClock(), False
    process._run_is_scheduled = process.is_participating = True
    process.node = SimpleNamespace(receive=lambda now, message: None, term=3)
    process.extension = GuardedExtension(SimpleNamespace(on_leader_commit=commit_indices.append), None)
    for kind, term, commit in (
        (MessageType.APPEND, 3, 7),
        (MessageType.APPEND, 2, 9),
        (MessageType.VOTE, 3, 11),
    ):
        process.on_peer_message(Message(kind, term, 2, 1, commit=commit))
    assert commit_indices == [7]


def test_identity_keeps_the_kind_of_its_group_and_older_identities_are_control_plane():
    for distribution in (False, True):
        made = load_identity(lambda key: None, random.Random(1), "g", "v1", distribution)
        again = load_identity(
            lambda key, made=made: msgspec.msgpack.encode(made), random.Random(1), "g", "v1", True
        )
        assert (again.distribution, again.start_count) == (distribution, 2)
    old = msgspec.msgpack.encode((b"mark", "g", "v1", 5, 7))
    assert load_identity(lambda key: old, random.Random(1), "g", "v1", True) == Identity(
        b"mark", "g", "v1", 5, 8
    )
