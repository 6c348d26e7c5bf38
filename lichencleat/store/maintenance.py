"""What the store does next to keep itself small and quick to open: clean a segment, write a checkpoint,
sweep; no I/O.

Cleaning copies what a segment still holds to the log's end and drops the file. Which one is chosen is the
benefit over the cost of Rosenblum and Ousterhout's log-structured file system (1992): room won times age,
over what is read and written.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lichencleat.store.segments import Segment

MAX_GARBAGE_SHARE = 0.4  # of all bytes: under it cleaning waits; at 0.5 a byte kept costs about one copy
MIN_GARBAGE_SHARE = 0.25  # garbage's share in a segment below which copying the rest wins too little
MIN_GARBAGE_SHARE_UNDER_PRESSURE = (
    0.1  # the same when room is short: well over what noting that a segment is gone takes
)
DISK_PRESSURE_SHARE = 0.8  # of the bytes allowed: above it every segment with some garbage is worth it
MAX_TOMBSTONE_SHARE = 0.1  # of all bytes: tombstones only go once all that is older than them went
CHECKPOINT_INTERVAL_BYTES = 32 << 20  # bytes of log that a start may have to read again: a third of a second
CHECKPOINT_INTERVAL_SHARE = (
    0.5  # of all bytes: a checkpoint costs as much as its keys, so a large store writes fewer
)
MAX_EXTRA_SEGMENTS = (
    8  # segments over twice what the bytes need: every opening and failed write begins a new one
)
SWEEP_PAUSE_PER_ENTRY_US = 200  # µs an entry between two sweeps: they take a tenth of that at the most


class MaintenanceJob(Enum):
    CLEAN = auto()
    POINT = auto()
    SWEEP = auto()
    RESERVE = auto()


@dataclass(slots=True)
class MaintenanceState:
    """What the choice rests on. Bytes are those on disk that count."""

    segments: Sequence[Segment]  # sealed ones, oldest first; the one written to is not among them
    live_bytes: dict[int, int]  # segment's number -> bytes that entries point at
    total: int  # bytes of all segments
    max_bytes: int  # bytes allowed, reserve included
    reserve: int  # bytes of the reserve: what a copy may need
    segment_bytes: int
    bytes_since_checkpoint: int  # bytes written since the last checkpoint
    entries: int
    earliest_expiry: int  # µs: the earliest expiry, 0 where none
    last_sweep_at: int  # µs: when the last sweep ended
    reserve_missing: bool
    disk_full: bool  # the last write found no room
    compact_all: bool  # every bit of garbage is worth cleaning


def garbage(segment: Segment, live_bytes: dict[int, int]) -> int:
    """Bytes that are given back by cleaning it; tombstones count as kept."""
    return segment.size + segment.void_bytes - live_bytes.get(segment.number, 0) - segment.tombstone_bytes


def pick_segment(facts: MaintenanceState) -> Segment | None:
    """The segment to clean next, or None where none is worth it."""
    segments, live_bytes = facts.segments, facts.live_bytes
    if not segments:
        return None
    room = facts.reserve if facts.disk_full else facts.max_bytes
    fit = [
        each
        for each in segments
        if not each.is_damaged and live_bytes.get(each.number, 0) + each.tombstone_bytes <= room
    ]
    empty = [
        each
        for each in fit
        if not live_bytes.get(each.number, 0)
        and (not each.tombstone_bytes or each is segments[0])
        and each.size + each.void_bytes > each.data_start  # one that never held anything costs only its head
    ]
    if empty:
        return empty[0]  # costs nothing but its tombstones' copies, and none where nothing is older
    wasted = sum(garbage(each, live_bytes) for each in segments)
    tombstone_bytes = sum(each.tombstone_bytes for each in segments)
    if tombstone_bytes > MAX_TOMBSTONE_SHARE * facts.total and segments[0] in fit and len(segments) > 1:
        return segments[0]  # each tombstone younger than it outlives it: only its going frees them
    tight = facts.total > DISK_PRESSURE_SHARE * facts.max_bytes or facts.disk_full or facts.compact_all
    if wasted > MAX_GARBAGE_SHARE * facts.total or tight:
        least = MIN_GARBAGE_SHARE_UNDER_PRESSURE if tight else MIN_GARBAGE_SHARE
        worth = [each for each in fit if garbage(each, live_bytes) - each.data_start > least * each.size]
        if worth:
            last = segments[-1].last_sequence
            return max(worth, key=lambda each: compaction_score(each, live_bytes, last))
    needed = 2 * (facts.total // facts.segment_bytes) + MAX_EXTRA_SEGMENTS
    if len(segments) > needed and fit:
        return min(fit, key=lambda each: (live_bytes.get(each.number, 0) + each.tombstone_bytes, each.number))
    return None


def compaction_score(segment: Segment, live_bytes: dict[int, int], last: int) -> float:
    kept = 1 - garbage(segment, live_bytes) / (segment.size + segment.void_bytes)
    return (1 - kept) * (last - segment.last_sequence + 1) / (1 + kept)


def next_job(facts: MaintenanceState, now: int) -> MaintenanceJob | None:
    if facts.disk_full:  # room first: nothing else that writes can be done
        return MaintenanceJob.CLEAN if pick_segment(facts) is not None else None
    if (
        facts.earliest_expiry
        and now >= facts.earliest_expiry
        and now >= facts.last_sweep_at + SWEEP_PAUSE_PER_ENTRY_US * facts.entries
    ):
        return MaintenanceJob.SWEEP
    if facts.bytes_since_checkpoint > max(CHECKPOINT_INTERVAL_BYTES, CHECKPOINT_INTERVAL_SHARE * facts.total):
        return MaintenanceJob.POINT
    if pick_segment(facts) is not None:
        return MaintenanceJob.CLEAN
    return MaintenanceJob.RESERVE if facts.reserve_missing else None


def is_tombstone_needed(born: int, others: Sequence[Segment]) -> bool:
    """May one of the segments that stay hold an older value of a key whose tombstone was born at that
    sequence?
    """
    return any(each.first_sequence <= born for each in others)
