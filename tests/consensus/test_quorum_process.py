"""What a client and a process do with what should not come, by hand."""

import random
from types import SimpleNamespace

import msgspec
from twisted.internet.defer import fail, succeed
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from lichencleat.config_distribution.source import Publish, Source
from lichencleat.config_distribution.terms import Change, Follow, Say, decode_fed
from lichencleat.config_distribution.voting import Voting
from lichencleat.consensus.client import Client, GroupError
from lichencleat.consensus.journal import Journal
from lichencleat.consensus.member import Role
from lichencleat.consensus.process import Process
from lichencleat.consensus.program import distribution_parts
from lichencleat.consensus.seats import Identity, wake_up
from lichencleat.consensus.serves import Guarded
from lichencleat.consensus.state import command, founded
from lichencleat.consensus.terms import Act, Decision, Group, Kind, Member, Message, Reason
from lichencleat.consensus.wire import Request, raw
from lichencleat.store.engine import Engine
from lichencleat.store.errors import FullError, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk

decode = msgspec.msgpack.decode


def test_the_end_of_a_connection_that_was_dropped_counts_for_nothing():
    reactor = MemoryReactorClock()
    client = Client(reactor, "g", [("10.0.0.1", 1), ("10.0.0.2", 2)], random.Random(1))
    client.call("status")
    first = client.opening
    client.move(("10.0.0.2", 2))
    reactor.advance(0)
    second = client.opening
    assert second is not None and second is not first
    client.lost(first)
    assert client.opening is second and client.connector is not None
    client.lost(second)
    assert client.opening is None


def test_a_call_that_nobody_answers_ends_with_its_patience_and_says_whether_it_may_be_done():
    reactor, told = MemoryReactorClock(), []
    client = Client(reactor, "g", [("10.0.0.1", 1)], random.Random(1))
    client.call("status", None, 3.0).addErrback(lambda failure: told.append(failure.value))
    for _ in range(100):
        reactor.advance(0.1)
    assert [type(each) for each in told] == [GroupError] and not told[0].maybe
    client.close()
    client.call("status").addErrback(lambda failure: told.append(failure.value))
    assert "closed" in str(told[1])


def test_a_leader_tends_its_state_also_while_entries_wait_to_be_applied():
    process, seen = Process.__new__(Process), []
    process.reactor, process.ending, process.role = MemoryReactorClock(), False, Role.LEADER
    process.state, process.tend = SimpleNamespace(applied=1), lambda state, now: seen.append(state) or []
    process.voter = SimpleNamespace(commit=2)
    process.look_after()
    process.reactor.advance(1)
    assert seen[:2] == [process.state, process.state]
    process.role = Role.FOLLOWER
    process.look_after()
    assert seen[-1] is None and process.tending is None


def test_a_leader_s_own_proposal_that_is_refused_has_nobody_to_be_told():
    assert Process.carry_out(None, Decision(Act.REFUSE, ticket=None, reason=Reason.NOT_LEADER)) is None


# -- a member that answers others, whole but for its sockets ---------------------------------------------


class Link:
    """In place of a connection that a subscriber opened."""

    transport = None

    def __init__(self):
        self.replies = []

    def waiting(self):
        return 0

    def reply(self, reply):
        self.replies.append(reply)


def alone(reactor, disk):
    """A group of one for configuration, with its store on that disk."""

    def at_once(call, *args):
        try:
            return succeed(call(*args))
        except StoreError as wrong:
            return fail(wrong)

    engine = Engine.open(disk, lambda: 1, random.Random(1), create=True)
    me = Member(5, "v1", "10.0.0.1", 1, True, "z1")
    if engine.get(b"t") is None:
        assert engine.commit([Journal().found(founded(Group((me,))))]) == [None]
    store, said = Store(reactor, engine, at_once, at_once, maintenance=False), []
    log = SimpleNamespace(
        info=lambda event, **more: said.append(event), warning=lambda event, **more: said.append(event)
    )
    voting = Voting(reactor, "v1", "z1", log)
    identity = Identity(b"mark", "g", "v1", 5, 1)
    process = Process(
        reactor,
        store,
        identity,
        ("127.0.0.1", 1),
        log,
        random.Random(1),
        distribution_parts,
        zone="z1",
        serves=voting,
    )
    return process, said


def run_on(reactor, seconds=1.0):
    for _ in range(int(seconds / 0.02)):
        reactor.advance(0.02)


def publish(process, reactor, link, name, number):
    what = command("distribution", Publish((Change("tenant", name, b"1"),)))
    process.asked(link, Request(number, "propose", raw((0, 0, what))))
    run_on(reactor, 0.1)


def follow(process, link, number, version=0, digest=b"", hold=0):
    process.asked(link, Request(number, "follow", raw(Follow(version, digest, (), hold))))


def test_a_voter_feeds_what_it_has_applied_and_says_how_old_that_is():
    reactor, link, client = MemoryReactorClock(), Link(), Link()
    process, said = alone(reactor, FaultyDisk())
    follow(process, link, 1)
    assert not link.replies[0].done and decode(link.replies[0].content) == "nothing here"
    run_on(reactor)
    assert "leads" in said
    publish(process, reactor, client, "a", 1)
    assert client.replies[-1].done
    follow(process, link, 2, digest=Source().table.digest)
    run_on(reactor, 0.1)
    first = decode_fed(link.replies[1].content)
    assert first.say == Say.NEWS and [each.changes[0].name for each in first.batches] == ["a"]
    assert 0 <= first.age < 300_000
    follow(process, link, 3, first.version, first.digest, 1_000_000)
    run_on(reactor, 0.3)
    assert len(link.replies) == 2  # it waits for news
    publish(process, reactor, client, "b", 2)
    run_on(reactor, 0.1)
    news = decode_fed(link.replies[2].content)
    assert news.batches[0].past == first.version and news.batches[0].changes[0].name == "b"
    process.asked(link, Request(4, "in force"))
    run_on(reactor, 0.1)
    assert decode(link.replies[3].content)["version"] == news.version
    process.hung_up(link, 0)
    assert process.serves.serves.feeder.in_force(process.now())["subscribers"] == 0
    process.end(0)


def test_a_voter_whose_disk_fails_answers_nothing_more():
    reactor, link, client, disk = MemoryReactorClock(), Link(), Link(), FaultyDisk()
    process, _ = alone(reactor, disk)
    run_on(reactor)
    publish(process, reactor, client, "a", 1)
    follow(process, link, 1, digest=Source().table.digest)
    run_on(reactor, 0.1)
    assert len(link.replies) == 1 and process.serves.wants("follow")
    process.disk_failed(Failure(FullError("bytes on disk")))
    assert not process.ending  # it leaves in the next turn; in this one nothing is answered any more
    follow(process, link, 2)
    assert [decode(each.content) for each in link.replies[1:]] == [Reason.UNFIT.value]
    run_on(reactor, 0.1)
    assert process.ending and len(link.replies) == 2


def test_a_full_disk_ends_a_voter_before_it_feeds_what_it_could_not_write():
    reactor, link, client, disk = MemoryReactorClock(), Link(), Link(), FaultyDisk()
    process, _ = alone(reactor, disk)
    run_on(reactor)
    publish(process, reactor, client, "a", 1)
    version = process.state.parts["distribution"].table.version
    digest = process.state.parts["distribution"].table.digest
    follow(process, link, 1, version, digest, 1_000_000)
    run_on(reactor, 0.1)
    disk.room = disk.used()
    publish(process, reactor, client, "b", 2)
    run_on(reactor, 2)
    assert process.ending and not link.replies and not client.replies[-1].done
    assert process.state.parts["distribution"].table.version == version


def test_a_start_feeds_from_the_window_that_its_snapshot_brought():
    reactor, disk, client, link = MemoryReactorClock(), FaultyDisk(), Link(), Link()
    process, _ = alone(reactor, disk)
    run_on(reactor)
    for number in range(1, 6):
        publish(process, reactor, client, f"t{number}", number)
    version, data = process.state.applied, process.state.dump()
    process.voter.compact(version, data)
    run_on(reactor, 0.1)
    process.end(0)
    run_on(reactor, 0.1)
    disk.locked = False
    again, _ = alone(reactor, disk)
    assert again.voter.entries.base == version
    run_on(reactor, 0.1)
    follow(again, link, 1, digest=Source().table.digest)
    run_on(reactor, 0.1)
    fed = decode_fed(link.replies[0].content)
    assert fed.say == Say.NEWS and [each.changes[0].name for each in fed.batches] == [
        f"t{number}" for number in range(1, 6)
    ]
    again.end(0)


def test_a_dump_comes_after_many_entries_or_after_many_bytes_of_them(monkeypatch):
    monkeypatch.setattr("lichencleat.consensus.process.SNAPSHOT_BYTES", 300)
    reactor, client = MemoryReactorClock(), Link()
    process, _ = alone(reactor, FaultyDisk())
    run_on(reactor)
    for number in range(1, 30):
        publish(process, reactor, client, f"t{number}", number)
    assert process.voter.entries.base > 3 and process.state.applied < 40
    assert len(process.voter.entries.held) < 30
    process.end(0)


def test_only_a_word_of_this_term_is_told_to_what_serves():
    process, told = Process.__new__(Process), []
    process.reactor, process.ending = MemoryReactorClock(), False
    process.stirred = process.takes_part = True
    process.voter = SimpleNamespace(hears=lambda now, message: None, term=3)
    process.serves = Guarded(SimpleNamespace(word=told.append), None)
    for kind, term, commit in ((Kind.APPEND, 3, 7), (Kind.APPEND, 2, 9), (Kind.VOTE, 3, 11)):
        process.hears(Message(kind, term, 2, 1, commit=commit))
    assert told == [7]


def test_a_directory_keeps_what_its_group_is_for_and_one_of_before_is_for_other_things():
    for distribution in (False, True):
        made = wake_up(lambda key: None, random.Random(1), "g", "v1", distribution)
        again = wake_up(
            lambda key, made=made: msgspec.msgpack.encode(made), random.Random(1), "g", "v1", True
        )
        assert (again.distribution, again.start) == (distribution, 2)
    old = msgspec.msgpack.encode((b"mark", "g", "v1", 5, 7))
    assert wake_up(lambda key: old, random.Random(1), "g", "v1", True) == Identity(b"mark", "g", "v1", 5, 8)
