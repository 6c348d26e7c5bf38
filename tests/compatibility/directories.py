"""Reads directories with the current code: the one place of these tests that knows its modules and methods.

Each function gives plain values, so that a test compares them with what the code of 3273848 had found.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
from messages import CONSTANTS
from twisted.internet.defer import Deferred, execute
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lichencleat.config_distribution.kept import make_persisted_table
from lichencleat.consensus.identity import load_identity
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import Entry, Snapshot
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.coordinator.states import make_config_distribution_states, make_control_plane_states
from lichencleat.idempotency.records import decode_heartbeat, decode_ownership, decode_record, record_key
from lichencleat.recovery import boot_record, service_times
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.store import Store
from lichencleat.transport.identity import Incarnation

NOW_US = 1_780_000_000_000_000  # Unix time at which the golden directories were written
PARTS = {"control": make_control_plane_states, "distribution": make_config_distribution_states}
BOUNDS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=8 << 20, keep_reserve=False)


@contextmanager
def open_engine(path: Path) -> Iterator[Engine]:
    """The store in that directory, as of the time at which it was written."""
    disk = RealDisk(str(path), create=False)
    engine = Engine.open(disk, lambda: NOW_US, random.Random(1), BOUNDS)
    try:
        yield engine
    finally:
        engine.close()


def read_store(path: Path) -> dict[str, str]:
    """SHA-256 of each value, by the key's hex digits."""
    with open_engine(path) as engine:
        return {key.hex(): sha256(value).hexdigest() for key, value in engine.scan(b"")}


def read_store_stat(path: Path) -> dict[str, int]:
    """Sizes and counts of the store after it was opened."""
    with open_engine(path) as engine:
        return engine.stat()


# -- the replicated state --------------------------------------------------------------------------------


def new_state(group: str) -> StateMachine:
    """An empty state of a `control` or a `distribution` group."""
    return StateMachine(PARTS[group]())


def restored_state(group: str, index: int, data: bytes) -> StateMachine:
    """The state after the entry `index`, from its dump."""
    state = new_state(group)
    state.restore(Snapshot(index, 3, None, data))  # type: ignore[arg-type]
    return state


def apply(state: StateMachine, index: int, entry: bytes) -> tuple[int, str]:
    """The verdict on an encoded entry, and its result's hex digits."""
    verdict, result = state.apply(index, msgspec.msgpack.decode(entry, type=Entry))
    return int(verdict), result.hex()


def dump(state: StateMachine) -> str:
    """The whole state's hex digits."""
    return state.dump().hex()


def answer(state: StateMachine, part: str, query: Any) -> str:
    """Hex digits of a read's answer."""
    return msgspec.msgpack.encode(state.read(part, query)).hex()


# -- a member's directory --------------------------------------------------------------------------------


def read_member(path: Path) -> dict[str, Any]:
    """All that a member finds of itself at a start."""
    with open_engine(path) as engine:
        durable = LogStorage().load(engine.get)
        identity = load_identity(engine.get, random.Random(1), "fleet", "v1")
        lives = {
            str(int.from_bytes(key[1:], "big")): msgspec.msgpack.encode(
                msgspec.msgpack.decode(value, type=Incarnation)
            )
            for key, value in engine.scan(CONSTANTS["quorum.process.LIFE"])
        }
        values = [getattr(durable, field.name) for field in dataclasses.fields(durable)]
        return {
            "keys": [key.hex() for key, _ in engine.scan(b"")],
            "durable": [msgspec.msgpack.encode(each).hex() for each in values],
            "identity_at_the_next_start": msgspec.msgpack.encode(identity).hex(),
            "lives": {seat: life.hex() for seat, life in lives.items()},
        }


def state_of_member(path: Path, group: str) -> str:
    """The dump of the state that the member's snapshot and log make."""
    with open_engine(path) as engine:
        durable = LogStorage().load(engine.get)
    _, _, snapshot, entries = [getattr(durable, field.name) for field in dataclasses.fields(durable)]
    state = new_state(group)
    state.restore(snapshot)
    index = msgspec.structs.astuple(snapshot)[0]
    for number, entry in enumerate(entries, index + 1):
        state.apply(number, entry)
    return dump(state)


# -- a node's directory ----------------------------------------------------------------------------------


def read_keyed(path: Path, keys: list[str]) -> dict[str, Any]:
    """Idempotency records by their keys, owner and last sign of life, all by position."""
    with open_engine(path) as engine:

        def get(key: bytes) -> bytes:
            value = engine.get(key)
            assert value is not None, key
            return value

        entries = {key: decode_record(get(record_key(key.encode()))) for key in keys}
        return {
            "marks": {key: record_key(key.encode()).hex() for key in keys},
            "entries": {key: msgspec.structs.astuple(entry) for key, entry in entries.items()},
            "whose": msgspec.structs.astuple(decode_ownership(get(CONSTANTS["keyed.records.WHOSE"]))),
            "seen": msgspec.structs.astuple(decode_heartbeat(get(CONSTANTS["keyed.records.SEEN"]))),
        }


def read_boot_and_figures(path: Path, longest: dict[str, int]) -> dict[str, Any]:
    """What a start finds of the life before, and what it makes of it."""
    with open_engine(path) as engine:
        before = boot_record.load_previous(engine.get(CONSTANTS["revive.seat.BOOT"]), "fleet")
        learned = engine.get(CONSTANTS["revive.seat.FIGURES"])
    assert before is not None and learned is not None
    return {
        "boot": msgspec.structs.astuple(before),
        "boot_of_the_next_start": msgspec.structs.astuple(boot_record.create_record(before, NOW_US, "fleet")),
        "recalled": service_times.load_service_times(learned, 2.0, longest).run_times,
    }


# -- a configuration's last version ----------------------------------------------------------------------


def read_kept(path: Path, names: list[str]) -> dict[str, Any]:
    """Version, digest, sizes, the group's mark, kept batches, and the records of these names."""
    clock: Any = Clock()  # of its calls from threads none is made: all work is done at once
    with open_engine(path) as engine:
        store = Store(clock, engine, execute, execute, maintenance=False)
        kept = wait(make_persisted_table(clock, store, "fleet", print), clock)
        table, group_mark, batches = wait(kept.load(), clock)
        return {
            "version": table.version,
            "digest": table.digest.hex(),
            "records": table.records,
            "bytes": table.bytes,
            "mark": group_mark.hex(),
            "batches": [msgspec.msgpack.encode(each).hex() for each in batches],
            "values": {name: table.find("tenant", name) for name in names},
        }


def wait(deferred: Deferred[Any], clock: Clock) -> Any:
    """What it fires with, each slice of work a turn of the clock."""
    found: list[Any] = []
    deferred.addBoth(found.append)
    while not found:
        clock.advance(0)
    if isinstance(found[0], Failure):
        found[0].raiseException()
    return found[0]
