"""`lichencleat idempotency`: the idempotency records in the directory of a stopped node."""

from __future__ import annotations

import os
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

import click
import msgspec

from lichencleat.cli import output
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.idempotency.index import READ_DELAY_US
from lichencleat.idempotency.records import (
    FORMAT_VERSION,
    HEARTBEAT_KEY,
    OWNERSHIP_KEY,
    RECORD_PREFIX,
    Heartbeat,
    IdempotencyRecord,
    Ownership,
    RecordState,
    decode_heartbeat,
    decode_ownership,
    decode_record,
    encode,
)
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CannotOpenError, StoreError

SECOND = 1_000_000  # µs
MAX_WINDOW_US = 3600 * SECOND  # from a request's arrival to its deadline or the end of its window

directory = click.argument("directory", metavar="DIR")
as_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


def now() -> int:
    """Return the Unix time in µs."""
    return time.time_ns() // 1000


@contextmanager
def open_engine(path: str) -> Iterator[Engine]:
    """Open the store of a node's directory. Store errors are reported as WrongInput or WrongData."""
    engine = None
    try:
        if not os.path.isdir(path):
            raise CannotOpenError(f"{path}: no such directory; name the one of the node's file")
        engine = Engine.open(RealDisk(path), now, random.Random(os.urandom(16)), StoreLimits(), False, path)
        if engine.get(OWNERSHIP_KEY) is None and not any(True for _ in engine.scan(b"")):
            raise CannotOpenError(
                f"{path}: no node has used this directory yet; name the one of the node's file"
            )
        yield engine
    except CannotOpenError as error:
        raise output.WrongInput(f"keyed: {error}") from error
    except StoreError as error:
        raise output.WrongData(f"keyed: {error}") from error
    finally:
        if engine is not None:
            engine.close()


def read_records(engine: Engine) -> Iterator[tuple[str, IdempotencyRecord | None]]:
    """Yield the digest of each key, in hexadecimal, and the key's record (None if it can't be decoded)."""
    for key, value in engine.scan(RECORD_PREFIX):
        try:
            yield key[1:].hex(), decode_record(value)
        except UNDECODABLE:
            yield key[1:].hex(), None


@click.group("idempotency", no_args_is_help=True)
def group() -> None:
    """Idempotency records of a node, stored with the results: list, check, adopt a directory."""


@group.command("list")
@directory
@as_json
@click.option("--open", "only_open", is_flag=True, help="Only records of requests without a result.")
def list_entries(directory: str, as_json: bool, only_open: bool) -> None:
    """List the idempotency records.

    Columns: digest of the key, state, request class (tariff), age and remaining window in seconds at the
    node's last heartbeat, size of the result.
    """
    with open_engine(directory) as engine:
        encoded = engine.get(HEARTBEAT_KEY)
        last_alive = decode_heartbeat(encoded).node_time if encoded is not None else 0
        rows = [
            [
                key,
                RecordState(each.state).name.lower(),
                each.request_class,
                (last_alive - each.arrived) / SECOND,
                (each.expires - last_alive) / SECOND,
                len(each.result),
            ]
            for key, each in read_records(engine)
            if each is not None and (not only_open or each.state == RecordState.OPEN)
        ]
    output.table(["key", "state", "tariff", "age_s", "window_left_s", "result_bytes"], rows, as_json)


@group.command()
@directory
@as_json
def show(directory: str, as_json: bool) -> None:
    """Show the node that owns the directory, the time since its last heartbeat, and counts of the records."""
    with open_engine(directory) as engine:
        encoded, encoded_heartbeat = engine.get(OWNERSHIP_KEY), engine.get(HEARTBEAT_KEY)
        ownership = decode_ownership(encoded) if encoded is not None else Ownership(0, "", 0)
        heartbeat = (
            decode_heartbeat(encoded_heartbeat) if encoded_heartbeat is not None else Heartbeat(0, now())
        )
        records = [each for _, each in read_records(engine) if each is not None]
        stat = engine.stat()
    pairs = {
        "node": ownership.node,
        "format": ownership.format,
        "last_sign_s_ago": round((now() - heartbeat.unix_time) / SECOND, 3),
        "entries": len(records),
        "without_result": sum(each.state == RecordState.OPEN for each in records),
        "ran_to_nothing": sum(each.state == RecordState.FAILED for each in records),
        "past_their_window": sum(each.expires + READ_DELAY_US < heartbeat.node_time for each in records),
        "result_bytes": sum(len(each.result) for each in records),
    }
    output.pairs(
        {**pairs, **{f"store_{name.replace(' ', '_')}": value for name, value in stat.items()}}, as_json
    )


@group.command()
@directory
def check(directory: str) -> None:
    """Check all records: whether they can be decoded, and whether their times are plausible.

    Exit code 1 if a fault is found.
    """
    faults = []
    with open_engine(directory) as engine:
        encoded = engine.get(OWNERSHIP_KEY)
        if encoded is None:
            faults.append("the ownership record is missing")
        elif decode_ownership(encoded).format != FORMAT_VERSION:
            faults.append(
                f"format {decode_ownership(encoded).format}, but this program uses format {FORMAT_VERSION}"
            )
        count = 0
        for key, each in read_records(engine):
            count += 1
            if each is None or each.state not in list(RecordState):
                faults.append(f"{key}: unreadable record or unknown state")
            elif not (
                0 <= each.expires - each.arrived <= MAX_WINDOW_US
                and 0 <= each.due - each.arrived <= MAX_WINDOW_US
            ):
                faults.append(f"{key}: window or deadline out of range")
            elif each.result and each.state != RecordState.DONE:
                faults.append(f"{key}: a result is stored, but the request did not complete")
    for each in faults:
        click.echo(each)
    click.echo(f"{count} entries, {len(faults)} wrong")
    raise click.exceptions.Exit(output.WRONG_DATA if faults else 0)


@group.command()
@directory
def adopt(directory: str) -> None:
    """Adopt a directory that was moved here as a whole, so that a node may use it.

    Do not adopt an older copy: requests that ran after the copy was made would run again.
    """
    with open_engine(directory) as engine:
        encoded = engine.get(OWNERSHIP_KEY)
        if encoded is None:
            raise output.WrongInput(
                f"keyed: {directory}: the ownership record is missing, so the directory can't be adopted"
            )
        ownership = msgspec.structs.replace(decode_ownership(encoded), directory_id=os.stat(directory).st_ino)
        (error,) = engine.commit([Batch().put(OWNERSHIP_KEY, encode(ownership))])
        if error is not None:
            raise error
    click.echo(f"{directory}: taken on for the node {ownership.node!r}")
