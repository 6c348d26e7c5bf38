"""`lichencleat store`: read, write, check and repair a durable key-value store."""

from __future__ import annotations

import base64
import binascii
import json
import os
import random
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import click
import msgspec

from lichencleat.cli import output
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.check import check as check_store
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import BadRecordError, CannotOpenError, StoreError
from lichencleat.store.salvage import salvage as salvage_store

READ_BYTES = 65_536  # maximum read from standard input at once; one flush confirms the lines of a read
MAX_LINE_BYTES = 32 << 20  # fits the largest value, and what its JSON form adds
SECOND = 1_000_000  # µs


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """A line that `put` reads or `dump` prints. Bytes that are not UTF-8 are in the base64 fields."""

    key: str | None = None
    value: str | None = None
    ttl_s: float | None = None
    key_base64: str | None = None
    value_base64: str | None = None


decode_line = msgspec.json.Decoder(Line).decode


def now() -> int:
    """Return the Unix time in µs."""
    return time.time_ns() // 1000


@contextmanager
def report_store_errors() -> Iterator[None]:
    """Turn errors of the store into WrongInput or WrongData."""
    try:
        yield
    except (CannotOpenError, BadRecordError) as error:
        raise output.WrongInput(str(error)) from error
    except StoreError as error:
        raise output.WrongData(str(error)) from error


@contextmanager
def open_engine(directory: str, create: bool = False, limits: StoreLimits | None = None) -> Iterator[Engine]:
    """Open a store, and close it at the end of the block."""
    with report_store_errors():
        rng = random.Random(os.urandom(16))
        engine = Engine.open(
            RealDisk(directory, create), now, rng, limits or StoreLimits(), create, directory
        )
        try:
            yield engine
        finally:
            engine.close()


@click.group("store", no_args_is_help=True)
def group() -> None:
    """Durable key-value store: put, get, check, repair."""


as_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
directory = click.argument("directory", metavar="DIR")


@group.command()
@directory
@click.option(
    "--disk-mb", type=click.IntRange(min=64), default=1024, help="Limit on the size on disk, in MiB."
)
@click.option(
    "--entries", type=click.IntRange(min=1), default=2_000_000, help="Limit on the number of entries."
)
def put(directory: str, disk_mb: int, entries: int) -> None:
    """Put JSON lines {"key", "value", "ttl_s"?} from standard input; print each key once it is durable.

    DIR is created if it is missing. Keys and values that are not UTF-8 go into "key_base64" and
    "value_base64".
    """
    limits = StoreLimits(max_disk_bytes=disk_mb << 20, max_entries=entries)
    groups = read_groups()
    first = next(groups, None)  # wrong input is reported before DIR is created
    if first is None:
        return
    with open_engine(directory, create=True, limits=limits) as engine:
        group = first
        while group is not None:
            errors = engine.commit([batch for _, batch in group])
            confirmed = [name for (name, _), error in zip(group, errors, strict=True) if error is None]
            if confirmed:
                sys.stdout.write("\n".join(confirmed) + "\n")
                sys.stdout.flush()
            for (name, _), error in zip(group, errors, strict=True):
                if error is not None:
                    raise output.WrongData(f"key {name:.60} was not stored: {error}")
            engine.step()
            group = next(groups, None)


def read_groups() -> Iterator[list[tuple[str, Batch]]]:
    """Yield the lines of each read from standard input, each as its printable key and its batch."""
    rest, number = b"", 0
    while data := os.read(sys.stdin.fileno(), READ_BYTES):
        *lines, rest = (rest + data).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise output.WrongInput(
                f"line {number + len(lines) + 1}: longer than {MAX_LINE_BYTES} bytes; shorten the value"
            )
        if lines:
            yield [
                each
                for index, line in enumerate(lines)
                if (each := read_line(line, number + index + 1)) is not None
            ]
            number += len(lines)
    if rest and (last := read_line(rest, number + 1)) is not None:
        yield [last]


def read_line(line: bytes, number: int) -> tuple[str, Batch] | None:
    """Return a line's printable key and its batch, or None for an empty line. Raises WrongInput."""
    if not line.strip():
        return None
    try:
        fields = decode_line(line)
        key = decode_field(fields.key, fields.key_base64, "key")
        value = decode_field(fields.value, fields.value_base64, "value")
        expiry = 0
        if fields.ttl_s is not None:
            if not 0 < fields.ttl_s < 1e10:
                raise ValueError("ttl_s must be a number of seconds above 0 and below 1e10")
            expiry = now() + round(fields.ttl_s * SECOND)
        return printable_key(key), Batch().put(key, value, expiry)
    except (msgspec.MsgspecError, BadRecordError, ValueError) as error:
        raise output.WrongInput(
            f'standard input, line {number}: {error}; expected a line such as {{"key": "a", "value": "b"}}'
        ) from error


def decode_field(text: str | None, encoded: str | None, name: str) -> bytes:
    """Return a field's bytes, given either as text or as base64. Raises ValueError."""
    if (text is None) == (encoded is None):
        raise ValueError(f"give either {name} or {name}_base64")
    if encoded is None:
        return text.encode()
    try:
        return base64.b64decode(encoded, validate=True)
    except binascii.Error as error:
        raise ValueError(f"{name}_base64: {error}") from error


def printable_key(key: bytes) -> str:
    """Return a key as one printable line: as text, as a JSON string if unprintable, or as base64."""
    try:
        text = key.decode()
    except UnicodeDecodeError:
        return "base64:" + base64.b64encode(key).decode()
    return text if text.isprintable() else json.dumps(text)


@group.command()
@directory
@click.argument("key")
def get(directory: str, key: str) -> None:
    """Print the value of KEY unchanged. Exit code 1 if KEY does not exist."""
    with open_engine(directory) as engine:
        value = engine.get(os.fsencode(key))
    if value is None:
        raise output.WrongData(f"no entry of key {key:.60}")
    sys.stdout.buffer.write(value)
    if sys.stdout.isatty():
        click.echo()


@group.command()
@directory
@click.argument("key")
def delete(directory: str, key: str) -> None:
    """Delete KEY. Exit code 1 if KEY does not exist."""
    with open_engine(directory) as engine:
        known = engine.get(os.fsencode(key)) is not None
        (error,) = engine.commit([Batch().delete(os.fsencode(key))])
        if error is not None:
            raise error
    if not known:
        raise output.WrongData(f"no entry of key {key:.60}")


@group.command()
@directory
@click.option("--prefix", default="", help="Only keys with this prefix.")
def dump(directory: str, prefix: str) -> None:
    """Print a consistent snapshot of all entries as JSON lines, ordered by key."""
    with open_engine(directory) as engine:
        for key, value in engine.scan(os.fsencode(prefix)):
            sys.stdout.write(
                json.dumps(encode_field("key", key) | encode_field("value", value), ensure_ascii=False) + "\n"
            )


def encode_field(name: str, data: bytes) -> dict[str, str]:
    """Return a field of a line: as text, or as base64 if the bytes are not UTF-8."""
    try:
        return {name: data.decode()}
    except UnicodeDecodeError:
        return {name + "_base64": base64.b64encode(data).decode()}


@group.command()
@directory
@as_json
def check(directory: str, as_json: bool) -> None:
    """Read and verify the whole store.

    Exit code 0: every confirmed record is intact. Exit code 1: one line is printed for each fault.
    """
    with report_store_errors():
        checked = check_store(RealDisk(directory), directory, now(), output.progress("check"))
    found = [{"file": each.file, "offset": each.offset, "what": each.problem} for each in checked.findings]
    summary: dict[str, Any] = {
        "findings": len(found),
        "entries": checked.entries,
        "segments": checked.segments,
        "bytes read": checked.bytes_read,
        "torn bytes at the end": checked.torn_bytes,
        "records in doubt at the end": checked.unproved_records,
        "checkpoint": checked.checkpoint,
    }
    if as_json:
        click.echo(json.dumps(summary | {"findings": found}))
    else:
        for each in checked.findings:
            click.echo(str(each))
        if not found:
            output.pairs(summary, False)
    if found:
        raise click.exceptions.Exit(output.WRONG_DATA)


@group.command()
@directory
@as_json
def stat(directory: str, as_json: bool) -> None:
    """Show sizes and counts. docs/operate-store.md explains each line."""
    with open_engine(directory) as engine:
        found = engine.stat()
    output.pairs(found, as_json)


@group.command()
@directory
@click.option("--all", "everything", is_flag=True, help="Also compact segments with little garbage.")
@as_json
def compact(directory: str, everything: bool, as_json: bool) -> None:
    """Compact segments until no segment has enough garbage to be worth compacting."""
    show = output.progress("compact")
    with open_engine(directory) as engine:
        before = engine.stat()
        if everything:
            engine.compact_everything()
        initial_garbage = before["bytes of garbage"]
        while engine.step():
            left = engine.stat()["bytes of garbage"]
            show(directory, max(0, initial_garbage - left), max(initial_garbage, 1))
        show(directory, 1, 1)
        after = engine.stat()
    names = ("segments", "bytes on disk", "bytes of garbage", "bytes of tombstones")
    output.table(["", "before", "after"], [[name, before[name], after[name]] for name in names], as_json)


@group.command()
@directory
@click.argument("new", metavar="NEW")
@as_json
def salvage(directory: str, new: str, as_json: bool) -> None:
    """Copy the intact records of DIR to the new store NEW; DIR is not changed. Exit code 1 on any loss."""
    with report_store_errors():
        source = RealDisk(directory)
        if os.path.isdir(new) and os.listdir(new):
            raise CannotOpenError(f"{new}: not empty; name a new directory")
        saved = salvage_store(
            source,
            RealDisk(new, create=True),
            now,
            random.Random(os.urandom(16)),
            directory,
            new,
            StoreLimits(
                max_disk_bytes=1 << 40, max_entries=1 << 40, max_memory_bytes=1 << 40, max_segments=1 << 20
            ),
            output.progress("salvage"),
        )
    for each in saved.findings:
        click.echo(str(each), err=True)
    output.pairs(
        {
            "records saved": saved.records,
            "entries": saved.entries,
            "records lost": saved.lost,
            "batches left out": saved.batches_lost,
            "findings": len(saved.findings),
        },
        as_json,
    )
    if saved.findings or saved.lost:
        raise click.exceptions.Exit(output.WRONG_DATA)


@group.command()
@directory
@click.option(
    "--seconds", type=click.FloatRange(min=0.1), default=2.0, help="Duration of the measurement of each row."
)
@click.option("--value-bytes", type=click.IntRange(0, 1 << 20), default=128)
@as_json
def bench(directory: str, seconds: float, value_bytes: int, as_json: bool) -> None:
    """Measure this disk: puts per second of callers that wait for the flush, and flushes alone.

    DIR must be new.
    """
    from lichencleat.store import bench as measure

    with report_store_errors():
        if os.path.isdir(directory) and os.listdir(directory):
            raise CannotOpenError(f"{directory}: not empty; name a new directory")
        rows = measure.measure_puts(directory, [1, 16, 256], seconds, value_bytes)
    output.table(measure.PUT_COLUMNS, rows, as_json)
