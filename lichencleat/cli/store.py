"""`lichencleat store`: the store's commands."""

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

READ = 65_536  # bytes of standard input taken at once: the lines in them are confirmed by one flush
LINE_MOST = 32 << 20  # bytes: the largest value, with room for what JSON adds
SECOND = 1_000_000  # µs


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """A line of `put` and `dump`. Bytes that are no UTF-8 text go as base64, under the names that say so."""

    key: str | None = None
    value: str | None = None
    ttl_s: float | None = None
    key_base64: str | None = None
    value_base64: str | None = None


decode_line = msgspec.json.Decoder(Line).decode


def now() -> int:
    return time.time_ns() // 1000


@contextmanager
def told() -> Iterator[None]:
    """The store's errors as a command tells them."""
    try:
        yield
    except (CannotOpenError, BadRecordError) as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    except StoreError as wrong:
        raise output.WrongData(str(wrong)) from wrong


@contextmanager
def opened(directory: str, create: bool = False, most: StoreLimits | None = None) -> Iterator[Engine]:
    with told():
        rng = random.Random(os.urandom(16))
        engine = Engine.open(RealDisk(directory, create), now, rng, most or StoreLimits(), create, directory)
        try:
            yield engine
        finally:
            engine.close()


@click.group("store", no_args_is_help=True)
def group() -> None:
    """Records that survive cuts: put, get, check, repair."""


as_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
directory = click.argument("directory", metavar="DIR")


@group.command()
@directory
@click.option("--disk-mb", type=click.IntRange(min=64), default=1024, help="Bound on bytes on disk, in MiB.")
@click.option("--entries", type=click.IntRange(min=1), default=2_000_000, help="Bound on entries.")
def put(directory: str, disk_mb: int, entries: int) -> None:
    """Put JSON lines {"key", "value", "ttl_s"?} of standard input; print each key once it is confirmed.

    DIR is made if it is missing. Keys and values that are no text: "key_base64", "value_base64".
    """
    most = StoreLimits(max_disk_bytes=disk_mb << 20, max_entries=entries)
    groups = read_groups()
    first = next(groups, None)  # wrong input is told before anything is made
    if first is None:
        return
    with opened(directory, create=True, most=most) as engine:
        group = first
        while group is not None:
            verdicts = engine.commit([batch for _, batch in group])
            done = [name for (name, _), verdict in zip(group, verdicts, strict=True) if verdict is None]
            if done:
                sys.stdout.write("\n".join(done) + "\n")
                sys.stdout.flush()
            for (name, _), verdict in zip(group, verdicts, strict=True):
                if verdict is not None:
                    raise output.WrongData(f"key {name:.60}: {verdict}")
            engine.step()
            group = next(groups, None)


def read_groups() -> Iterator[list[tuple[str, Batch]]]:
    """The lines that were there at once, each as its key in print and its batch."""
    rest, number = b"", 0
    while data := os.read(sys.stdin.fileno(), READ):
        *lines, rest = (rest + data).split(b"\n")
        if len(rest) > LINE_MOST:
            raise output.WrongInput(
                f"line {number + len(lines) + 1}: longer than {LINE_MOST} bytes; shorten it"
            )
        if lines:
            yield [
                each
                for at, line in enumerate(lines)
                if (each := read_line(line, number + at + 1)) is not None
            ]
            number += len(lines)
    if rest and (last := read_line(rest, number + 1)) is not None:
        yield [last]


def read_line(line: bytes, number: int) -> tuple[str, Batch] | None:
    if not line.strip():
        return None
    try:
        read = decode_line(line)
        key = as_bytes(read.key, read.key_base64, "key")
        value = as_bytes(read.value, read.value_base64, "value")
        expiry = 0
        if read.ttl_s is not None:
            if not 0 < read.ttl_s < 1e10:
                raise ValueError("ttl_s is no time in seconds over 0")
            expiry = now() + round(read.ttl_s * SECOND)
        return shown(key), Batch().put(key, value, expiry)
    except (msgspec.MsgspecError, BadRecordError, ValueError) as wrong:
        raise output.WrongInput(
            f'standard input, line {number}: {wrong}; a line reads {{"key": "a", "value": "b"}}'
        ) from wrong


def as_bytes(text: str | None, encoded: str | None, name: str) -> bytes:
    if (text is None) == (encoded is None):
        raise ValueError(f"give one of {name} and {name}_base64")
    if encoded is None:
        return text.encode()
    try:
        return base64.b64decode(encoded, validate=True)
    except binascii.Error as wrong:
        raise ValueError(f"{name}_base64: {wrong}") from wrong


def shown(key: bytes) -> str:
    """A key on a line of its own: as it is where it is plain text, else as a JSON string, or in base64."""
    try:
        text = key.decode()
    except UnicodeDecodeError:
        return "base64:" + base64.b64encode(key).decode()
    return text if text.isprintable() else json.dumps(text)


@group.command()
@directory
@click.argument("key")
def get(directory: str, key: str) -> None:
    """Print the value of KEY as it is; exit 1 where there is none."""
    with opened(directory) as engine:
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
    """Delete KEY; exit 1 where there was none."""
    with opened(directory) as engine:
        known = engine.get(os.fsencode(key)) is not None
        (verdict,) = engine.commit([Batch().delete(os.fsencode(key))])
        if verdict is not None:
            raise verdict
    if not known:
        raise output.WrongData(f"no entry of key {key:.60}")


@group.command()
@directory
@click.option("--prefix", default="", help="Only keys that begin so.")
def dump(directory: str, prefix: str) -> None:
    """Print all entries as JSON lines, in order of keys, as of one moment."""
    with opened(directory) as engine:
        for key, value in engine.scan(os.fsencode(prefix)):
            sys.stdout.write(json.dumps(row("key", key) | row("value", value), ensure_ascii=False) + "\n")


def row(name: str, data: bytes) -> dict[str, str]:
    try:
        return {name: data.decode()}
    except UnicodeDecodeError:
        return {name + "_base64": base64.b64encode(data).decode()}


@group.command()
@directory
@as_json
def check(directory: str, as_json: bool) -> None:
    """Read every byte that counts. Exit 0: every confirmed record is whole; 1: a line for each that is
    not.
    """
    with told():
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
    """Show sizes and counts; what each line means is in docs/operate-store.md."""
    with opened(directory) as engine:
        found = engine.stat()
    output.pairs(found, as_json)


@group.command()
@directory
@click.option("--all", "everything", is_flag=True, help="Also where little is won.")
@as_json
def compact(directory: str, everything: bool, as_json: bool) -> None:
    """Clean segments until nothing is left that is worth it."""
    show = output.progress("compact")
    with opened(directory) as engine:
        before = engine.stat()
        if everything:
            engine.compact_everything()
        begun = before["bytes of garbage"]
        while engine.step():
            left = engine.stat()["bytes of garbage"]
            show(directory, max(0, begun - left), max(begun, 1))
        show(directory, 1, 1)
        after = engine.stat()
    names = ("segments", "bytes on disk", "bytes of garbage", "bytes of tombstones")
    output.table(["", "before", "after"], [[name, before[name], after[name]] for name in names], as_json)


@group.command()
@directory
@click.argument("new", metavar="NEW")
@as_json
def salvage(directory: str, new: str, as_json: bool) -> None:
    """Write what is whole in DIR to the new store NEW; DIR stays as it is. Exit 1 where anything was lost."""
    with told():
        old = RealDisk(directory)
        if os.path.isdir(new) and os.listdir(new):
            raise CannotOpenError(f"{new}: not empty; name a directory that is new")
        saved = salvage_store(
            old,
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
@click.option("--seconds", type=click.FloatRange(min=0.1), default=2.0, help="How long each row is measured.")
@click.option("--value-bytes", type=click.IntRange(0, 1 << 20), default=128)
@as_json
def bench(directory: str, seconds: float, value_bytes: int, as_json: bool) -> None:
    """Measure this disk: confirmed puts a second by waiting callers, and the flush alone. DIR must be new."""
    from lichencleat.store import bench as measure

    with told():
        if os.path.isdir(directory) and os.listdir(directory):
            raise CannotOpenError(f"{directory}: not empty; name a directory that is new")
        rows = measure.measure_puts(directory, [1, 16, 256], seconds, value_bytes)
    output.table(measure.PUT_COLUMNS, rows, as_json)
