"""`lichencleat idempotency`: what a stopped node's directory knows of its keyed requests."""

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
LONGEST = 3600 * SECOND  # a window or a due time beyond it is no entry's

directory = click.argument("directory", metavar="DIR")
as_json = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


def now() -> int:
    return time.time_ns() // 1000


@contextmanager
def opened(path: str) -> Iterator[Engine]:
    engine = None
    try:
        if not os.path.isdir(path):
            raise CannotOpenError(f"{path}: no such directory; name the one of the node's file")
        engine = Engine.open(RealDisk(path), now, random.Random(os.urandom(16)), StoreLimits(), False, path)
        if engine.get(OWNERSHIP_KEY) is None and not any(True for _ in engine.scan(b"")):
            raise CannotOpenError(f"{path}: no node has used it yet")
        yield engine
    except CannotOpenError as wrong:
        raise output.WrongInput(f"keyed: {wrong}") from wrong
    except StoreError as wrong:
        raise output.WrongData(f"keyed: {wrong}") from wrong
    finally:
        if engine is not None:
            engine.close()


def entries(engine: Engine) -> Iterator[tuple[str, IdempotencyRecord | None]]:
    for key, value in engine.scan(RECORD_PREFIX):
        try:
            yield key[1:].hex(), decode_record(value)
        except UNDECODABLE:
            yield key[1:].hex(), None


@click.group("idempotency", no_args_is_help=True)
def group() -> None:
    """Receipts and results of one node that outlive its restarts."""


@group.command("list")
@directory
@as_json
@click.option("--open", "only_open", is_flag=True, help="Only intents without a result.")
def list_entries(directory: str, as_json: bool, only_open: bool) -> None:
    """Each key's mark, state, and age and what was left of its window at the node's last sign of life."""
    with opened(directory) as engine:
        said = engine.get(HEARTBEAT_KEY)
        seen = decode_heartbeat(said).node_time if said is not None else 0
        rows = [
            [
                key,
                RecordState(each.state).name.lower(),
                each.request_class,
                (seen - each.arrived) / SECOND,
                (each.expires - seen) / SECOND,
                len(each.result),
            ]
            for key, each in entries(engine)
            if each is not None and (not only_open or each.state == RecordState.OPEN)
        ]
    output.table(["key", "state", "tariff", "age_s", "window_left_s", "result_bytes"], rows, as_json)


@group.command()
@directory
@as_json
def show(directory: str, as_json: bool) -> None:
    """Whose it is, its last sign of life, how many entries of each kind."""
    with opened(directory) as engine:
        said, seen = engine.get(OWNERSHIP_KEY), engine.get(HEARTBEAT_KEY)
        whose = decode_ownership(said) if said is not None else Ownership(0, "", 0)
        last = decode_heartbeat(seen) if seen is not None else Heartbeat(0, now())
        known = [each for _, each in entries(engine) if each is not None]
        stat = engine.stat()
    pairs = {
        "node": whose.node,
        "format": whose.format,
        "last_sign_s_ago": round((now() - last.unix_time) / SECOND, 3),
        "entries": len(known),
        "without_result": sum(each.state == RecordState.OPEN for each in known),
        "ran_to_nothing": sum(each.state == RecordState.FAILED for each in known),
        "past_their_window": sum(each.expires + READ_DELAY_US < last.node_time for each in known),
        "result_bytes": sum(len(each.result) for each in known),
    }
    output.pairs(
        {**pairs, **{f"store_{name.replace(' ', '_')}": value for name, value in stat.items()}}, as_json
    )


@group.command()
@directory
def check(directory: str) -> None:
    """What cannot be: entries unreadable, windows or due times that no node writes. Exit code 1 on any."""
    found = []
    with opened(directory) as engine:
        said = engine.get(OWNERSHIP_KEY)
        if said is None:
            found.append("it says of no node")
        elif decode_ownership(said).format != FORMAT_VERSION:
            found.append(f"format {decode_ownership(said).format}, and this program's is {FORMAT_VERSION}")
        count = 0
        for key, each in entries(engine):
            count += 1
            if each is None or each.state not in list(RecordState):
                found.append(f"{key}: unreadable")
            elif not (
                0 <= each.expires - each.arrived <= LONGEST and 0 <= each.due - each.arrived <= LONGEST
            ):
                found.append(f"{key}: window or due time out of range")
            elif each.result and each.state != RecordState.DONE:
                found.append(f"{key}: a result of a run that made none")
    for each in found:
        click.echo(each)
    click.echo(f"{count} entries, {len(found)} wrong")
    raise click.exceptions.Exit(output.WRONG_DATA if found else 0)


@group.command()
@directory
def adopt(directory: str) -> None:
    """Take on a directory that was moved here whole.

    Wrong for an older copy: what ran since then would run again.
    """
    with opened(directory) as engine:
        said = engine.get(OWNERSHIP_KEY)
        if said is None:
            raise output.WrongInput(f"keyed: {directory}: it says of no node, so nothing is to be taken on")
        whose = msgspec.structs.replace(decode_ownership(said), directory_id=os.stat(directory).st_ino)
        (wrong,) = engine.commit([Batch().put(OWNERSHIP_KEY, encode(whose))])
        if wrong is not None:
            raise wrong
    click.echo(f"{directory}: taken on for the node {whose.node!r}")
