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

# Compaction for garbage starts when garbage is more than this fraction of all bytes. At 0.5, each byte kept
# costs one copy.
MAX_GARBAGE_SHARE = 0.4
# A segment is not compacted if garbage is less than this fraction of its bytes, because compaction would
# reclaim too little for the bytes that it copies.
MIN_GARBAGE_SHARE = 0.25
# Used in place of `MIN_GARBAGE_SHARE` under disk pressure, that is when disk space is short. The garbage is
# then still much larger than the record of the segment's removal that each compaction writes.
MIN_GARBAGE_SHARE_UNDER_PRESSURE = 0.1
# The store is under disk pressure if it uses more than this fraction of the bytes that its limits allow.
DISK_PRESSURE_SHARE = 0.8
# The oldest segment is compacted if tombstones are more than this fraction of all bytes: a tombstone can be
# dropped only when no older segment remains.
MAX_TOMBSTONE_SHARE = 0.1
# Smallest size of the log between two checkpoints. Opening a store replays this log in a third of a second.
CHECKPOINT_INTERVAL_BYTES = 32 << 20
# The log between two checkpoints has at least this fraction of all bytes. A checkpoint has as many bytes as
# its keys, so a large store writes fewer checkpoints.
CHECKPOINT_INTERVAL_SHARE = 0.5
# Number of segments allowed above twice the number that their bytes need. Each opening and each failed write
# begins a segment, which may stay small.
MAX_EXTRA_SEGMENTS = 8
# Pause between two expiry sweeps, for each entry of the store. A sweep takes at most a tenth of this time.
SWEEP_PAUSE_PER_ENTRY_US = 200


class MaintenanceJob(Enum):
    """A background job of the store."""

    COMPACT = auto()
    CHECKPOINT = auto()
    SWEEP_EXPIRED = auto()
    RENEW_RESERVE = auto()


@dataclass(slots=True)
class MaintenanceState:
    """The state of the store on which the next job depends.

    Sizes count the valid bytes of segments, not the bytes after a segment's last valid frame.
    """

    segments: Sequence[Segment]  # all segments except the active segment, oldest first
    live_bytes: dict[int, int]  # by segment number: bytes of the frames that entries point at
    total_bytes: int  # bytes of all segments
    max_bytes: int  # limit on the bytes of all segments, including the space reserved for compaction
    reserve_bytes: int  # space for the copies of one compaction when the disk is full
    segment_bytes: int  # size at which a segment is sealed
    bytes_since_checkpoint: int  # bytes of log that opening the store would replay
    entry_count: int
    earliest_expiry: int  # µs, 0 if no entry expires
    last_sweep_at: int  # µs: when the last expiry sweep ended
    reserve_missing: bool  # whether the reserve should be written now
    disk_full: bool  # whether the last write failed because the disk was full
    compact_all: bool  # whether compaction acts as under disk pressure

    def kept_bytes(self, segment: Segment) -> int:
        """Return the bytes that compacting the segment may have to copy."""
        return self.live_bytes.get(segment.number, 0) + segment.tombstone_bytes


def garbage_bytes(segment: Segment, live_bytes: dict[int, int]) -> int:
    """Return the bytes that compacting a segment reclaims, if all of its tombstones are kept."""
    live = live_bytes.get(segment.number, 0)
    return segment.size + segment.void_bytes - live - segment.tombstone_bytes


def pick_compaction_victim(state: MaintenanceState) -> Segment | None:
    """Return the segment to compact next, or None if no compaction is worth its cost."""
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
        return segments[0]  # the other segments' tombstones are needed until this segment is removed
    best = _best_scored_victim(state, eligible)
    if best is not None:
        return best
    expected_segments = 2 * (state.total_bytes // state.segment_bytes) + MAX_EXTRA_SEGMENTS
    if len(segments) > expected_segments and eligible:
        return min(eligible, key=lambda each: (state.kept_bytes(each), each.number))
    return None


def _oldest_without_live_entries(state: MaintenanceState, eligible: Sequence[Segment]) -> Segment | None:
    """Return the oldest segment that compaction can remove without copies, or None if there is none."""
    for each in eligible:
        if state.live_bytes.get(each.number, 0):
            continue
        has_data = each.size + each.void_bytes > each.data_start  # False: the file has only a header
        if has_data and (not each.tombstone_bytes or each is state.segments[0]):
            return each
    return None


def _best_scored_victim(state: MaintenanceState, eligible: Sequence[Segment]) -> Segment | None:
    """Return the segment with the best score, or None without enough garbage or disk pressure."""
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
    """Return the reclaimed space times the age, divided by the bytes read and written.

    `newest_sequence` is the last sequence of the newest sealed segment, relative to which ages are computed.
    """
    kept_share = 1 - garbage_bytes(segment, live_bytes) / (segment.size + segment.void_bytes)
    return (1 - kept_share) * (newest_sequence - segment.last_sequence + 1) / (1 + kept_share)


def next_job(state: MaintenanceState, now: int) -> MaintenanceJob | None:
    """Return the job to begin at `now` (µs), or None if no job is due."""
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
