"""The names of the files in a store's directory. They are part of the file format and never change."""

from __future__ import annotations

STORE_MARKER = "STORE"  # marks a directory as a store; the last file that the creation of a store writes
NEW_STORE_MARKER = "STORE.new"
CHECKPOINT = "checkpoint"
NEW_CHECKPOINT = "checkpoint.new"
RESERVE = "reserve"  # a file of zeros that is removed to make space for compaction when the disk is full
SEGMENT = "{:012d}.log"  # a segment's name, formatted with the segment's number
NEW_SEGMENT = "segment.new"  # a segment until its first content is flushed; removed after a power cut

TEMPORARY_FILES = (NEW_SEGMENT, NEW_STORE_MARKER, NEW_CHECKPOINT)
NON_SEGMENT_FILES = frozenset([STORE_MARKER, RESERVE, CHECKPOINT, *TEMPORARY_FILES])
"""All file names of a store except those of segments."""


def is_segment(name: str) -> bool:
    """Whether the name is that of a segment's file."""
    digits = name.removesuffix(".log")
    return digits != name and digits.isdecimal() and SEGMENT.format(int(digits)) == name


def segment_number(name: str) -> int:
    """Return the number in a segment's file name."""
    return int(name.removesuffix(".log"))
