"""Maintenance policy: which job keeps the store small and quick to open next. No I/O.

The jobs are compaction of a segment, a checkpoint, an expiry sweep and renewing the reserve. Compaction
copies what a segment still holds to the log's end and removes its file. The segment is chosen by the
benefit over the cost of Rosenblum and Ousterhout's log-structured file system (1992): space won times age,
over what is read and written.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lichencleat.store.segments import Segment

# Compaction waits while garbage is less than this share of all bytes; at 0.5 a byte kept costs one copy.
MAX_GARBAGE_SHARE = 0.4
# Garbage's share of a segment below which copying the rest wins too little.
MIN_GARBAGE_SHARE = 0.25
# The same when space is short: well over what noting that a segment is removed takes.
MIN_GARBAGE_SHARE_UNDER_PRESSURE = 0.1
# Of the bytes allowed: above it every segment with some garbage is worth compacting.
DISK_PRESSURE_SHARE = 0.8
# Of all bytes: tombstones only go once all that is older than them went.
MAX_TOMBSTONE_SHARE = 0.1
# Bytes of log that a start may have to read again: a third of a second.
CHECKPOINT_INTERVAL_BYTES = 32 << 20
# Of all bytes: a checkpoint costs as much as its keys, so a large store writes fewer.
CHECKPOINT_INTERVAL_SHARE = 0.5
# Segments over twice what the bytes need: every opening and every failed write begins a new one.
MAX_EXTRA_SEGMENTS = 8
# µs for each entry between two sweeps: a sweep takes at most a tenth of that.
SWEEP_PAUSE_PER_ENTRY_US = 200


class MaintenanceJob(Enum):
    """What the store can do next."""

    COMPACT = auto()
    CHECKPOINT = auto()
    SWEEP_EXPIRED = auto()
    RENEW_RESERVE = auto()


@dataclass(slots=True)
class MaintenanceState:
    """What the choice is made from. Bytes are those on disk that count."""

    segments: Sequence[Segment]  # sealed ones, oldest first; the one written to is not among them
    live_bytes: dict[int, int]  # by segment number: bytes that entries point at
    total: int  # bytes of all segments
    max_bytes: int  # bytes allowed, reserve included
    reserve: int  # bytes of the reserve: what a copy may need
    segment_bytes: int
    bytes_since_checkpoint: int
    entries: int
    earliest_expiry: int  # µs, 0 where no entry expires
    last_sweep_at: int  # µs: when the last sweep ended
    reserve_missing: bool
    disk_full: bool  # the last write found no space
    compact_all: bool  # any garbage is worth compacting

    def kept_bytes(self, segment: Segment) -> int:
        """Bytes that compacting the segment may have to copy."""
        return self.live_bytes.get(segment.number, 0) + segment.tombstone_bytes


def garbage_bytes(segment: Segment, live_bytes: dict[int, int]) -> int:
    """Bytes that compacting the segment gives back; tombstones count as kept."""
    live = live_bytes.get(segment.number, 0)
    return segment.size + segment.void_bytes - live - segment.tombstone_bytes


def pick_segment(state: MaintenanceState) -> Segment | None:
    """The segment to compact next, or None where none is worth it."""
    segments = state.segments
    if not segments:
        return None
    space = state.reserve if state.disk_full else state.max_bytes
    fit = [each for each in segments if not each.is_damaged and state.kept_bytes(each) <= space]
    empty = _first_empty(state, fit)
    if empty is not None:
        return empty  # costs nothing but its tombstones' copies, and none where nothing is older
    tombstone_bytes = sum(each.tombstone_bytes for each in segments)
    many_tombstones = tombstone_bytes > MAX_TOMBSTONE_SHARE * state.total
    if many_tombstones and segments[0] in fit and len(segments) > 1:
        return segments[0]  # each tombstone younger than it outlives it: only its removal frees them
    best = _best_of_garbage(state, fit)
    if best is not None:
        return best
    needed = 2 * (state.total // state.segment_bytes) + MAX_EXTRA_SEGMENTS
    if len(segments) > needed and fit:
        return min(fit, key=lambda each: (state.kept_bytes(each), each.number))
    return None


def _first_empty(state: MaintenanceState, fit: Sequence[Segment]) -> Segment | None:
    """The oldest segment whose removal needs next to no copy."""
    for each in fit:
        if state.live_bytes.get(each.number, 0):
            continue
        has_data = each.size + each.void_bytes > each.data_start  # else it costs only its header
        if has_data and (not each.tombstone_bytes or each is state.segments[0]):
            return each
    return None


def _best_of_garbage(state: MaintenanceState, fit: Sequence[Segment]) -> Segment | None:
    """The segment with the best score, where there is enough garbage or too little space."""
    live_bytes = state.live_bytes
    full = state.total > DISK_PRESSURE_SHARE * state.max_bytes
    pressed = full or state.disk_full or state.compact_all
    wasted = sum(garbage_bytes(each, live_bytes) for each in state.segments)
    if not pressed and wasted <= MAX_GARBAGE_SHARE * state.total:
        return None
    least = MIN_GARBAGE_SHARE_UNDER_PRESSURE if pressed else MIN_GARBAGE_SHARE
    worth = [each for each in fit if garbage_bytes(each, live_bytes) - each.data_start > least * each.size]
    newest = state.segments[-1].last_sequence
    return max(worth, key=lambda each: compaction_score(each, live_bytes, newest), default=None)


def compaction_score(segment: Segment, live_bytes: dict[int, int], newest: int) -> float:
    """Space won times age, over what is read and written. `newest` is the newest segment's last sequence."""
    kept = 1 - garbage_bytes(segment, live_bytes) / (segment.size + segment.void_bytes)
    return (1 - kept) * (newest - segment.last_sequence + 1) / (1 + kept)


def next_job(state: MaintenanceState, now: int) -> MaintenanceJob | None:
    """The job to begin at that time (µs), or None where nothing is left to do."""
    if state.disk_full:  # space first: nothing else that writes can be done
        return MaintenanceJob.COMPACT if pick_segment(state) is not None else None
    sweep_due = now >= state.last_sweep_at + SWEEP_PAUSE_PER_ENTRY_US * state.entries
    if state.earliest_expiry and now >= state.earliest_expiry and sweep_due:
        return MaintenanceJob.SWEEP_EXPIRED
    interval = max(CHECKPOINT_INTERVAL_BYTES, CHECKPOINT_INTERVAL_SHARE * state.total)
    if state.bytes_since_checkpoint > interval:
        return MaintenanceJob.CHECKPOINT
    if pick_segment(state) is not None:
        return MaintenanceJob.COMPACT
    return MaintenanceJob.RENEW_RESERVE if state.reserve_missing else None


def is_tombstone_needed(born: int, others: Sequence[Segment]) -> bool:
    """Whether a segment that stays may hold an older value of a key whose tombstone has that sequence."""
    return any(each.first_sequence <= born for each in others)
