"""Files of changes to publish: JSON Lines with one record per line, or YAML for a few records.

Errors name the line.

A file is checked to its end before any record in the file is used. Values are stored as JSON in a canonical
form (keys sorted, no spaces), so that equal values have the same bytes, whoever wrote the file.
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
from lichencleat.config_distribution.pages import encode_key
from lichencleat.config_distribution.table import find_change_fault
from lichencleat.config_distribution.terms import (
    MAX_BATCH_BYTES,
    MAX_BATCH_CHANGES,
    MAX_KIND_CHARS,
    MAX_NAME_BYTES,
    MAX_RECORDS,
    MAX_VALUE_BYTES,
    Change,
    encode,
)

JSON_LINES_SUFFIX = ".jsonl"
# maximum size of a line in bytes: a value of `MAX_VALUE_BYTES` with each character escaped, and a name
MAX_LINE_BYTES = 64 << 10
BATCH_HEADER_BYTES = 8  # bytes of an encoded batch besides the changes


class Record(Struct, forbid_unknown_fields=True, frozen=True):
    """A record to be published: `value` sets the record, `gone` removes it."""

    kind: Annotated[str, Meta(min_length=1, max_length=MAX_KIND_CHARS)]
    name: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
    value: Any = UNSET
    gone: bool = False


class RecordsFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The content of a YAML file."""

    records: list[Record]


decode_line = msgspec.json.Decoder(Record).decode
encode_value = msgspec.json.Encoder(order="sorted").encode


class DuplicateKeyError(ValueError):
    """A duplicate key in a JSON object."""


@dataclass(slots=True)
class Summary:
    """Totals of the records in a file."""

    set: int = 0  # number of records with a value
    gone: int = 0  # number of records to be removed
    bytes: int = 0  # size of all changes, encoded
    batches: int = 0  # the number of batches needed
    kinds: Counter[str] = field(default_factory=Counter)  # number of records of each kind
    changes: tuple[Change, ...] = ()  # changes of the first batch; all changes if there is only one batch

    @property
    def records(self) -> int:
        return self.set + self.gone


def check_file(path: str) -> Summary:
    """Checks a whole file and returns its totals. The first error raises a one-line InvalidConfigError."""
    summary = Summary()

    def counted() -> Iterator[Change]:
        seen: dict[bytes, int] = {}
        for line, change in read_changes(path):
            key = encode_key(change.kind, change.name)
            if key in seen:
                raise InvalidConfigError(
                    f"{path}, line {line}: {change.kind} {change.name!r} stands in line {seen[key]} already; "
                    "leave one of them out"
                )
            if len(seen) >= MAX_RECORDS:
                raise InvalidConfigError(
                    f"{path}, line {line}: more than {MAX_RECORDS} records, which is the maximum of a table"
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
        raise InvalidConfigError(f"{path}: no records; write one record per line")
    return summary


def split(changes: Iterable[Change]) -> Iterator[tuple[Change, ...]]:
    """Splits changes into batches of as many changes as fit, in order."""
    batch: list[Change] = []
    size = BATCH_HEADER_BYTES
    for change in changes:
        its = len(encode(change))
        if batch and (len(batch) >= MAX_BATCH_CHANGES or size + its > MAX_BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], BATCH_HEADER_BYTES
        batch.append(change)
        size += its
    if batch:
        yield tuple(batch)


def read_changes(path: str) -> Iterator[tuple[int, Change]]:
    """The changes of a file, each with its line number, from 1. Raises InvalidConfigError for an error."""
    return read_lines(path) if path.endswith(JSON_LINES_SUFFIX) else read_yaml(path)


# -- JSON Lines ------------------------------------------------------------------------------------------


def read_lines(path: str) -> Iterator[tuple[int, Change]]:
    """The changes of a JSON Lines file, each with its line number."""
    number = 0
    try:
        with open(path, "rb") as file:
            while line := file.readline(MAX_LINE_BYTES + 1):
                number += 1
                if len(line) > MAX_LINE_BYTES:
                    raise InvalidConfigError(
                        f"{path}, line {number}: longer than {MAX_LINE_BYTES} bytes, the maximum of a record"
                    )
                if line.strip():
                    yield number, parse_line(path, number, line)
    except OSError as error:
        raise InvalidConfigError(f"{path}: {error.strerror}; name a readable file") from error


def parse_line(path: str, number: int, line: bytes) -> Change:
    """The change that a line of a JSON Lines file describes."""
    place = f"{path}, line {number}"
    try:
        record = decode_line(line)
        json.loads(line, object_pairs_hook=reject_duplicate_keys)
    except DuplicateKeyError as error:
        raise InvalidConfigError(f"{place}: {error}") from error
    except msgspec.ValidationError as error:
        raise InvalidConfigError(f"{place}: {format_validation_error(str(error))}") from error
    except (msgspec.DecodeError, ValueError, RecursionError) as error:  # invalid JSON or UTF-8
        raise InvalidConfigError(f"{place}: not JSON: {error}; write one record per line") from error
    return make_change(place, "", record)


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> None:
    """Raises DuplicateKeyError for a duplicate key, of which JSON decoders silently take the last value."""
    if len({key for key, _ in pairs}) < len(pairs):
        key = next(key for key, count in Counter(key for key, _ in pairs).items() if count > 1)
        raise DuplicateKeyError(f"duplicate key {key!r}; remove one")


def format_validation_error(fault: str) -> str:
    """The text of a msgspec.ValidationError, with the place of the error first."""
    what, _, where = fault.partition(" - at `")
    where = where.rstrip("`").removeprefix("$").lstrip(".")
    return f"{where or 'the record'}: {what}"


# -- YAML ------------------------------------------------------------------------------------------------


def read_yaml(path: str) -> Iterator[tuple[int, Change]]:
    """The changes of a YAML file, each with its line number."""
    chosen, place = parse_config(path, read_config_text(path), RecordsFile)
    for at, record in enumerate(chosen.records):
        where = f"$.records[{at}]"
        line = place.line_of(where) or 1
        if record.value is not UNSET:
            fault = find_json_fault(record.value, [MAX_VALUE_BYTES])
            if fault:
                raise InvalidConfigError(
                    f"{path}, line {value_line(place, where, line)}: records[{at}].value: {fault}"
                )
        yield line, make_change(f"{path}, line {line}", f"records[{at}].", record)


def value_line(place: YamlDocument, where: str, line: int) -> int:
    """The line number of the value of the record at `where`; `line` if the value's line is not known."""
    return place.line_of(f"{where}.value") or line


def find_json_fault(value: Any, parts_left: list[int]) -> str:
    """The reason why a value can't be written as JSON; "" if it can.

    `parts_left`: a list with one number, which is reduced for each part of the value. The number limits the
    parts, because YAML can refer to one part many times.
    """
    parts_left[0] -= 1
    if parts_left[0] < 0:
        return f"a value has at most {MAX_VALUE_BYTES} bytes"
    if isinstance(value, dict):
        bad_key = next((key for key in value if not isinstance(key, str)), None)
        if bad_key is not None:
            return f"the key {bad_key!r} is not a string; put it in quotes"
        return next(filter(None, (find_json_fault(each, parts_left) for each in value.values())), "")
    if isinstance(value, list):
        return next(filter(None, (find_json_fault(each, parts_left) for each in value)), "")
    if isinstance(value, float) and not math.isfinite(value):
        return f"{value} is not a JSON number"
    if value is None or isinstance(value, str | int | float):
        return ""
    return f"{value!r} is a {type(value).__name__}, which JSON does not have; put it in quotes"


# -- both formats ----------------------------------------------------------------------------------------


def make_change(place: str, where: str, record: Record) -> Change:
    """The change that a record describes. Raises InvalidConfigError if the record is invalid."""
    if record.gone == (record.value is not UNSET):
        raise InvalidConfigError(f"{place}: {where}value: give a value or 'gone: true', not both")
    try:
        value = None if record.gone else encode_value(record.value)
    except (OverflowError, ValueError, RecursionError) as fault:
        raise InvalidConfigError(f"{place}: {where}value: {fault}; write it as a string") from fault
    change = Change(record.kind, record.name, value)
    fault = find_change_fault(change)
    if fault:
        raise InvalidConfigError(f"{place}: {record.kind} {record.name[:MAX_NAME_BYTES]!r}: {fault}")
    return change
