"""Sessions, facts, the journal on the store, and who a peer is."""

import random

import msgspec
import pytest

from lichencleat.consensus.identity import CONFIRMATION_WAIT_US, PeerIncarnations
from lichencleat.consensus.key_value import KeyValueState, SetCommand, SetResult
from lichencleat.consensus.log_storage import LogStorage, entry_key
from lichencleat.consensus.messages import Configuration, DurableWrite, Entry, EntryType, Member, Snapshot
from lichencleat.consensus.sessions import SessionTable
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.store.batch import Batch
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CorruptDataError
from lichencleat.testkit.faulty_disk import FaultyDisk
from lichencleat.transport.frames import encode_command
from lichencleat.transport.identity import GreetingResult, Incarnation
from lichencleat.transport.outcomes import SessionOutcome

GROUP = Configuration((Member(1, "v1", "h", 1),))


def test_a_repeat_is_told_the_first_result_and_changes_nothing():
    sessions, done = SessionTable(), []
    sessions.open(5)

    def take(number):
        return sessions.apply_once(9, 5, number, lambda: done.append(number) or b"r%d" % number)

    assert take(1) == take(1) == (SessionOutcome.DONE, b"r1")
    assert take(3) == (SessionOutcome.GAP, b"")
    assert take(2) == (SessionOutcome.DONE, b"r2") and take(1) == (SessionOutcome.PAST, b"")
    assert done == [1, 2]
    assert sessions.apply_once(9, 6, 1, lambda: b"") == (SessionOutcome.UNKNOWN_SESSION, b"")


def test_the_session_used_least_lately_is_dropped_and_a_dump_keeps_that_order():
    sessions = SessionTable(max_sessions=2)
    sessions.open(1)
    sessions.open(2)
    sessions.apply_once(3, 1, 1, lambda: b"x")
    again = SessionTable(max_sessions=2)
    again.load(sessions.dump())
    for each in (sessions, again):
        each.open(4)
        assert list(each.records) == [1, 4]


def test_a_state_is_the_same_from_its_entries_and_from_a_dump():
    def fresh():
        return StateMachine({"facts": KeyValueState()})

    rng, state, entries = random.Random(3), fresh(), []
    for index in range(1, 200):
        kind = rng.random()
        if kind < 0.1:
            entry = Entry(1, EntryType.SESSION)
        elif kind < 0.2:
            entry = Entry(1, EntryType.COMMAND, rng.randbytes(5))
        else:
            wanted = SetCommand(
                f"f{rng.randrange(5)}", rng.choice([None, b"v"]), rng.choice([None, 0, index - 3])
            )
            entry = Entry(
                1, EntryType.COMMAND, encode_command("facts", wanted), rng.choice([0, 3, 7]), rng.randrange(4)
            )
        entries.append(entry)
        state.apply(index, entry)
    copied, replayed = fresh(), fresh()
    copied.restore(Snapshot(199, 1, GROUP, state.dump()))
    for index, entry in enumerate(entries, 1):
        replayed.apply(index, entry)
    assert copied.dump() == replayed.dump() == state.dump()


def test_facts_change_only_over_the_revision_that_was_named():
    facts = KeyValueState()

    def apply(index, *what):
        return facts.apply(index, msgspec.Raw(msgspec.msgpack.encode(SetCommand(*what))))

    assert apply(1, "a", b"x", 0) == SetResult(True, 1)
    assert apply(2, "a", b"y", 0) == SetResult(False, 1, "another revision")
    assert apply(3, "a", b"z", 1) == SetResult(True, 3) and facts.read("a").value == b"z"
    assert apply(4, "a", None) == SetResult(True, 0) and facts.read("a") is None
    assert not apply(5, "b", bytes(70_000)).is_applied
    assert facts.apply(6, msgspec.Raw(b"\x01")) == SetResult(False, 0, "no command")


def opened(disk):
    return Engine.open(disk, lambda: 1, random.Random(1), create=True)


def saved(engine, journal, *saves):
    for each in saves:
        assert engine.commit([journal.make_batch(each)]) == [None]


def test_what_was_saved_is_read_back_whole_after_cuts_of_the_log_and_its_head():
    disk = FaultyDisk()
    engine, journal = opened(disk), LogStorage()
    entries = tuple(Entry(n, EntryType.COMMAND, b"%d" % n) for n in range(1, 9))
    snapshot = Snapshot(3, 3, GROUP, b"state")
    saved(
        engine,
        journal,
        DurableWrite(1, 2, 1, 1, entries, 8, 0),
        DurableWrite(2, 4, 0, 6, (Entry(9, EntryType.NO_OP),), 6, 0),
        DurableWrite(3, 4, 0, 7, (), 6, 3, snapshot),
    )
    found = LogStorage().load(engine.get)
    assert (found.term, found.vote, found.snapshot) == (4, 0, snapshot)
    assert found.entries == [*entries[3:5], Entry(9, EntryType.NO_OP)]
    assert [key for key, _ in engine.scan(b"e")] == [entry_key(n) for n in (4, 5, 6)]
    replaced = Snapshot(20, 9, GROUP, b"later")
    saved(engine, journal, DurableWrite(4, 9, 2, 21, (), 20, 20, replaced))
    assert LogStorage().load(engine.get).entries == [] and list(engine.scan(b"e")) == []


def test_a_missing_entry_is_damage():
    engine, journal = opened(FaultyDisk()), LogStorage()
    saved(engine, journal, DurableWrite(1, 1, 0, 1, (Entry(1, 0), Entry(1, 0)), 2, 0))
    engine.commit([Batch().delete(entry_key(1))])
    with pytest.raises(CorruptDataError, match="an entry that was confirmed is missing"):
        LogStorage().load(engine.get)


@pytest.mark.parametrize(
    ("group", "to", "life", "welcome", "news"),
    [
        (b"g", 1, Incarnation(7, 70), GreetingResult.ACCEPTED, False),
        (b"g", 0, Incarnation(8, 1), GreetingResult.ACCEPTED, True),
        (b"g", 1, Incarnation(6, 70), GreetingResult.STALE_INCARNATION, False),  # a directory of yesterday
        (b"g", 1, Incarnation(7, 71), GreetingResult.STALE_INCARNATION, False),  # a copy that runs beside it
        (b"other", 1, Incarnation(9, 1), GreetingResult.WRONG_CLUSTER, False),
        (b"g", 5, Incarnation(9, 1), GreetingResult.WRONG_MEMBER, False),
    ],
)
def test_who_greets_is_told_what_is_known_of_its_lives(group, to, life, welcome, news):
    seats = PeerIncarnations(b"g", 1, Incarnation(1, 1), {2: Incarnation(7, 70)})
    assert seats.on_greeting(group, 2, to, life) == (welcome, news)


def test_a_start_waits_for_all_others_or_long_enough():
    seats = PeerIncarnations(b"g", 1, Incarnation(4, 1), {})
    others = frozenset([2, 3])
    assert seats.on_greeting_reply(2, GreetingResult.ACCEPTED) is None and not seats.can_participate(
        others, CONFIRMATION_WAIT_US - 1
    )
    assert seats.can_participate(others, CONFIRMATION_WAIT_US)
    assert seats.on_greeting_reply(3, GreetingResult.ACCEPTED) is None and seats.can_participate(others, 0)
    assert "put back from a copy" in seats.on_greeting_reply(3, GreetingResult.STALE_INCARNATION)
    assert seats.on_greeting_reply(3, GreetingResult.WRONG_CLUSTER) is None
