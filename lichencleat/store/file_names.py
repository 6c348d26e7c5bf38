"""The names of the files in a store's directory. They are part of the format and never change."""

from __future__ import annotations

STORE_MARKER = "STORE"  # marks a directory as a store; written last when one is made
NEW_STORE_MARKER = "STORE.new"
CHECKPOINT = "checkpoint"
NEW_CHECKPOINT = "checkpoint.new"
RESERVE = "reserve"  # zeros whose space compaction uses when the disk is full
SEGMENT = "{:012d}.log"  # by the segment's number
NEW_SEGMENT = "segment.new"  # a segment before it has its name; worthless after a power cut

TEMPORARY = (NEW_SEGMENT, NEW_STORE_MARKER, NEW_CHECKPOINT)
OWN = frozenset([STORE_MARKER, RESERVE, CHECKPOINT, *TEMPORARY])
"""All names but those of segments."""


def is_segment(name: str) -> bool:
    """Whether a file of that name is a segment."""
    digits = name.removesuffix(".log")
    return digits != name and digits.isdecimal() and SEGMENT.format(int(digits)) == name


def segment_number(name: str) -> int:
    """The number in a segment's file name."""
    return int(name.removesuffix(".log"))
