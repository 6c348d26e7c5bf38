"""Power cuts, full disks and failing flushes at every disk call of the store."""

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
from tests.store.workload import SECOND, StoreWorkload, count_calls, run_until_power_cut

CALLS = count_calls()


def find_violations(disks, workload):
    """Violations by the stores on these disks; a store that fails to open is a violation."""
    violations = []
    for disk in disks:
        try:
            verdict = workload.check(workload.open(disk))
        except StoreError as error:
            verdict = repr(error)
        if verdict:
            violations.append(verdict)
    return violations


def disks_after_cuts(disk, seeds):
    return [disk.after_cut(by_chance(random.Random(seed))) for seed in range(seeds)]


@pytest.mark.parametrize("kind", [FaultyDisk.CUT, FaultyDisk.CUT_AFTER])
def test_power_cut_at_any_call_loses_nothing_confirmed(kind):
    cuts = 0
    for call in range(CALLS):
        disk = FaultyDisk()
        disk.faults = {call: kind}
        workload = StoreWorkload()
        if run_until_power_cut(workload, disk):
            cuts += 1
            assert find_violations(disks_after_cuts(disk, 4), workload) == [], disk.calls[-3:]
    assert cuts > 0.8 * CALLS


def test_power_cuts_in_two_recoveries_lose_nothing_confirmed():
    rng = random.Random(5)
    for call in range(0, CALLS, 3):
        disk = FaultyDisk()
        disk.faults = {call: FaultyDisk.CUT}
        workload = StoreWorkload()
        run_until_power_cut(workload, disk)
        image = disk.after_cut(by_chance(rng)).image()
        uninterrupted = FaultyDisk(image)
        workload.open(uninterrupted)
        for cut_call in range(len(uninterrupted.calls)):
            interrupted = FaultyDisk(image)
            interrupted.faults = {cut_call: FaultyDisk.CUT}
            with pytest.raises(PowerCutError):
                workload.open(interrupted)
            restarted = interrupted.after_cut(by_chance(rng))
            restarted.faults = {rng.randrange(len(uninterrupted.calls)): FaultyDisk.CUT_AFTER}
            try:
                workload.open(restarted)
            except PowerCutError:
                restarted = restarted.after_cut(by_chance(rng))
            else:
                restarted = restarted.after_cut(by_chance(rng))
            assert find_violations([restarted], workload) == []


@pytest.mark.parametrize("calls", range(1, 10))
def test_power_cut_with_every_outcome_for_unflushed_writes(calls):
    """Covers an append and its flush, and a rotation's create, append, flush, rename and directory flush."""
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.commit((b"a", b"1" * 150, 0), (b"b", b"1" * 150, 0))
    disk.faults = {len(disk.calls) + calls: FaultyDisk.CUT}
    with pytest.raises(PowerCutError):
        workload.commit((b"a", b"2", 0), (b"b", b"2", 0))
        workload.commit((b"a", b"3", 0), (b"b", b"3", 0))
    disks = [disk.after_cut(choose) for choose in every_choice(2_000)]
    assert disks and find_violations(disks, workload) == []


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, FaultyDisk.SHORT])
@pytest.mark.parametrize("span", [1, 5])
def test_disk_error_at_any_call_leaves_no_partial_batch_and_needs_no_restart(code, span):
    for call in range(CALLS):
        disk = FaultyDisk()
        disk.faults = {call + more: code for more in range(span)}
        workload = StoreWorkload()
        try:
            workload.open(disk)
        except StoreError:
            disk.faults = {}
            workload.open(disk)
        with contextlib.suppress(StoreError):  # from a step of maintenance; a later step may succeed
            workload.run(close=False)
        disk.faults = {}
        assert workload.check(workload.engine) is None, disk.calls[call]
        assert workload.commit((b"again", b"room", 0)) is None
        assert workload.check(workload.engine) is None
        assert find_violations(disks_after_cuts(disk, 2), workload) == [], disk.calls[call]


@pytest.mark.parametrize("skipped_calls", ["flush", "flush_directory"])
def test_faulty_disk_detects_a_store_that_skips_a_flush(skipped_calls):
    violation_count = 0
    for call in range(0, CALLS, 5):
        disk = FaultyDisk()
        disk.skipped_calls = {skipped_calls}
        disk.faults = {call: FaultyDisk.CUT}
        workload = StoreWorkload()
        run_until_power_cut(workload, disk)
        violation_count += len(find_violations(disks_after_cuts(disk, 2), workload))
    assert violation_count


def test_failed_flush_is_never_relied_on():
    """After a failed flush, the next flush of the file can succeed although the earlier data is lost."""
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    assert workload.commit((b"a", b"1", 0)) is None
    disk.faults = {len(disk.calls) + 1: errno.EIO}
    assert workload.commit((b"a", b"2", 0)) is not None
    assert workload.engine.get(b"a") == b"1"
    assert workload.commit((b"b", b"3", 0)) is None
    for after in disks_after_cuts(disk, 20):
        engine = workload.open(after)
        assert (engine.get(b"a"), engine.get(b"b")) == (b"1", b"3")


def test_compaction_makes_space_on_a_full_disk():
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    for turn in range(4):
        for n in range(12):
            workload.commit((b"k%d" % n, b"%d" % turn * 30, 0))
    workload.run_maintenance()
    assert workload.engine.reserve.held_bytes
    for n in range(12):
        workload.commit((b"k%d" % n, b"last" * 5, 0))  # makes garbage that is not compacted yet
    disk.room = disk.used() + 5
    verdict = workload.commit((b"one more", b"x" * 100, 0))
    assert isinstance(verdict, FullError) and "room on the disk itself" in str(verdict)
    assert workload.check(workload.engine) is None  # reads still succeed
    workload.run_maintenance()
    assert workload.engine.log.counts["segments cleaned"] > 0
    assert workload.commit((b"one more", b"x" * 100, 0)) is None
    assert find_violations(disks_after_cuts(disk, 5), workload) == []
    disk.room = None
    workload.now += 60 * SECOND
    workload.run_maintenance()
    assert workload.engine.reserve.held_bytes == workload.limits.reserve_bytes


def test_flipped_bit_in_confirmed_records_is_reported():
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.run(with_checkpoint=False, close=False)
    image = disk.image()
    newest = max(each for each in image if each.endswith(".log"))
    newest_segment = workload.engine.log.segments[int(newest[:-4])]
    last_group_start = workload.confirmations[-2][1].get(newest, 0)
    reported = undetected = 0
    for name in [each for each in image if each.endswith(".log")]:
        segment = workload.engine.log.segments.get(int(name[:-4]))
        for position in range(segment.size if segment else 0):
            data = bytearray(image[name])
            data[position] ^= 1 << position % 8
            flipped = FaultyDisk({**image, name: bytes(data)})
            try:
                engine = workload.open(flipped, create=False)
            except StoreError as error:
                reported += 1
                if isinstance(error, CorruptDataError):
                    assert error.findings[0].file in (name, "STORE")
                continue
            # only the last group looks the same as a torn write
            assert name == newest and position >= last_group_start, (name, position, dict(engine.scan()))
            undetected += 1
    assert reported > 300 and undetected <= newest_segment.size - last_group_start


def test_corruption_covered_by_a_checkpoint_is_reported_by_the_read():
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.run(close=False)
    location = workload.engine.log.index.locations[b"k3"]
    name = SEGMENT.format(segment_of(location))
    workload.engine.close()
    image = disk.image()
    data = bytearray(image[name])
    data[offset_of(location) + length_of(location) - 1] ^= 4
    engine = workload.open(FaultyDisk({**image, name: bytes(data)}))
    with pytest.raises(CorruptDataError, match=name):
        list(engine.scan())
    with pytest.raises(CorruptDataError, match=name):
        engine.get(b"k3")
    assert engine.get(b"after") == b"the checkpoint"


def test_old_torn_and_missing_checkpoints_lose_nothing_confirmed():
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.run(with_checkpoint=True, close=False)
    old_checkpoint = disk.image()["checkpoint"]
    for n in range(30):
        workload.commit((b"k%d" % (n % 5), b"%d" % n * 9, 0))
        workload.run_maintenance()
    image = disk.image()
    for checkpoint_data in [
        old_checkpoint,
        b"",
        *(old_checkpoint[:length] for length in range(len(old_checkpoint))),
    ]:
        assert find_violations([FaultyDisk({**image, "checkpoint": checkpoint_data})], workload) == []
    del image["checkpoint"]
    assert find_violations([FaultyDisk(image)], workload) == []


def test_batch_without_its_commit_or_with_a_wrong_count_is_ignored():
    disk = FaultyDisk()
    workload = StoreWorkload()
    engine = workload.open(disk)
    bodies = [
        (framing.BATCH_PUT, 0, b"no commit", b""),
        (framing.COMMIT, 2, b"", b""),
        (framing.BATCH_PUT, 0, b"whole", b""),
        (framing.COMMIT, 1, b"", b""),
        (framing.TIME_MARK, workload.now, b"", b""),
    ]
    segment = engine.log.begin()
    data, _ = encode_records(
        [Record(*each) for each in bodies], segment, segment.first_sequence, segment.first_sequence - 1
    )
    disk.append(segment.file, data)
    mark = Record(framing.TIME_MARK, workload.now, b"")
    segment.size += len(data)
    last = segment.first_sequence + len(bodies)
    disk.append(
        segment.file, encode_records([mark], segment, last, last - 1)[0]
    )  # proves the records before it
    assert [key for key, _ in workload.open(FaultyDisk(disk.image())).scan()] == [b"whole"]


def test_kill_followed_by_a_power_cut_loses_nothing_confirmed():
    """After a kill, unflushed data is still read from the page cache, and a later power cut removes it.

    Recovery has to write it again before anything depends on it.
    """
    rng = random.Random(9)
    for call in range(CALLS):
        for kind in (FaultyDisk.CUT, FaultyDisk.CUT_AFTER):
            disk = FaultyDisk()
            disk.faults = {call: kind}
            workload = StoreWorkload()
            if not run_until_power_cut(workload, disk):
                continue
            disk.off, disk.faults = False, {}
            try:
                entries = dict(workload.open(disk).scan())
            except CannotOpenError:
                continue  # killed during the creation of the store
            if call % 2:
                workload.history.batches = workload.history.batches[: workload.history.confirmed]
                workload.history.record_request(
                    [(key, entries.get(key), 0) for key in {*entries, *workload.history.state_after(1_000)}]
                )
                workload.history.record_confirmation()  # an entry that was read has to survive
                workload.history.record_request([])
            for _ in range(3):
                assert find_violations([disk.after_cut(by_chance(rng))], workload) == [], (call, kind)


def test_records_covered_by_a_checkpoint_are_proved():
    """If a covered record was rewritten with a new sequence, the checkpoint would hide later records."""
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.commit((b"a", b"1", 0))
    workload.now += 2 * SECOND  # a time mark comes first, which is not written again
    workload.commit((b"a", None, 0))
    workload.engine.checkpoint_writer.begin()
    workload.run_maintenance()
    workload.open(FaultyDisk(disk.image()))
    workload.commit((b"b", b"2", 0))
    workload.commit((b"c", b"3", 0))  # proves the previous record
    assert find_violations([FaultyDisk(workload.engine.disk.image())], workload) == []
