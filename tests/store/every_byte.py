"""Opens the store with its files truncated at every byte.

Truncates each file alone, and the last two segments at every pair of offsets.

    python -m tests.store.every_byte             all offsets, in minutes; prints one table
    python -m tests.store.every_byte --share 50  every fiftieth offset, as the tests do

A power cut can leave a file that is truncated after its flushed bytes. The store then has to open with
complete batches only, among them all that were confirmed before the offset. A file truncated within its
flushed bytes is corruption: the store has to report it, and a salvage has to return every intact confirmed
record and no record that was never written.
"""

import itertools
import os
import random
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import click

from lichencleat.store.capacity import StoreLimits
from lichencleat.store.errors import CannotOpenError, CorruptDataError, StoreError
from lichencleat.store.file_names import SEGMENT
from lichencleat.store.index import length_of, offset_of, segment_of
from lichencleat.store.salvage import salvage
from lichencleat.testkit.checkers.store_history import History
from lichencleat.testkit.faulty_disk import FaultyDisk
from tests.store.workload import StoreWorkload

LARGE_LIMITS = StoreLimits(segment_bytes=1 << 20, max_disk_bytes=1 << 30)


class TruncationCheck:
    """Truncates the workload's files and checks the store that opens on them."""

    def __init__(self, with_checkpoint, close):
        disk = FaultyDisk()
        self.workload = StoreWorkload()
        self.workload.open(disk)
        self.workload.run(with_checkpoint=with_checkpoint, close=False)
        self.locations = dict(self.workload.engine.log.index.locations)
        if close:
            self.workload.engine.close()
        self.image = disk.image()
        self.final_values = {
            key: value for key, (value, _) in self.workload.history.state_after(10_000).items()
        }
        self.written_entries = {
            (key, value) for batch in self.workload.history.batches for key, value, _ in batch
        }
        self.batch_keys = {
            key for batch in self.workload.history.batches if len(batch) > 1 for key, _, _ in batch
        }
        self.segment_names = sorted(each for each in self.image if each.endswith(".log"))
        self.outcomes = Counter()

    def confirmed_at(self, lengths):
        """Number of batches confirmed while the files were no longer than `lengths`."""
        return max(
            (
                count
                for count, sizes in self.workload.confirmations
                if all(sizes.get(name, 0) <= length for name, length in lengths.items())
            ),
            default=0,
        )

    def check_truncated(self, lengths):
        """Open the store with files truncated to `lengths`; returns None or the violation."""
        files = dict(self.image)
        for name, length in lengths.items():
            files[name] = files[name][:length]
        history = History()
        history.batches = self.workload.history.batches
        history.confirmed = self.confirmed_at(lengths)
        try:
            engine = self.workload.open(FaultyDisk(files), create=False)
        except (CorruptDataError, CannotOpenError) as rejection:
            self.outcomes["reported as corrupt"] += 1
            # the newest segment records removals: truncated, it makes a removed segment look lost
            is_removed_segment = (
                "is part of the store" in str(rejection) and self.segment_names[-1] in lengths
            )
            if (
                not any(name in str(rejection) for name in lengths)
                and "no segment" not in str(rejection)
                and not is_removed_segment
            ):
                return f"{lengths}: the finding names another file: {rejection}"
            return self.check_salvage(files, lengths)
        except StoreError as error:
            return f"{lengths}: {error!r}"
        self.outcomes["opened"] += 1
        return history.check(dict(engine.scan()), self.workload.now)

    def check_salvage(self, files, lengths):
        new_disk = FaultyDisk()
        try:
            salvage(
                FaultyDisk(files),
                new_disk,
                lambda: self.workload.now,
                random.Random(1),
                "old",
                "new",
                LARGE_LIMITS,
            )
        except CannotOpenError:
            return (
                None if not any(length for length in lengths.values()) else f"{lengths}: salvage was rejected"
            )
        found = dict(self.workload.open(new_disk).scan())
        if unknown_entries := set(found.items()) - self.written_entries:
            return f"{lengths}: salvage returned entries that were never written: {unknown_entries}"
        now = self.workload.now
        for key, location in self.locations.items():
            name, end = SEGMENT.format(segment_of(location)), offset_of(location) + length_of(location)
            expiry = location >> 96
            if key in self.batch_keys:
                # the batch's commit record comes later; without it the batch is incomplete
                end = len(self.image[name])
            if (
                lengths.get(name, end) >= end
                and not 0 < expiry <= now
                and found.get(key) != self.final_values[key]
            ):
                return f"{lengths}: {key!r} is intact, but salvage returned {found.get(key)!r}"
        return None

    def single_file_lengths(self, share):
        for name in sorted(self.image):
            if name != "reserve":
                for length in range(0, len(self.image[name]), share):
                    yield {name: length}

    def last_two_segment_lengths(self, share):
        first, second = self.segment_names[-2:]
        all_pairs = itertools.product(range(len(self.image[first])), range(len(self.image[second])))
        for first_length, second_length in itertools.islice(all_pairs, 0, None, share):
            yield {first: first_length, second: second_length}


CASES = [
    (with_checkpoint, close, target)
    for with_checkpoint, close in ((False, False), (True, False), (True, True))
    for target in ("one file", "last two segments")
]


def run(with_checkpoint, close, target, share, part=0, parts=1):
    """Check every `parts`th truncation; returns the counts (tried, opened, reported) and the violations."""
    check = TruncationCheck(with_checkpoint, close)
    truncations = (
        check.single_file_lengths(max(1, share // 10))
        if target == "one file"
        else check.last_two_segment_lengths(share)
    )
    results = [check.check_truncated(lengths) for lengths in itertools.islice(truncations, part, None, parts)]
    counts = [len(results), check.outcomes["opened"], check.outcomes["reported as corrupt"]]
    return counts, [each for each in results if each]


@click.command()
@click.option(
    "--share", type=click.IntRange(min=1), default=1, help="Check one in this many pairs of offsets."
)
@click.option(
    "--processes", type=click.IntRange(min=1), default=os.cpu_count(), help="Number of parallel processes."
)
def main(share, processes):
    started_at = time.monotonic()
    violations = []
    click.echo("checkpoint  closed  truncated files      offsets  opened  reported as corrupt")
    with ProcessPoolExecutor(processes) as pool:
        for with_checkpoint, close, target in CASES:
            jobs = [
                pool.submit(run, with_checkpoint, close, target, share, part, processes)
                for part in range(processes)
            ]
            results = [each.result() for each in jobs]
            tried, opened, reported = (
                sum(column) for column in zip(*(counts for counts, _ in results), strict=True)
            )
            violations += [each for _, found in results for each in found]
            click.echo(
                f"{with_checkpoint!s:10}  {close!s:6}  {target:18}  {tried:8}  {opened:6}  {reported:15}"
            )
    for each in violations[:10]:
        click.echo(f"VIOLATION {each}")
    click.echo(f"{len(violations)} violations, {time.monotonic() - started_at:.0f} s, {processes} processes")
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
