"""Starts a member of a group with the current code: the one place that knows its modules."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import msgspec
from conversation import GOSSIP, MARK, OWN_WORD, PERIOD_US, SEEDS, shown_sends
from directories import BOUNDS, NOW_US, PARTS
from twisted.internet.defer import execute
from twisted.internet.testing import MemoryReactorClock

from lichencleat.config_distribution.voting import VoterPublisher
from lichencleat.consensus.identity import IDENTITY_KEY, Identity
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import Configuration, Member
from lichencleat.consensus.process import MemberOptions, MemberProcess
from lichencleat.consensus.state_machine import bootstrap_snapshot
from lichencleat.membership.gossip import GossipMember
from lichencleat.membership.messages import GossipMessage, MemberUpdate
from lichencleat.membership.outbox import SendDatagram
from lichencleat.membership.settings import GossipSettings
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.store import Store


def start_member(reactor: MemoryReactorClock, path: Path, group: str) -> MemberProcess:
    """The only voter of a new group."""
    disk = RealDisk(str(path), create=True)
    engine = Engine.open(disk, lambda: NOW_US, random.Random(21), BOUNDS, create=True)
    me = Member(11, "v1", "10.0.0.1", 1, True, "north")
    identity = Identity(MARK, "fleet", "v1", 11, 4, group == "distribution")
    founding = LogStorage().bootstrap_batch(bootstrap_snapshot(Configuration((me,))))
    assert engine.commit([founding.put(IDENTITY_KEY, msgspec.msgpack.encode(identity))]) == [None]
    store = Store(reactor, engine, execute, execute, maintenance=False)
    extension = VoterPublisher(reactor, "v1", "north", MagicMock()) if group == "distribution" else None
    return MemberProcess(
        reactor,
        store,
        identity,
        ("127.0.0.1", 1),
        MagicMock(),
        random.Random(22),
        MemberOptions(
            PARTS["distribution" if group == "distribution" else "control"],
            zone="north",
            extension=extension,
        ),
    )


def gossip() -> list[list[Any]]:
    """What a member sends at its start, after each golden datagram, at its next probe, and as it leaves."""
    now = PERIOD_US
    member = GossipMember("fleet", MemberUpdate(*OWN_WORD), SEEDS, GossipSettings(), random.Random(23), now)
    sent = [sends_of(member)]
    for values in GOSSIP:
        received = msgspec.msgpack.decode(msgspec.msgpack.encode(values), type=GossipMessage)
        member.on_message(now, "10.0.0.2", 7_002, received)
        sent.append(sends_of(member))
    member.on_timer(now + PERIOD_US)
    sent.append(sends_of(member))
    member.leave(now + PERIOD_US)
    sent.append(sends_of(member))
    return sent


def sends_of(member: GossipMember) -> list[Any]:
    """Datagrams that it has to send now."""
    found = []
    while (action := member.next_action()) is not None:
        if isinstance(action, SendDatagram):
            found.append((action.host, action.port, action.message))
    return shown_sends(found)
