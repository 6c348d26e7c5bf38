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

GARBAGE_SHARE = 0.4  # of all bytes: under it cleaning waits; at 0.5 a byte kept costs about one copy
WORTH = 0.25  # garbage's share in a segment below which copying the rest wins too little
TIGHT_WORTH = 0.1  # the same when room is short: well over what noting that a segment is gone takes
TIGHT = 0.8  # of the bytes allowed: above it every segment with some garbage is worth it
TOMBS_SHARE = 0.1  # of all bytes: tombstones only go once all that is older than them went
POINT_BYTES = 32 << 20  # bytes of log that a start may have to read again: a third of a second
POINT_SHARE = 0.5  # of all bytes: a checkpoint costs as much as its keys, so a large store writes fewer
SEGMENTS_SPARE = 8  # segments over twice what the bytes need: every opening and failed write begins a new one
SWEEP_EACH = 200  # µs an entry between two sweeps: they take a tenth of that at the most


class Job(Enum):
    CLEAN = auto()
    POINT = auto()
    SWEEP = auto()
    RESERVE = auto()


@dataclass(slots=True)
class Facts:
    """What the choice rests on. Bytes are those on disk that count."""

    segments: Sequence[Segment]  # sealed ones, oldest first; the one written to is not among them
    live: dict[int, int]  # segment's number -> bytes that entries point at
    total: int  # bytes of all segments
    bytes_most: int  # bytes allowed, reserve included
    reserve: int  # bytes of the reserve: what a copy may need
    segment_bytes: int
    since_point: int  # bytes written since the last checkpoint
    entries: int
    earliest: int  # µs: the earliest expiry, 0 where none
    swept: int  # µs: when the last sweep ended
    reserve_missing: bool
    disk_full: bool  # the last write found no room
    thorough: bool  # every bit of garbage is worth cleaning


def garbage(segment: Segment, live: dict[int, int]) -> int:
    """Bytes that are given back by cleaning it; tombstones count as kept."""
    return segment.size + segment.waste - live.get(segment.number, 0) - segment.tombs


def victim(facts: Facts) -> Segment | None:
    """The segment to clean next, or None where none is worth it."""
    segments, live = facts.segments, facts.live
    if not segments:
        return None
    room = facts.reserve if facts.disk_full else facts.bytes_most
    fit = [each for each in segments if not each.damaged and live.get(each.number, 0) + each.tombs <= room]
    empty = [
        each
        for each in fit
        if not live.get(each.number, 0)
        and (not each.tombs or each is segments[0])
        and each.size + each.waste > each.start  # one that never held anything costs only its head
    ]
    if empty:
        return empty[0]  # costs nothing but its tombstones' copies, and none where nothing is older
    wasted = sum(garbage(each, live) for each in segments)
    tombs = sum(each.tombs for each in segments)
    if tombs > TOMBS_SHARE * facts.total and segments[0] in fit and len(segments) > 1:
        return segments[0]  # each tombstone younger than it outlives it: only its going frees them
    tight = facts.total > TIGHT * facts.bytes_most or facts.disk_full or facts.thorough
    if wasted > GARBAGE_SHARE * facts.total or tight:
        least = TIGHT_WORTH if tight else WORTH
        worth = [each for each in fit if garbage(each, live) - each.start > least * each.size]
        if worth:
            last = segments[-1].end
            return max(worth, key=lambda each: benefit(each, live, last))
    needed = 2 * (facts.total // facts.segment_bytes) + SEGMENTS_SPARE
    if len(segments) > needed and fit:
        return min(fit, key=lambda each: (live.get(each.number, 0) + each.tombs, each.number))
    return None


def benefit(segment: Segment, live: dict[int, int], last: int) -> float:
    kept = 1 - garbage(segment, live) / (segment.size + segment.waste)
    return (1 - kept) * (last - segment.end + 1) / (1 + kept)


def next_job(facts: Facts, now: int) -> Job | None:
    if facts.disk_full:  # room first: nothing else that writes can be done
        return Job.CLEAN if victim(facts) is not None else None
    if facts.earliest and now >= facts.earliest and now >= facts.swept + SWEEP_EACH * facts.entries:
        return Job.SWEEP
    if facts.since_point > max(POINT_BYTES, POINT_SHARE * facts.total):
        return Job.POINT
    if victim(facts) is not None:
        return Job.CLEAN
    return Job.RESERVE if facts.reserve_missing else None


def tomb_needed(born: int, others: Sequence[Segment]) -> bool:
    """May one of the segments that stay hold an older value of a key whose tombstone was born at that
    sequence?
    """
    return any(each.first <= born for each in others)
