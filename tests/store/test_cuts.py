"""Cuts of power, full disks and failing flushes at every call that the store makes of its disk."""

import contextlib
import errno
import random

import pytest

from lichencleat.store import framing
from lichencleat.store.errors import CannotOpenError, CorruptDataError, FullError, StoreError
from lichencleat.store.file_names import SEGMENT
from lichencleat.store.index import length_of, offset_of, segment_of
from lichencleat.store.segments import Record, encode_records
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance, every_choice
from tests.store.workload import SECOND, Day, count_calls, start_until_cut

CALLS = count_calls()


def violations(disks, day):
    """What the store on each of these disks breaks of the rule; opening must go through."""
    found = []
    for disk in disks:
        try:
            verdict = day.judge(day.open(disk))
        except StoreError as wrong:
            verdict = repr(wrong)
        if verdict:
            found.append(verdict)
    return found


def after_cuts(disk, seeds):
    return [disk.after_cut(by_chance(random.Random(seed))) for seed in range(seeds)]


@pytest.mark.parametrize("kind", [FaultyDisk.CUT, FaultyDisk.CUT_AFTER])
def test_a_cut_at_any_call_loses_nothing_confirmed(kind):
    cuts = 0
    for call in range(CALLS):
        disk = FaultyDisk()
        disk.faults = {call: kind}
        day = Day()
        if start_until_cut(day, disk):
            cuts += 1
            assert violations(after_cuts(disk, 4), day) == [], disk.calls[-3:]
    assert cuts > 0.8 * CALLS


def test_a_cut_in_recovery_and_in_the_next_one_loses_nothing_confirmed():
    rng = random.Random(5)
    for call in range(0, CALLS, 3):
        disk = FaultyDisk()
        disk.faults = {call: FaultyDisk.CUT}
        day = Day()
        start_until_cut(day, disk)
        image = disk.after_cut(by_chance(rng)).image()
        whole = FaultyDisk(image)
        day.open(whole)
        for first in range(len(whole.calls)):
            again = FaultyDisk(image)
            again.faults = {first: FaultyDisk.CUT}
            with pytest.raises(PowerCutError):
                day.open(again)
            third = again.after_cut(by_chance(rng))
            third.faults = {rng.randrange(len(whole.calls)): FaultyDisk.CUT_AFTER}
            try:
                day.open(third)
            except PowerCutError:
                third = third.after_cut(by_chance(rng))
            else:
                third = third.after_cut(by_chance(rng))
            assert violations([third], day) == []


@pytest.mark.parametrize("calls", range(1, 10))
def test_every_way_in_which_what_was_not_flushed_may_reach_the_disk(calls):
    """Through an append, its flush, and a rotation's create, append, flush, rename and directory flush."""
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    day.ask((b"a", b"1" * 150, 0), (b"b", b"1" * 150, 0))
    disk.faults = {len(disk.calls) + calls: FaultyDisk.CUT}
    with pytest.raises(PowerCutError):
        day.ask((b"a", b"2", 0), (b"b", b"2", 0))
        day.ask((b"a", b"3", 0), (b"b", b"3", 0))
    ways = [disk.after_cut(choose) for choose in every_choice(2_000)]
    assert ways and violations(ways, day) == []


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, FaultyDisk.SHORT])
@pytest.mark.parametrize("span", [1, 5])
def test_an_error_at_any_call_leaves_nothing_half_and_needs_no_restart(code, span):
    for call in range(CALLS):
        disk = FaultyDisk()
        disk.faults = {call + more: code for more in range(span)}
        day = Day()
        try:
            day.open(disk)
        except StoreError:
            disk.faults = {}
            day.open(disk)
        with contextlib.suppress(StoreError):  # of a step of upkeep: a later one may go on
            day.run(close=False)
        disk.faults = {}
        assert day.judge(day.engine) is None, disk.calls[call]
        assert day.ask((b"again", b"room", 0)) is None
        assert day.judge(day.engine) is None
        assert violations(after_cuts(disk, 2), day) == [], disk.calls[call]


@pytest.mark.parametrize("skipped_calls", ["flush", "flush_directory"])
def test_the_faulty_disk_shows_a_store_that_leaves_out_a_flush(skipped_calls):
    broken = 0
    for call in range(0, CALLS, 5):
        disk = FaultyDisk()
        disk.skipped_calls = {skipped_calls}
        disk.faults = {call: FaultyDisk.CUT}
        day = Day()
        start_until_cut(day, disk)
        broken += len(violations(after_cuts(disk, 2), day))
    assert broken


def test_a_failed_flush_is_never_trusted_again():
    """The next flush of the same file would succeed, and prove nothing of what the failed one covered."""
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    assert day.ask((b"a", b"1", 0)) is None
    disk.faults = {len(disk.calls) + 1: errno.EIO}
    assert day.ask((b"a", b"2", 0)) is not None
    assert day.engine.get(b"a") == b"1"
    assert day.ask((b"b", b"3", 0)) is None
    for after in after_cuts(disk, 20):
        engine = day.open(after)
        assert (engine.get(b"a"), engine.get(b"b")) == (b"1", b"3")


def test_a_full_disk_can_be_cleaned_and_has_room_again():
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    for turn in range(4):
        for n in range(12):
            day.ask((b"k%d" % n, b"%d" % turn * 30, 0))
    day.upkeep()
    assert day.engine.reserve.held_bytes
    for n in range(12):
        day.ask((b"k%d" % n, b"last" * 5, 0))  # garbage, not yet cleaned
    disk.room = disk.used() + 5
    verdict = day.ask((b"one more", b"x" * 100, 0))
    assert isinstance(verdict, FullError) and "room on the disk itself" in str(verdict)
    assert day.judge(day.engine) is None  # reads go on
    day.upkeep()
    assert day.engine.log.counts["segments cleaned"] > 0
    assert day.ask((b"one more", b"x" * 100, 0)) is None
    assert violations(after_cuts(disk, 5), day) == []
    disk.room = None
    day.now += 60 * SECOND
    day.upkeep()
    assert day.engine.reserve.held_bytes == day.bounds.reserve_bytes


def test_a_flipped_bit_among_confirmed_records_is_told_and_nothing_is_dropped_silently():
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    day.run(point=False, close=False)
    image = disk.image()
    newest = max(each for each in image if each.endswith(".log"))
    confirmed = day.engine.log.segments[int(newest[:-4])]
    last = day.confirms[-2][1].get(newest, 0)
    told = silent = 0
    for name in [each for each in image if each.endswith(".log")]:
        known = day.engine.log.segments.get(int(name[:-4]))
        for at in range(known.size if known else 0):
            data = bytearray(image[name])
            data[at] ^= 1 << at % 8
            flipped = FaultyDisk({**image, name: bytes(data)})
            try:
                engine = day.open(flipped, create=False)
            except StoreError as wrong:
                told += 1
                if isinstance(wrong, CorruptDataError):
                    assert wrong.findings[0].file in (name, "STORE")
                continue
            # the last flush alone can't be told from one that never ended
            assert name == newest and at >= last, (name, at, dict(engine.scan()))
            silent += 1
    assert told > 300 and silent <= confirmed.size - last


def test_damage_behind_a_checkpoint_is_told_by_the_read_that_meets_it():
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    day.run(close=False)
    where = day.engine.log.index.locations[b"k3"]
    name = SEGMENT.format(segment_of(where))
    day.engine.close()
    image = disk.image()
    data = bytearray(image[name])
    data[offset_of(where) + length_of(where) - 1] ^= 4
    engine = day.open(FaultyDisk({**image, name: bytes(data)}))
    with pytest.raises(CorruptDataError, match=name):
        list(engine.scan())
    with pytest.raises(CorruptDataError, match=name):
        engine.get(b"k3")
    assert engine.get(b"after") == b"the checkpoint"


def test_old_torn_and_missing_checkpoints_cost_time_only():
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    day.run(point=True, close=False)
    old = disk.image()["checkpoint"]
    for n in range(30):
        day.ask((b"k%d" % (n % 5), b"%d" % n * 9, 0))
        day.upkeep()
    image = disk.image()
    for point in [old, b"", *(old[:at] for at in range(len(old)))]:
        assert violations([FaultyDisk({**image, "checkpoint": point})], day) == []
    del image["checkpoint"]
    assert violations([FaultyDisk(image)], day) == []


def test_a_batch_whose_commit_is_missing_or_counts_otherwise_is_left_out():
    disk = FaultyDisk()
    day = Day()
    engine = day.open(disk)
    bodies = [
        (framing.BATCH_PUT, 0, b"no commit", b""),
        (framing.COMMIT, 2, b"", b""),
        (framing.BATCH_PUT, 0, b"whole", b""),
        (framing.COMMIT, 1, b"", b""),
        (framing.TIME_MARK, day.now, b"", b""),
    ]
    segment = engine.log.begin()
    data, _ = encode_records(
        [Record(*each) for each in bodies], segment, segment.first_sequence, segment.first_sequence - 1
    )
    disk.append(segment.file, data)
    mark = Record(framing.TIME_MARK, day.now, b"")
    segment.size += len(data)
    last = segment.first_sequence + len(bodies)
    disk.append(segment.file, encode_records([mark], segment, last, last - 1)[0])  # proves all before it
    assert [key for key, _ in day.open(FaultyDisk(disk.image())).scan()] == [b"whole"]


def test_a_killed_process_and_then_a_cut_of_power_lose_nothing_confirmed():
    """After a kill, what was not flushed is still read from the page cache; what rests on it must be made
    sure of first.
    """
    rng = random.Random(9)
    for call in range(CALLS):
        for kind in (FaultyDisk.CUT, FaultyDisk.CUT_AFTER):
            disk = FaultyDisk()
            disk.faults = {call: kind}
            day = Day()
            if not start_until_cut(day, disk):
                continue
            disk.off, disk.faults = False, {}
            try:
                seen = dict(day.open(disk).scan())
            except CannotOpenError:
                continue  # killed while the store was being made
            if call % 2:
                day.history.batches = day.history.batches[: day.history.confirmed]
                day.history.record_request(
                    [(key, seen.get(key), 0) for key in {*seen, *day.history.state_after(1_000)}]
                )
                day.history.record_confirmation()  # what was read once is there for good
                day.history.record_request([])
            for _ in range(3):
                assert violations([disk.after_cut(by_chance(rng))], day) == [], (call, kind)


def test_what_a_checkpoint_covers_is_not_in_doubt():
    """Else it would get new sequences, and the checkpoint would hide what came under the old ones."""
    disk = FaultyDisk()
    day = Day()
    day.open(disk)
    day.ask((b"a", b"1", 0))
    day.now += 2 * SECOND  # so that a mark comes first, which is not written anew
    day.ask((b"a", None, 0))
    day.engine.checkpoint_writer.begin()
    day.upkeep()
    day.open(FaultyDisk(disk.image()))
    day.ask((b"b", b"2", 0))
    day.ask((b"c", b"3", 0))  # proves the one before it
    assert violations([FaultyDisk(day.engine.disk.image())], day) == []
