"""Snapshots that are too large for one value: written in pieces, cut at each call, and on their way in."""

import random

import msgspec
import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from lichencleat.consensus.arrival import SNAPSHOT_MOST, Arrival
from lichencleat.consensus.entries import Entries
from lichencleat.consensus.following import PIECE, Progress
from lichencleat.consensus.journal import PIECE as PIECE_KEY
from lichencleat.consensus.journal import PIECE_MOST, SNAPSHOT, UNDER_WAY, Journal, piece_key
from lichencleat.consensus.saves import Saves
from lichencleat.consensus.terms import (
    Act,
    Durable,
    Entry,
    Group,
    Kind,
    Member,
    Message,
    Save,
    Snapshot,
    Times,
    What,
)
from lichencleat.consensus.voter import Voter
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CorruptDataError, FullError, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance

GROUP = Group((Member(1, "v1", "h", 1),))
SMALL = 1_000  # bytes of a piece in these tests
BOUNDS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20)


def opened(disk):
    return Engine.open(disk, lambda: 1, random.Random(1), BOUNDS, create=True)


def snapshot(index, size):
    return Snapshot(index, 1, GROUP, random.Random(index).randbytes(size))


def entries(begin, end):
    return tuple(Entry(1, What.COMMAND, b"%d" % index) for index in range(begin, end + 1))


# what a member writes: a log, a large snapshot of its first entries, more, another, one that is small again
SAVES = [
    Save(1, 1, 1, 1, entries(1, 6), 6, 0),
    Save(2, 1, 1, 7, (), 6, 3, snapshot(3, 3_500)),
    Save(3, 1, 1, 7, entries(7, 9), 9, 3),
    Save(4, 1, 1, 10, (), 9, 8, snapshot(8, 5_000)),
    Save(5, 1, 1, 10, entries(10, 12), 12, 11, snapshot(11, 40)),
    Save(6, 1, 1, 13, (), 12, 12, snapshot(12, 2_001)),
]


def states():
    """What may be found after each of these saves: base, last, the snapshot's data."""
    found, held = [(0, 0, None)], None
    for save in SAVES:
        held = save.snapshot.data if save.snapshot else held
        found.append((save.base, save.last, held))
    return found


def write(engine, journal, save):
    for piece in journal.pieces(save):
        assert engine.commit([piece]) == [None]
    assert engine.commit([journal.batch(save)]) == [None]


def look(engine):
    journal = Journal(SMALL)
    durable = journal.load(engine.get)
    data = durable.snapshot.data if durable.snapshot else None
    assert [each.data for each in durable.entries] == [
        b"%d" % index for index in range(journal.base + 1, journal.last + 1)
    ]
    return journal, (journal.base, journal.last, data)


def pieces_of(engine):
    return [key for key, _ in engine.scan(PIECE_KEY)]


def test_each_save_is_read_back_and_pieces_that_count_no_more_are_gone():
    engine, journal = opened(FaultyDisk()), Journal(SMALL)
    for save, expected in zip(SAVES, states()[1:], strict=True):
        write(engine, journal, save)
        assert look(engine)[1] == expected
        count = 0 if len(expected[2] or b"") <= SMALL else -(-len(expected[2]) // SMALL)
        assert pieces_of(engine) == [piece_key(expected[0], number) for number in range(count)]
        assert engine.get(UNDER_WAY) is None


def calls_of_all():
    disk = FaultyDisk()
    engine, journal = opened(disk), Journal(SMALL)
    begin = len(disk.calls)
    for save in SAVES:
        write(engine, journal, save)
    return begin, len(disk.calls)


@pytest.mark.parametrize("fault", [FaultyDisk.CUT, FaultyDisk.CUT_AFTER])
def test_a_cut_at_each_call_leaves_one_save_whole_and_no_piece_over_after_the_next(fault):
    begin, end = calls_of_all()
    expected, left_over = states(), 0
    for call in range(begin, end):
        for seed in range(6):
            disk = FaultyDisk()
            engine, journal = opened(disk), Journal(SMALL)
            disk.faults = {call: fault}
            done = 0
            try:
                for save in SAVES:
                    write(engine, journal, save)
                    done += 1
            except PowerCutError:
                pass
            engine = opened(disk.after_cut(by_chance(random.Random(seed))))
            journal, found = look(engine)
            assert found in expected[done : done + 2], (call, seed)
            base, last, _ = found
            elsewhere = snapshot(last + 9, 1_500)
            following = [
                SAVES[expected.index(found) :],  # as if nothing had been
                [Save(9, 1, 1, last + 1, (), last, base)],  # as another leader has it
                [Save(9, 1, 1, last + 10, (), last + 9, last + 9, elsewhere)],  # a snapshot of another's
            ][seed % 3]
            left_over += pieces_of(engine) != pieces_in(journal)
            for save in following:
                write(engine, journal, save)
                assert pieces_of(engine) == pieces_in(journal), (call, seed)
                look(engine)
    assert left_over > 10


def pieces_in(journal):
    return [piece_key(journal.counting[0], number) for number in range(journal.counting[1])]


def test_a_snapshot_from_before_pieces_is_read_and_a_program_from_before_them_finds_no_empty_one():
    engine, journal = opened(FaultyDisk()), Journal(SMALL)
    old = snapshot(3, 9_000)
    engine.commit(
        [Batch().put(SNAPSHOT, msgspec.msgpack.encode(old)).put(b"t", msgspec.msgpack.encode((1, 1, 3, 3)))]
    )
    assert Journal(SMALL).load(engine.get).snapshot == old
    write(engine, journal, SAVES[3])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(engine.get(SNAPSHOT), type=Snapshot)
    small = Journal(SMALL)
    write(engine, small, Save(9, 1, 1, 21, (), 20, 20, snapshot(20, SMALL)))
    assert msgspec.msgpack.decode(engine.get(SNAPSHOT), type=Snapshot) == snapshot(20, SMALL)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda engine: engine.commit([Batch().delete(piece_key(8, 2))]),
        lambda engine: engine.commit([Batch().put(piece_key(8, 4), b"short")]),
        lambda engine: engine.commit([Batch().put(piece_key(8, 0), bytes(SMALL + 1))]),
    ],
)
def test_a_piece_that_is_missing_or_of_another_size_is_damage(spoil):
    engine, journal = opened(FaultyDisk()), Journal(SMALL)
    save = Save(1, 1, 1, 9, (), 8, 8, snapshot(8, 5_000))
    write(engine, journal, save)
    assert Journal(SMALL).load(engine.get).snapshot == save.snapshot
    spoil(engine)
    with pytest.raises(CorruptDataError, match="piece"):
        Journal(SMALL).load(engine.get)


def test_a_snapshot_larger_than_any_batch_of_the_store_goes_in_and_out():
    most = StoreLimits(segment_bytes=8 << 20, max_disk_bytes=256 << 20)
    engine = Engine.open(FaultyDisk(), lambda: 1, random.Random(1), most, create=True)
    large = Snapshot(3, 1, GROUP, random.Random(1).randbytes(1 << 20) * 33)  # 33 MiB; a batch has 32 at most
    write(engine, Journal(), Save(1, 1, 1, 4, (), 3, 3, large))
    assert Journal().load(engine.get).snapshot == large
    assert len(large.data) > 32 << 20 and PIECE_MOST < 16 << 20


# -- in the process ----------------------------------------------------------------------------------------


class Told:
    """In place of the store: batches as they come, confirmed by hand."""

    def __init__(self):
        self.batches = []

    def commit(self, batch):
        told = Deferred()
        self.batches.append((batch, told))
        return told

    def confirm(self):
        self.batches.pop(0)[1].callback(None)


def test_pieces_are_written_one_by_one_and_saves_behind_them_wait_their_turn():
    store, done, failed = Told(), [], []
    saves = Saves(store, Journal(SMALL), done.append, failed.append)
    saves.write(SAVES[0])
    saves.write(SAVES[1])
    saves.write(SAVES[2])
    assert len(store.batches) == 2  # the first save, and word of the pieces
    store.confirm()
    for _ in range(5):
        assert len(store.batches) == 1 and done == [1]
        store.confirm()
    assert len(store.batches) == 2  # the snapshot's own save, and the one behind it at once
    store.confirm()
    store.confirm()
    assert done == [1, 2, 3] and not failed and not store.batches


def test_a_piece_that_can_t_be_written_ends_the_writing_and_nothing_counts_it():
    store, done, failed = Told(), [], []
    saves = Saves(store, Journal(SMALL), done.append, failed.append)
    saves.write(SAVES[1])
    saves.write(SAVES[2])
    store.confirm()
    store.batches.pop(0)[1].errback(FullError("bytes on disk"))
    saves.write(SAVES[3])
    assert not store.batches and not done and len(failed) == 1
    assert isinstance(failed[0].value, StoreError)


def test_a_full_disk_while_pieces_are_written_leaves_the_snapshot_before():
    clock, disk, done, failed = Clock(), FaultyDisk(), [], []
    engine = opened(disk)

    def at_once(call, *args):
        try:
            return succeed(call(*args))
        except StoreError as wrong:
            return fail(wrong)

    store = Store(clock, engine, at_once, at_once, maintenance=False)
    saves = Saves(store, Journal(SMALL), done.append, failed.append)
    for save in SAVES[:3]:
        saves.write(save)
    disk.room = disk.used() + 2_500  # two pieces of five
    saves.write(SAVES[3])
    saves.write(SAVES[4])
    assert done == [1, 2, 3] and len(failed) == 1
    engine.close()
    disk.room, disk.locked = None, False
    assert look(opened(disk))[1] == states()[3]


# -- on its way in -----------------------------------------------------------------------------------------


def pieces(snapshot_, size, at=0):
    data = snapshot_.data
    return [
        Message(
            Kind.SNAPSHOT,
            1,
            1,
            2,
            index=snapshot_.index,
            past=snapshot_.term,
            offset=offset,
            size=len(data),
            data=data[offset : offset + size],
            group=GROUP if offset == 0 else None,
        )
        for offset in range(0, len(data), size)
    ]


def test_pieces_that_come_twice_out_of_order_or_of_another_snapshot_do_no_harm():
    one, other, rng = snapshot(9, 5_000), snapshot(10, 4_000), random.Random(3)
    for _ in range(200):
        arrival, parts, has = Arrival(), pieces(one, 700), 0
        for _ in range(400):
            wanted = parts[has // 700]
            part = rng.choice([*parts[1:], wanted, wanted, *pieces(other, 700)[1:]])
            taken = arrival.take(part)
            if not isinstance(taken, int):
                break
            if part.index == one.index:
                assert taken in (has, has + 700) and (taken == has or part.offset == has)
                has = taken
            else:
                assert taken == 0
        assert taken == one and arrival.first is None and not arrival.data


def test_another_snapshot_s_first_piece_takes_the_place_and_one_over_the_bound_is_not_begun():
    arrival = Arrival()
    first, second = pieces(snapshot(9, 2_000), 700), pieces(snapshot(10, 900), 700)
    assert [arrival.take(first[0]), arrival.take(first[1])] == [700, 1_400]
    assert arrival.take(second[0]) == 700 and arrival.take(first[2]) == 0
    assert arrival.take(second[1]) == snapshot(10, 900)
    too_large = Message(
        Kind.SNAPSHOT, 1, 1, 2, index=9, past=1, size=SNAPSHOT_MOST + 1, data=b"x", group=GROUP
    )
    assert arrival.take(too_large) == 0 and arrival.first is None


def test_a_follower_without_anything_catches_up_by_a_large_snapshot():
    whole = Snapshot(40, 3, GROUP, random.Random(1).randbytes(1 << 20) * 3)
    follower = Voter(2, Durable(), Times(), random.Random(1), 0)
    progress, log = Progress(1, 0), Entries(whole, entries(41, 43))
    word, restored, sent = Message(Kind.APPEND, 3, 1, 2, commit=43), [], 0
    while not restored:
        message = progress.next_message(log, word)
        assert message is not None and len(message.data) <= PIECE
        sent += 1
        follower.hears(0, message)
        while (decision := follower.next_decision()) is not None:
            if decision.act is Act.SAVE:
                follower.saved(0, decision.save.number)
            elif decision.act is Act.SEND and decision.message.kind == Kind.TAKEN:
                progress.taken(decision.message.index, decision.message.offset)
            elif decision.act is Act.RESTORE:
                restored.append(decision.snapshot)
    assert restored == [whole] and sent == 12 and follower.commit == 40


def test_a_leader_s_word_tells_what_is_committed_and_a_follower_takes_over_what_it_has():
    log, progress = Entries(Snapshot(0, 0, GROUP, b""), entries(1, 9)), Progress(1, 0)
    progress.match = 4
    word = progress.word(log, Message(Kind.APPEND, 1, 1, 2, commit=9))
    assert (word.index, word.commit) == (4, 9)
    follower = Voter(2, Durable(1, 0, None, list(entries(1, 4))), Times(), random.Random(1), 0)
    follower.hears(0, word)
    assert follower.commit == 4
