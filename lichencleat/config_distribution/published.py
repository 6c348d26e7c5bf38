"""Files of changes to publish: JSON Lines, one record a line, or YAML for a few; mistakes told with their
place.

A file is gone through to its end before anything of it is used. Values are kept as JSON in one form (keys
sorted, no spaces), so that the same value is the same bytes whoever wrote it down.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, Struct

from lichencleat.config.document import YamlDocument
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config_distribution.pages import key_of
from lichencleat.config_distribution.table import unfit_change
from lichencleat.config_distribution.terms import (
    BATCH_BYTES,
    BATCH_MOST,
    KIND_MOST,
    NAME_MOST,
    RECORDS_MOST,
    VALUE_MOST,
    Change,
    encode,
)

LINES = ".jsonl"
LINE_MOST = 64 << 10  # bytes of a line: a value of `VALUE_MOST` with each character escaped, and its name
HEAD = 8  # bytes of a batch beside its changes


class Record(Struct, forbid_unknown_fields=True, frozen=True):
    """One as it is to be: with a value, or gone."""

    kind: Annotated[str, Meta(min_length=1, max_length=KIND_MOST)]
    name: Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
    value: Any = UNSET
    gone: bool = False


class RecordsFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole YAML file."""

    records: list[Record]


decode_line = msgspec.json.Decoder(Record).decode
encode_value = msgspec.json.Encoder(order="sorted").encode


class TwiceError(ValueError):
    """A key that stands twice in one object."""


@dataclass(slots=True)
class Summary:
    """What a file holds."""

    set: int = 0  # records with a value
    gone: int = 0
    bytes: int = 0  # of all changes, encoded
    batches: int = 0  # as many as it takes
    kinds: Counter[str] = field(default_factory=Counter)
    changes: tuple[Change, ...] = ()  # of the first batch: all, where there is one

    @property
    def records(self) -> int:
        return self.set + self.gone


def check_file(path: str) -> Summary:
    """All of it. Raises InvalidConfigError, one line, for the first mistake."""
    summary = Summary()

    def counted() -> Iterator[Change]:
        seen: dict[bytes, int] = {}
        for line, change in read_changes(path):
            key = key_of(change.kind, change.name)
            if key in seen:
                raise InvalidConfigError(
                    f"{path}, line {line}: {change.kind} {change.name!r} stands in line {seen[key]} already; "
                    "leave one of them out"
                )
            if len(seen) >= RECORDS_MOST:
                raise InvalidConfigError(
                    f"{path}, line {line}: more than {RECORDS_MOST} records; no table has more"
                )
            seen[key] = line
            summary.kinds[change.kind] += 1
            summary.set += change.value is not None
            summary.gone += change.value is None
            summary.bytes += len(encode(change))
            yield change

    for batch in split(counted()):
        summary.batches += 1
        if summary.batches == 1:
            summary.changes = batch
    if not summary.batches:
        raise InvalidConfigError(f"{path}: no records; write one a line")
    return summary


def split(changes: Iterable[Change]) -> Iterator[tuple[Change, ...]]:
    """Batches of as many as fit, in order."""
    batch: list[Change] = []
    size = HEAD
    for change in changes:
        its = len(encode(change))
        if batch and (len(batch) >= BATCH_MOST or size + its > BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], HEAD
        batch.append(change)
        size += its
    if batch:
        yield tuple(batch)


def read_changes(path: str) -> Iterator[tuple[int, Change]]:
    """Line, from 1, and change. Raises InvalidConfigError where the file is wrong."""
    return read_lines(path) if path.endswith(LINES) else read_yaml(path)


# -- JSON Lines --------------------------------------------------------------------------------------------


def read_lines(path: str) -> Iterator[tuple[int, Change]]:
    number = 0
    try:
        with open(path, "rb") as file:
            while line := file.readline(LINE_MOST + 1):
                number += 1
                if len(line) > LINE_MOST:
                    raise InvalidConfigError(
                        f"{path}, line {number}: longer than {LINE_MOST} bytes; no record is"
                    )
                if line.strip():
                    yield number, of_line(path, number, line)
    except OSError as wrong:
        raise InvalidConfigError(f"{path}: {wrong.strerror}; name a file that can be read") from wrong


def of_line(path: str, number: int, line: bytes) -> Change:
    place = f"{path}, line {number}"
    try:
        record = decode_line(line)
        json.loads(line, object_pairs_hook=once)
    except TwiceError as wrong:
        raise InvalidConfigError(f"{place}: {wrong}") from wrong
    except msgspec.ValidationError as wrong:
        raise InvalidConfigError(f"{place}: {said(str(wrong))}") from wrong
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:  # what is no JSON, or no UTF-8
        raise InvalidConfigError(f"{place}: not JSON: {wrong}; write one record a line") from wrong
    return change_of(place, "", record)


def once(pairs: list[tuple[str, Any]]) -> None:
    """JSON takes the last of two equal keys in silence: here that is a mistake."""
    if len({key for key, _ in pairs}) < len(pairs):
        key = next(key for key, count in Counter(key for key, _ in pairs).items() if count > 1)
        raise TwiceError(f"{key!r} stands twice; leave one out")


def said(wrong: str) -> str:
    """msgspec's words, the place first."""
    what, _, where = wrong.partition(" - at `")
    where = where.rstrip("`").removeprefix("$").lstrip(".")
    return f"{where or 'the record'}: {what}"


# -- YAML --------------------------------------------------------------------------------------------------


def read_yaml(path: str) -> Iterator[tuple[int, Change]]:
    chosen, place = parse_config(path, read_config_text(path), RecordsFile)
    for at, record in enumerate(chosen.records):
        where = f"$.records[{at}]"
        line = place.line_of(where) or 1
        if record.value is not UNSET:
            wrong = no_json(record.value, [VALUE_MOST])
            if wrong:
                raise InvalidConfigError(
                    f"{path}, line {line_of(place, where, line)}: records[{at}].value: {wrong}"
                )
        yield line, change_of(f"{path}, line {line}", f"records[{at}].", record)


def line_of(place: YamlDocument, where: str, line: int) -> int:
    return place.line_of(f"{where}.value") or line


def no_json(value: Any, room: list[int]) -> str:
    """Why JSON can't say it; "" where it can. `room`: how many parts it may have at the most, as YAML may
    name one part again and again.
    """
    room[0] -= 1
    if room[0] < 0:
        return f"a value has at most {VALUE_MOST} bytes"
    if isinstance(value, dict):
        wrong = next((key for key in value if not isinstance(key, str)), None)
        if wrong is not None:
            return f"the key {wrong!r} is no text; put it in quotes"
        return next(filter(None, (no_json(each, room) for each in value.values())), "")
    if isinstance(value, list):
        return next(filter(None, (no_json(each, room) for each in value)), "")
    if isinstance(value, float) and not math.isfinite(value):
        return f"{value} is no number of JSON"
    if value is None or isinstance(value, str | int | float):
        return ""
    return f"{value!r} is a {type(value).__name__}, which JSON has not; put it in quotes"


# -- both --------------------------------------------------------------------------------------------------


def change_of(place: str, where: str, record: Record) -> Change:
    if record.gone == (record.value is not UNSET):
        raise InvalidConfigError(f"{place}: {where}value: give a value, or 'gone: true', and not both")
    try:
        value = None if record.gone else encode_value(record.value)
    except (OverflowError, ValueError, RecursionError) as wrong:
        raise InvalidConfigError(f"{place}: {where}value: {wrong}; write it as a text") from wrong
    change = Change(record.kind, record.name, value)
    wrong = unfit_change(change)
    if wrong:
        raise InvalidConfigError(f"{place}: {record.kind} {record.name[:NAME_MOST]!r}: {wrong}")
    return change
