"""Records what a member answers to clients' frames, with the code of 3273848.

Like `generate.py` it was run once, by that commit's code under its former package names, and cannot run in
the current tree (from the repository's root, `/tmp/base` a clone checked out at 3273848):

    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate_conversations.py
"""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import msgspec
from conversation import CONVERSATIONS, GOSSIP, MARK, OWN_WORD, PERIOD_US, SEEDS, converse, shown_sends
from generate import module, plain, write_json
from generate_directories import at_once, commit, open_engine
from twisted.internet.testing import MemoryReactorClock


def start_member(reactor: MemoryReactorClock, path: Path, group: str) -> Any:
    """The only voter of a new group."""
    terms, seats, program = module("quorum.terms"), module("quorum.seats"), module("quorum.program")
    engine = open_engine(path, 21)
    me = terms.Member(11, "v1", "10.0.0.1", 1, True, "north")
    founding = module("quorum.journal").Journal().found(module("quorum.state").founded(terms.Group((me,))))
    identity = seats.Identity(MARK, "fleet", "v1", 11, 4, group == "distribution")
    commit(engine, founding.put(seats.IDENTITY, msgspec.msgpack.encode(identity)))
    store = module("store.store").Store(reactor, engine, at_once, at_once, upkeep=False)
    serves, parts = None, program.parts
    if group == "distribution":
        serves = module("distribution.voting").Voting(reactor, "v1", "north", MagicMock())
        parts = program.distribution_parts
    address = ("127.0.0.1", 1)
    return module("quorum.process").Process(
        reactor, store, identity, address, MagicMock(), random.Random(22), parts, zone="north", serves=serves
    )


def gossip() -> list[list[Any]]:
    """What a member sends at its start, after each datagram, at its next probe, and as it leaves."""
    terms, now = module("members.terms"), PERIOD_US
    own, rng = terms.Word(*OWN_WORD), random.Random(23)
    member = module("members.gossip").Gossip("fleet", own, SEEDS, terms.Choice(), rng, now)
    sent = [sends_of(member)]
    for values in GOSSIP:
        received = msgspec.msgpack.decode(msgspec.msgpack.encode(values), type=terms.Datagram)
        member.hears(now, "10.0.0.2", 7_002, received)
        sent.append(sends_of(member))
    member.wakes(now + PERIOD_US)
    sent.append(sends_of(member))
    member.leaves(now + PERIOD_US)
    sent.append(sends_of(member))
    return sent


def sends_of(member: Any) -> list[Any]:
    """Datagrams that it has to send now."""
    found = []
    while (decision := member.next_decision()) is not None:
        if isinstance(decision, module("members.gossip").Send):
            found.append((decision.host, decision.port, decision.datagram))
    return shown_sends(found)


def main() -> None:
    """A conversation with a member of each kind of group, and with one that gossips."""
    found = {}
    for group, steps in CONVERSATIONS.items():
        reactor = MemoryReactorClock()
        with tempfile.TemporaryDirectory() as path:
            member = start_member(reactor, Path(path), group)
            answers = converse(reactor, steps)
            member.end(0)
        found[group] = [
            {"sent": plain(step.frame), "answers": plain(each)}
            for step, each in zip(steps, answers, strict=True)
        ]
    write_json("conversations.json", found)
    write_json("gossip.json", gossip())


if __name__ == "__main__":
    main()
