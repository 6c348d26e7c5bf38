"""Snapshots that are too large for one value: written in pieces, cut at each call, and on their way in."""

import random

import msgspec
import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from lichencleat.consensus.durable_writer import DurableWriter
from lichencleat.consensus.log_storage import (
    CHUNK_KEY_PREFIX,
    MAX_CHUNK_BYTES,
    PENDING_CHUNKS_KEY,
    SNAPSHOT_KEY,
    LogStorage,
    chunk_key,
)
from lichencleat.consensus.messages import (
    ActionType,
    Configuration,
    DurableState,
    DurableWrite,
    Entry,
    EntryType,
    Member,
    Message,
    MessageType,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.progress import SNAPSHOT_CHUNK_BYTES, Progress
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.snapshot_receiver import MAX_SNAPSHOT_BYTES, SnapshotReceiver
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CorruptDataError, FullError, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance

GROUP = Configuration((Member(1, "v1", "h", 1),))
SMALL = 1_000  # bytes of a piece in these tests
BOUNDS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20)


def opened(disk):
    return Engine.open(disk, lambda: 1, random.Random(1), BOUNDS, create=True)


def snapshot(index, size):
    return Snapshot(index, 1, GROUP, random.Random(index).randbytes(size))


def entries(begin, end):
    return tuple(Entry(1, EntryType.COMMAND, b"%d" % index) for index in range(begin, end + 1))


# what a member writes: a log, a large snapshot of its first entries, more, another, one that is small again
SAVES = [
    DurableWrite(1, 1, 1, 1, entries(1, 6), 6, 0),
    DurableWrite(2, 1, 1, 7, (), 6, 3, snapshot(3, 3_500)),
    DurableWrite(3, 1, 1, 7, entries(7, 9), 9, 3),
    DurableWrite(4, 1, 1, 10, (), 9, 8, snapshot(8, 5_000)),
    DurableWrite(5, 1, 1, 10, entries(10, 12), 12, 11, snapshot(11, 40)),
    DurableWrite(6, 1, 1, 13, (), 12, 12, snapshot(12, 2_001)),
]


def states():
    """What may be found after each of these saves: base, last, the snapshot's data."""
    found, held = [(0, 0, None)], None
    for save in SAVES:
        held = save.snapshot.data if save.snapshot else held
        found.append((save.snapshot_index, save.last_index, held))
    return found


def write(engine, journal, save):
    for piece in journal.chunk_batches(save):
        assert engine.commit([piece]) == [None]
    assert engine.commit([journal.make_batch(save)]) == [None]


def look(engine):
    journal = LogStorage(SMALL)
    durable = journal.load(engine.get)
    data = durable.snapshot.data if durable.snapshot else None
    assert [each.data for each in durable.entries] == [
        b"%d" % index for index in range(journal.snapshot_index + 1, journal.last_index + 1)
    ]
    return journal, (journal.snapshot_index, journal.last_index, data)


def pieces_of(engine):
    return [key for key, _ in engine.scan(CHUNK_KEY_PREFIX)]


def test_each_save_is_read_back_and_pieces_that_count_no_more_are_gone():
    engine, journal = opened(FaultyDisk()), LogStorage(SMALL)
    for save, expected in zip(SAVES, states()[1:], strict=True):
        write(engine, journal, save)
        assert look(engine)[1] == expected
        count = 0 if len(expected[2] or b"") <= SMALL else -(-len(expected[2]) // SMALL)
        assert pieces_of(engine) == [chunk_key(expected[0], number) for number in range(count)]
        assert engine.get(PENDING_CHUNKS_KEY) is None


def calls_of_all():
    disk = FaultyDisk()
    engine, journal = opened(disk), LogStorage(SMALL)
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
            engine, journal = opened(disk), LogStorage(SMALL)
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
                [DurableWrite(9, 1, 1, last + 1, (), last, base)],  # as another leader has it
                [
                    DurableWrite(9, 1, 1, last + 10, (), last + 9, last + 9, elsewhere)
                ],  # a snapshot of another's
            ][seed % 3]
            left_over += pieces_of(engine) != pieces_in(journal)
            for save in following:
                write(engine, journal, save)
                assert pieces_of(engine) == pieces_in(journal), (call, seed)
                look(engine)
    assert left_over > 10


def pieces_in(journal):
    return [chunk_key(journal.active_chunks[0], number) for number in range(journal.active_chunks[1])]


def test_a_snapshot_from_before_pieces_is_read_and_a_program_from_before_them_finds_no_empty_one():
    engine, journal = opened(FaultyDisk()), LogStorage(SMALL)
    old = snapshot(3, 9_000)
    engine.commit(
        [
            Batch()
            .put(SNAPSHOT_KEY, msgspec.msgpack.encode(old))
            .put(b"t", msgspec.msgpack.encode((1, 1, 3, 3)))
        ]
    )
    assert LogStorage(SMALL).load(engine.get).snapshot == old
    write(engine, journal, SAVES[3])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(engine.get(SNAPSHOT_KEY), type=Snapshot)
    small = LogStorage(SMALL)
    write(engine, small, DurableWrite(9, 1, 1, 21, (), 20, 20, snapshot(20, SMALL)))
    assert msgspec.msgpack.decode(engine.get(SNAPSHOT_KEY), type=Snapshot) == snapshot(20, SMALL)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda engine: engine.commit([Batch().delete(chunk_key(8, 2))]),
        lambda engine: engine.commit([Batch().put(chunk_key(8, 4), b"short")]),
        lambda engine: engine.commit([Batch().put(chunk_key(8, 0), bytes(SMALL + 1))]),
    ],
)
def test_a_piece_that_is_missing_or_of_another_size_is_damage(spoil):
    engine, journal = opened(FaultyDisk()), LogStorage(SMALL)
    save = DurableWrite(1, 1, 1, 9, (), 8, 8, snapshot(8, 5_000))
    write(engine, journal, save)
    assert LogStorage(SMALL).load(engine.get).snapshot == save.snapshot
    spoil(engine)
    with pytest.raises(CorruptDataError, match="piece"):
        LogStorage(SMALL).load(engine.get)


def test_a_snapshot_larger_than_any_batch_of_the_store_goes_in_and_out():
    most = StoreLimits(segment_bytes=8 << 20, max_disk_bytes=256 << 20)
    engine = Engine.open(FaultyDisk(), lambda: 1, random.Random(1), most, create=True)
    large = Snapshot(3, 1, GROUP, random.Random(1).randbytes(1 << 20) * 33)  # 33 MiB; a batch has 32 at most
    write(engine, LogStorage(), DurableWrite(1, 1, 1, 4, (), 3, 3, large))
    assert LogStorage().load(engine.get).snapshot == large
    assert len(large.data) > 32 << 20 and MAX_CHUNK_BYTES < 16 << 20


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
    saves = DurableWriter(store, LogStorage(SMALL), done.append, failed.append)
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
    saves = DurableWriter(store, LogStorage(SMALL), done.append, failed.append)
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
    saves = DurableWriter(store, LogStorage(SMALL), done.append, failed.append)
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
            MessageType.SNAPSHOT,
            1,
            1,
            2,
            index=snapshot_.index,
            log_term=snapshot_.term,
            offset=offset,
            snapshot_size=len(data),
            data=data[offset : offset + size],
            configuration=GROUP if offset == 0 else None,
        )
        for offset in range(0, len(data), size)
    ]


def test_pieces_that_come_twice_out_of_order_or_of_another_snapshot_do_no_harm():
    one, other, rng = snapshot(9, 5_000), snapshot(10, 4_000), random.Random(3)
    for _ in range(200):
        arrival, parts, has = SnapshotReceiver(), pieces(one, 700), 0
        for _ in range(400):
            wanted = parts[has // 700]
            part = rng.choice([*parts[1:], wanted, wanted, *pieces(other, 700)[1:]])
            taken = arrival.add_chunk(part)
            if not isinstance(taken, int):
                break
            if part.index == one.index:
                assert taken in (has, has + 700) and (taken == has or part.offset == has)
                has = taken
            else:
                assert taken == 0
        assert taken == one and arrival.first_chunk is None and not arrival.data


def test_another_snapshot_s_first_piece_takes_the_place_and_one_over_the_bound_is_not_begun():
    arrival = SnapshotReceiver()
    first, second = pieces(snapshot(9, 2_000), 700), pieces(snapshot(10, 900), 700)
    assert [arrival.add_chunk(first[0]), arrival.add_chunk(first[1])] == [700, 1_400]
    assert arrival.add_chunk(second[0]) == 700 and arrival.add_chunk(first[2]) == 0
    assert arrival.add_chunk(second[1]) == snapshot(10, 900)
    too_large = Message(
        MessageType.SNAPSHOT,
        1,
        1,
        2,
        index=9,
        log_term=1,
        snapshot_size=MAX_SNAPSHOT_BYTES + 1,
        data=b"x",
        configuration=GROUP,
    )
    assert arrival.add_chunk(too_large) == 0 and arrival.first_chunk is None


def test_a_follower_without_anything_catches_up_by_a_large_snapshot():
    whole = Snapshot(40, 3, GROUP, random.Random(1).randbytes(1 << 20) * 3)
    follower = RaftNode(2, DurableState(), Timeouts(), random.Random(1), 0)
    progress, log = Progress(1, 0), RaftLog(whole, entries(41, 43))
    word, restored, sent = Message(MessageType.APPEND, 3, 1, 2, commit=43), [], 0
    while not restored:
        message = progress.next_message(log, word)
        assert message is not None and len(message.data) <= SNAPSHOT_CHUNK_BYTES
        sent += 1
        follower.receive(0, message)
        while (decision := follower.next_action()) is not None:
            if decision.action_type is ActionType.WRITE:
                follower.on_write_durable(0, decision.write.number)
            elif (
                decision.action_type is ActionType.SEND
                and decision.message.message_type == MessageType.SNAPSHOT_RESPONSE
            ):
                progress.on_snapshot_chunk_received(decision.message.index, decision.message.offset)
            elif decision.action_type is ActionType.RESTORE_SNAPSHOT:
                restored.append(decision.snapshot)
    assert restored == [whole] and sent == 12 and follower.commit_index == 40


def test_a_leader_s_word_tells_what_is_committed_and_a_follower_takes_over_what_it_has():
    log, progress = RaftLog(Snapshot(0, 0, GROUP, b""), entries(1, 9)), Progress(1, 0)
    progress.match_index = 4
    word = progress.make_heartbeat(log, Message(MessageType.APPEND, 1, 1, 2, commit=9))
    assert (word.index, word.commit) == (4, 9)
    follower = RaftNode(2, DurableState(1, 0, None, list(entries(1, 4))), Timeouts(), random.Random(1), 0)
    follower.receive(0, word)
    assert follower.commit_index == 4
