"""Maintenance policy: decides which background job the store runs next. No I/O.

The jobs are compaction of a segment, a checkpoint, an expiry sweep and renewal of the reserve. They limit
the store's size on disk and the time that opening it takes. Compaction copies a segment's live records and
needed tombstones to the end of the log and removes the segment's file. The compaction victim is selected by
the cost-benefit score of Rosenblum and Ousterhout's log-structured file system (1992): reclaimed space times
age, divided by the bytes read and written.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lichencleat.store.segments import Segment

# Share of all bytes: no compaction for garbage below it. At 0.5, each byte kept costs one copy.
MAX_GARBAGE_SHARE = 0.4
# Share of a segment: with less garbage, compaction reclaims too little for the bytes that it copies.
MIN_GARBAGE_SHARE = 0.25
# Share of a segment, when disk space is short: well above the size of the segment-removed record.
MIN_GARBAGE_SHARE_UNDER_PRESSURE = 0.1
# Share of the bytes allowed: above it, the garbage limits for disk pressure apply.
DISK_PRESSURE_SHARE = 0.8
# Share of all bytes: above it, the oldest segment is compacted, because a tombstone can be dropped only
# when no older segment remains.
MAX_TOMBSTONE_SHARE = 0.1
# Log to replay when the store opens, which takes a third of a second.
CHECKPOINT_INTERVAL_BYTES = 32 << 20
# Share of all bytes: a checkpoint costs as much as its keys, so a large store writes fewer.
CHECKPOINT_INTERVAL_SHARE = 0.5
# Segments above twice the number that their bytes need; every opening and failed write begins a segment.
MAX_EXTRA_SEGMENTS = 8
# Pause between two sweeps, for each entry: a sweep takes at most a tenth of it.
SWEEP_PAUSE_PER_ENTRY_US = 200


class MaintenanceJob(Enum):
    """A background job of the store."""

    COMPACT = auto()
    CHECKPOINT = auto()
    SWEEP_EXPIRED = auto()
    RENEW_RESERVE = auto()


@dataclass(slots=True)
class MaintenanceState:
    """Input of the policy. Sizes count a segment's valid bytes, not what follows its last valid frame."""

    segments: Sequence[Segment]  # sealed segments, oldest first, without the active one
    live_bytes: dict[int, int]  # by segment number: bytes of the frames that entries point at
    total_bytes: int  # bytes of all segments
    max_bytes: int  # bytes allowed, reserve included
    reserve_bytes: int  # space for the copies of one compaction when the disk is full
    segment_bytes: int
    bytes_since_checkpoint: int
    entry_count: int
    earliest_expiry: int  # µs, 0 if no entry expires
    last_sweep_at: int  # µs: end of the last sweep
    reserve_missing: bool
    disk_full: bool  # the last write failed because the disk was full
    compact_all: bool  # applies the garbage limits for disk pressure

    def kept_bytes(self, segment: Segment) -> int:
        """Bytes that compacting the segment may have to copy."""
        return self.live_bytes.get(segment.number, 0) + segment.tombstone_bytes


def garbage_bytes(segment: Segment, live_bytes: dict[int, int]) -> int:
    """Bytes that compacting the segment reclaims; tombstones count as kept."""
    live = live_bytes.get(segment.number, 0)
    return segment.size + segment.void_bytes - live - segment.tombstone_bytes


def pick_compaction_victim(state: MaintenanceState) -> Segment | None:
    """The segment to compact next, or None if no compaction is worth its cost."""
    segments = state.segments
    if not segments:
        return None
    copy_limit = state.reserve_bytes if state.disk_full else state.max_bytes
    eligible = [each for each in segments if not each.is_damaged and state.kept_bytes(each) <= copy_limit]
    empty = _oldest_without_live_entries(state, eligible)
    if empty is not None:
        return empty  # no record has to be copied
    tombstone_bytes = sum(each.tombstone_bytes for each in segments)
    many_tombstones = tombstone_bytes > MAX_TOMBSTONE_SHARE * state.total_bytes
    if many_tombstones and segments[0] in eligible and len(segments) > 1:
        return segments[0]  # newer tombstones are needed until this segment is removed
    best = _best_scored_victim(state, eligible)
    if best is not None:
        return best
    expected_segments = 2 * (state.total_bytes // state.segment_bytes) + MAX_EXTRA_SEGMENTS
    if len(segments) > expected_segments and eligible:
        return min(eligible, key=lambda each: (state.kept_bytes(each), each.number))
    return None


def _oldest_without_live_entries(state: MaintenanceState, eligible: Sequence[Segment]) -> Segment | None:
    """The oldest segment that has no live entry and whose tombstones need no copy."""
    for each in eligible:
        if state.live_bytes.get(each.number, 0):
            continue
        has_data = each.size + each.void_bytes > each.data_start  # otherwise only a header
        if has_data and (not each.tombstone_bytes or each is state.segments[0]):
            return each
    return None


def _best_scored_victim(state: MaintenanceState, eligible: Sequence[Segment]) -> Segment | None:
    """The segment with the best score, if the store has enough garbage or too little space."""
    live_bytes = state.live_bytes
    nearly_full = state.total_bytes > DISK_PRESSURE_SHARE * state.max_bytes
    under_pressure = nearly_full or state.disk_full or state.compact_all
    total_garbage = sum(garbage_bytes(each, live_bytes) for each in state.segments)
    if not under_pressure and total_garbage <= MAX_GARBAGE_SHARE * state.total_bytes:
        return None
    min_garbage_share = MIN_GARBAGE_SHARE_UNDER_PRESSURE if under_pressure else MIN_GARBAGE_SHARE
    candidates = [
        each
        for each in eligible
        if garbage_bytes(each, live_bytes) - each.data_start > min_garbage_share * each.size
    ]
    newest_sequence = state.segments[-1].last_sequence
    return max(candidates, key=lambda each: compaction_score(each, live_bytes, newest_sequence), default=None)


def compaction_score(segment: Segment, live_bytes: dict[int, int], newest_sequence: int) -> float:
    """Reclaimed space times age, divided by the bytes read and written.

    `newest_sequence` is the newest segment's last sequence.
    """
    kept_share = 1 - garbage_bytes(segment, live_bytes) / (segment.size + segment.void_bytes)
    return (1 - kept_share) * (newest_sequence - segment.last_sequence + 1) / (1 + kept_share)


def next_job(state: MaintenanceState, now: int) -> MaintenanceJob | None:
    """The job to begin at the time `now` (µs), or None if no job is due."""
    if state.disk_full:  # every other job needs disk space
        return MaintenanceJob.COMPACT if pick_compaction_victim(state) is not None else None
    sweep_due = now >= state.last_sweep_at + SWEEP_PAUSE_PER_ENTRY_US * state.entry_count
    if state.earliest_expiry and now >= state.earliest_expiry and sweep_due:
        return MaintenanceJob.SWEEP_EXPIRED
    interval = max(CHECKPOINT_INTERVAL_BYTES, CHECKPOINT_INTERVAL_SHARE * state.total_bytes)
    if state.bytes_since_checkpoint > interval:
        return MaintenanceJob.CHECKPOINT
    if pick_compaction_victim(state) is not None:
        return MaintenanceJob.COMPACT
    return MaintenanceJob.RENEW_RESERVE if state.reserve_missing else None


def is_tombstone_needed(tombstone_sequence: int, remaining: Sequence[Segment]) -> bool:
    """Whether one of the remaining segments may hold a value that the tombstone deletes."""
    return any(each.first_sequence <= tombstone_sequence for each in remaining)
