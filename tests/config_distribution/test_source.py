"""The source: which entries become batches, which are rejected, past versions, and dumps."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from lichencleat.config_distribution import source as sources
from lichencleat.config_distribution.source import (
    DiffQuery,
    FindQuery,
    PublishCommand,
    PublishResult,
    Source,
    StatusQuery,
)
from lichencleat.config_distribution.terms import (
    FIND,
    FOLLOW,
    IN_FORCE,
    MAX_BATCH_CHANGES,
    Change,
    FollowOutcome,
    FollowRequest,
)
from lichencleat.config_distribution.voting import (
    IGNORE_AFTER_PAUSE_US,
    PAUSE_THRESHOLD_US,
    CommitFreshness,
    VoterPublisher,
)
from lichencleat.consensus.extension import GuardedExtension
from lichencleat.consensus.messages import Configuration, Entry, EntryType, Member, Snapshot
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.transport.frames import ClientRequest, encode_command, encode_raw

GROUP = Configuration((Member(1, "v1", "h", 1),))
encode = msgspec.msgpack.encode


def publish(source, index, *changes, only_if=None):
    made = tuple(Change(kind, name, value) for kind, name, value in changes)
    return source.apply(index, msgspec.Raw(encode(PublishCommand(made, only_if))))


def asked(source, query):
    return source.read(msgspec.msgpack.decode(encode(query)))


def found(source, name, at=0):
    told = asked(source, FindQuery("tenant", name, at))
    return told.value if told.known else "not known"


def copied(source, **bounds):
    other = Source(**bounds)
    other.load(msgspec.Raw(encode(source.dump())))
    return other


def drawn(rng, source, entries, begin=1):
    """Applies random entries of every kind; returns the model of the expected state."""
    model = {(kind, name): value for kind, name, value in source.table.items()}
    for index in range(begin, begin + entries):
        names = {f"t{rng.randrange(60)}" for _ in range(rng.choice([0, 1, 1, 1, 5]))}
        changes = [
            ("tenant", name, rng.choice([None, b"a", b"b", rng.randbytes(400)])) for name in sorted(names)
        ]
        only_if = rng.choice([None, None, source.table.version, 3])
        before = source.table.version
        told = publish(source, index, *changes, only_if=only_if)
        effective = [each for each in changes if model.get(each[:2]) != each[2]]
        assert told.done is (bool(effective) and only_if in (None, before))
        assert told.version == (index if told.done else before)
        if told.done:
            model.update({each[:2]: each[2] for each in effective})
    return {key: value for key, value in model.items() if value is not None}


def in_force(source):
    return {(kind, name): value for kind, name, value in source.table.items()}


def test_an_entry_makes_one_batch_with_its_index_on_top_of_the_last():
    source = Source()
    assert publish(source, 5, ("tenant", "a", b"1"), ("route", "a", b"2")) == PublishResult(True, 5, 2)
    assert publish(source, 9, ("tenant", "a", None), ("route", "a", b"2")) == PublishResult(True, 9, 1)
    first, second = (each.batch for each in source.window)
    assert (first.version, first.previous, second.version, second.previous) == (5, 0, 9, 5)
    assert second.changes == (Change("tenant", "a", None),)  # only actual changes are sent
    assert second.digest == source.table.digest and in_force(source) == {("route", "a"): b"2"}
    told = asked(source, StatusQuery())
    assert (told.version, told.since, told.records) == (9, 0, 1)


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ([], "a batch has 1 to"),
        ([("tenant", "a", b"1")], "nothing would change"),
        ([("tenant", "none", None)], "nothing would change"),
        ([("tenant", "b", b"1"), ("tenant", "b", b"2")], "names each record at most once"),
        ([("", "b", b"1")], "a kind has 1 to"),
        ([("k" * 17, "b", b"1")], "a kind has 1 to"),
        ([("tenant", "", b"1")], "a name has 1 to"),
        ([("tenant", "é" * 65, b"1")], "a name has 1 to"),
        ([("tenant", "b", bytes(5_000))], "a value has at most"),
        ([("tenant", f"n{n}", b"1") for n in range(MAX_BATCH_CHANGES + 1)], "a batch has 1 to"),
        ([("tenant", f"n{n}", bytes(4_000)) for n in range(40)], "a batch has at most"),
    ],
)
def test_a_rejected_command_changes_nothing_and_has_a_reason(changes, why):
    source = Source()
    publish(source, 1, ("tenant", "a", b"1"))
    before = encode(source.dump())
    told = publish(source, 2, *changes)
    assert not told.done and told.version == 1 and why in told.why
    assert encode(source.dump()) == before


def test_a_failed_condition_and_an_invalid_command_are_rejected(monkeypatch):
    source = Source()
    publish(source, 1, ("tenant", "a", b"1"))
    assert "another version" in publish(source, 2, ("tenant", "a", b"2"), only_if=0).why
    for none in (b"\x01", encode(["publish", "x"]), encode(["drop", []])):
        assert source.apply(3, msgspec.Raw(none)) == PublishResult(False, 1, 0, "no command")
    monkeypatch.setattr("lichencleat.config_distribution.table.MAX_RECORDS", 1)
    assert "records" in publish(source, 4, ("tenant", "b", b"1")).why
    assert found(source, "a") == b"1" and found(source, "b") is None
    assert source.read(["none"]) is None


def test_a_record_is_known_at_each_version_of_the_window():
    rng, source, history = random.Random(4), Source(window_batches=40), {}
    for index in range(1, 200):
        drawn(rng, source, 1, index)
        history[source.table.version] = {name: value for (_, name), value in in_force(source).items()}
    since = asked(source, StatusQuery()).since
    assert since == sorted(history)[-41]
    versions = [each for each in history if each >= since]
    for version in versions:
        for name in ("t1", "t2", "t30"):
            assert found(source, name, version) == history[version].get(name)
    assert found(source, "t1", since - 1) == found(source, "t1", 10_000) == "not known"
    for a, b in [(versions[0], versions[-1]), (versions[5], versions[-1]), (versions[3], versions[3])]:
        changed = [
            ("tenant", name, history[a].get(name), history[b].get(name))
            for name in sorted(set(history[a]) | set(history[b]))
        ]
        assert difference(source, a, b) == [each for each in changed if each[2] != each[3]]
    for a, b in [(since - 1, since), (since, versions[-1] + 1)]:
        assert not asked(source, DiffQuery(a, b)).known


def difference(source, a, b):
    """The changes as the command requests them."""
    query, changes = DiffQuery(a, b), []
    while True:
        told = asked(source, query)
        assert told.known
        changes += told.changes
        if told.next_version == b:
            return sources.net_changes(changes)
        assert (told.next_version, told.skip_changes) > (query.from_version, query.skip_changes)
        query = DiffQuery(told.next_version, b, told.skip_changes)


@pytest.mark.parametrize(("name", "most"), [("MAX_DIFF_CHANGES", 3), ("MAX_DIFF_BYTES", 100)])
def test_a_difference_too_large_for_one_answer_is_sent_in_parts(monkeypatch, name, most):
    source = Source()
    for index in range(1, 9):
        publish(source, index, *(("tenant", f"t{n}", b"%d" % index) for n in range(8) if n != index))
    whole = difference(source, 2, 8)
    assert len(whole) == 8 and ("tenant", "t3", b"2", b"8") in whole
    monkeypatch.setattr(sources, name, most)
    assert 0 < len(asked(source, DiffQuery(2, 8)).changes) <= 6
    assert difference(source, 2, 8) == whole


def test_the_window_is_bounded_by_bytes_including_replaced_values():
    source = Source(window_bytes=10_000)
    for index in range(1, 30):
        publish(source, index, ("tenant", "a", bytes([index]) * 1_000))
    assert 0 < source.window_bytes_used <= 10_000 and len(source.window) == 4
    assert asked(source, StatusQuery()).since == 25


def test_a_dump_restores_everything_and_replay_makes_the_same_bytes():
    def state():
        return StateMachine({"distribution": Source(window_batches=30)})

    rng, first, entries, copies = random.Random(8), state(), [], []
    for index in range(1, 120):
        if rng.random() < 0.1:
            data = rng.randbytes(6)
        else:
            names = sorted({f"t{rng.randrange(400)}" for _ in range(rng.choice([1, 40]))})
            made = tuple(Change("tenant", name, rng.choice([None, bytes(900), b"y"])) for name in names)
            data = encode_command("distribution", PublishCommand(made))
        entries.append(Entry(1, EntryType.COMMAND, data))
        first.apply(index, entries[-1])
        if index % 40 == 0:
            copies.append((index, first.dump()))
            # some pages are uncompressed: both forms are covered
            assert first.states["distribution"].uncompressed_pages
    for index, dumped in copies:
        again = state()
        again.restore(Snapshot(index, 1, GROUP, dumped))
        for after, entry in enumerate(entries[index:], index + 1):
            again.apply(after, entry)
        assert again.dump() == first.dump()
        assert again.states["distribution"].table.digest == first.states["distribution"].table.digest


def test_a_corrupt_dump_is_rejected():
    source = Source()
    drawn(random.Random(2), source, 80)
    assert in_force(copied(source)) == in_force(source)
    for spoil in (
        lambda dumped: dumped.pages.reverse(),
        lambda dumped: dumped.pages.__setitem__(next(n for n, each in enumerate(dumped.pages) if each), b"x"),
        lambda dumped: dumped.pages.pop(),
        lambda dumped: setattr(dumped, "digest", bytes(16)),
        lambda dumped: dumped.window.append((True, b"x")),
    ):
        dumped = source.dump()
        spoil(dumped)
        with pytest.raises(msgspec.MsgspecError):
            Source().load(msgspec.Raw(encode(dumped)))


# -- a voter that publishes ----------------------------------------------------------------------------------


class Host:
    """Replaces `serving.PublisherHost`: keeps the publisher and carries out nothing."""

    def __init__(self, reactor, publisher, now, log):
        self.publisher, self.now, self.closed = publisher, now, False

    def schedule_pull(self):
        pass

    def close(self):
        self.closed = True


class Seat:
    """Replaces the process."""

    zone = "z1"

    def __init__(self):
        self.at, self.leads, self.proofs = 1_000_000_000, False, []

    def now(self):
        return self.at

    def mark(self):
        return b"mark"

    def confirm_leadership(self, on_result):
        self.proofs.append(on_result)


class Later:
    def __init__(self):
        self.calls = []

    def callLater(self, delay, call):  # noqa: N802 (Twisted's)
        self.calls.append(call)
        return SimpleNamespace(active=lambda: call in self.calls, cancel=lambda: self.calls.remove(call))


def serving(index=0, source=None):
    member, later = Seat(), Later()
    voting = VoterPublisher(later, "v1", "z1", None, Host)
    voting.start(member)
    state = StateMachine({"distribution": source or Source()})
    state.applied = index
    voting.on_applied(state)
    return voting, member, later, state


def fed(voting, member, version, digest):
    publisher = voting.publisher
    publisher.add_subscriber(member.at, 1)
    publisher.on_request(member.at, 1, 1, FOLLOW, FollowRequest(version, digest, (), 0))
    decision = publisher.next_decision(member.at)
    publisher.remove_subscriber(member.at, 1)
    return decision.content


def test_applied_entries_are_published_and_a_snapshot_replaces_the_table():
    voting, member, _, state = serving()
    nothing = state.states["distribution"].table.digest
    for index in (3, 4):
        state.applied = index - 1
        state.apply(
            index, Entry(1, EntryType.COMMAND, encode_command("distribution", one_change(b"%d" % index)))
        )
    voting.on_applied(state)  # two entries in one pull
    told = fed(voting, member, 0, nothing)
    assert told.outcome == FollowOutcome.NEWS and [each.version for each in told.batches] == [3, 4]
    later = Source()
    publish(later, 20, ("tenant", "b", b"9"))
    publish(later, 30, ("tenant", "c", b"9"))
    restored = StateMachine({"distribution": copied(later)})
    voting.on_applied(restored)
    told = fed(voting, member, 20, later.window[0].batch.digest)
    assert told.outcome == FollowOutcome.NEWS and (told.version, told.digest) == (30, later.table.digest)
    assert voting.publisher.table.find("tenant", "a") is None


def one_change(value):
    return PublishCommand((Change("tenant", "a", value),))


def test_a_leader_s_age_counts_from_before_its_confirmation_and_grows_without_one():
    voting, member, later, state = serving()
    assert voting.publisher.in_force(member.at)["age_us"] == -1  # unknown before the leadership is confirmed
    member.at += 70_000
    member.proofs.pop()(True)
    assert voting.publisher.age(member.at) == 70_000
    later.calls.pop()()
    member.at += 500_000
    assert voting.publisher.age(member.at) == 570_000
    member.proofs.pop()(False)  # it no longer leads
    assert voting.publisher.age(member.at) == 570_000 and later.calls


def test_a_follower_s_age_counts_from_the_last_message_whose_commit_is_applied():
    fresh, now = CommitFreshness(), 10_000_000
    fresh.on_leader_message(now, 5, 5)
    assert fresh.known_at is None  # the first messages may be old ones
    fresh.on_leader_message(now + IGNORE_AFTER_PAUSE_US, 5, 5)
    assert fresh.known_at == now + IGNORE_AFTER_PAUSE_US
    fresh.on_leader_message(now + IGNORE_AFTER_PAUSE_US + 60_000, 8, 5)
    fresh.on_leader_message(now + IGNORE_AFTER_PAUSE_US + 120_000, 9, 6)
    fresh.on_applied(7)
    assert fresh.known_at == now + IGNORE_AFTER_PAUSE_US
    fresh.on_applied(8)
    assert fresh.known_at == now + IGNORE_AFTER_PAUSE_US + 60_000
    woken = now + IGNORE_AFTER_PAUSE_US + 120_000 + PAUSE_THRESHOLD_US + 1
    for buffered in range(40):  # messages from the time when the process was stopped
        fresh.on_leader_message(woken + buffered, 8, 8)
    assert fresh.known_at == now + IGNORE_AFTER_PAUSE_US + 60_000


def test_a_voter_answers_nothing_before_it_takes_part_and_after_its_end():
    voting = VoterPublisher(Later(), "v1", "z1", None, Host)
    voting.start(Seat())
    replies = []
    link = SimpleNamespace(reply=replies.append)
    assert (
        voting.handles(FOLLOW)
        and voting.handles(FIND)
        and voting.handles(IN_FORCE)
        and not voting.handles("read")
    )
    voting.on_request(link, ClientRequest(4, FOLLOW, encode_raw([0, b"", []])))
    assert (replies[0].number, replies[0].done, replies[0].content) == (4, False, encode_raw("nothing here"))
    voting, member, later, _ = serving()
    voting.close()
    assert voting.serving.closed
    member.proofs.pop()(True)
    assert not later.calls  # nor does it confirm its leadership again


def test_an_error_in_publishing_ends_the_publishing_and_not_the_voter():
    told = []
    log = SimpleNamespace(warning=lambda event, **fields: told.append((event, fields)))
    voting, *_ = serving()
    guarded = GuardedExtension(voting, log)
    guarded.notify(lambda extension: extension.on_leader_commit(0))
    assert guarded.handles(FOLLOW) and not told
    guarded.notify(lambda extension: 1 // 0)
    assert not guarded.handles(FOLLOW) and voting.ended and "ZeroDivisionError" in told[0][1]["trace"]
    guarded.notify(lambda extension: 1 // 0)
    guarded.close()
    assert len(told) == 1
