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

LARGE = StoreLimits(segment_bytes=1 << 20, max_disk_bytes=1 << 30)


class Cutter:
    """Truncates the workload's files and checks the store that opens on them."""

    def __init__(self, point, close):
        disk = FaultyDisk()
        self.workload = StoreWorkload()
        self.workload.open(disk)
        self.workload.run(point=point, close=False)
        self.locations = dict(self.workload.engine.log.index.locations)
        if close:
            self.workload.engine.close()
        self.image = disk.image()
        self.whole = {key: value for key, (value, _) in self.workload.history.state_after(10_000).items()}
        self.ever = {(key, value) for batch in self.workload.history.batches for key, value, _ in batch}
        self.in_batches = {
            key for batch in self.workload.history.batches if len(batch) > 1 for key, _, _ in batch
        }
        self.logs = sorted(each for each in self.image if each.endswith(".log"))
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

    def cut(self, lengths):
        """Open the store with files truncated to `lengths`; returns None or the violation."""
        files = dict(self.image)
        for name, length in lengths.items():
            files[name] = files[name][:length]
        history = History()
        history.batches = self.workload.history.batches
        history.confirmed = self.confirmed_at(lengths)
        try:
            engine = self.workload.open(FaultyDisk(files), create=False)
        except (CorruptDataError, CannotOpenError) as reported:
            self.outcomes["reported as corrupt"] += 1
            # the newest segment records removals: truncated, it makes a removed segment look lost
            went = "is part of the store" in str(reported) and self.logs[-1] in lengths
            if (
                not any(name in str(reported) for name in lengths)
                and "no segment" not in str(reported)
                and not went
            ):
                return f"{lengths}: the finding names another file: {reported}"
            return self.check_salvage(files, lengths)
        except StoreError as wrong:
            return f"{lengths}: {wrong!r}"
        self.outcomes["opened"] += 1
        return history.check(dict(engine.scan()), self.workload.now)

    def check_salvage(self, files, lengths):
        into = FaultyDisk()
        try:
            salvage(FaultyDisk(files), into, lambda: self.workload.now, random.Random(1), "old", "new", LARGE)
        except CannotOpenError:
            return None if not any(length for length in lengths.values()) else f"{lengths}: not check_salvage"
        found = dict(self.workload.open(into).scan())
        if strangers := set(found.items()) - self.ever:
            return f"{lengths}: salvage made up {strangers}"
        now = self.workload.now
        for key, location in self.locations.items():
            name, end = SEGMENT.format(segment_of(location)), offset_of(location) + length_of(location)
            expiry = location >> 96
            if key in self.in_batches:
                # the batch's commit record comes later; without it the batch is incomplete
                end = len(self.image[name])
            if lengths.get(name, end) >= end and not 0 < expiry <= now and found.get(key) != self.whole[key]:
                return f"{lengths}: {key!r} stands whole, and salvage has {found.get(key)!r}"
        return None

    def single(self, share):
        for name in sorted(self.image):
            if name != "reserve":
                for length in range(0, len(self.image[name]), share):
                    yield {name: length}

    def pairs(self, share):
        first, second = self.logs[-2:]
        every = itertools.product(range(len(self.image[first])), range(len(self.image[second])))
        for one, two in itertools.islice(every, 0, None, share):
            yield {first: one, second: two}


WAYS = [
    (point, close, what)
    for point, close in ((False, False), (True, False), (True, True))
    for what in ("one file", "last two segments")
]


def run(point, close, what, share, part=0, parts=1):
    """Check every `parts`th truncation; returns the counts (tried, opened, reported) and the violations."""
    cutter = Cutter(point, close)
    cuts = cutter.single(max(1, share // 10)) if what == "one file" else cutter.pairs(share)
    verdicts = [cutter.cut(lengths) for lengths in itertools.islice(cuts, part, None, parts)]
    counts = [len(verdicts), cutter.outcomes["opened"], cutter.outcomes["reported as corrupt"]]
    return counts, [each for each in verdicts if each]


@click.command()
@click.option("--share", type=click.IntRange(min=1), default=1, help="One pair of offsets in so many.")
@click.option("--processes", type=click.IntRange(min=1), default=os.cpu_count(), help="How many at once.")
def main(share, processes):
    begun = time.monotonic()
    wrong = []
    click.echo("checkpoint  closed  what was cut off     offsets  opened  reported as corrupt")
    with ProcessPoolExecutor(processes) as pool:
        for point, close, what in WAYS:
            jobs = [pool.submit(run, point, close, what, share, at, processes) for at in range(processes)]
            done = [each.result() for each in jobs]
            tried, opened, reported = (
                sum(column) for column in zip(*(counts for counts, _ in done), strict=True)
            )
            wrong += [each for _, found in done for each in found]
            click.echo(f"{point!s:10}  {close!s:6}  {what:18}  {tried:8}  {opened:6}  {reported:15}")
    for each in wrong[:10]:
        click.echo(f"WRONG {each}")
    click.echo(f"{len(wrong)} wrong, {time.monotonic() - begun:.0f} s, {processes} processes")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
