"""Sessions, facts, the journal on the store, and who a peer is."""

import random

import msgspec
import pytest

from lichencleat.consensus.facts import Changed, Facts, Set
from lichencleat.consensus.journal import Journal, entry_key
from lichencleat.consensus.seats import WAIT, Life, Seats, Welcome
from lichencleat.consensus.sessions import Sessions, Verdict
from lichencleat.consensus.state import State, command
from lichencleat.consensus.terms import Entry, Group, Member, Save, Snapshot, What
from lichencleat.store.batch import Batch
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CorruptDataError
from lichencleat.testkit.faulty_disk import FaultyDisk

GROUP = Group((Member(1, "v1", "h", 1),))


def test_a_repeat_is_told_the_first_result_and_changes_nothing():
    sessions, done = Sessions(), []
    sessions.open(5)

    def take(number):
        return sessions.take(9, 5, number, lambda: done.append(number) or b"r%d" % number)

    assert take(1) == take(1) == (Verdict.DONE, b"r1")
    assert take(3) == (Verdict.GAP, b"")
    assert take(2) == (Verdict.DONE, b"r2") and take(1) == (Verdict.PAST, b"")
    assert done == [1, 2]
    assert sessions.take(9, 6, 1, lambda: b"") == (Verdict.UNKNOWN_SESSION, b"")


def test_the_session_used_least_lately_is_dropped_and_a_dump_keeps_that_order():
    sessions = Sessions(most=2)
    sessions.open(1)
    sessions.open(2)
    sessions.take(3, 1, 1, lambda: b"x")
    again = Sessions(most=2)
    again.load(sessions.dump())
    for each in (sessions, again):
        each.open(4)
        assert list(each.held) == [1, 4]


def test_a_state_is_the_same_from_its_entries_and_from_a_dump():
    def fresh():
        return State({"facts": Facts()})

    rng, state, entries = random.Random(3), fresh(), []
    for index in range(1, 200):
        kind = rng.random()
        if kind < 0.1:
            entry = Entry(1, What.SESSION)
        elif kind < 0.2:
            entry = Entry(1, What.COMMAND, rng.randbytes(5))
        else:
            wanted = Set(f"f{rng.randrange(5)}", rng.choice([None, b"v"]), rng.choice([None, 0, index - 3]))
            entry = Entry(1, What.COMMAND, command("facts", wanted), rng.choice([0, 3, 7]), rng.randrange(4))
        entries.append(entry)
        state.apply(index, entry)
    copied, replayed = fresh(), fresh()
    copied.restore(Snapshot(199, 1, GROUP, state.dump()))
    for index, entry in enumerate(entries, 1):
        replayed.apply(index, entry)
    assert copied.dump() == replayed.dump() == state.dump()


def test_facts_change_only_over_the_revision_that_was_named():
    facts = Facts()

    def apply(index, *what):
        return facts.apply(index, msgspec.Raw(msgspec.msgpack.encode(Set(*what))))

    assert apply(1, "a", b"x", 0) == Changed(True, 1)
    assert apply(2, "a", b"y", 0) == Changed(False, 1, "another revision")
    assert apply(3, "a", b"z", 1) == Changed(True, 3) and facts.read("a").value == b"z"
    assert apply(4, "a", None) == Changed(True, 0) and facts.read("a") is None
    assert not apply(5, "b", bytes(70_000)).done
    assert facts.apply(6, msgspec.Raw(b"\x01")) == Changed(False, 0, "no command")


def opened(disk):
    return Engine.open(disk, lambda: 1, random.Random(1), create=True)


def saved(engine, journal, *saves):
    for each in saves:
        assert engine.commit([journal.batch(each)]) == [None]


def test_what_was_saved_is_read_back_whole_after_cuts_of_the_log_and_its_head():
    disk = FaultyDisk()
    engine, journal = opened(disk), Journal()
    entries = tuple(Entry(n, What.COMMAND, b"%d" % n) for n in range(1, 9))
    snapshot = Snapshot(3, 3, GROUP, b"state")
    saved(
        engine,
        journal,
        Save(1, 2, 1, 1, entries, 8, 0),
        Save(2, 4, 0, 6, (Entry(9, What.NOTHING),), 6, 0),
        Save(3, 4, 0, 7, (), 6, 3, snapshot),
    )
    found = Journal().load(engine.get)
    assert (found.term, found.vote, found.snapshot) == (4, 0, snapshot)
    assert found.entries == [*entries[3:5], Entry(9, What.NOTHING)]
    assert [key for key, _ in engine.scan(b"e")] == [entry_key(n) for n in (4, 5, 6)]
    replaced = Snapshot(20, 9, GROUP, b"later")
    saved(engine, journal, Save(4, 9, 2, 21, (), 20, 20, replaced))
    assert Journal().load(engine.get).entries == [] and list(engine.scan(b"e")) == []


def test_a_missing_entry_is_damage():
    engine, journal = opened(FaultyDisk()), Journal()
    saved(engine, journal, Save(1, 1, 0, 1, (Entry(1, 0), Entry(1, 0)), 2, 0))
    engine.commit([Batch().delete(entry_key(1))])
    with pytest.raises(CorruptDataError, match="an entry that was confirmed is missing"):
        Journal().load(engine.get)


@pytest.mark.parametrize(
    ("group", "to", "life", "welcome", "news"),
    [
        (b"g", 1, Life(7, 70), Welcome.COME, False),
        (b"g", 0, Life(8, 1), Welcome.COME, True),
        (b"g", 1, Life(6, 70), Welcome.OUTLIVED, False),  # a directory of yesterday
        (b"g", 1, Life(7, 71), Welcome.OUTLIVED, False),  # a copy that runs beside it
        (b"other", 1, Life(9, 1), Welcome.OTHER_GROUP, False),
        (b"g", 5, Life(9, 1), Welcome.OTHER_SEAT, False),
    ],
)
def test_who_greets_is_told_what_is_known_of_its_lives(group, to, life, welcome, news):
    seats = Seats(b"g", 1, Life(1, 1), {2: Life(7, 70)})
    assert seats.greeted(group, 2, to, life) == (welcome, news)


def test_a_start_waits_for_all_others_or_long_enough():
    seats = Seats(b"g", 1, Life(4, 1), {})
    others = frozenset([2, 3])
    assert seats.answered(2, Welcome.COME) is None and not seats.may_take_part(others, WAIT - 1)
    assert seats.may_take_part(others, WAIT)
    assert seats.answered(3, Welcome.COME) is None and seats.may_take_part(others, 0)
    assert "put back from a copy" in seats.answered(3, Welcome.OUTLIVED)
    assert seats.answered(3, Welcome.OTHER_GROUP) is None
