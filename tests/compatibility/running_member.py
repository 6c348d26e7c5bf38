"""Starts a member of a group with the current code: the one place that knows its modules."""

from __future__ import annotations

import random
from pathlib import Path
from unittest.mock import MagicMock

import msgspec
from conversation import MARK
from directories import BOUNDS, NOW_US, PARTS
from twisted.internet.defer import execute
from twisted.internet.testing import MemoryReactorClock

from lichencleat.config_distribution.voting import Voting
from lichencleat.consensus.journal import Journal
from lichencleat.consensus.process import Process
from lichencleat.consensus.seats import IDENTITY, Identity
from lichencleat.consensus.state import founded
from lichencleat.consensus.terms import Group, Member
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.store import Store


def start_member(reactor: MemoryReactorClock, path: Path, group: str) -> Process:
    """The only voter of a new group."""
    disk = RealDisk(str(path), create=True)
    engine = Engine.open(disk, lambda: NOW_US, random.Random(21), BOUNDS, create=True)
    me = Member(11, "v1", "10.0.0.1", 1, True, "north")
    identity = Identity(MARK, "fleet", "v1", 11, 4, group == "distribution")
    founding = Journal().found(founded(Group((me,))))
    assert engine.commit([founding.put(IDENTITY, msgspec.msgpack.encode(identity))]) == [None]
    store = Store(reactor, engine, execute, execute, upkeep=False)
    serves = Voting(reactor, "v1", "north", MagicMock()) if group == "distribution" else None
    return Process(
        reactor,
        store,
        identity,
        ("127.0.0.1", 1),
        MagicMock(),
        random.Random(22),
        PARTS["distribution" if group == "distribution" else "control"],
        zone="north",
        serves=serves,
    )
