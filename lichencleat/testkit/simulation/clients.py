"""Clients of a group: one call at a time, repeated until it is answered, in a session; they write down what
they saw.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from lichencleat.consensus.key_value import KeyValueEntry, SetCommand, SetResult
from lichencleat.consensus.messages import Entry, EntryType
from lichencleat.testkit.checkers.linear import Call
from lichencleat.testkit.simulation.clockwork import Timer
from lichencleat.testkit.simulation.group import SimGroup
from lichencleat.transport.frames import encode_command
from lichencleat.transport.outcomes import SessionOutcome

PATIENCE = (200_000, 3_000_000)  # µs for one try, drawn once a client: who waits longer is told older news
REST = (1_000, 60_000)  # µs between calls
FACTS = 3  # few, so that clients meet


class SimClient:
    def __init__(self, group: SimGroup, name: str, rng: random.Random, calls: int) -> None:
        self.group, self.name, self.rng, self.left = group, name, rng, calls
        self.history: list[Call] = []
        self.known: dict[str, tuple[bytes | None, int]] = {}  # what it saw of each fact: value and revision
        self.session = self.number = self.tries = self.made = 0
        self.seat = 0
        self.patience = rng.randint(*PATIENCE)
        self.call: Call | None = None
        self.entry: Entry | None = None  # that it proposes
        self.timer: Timer | None = None

    def start(self) -> None:
        self.group.clockwork.after(self.rng.randint(*REST), self.begin)

    def begin(self) -> None:
        if self.left == 0:
            return
        if not self.session:
            self.entry = Entry(0, EntryType.SESSION)
            self.attempt()
            return
        self.left -= 1
        name = f"f{self.rng.randrange(FACTS)}"
        kind = self.rng.choice(["put", "cas", "get"])
        value, revision = self.known.get(name, (None, 0))
        self.entry = None
        what: tuple[Any, ...] = ("get", name)
        if kind != "get":
            self.made += 1
            new = f"{self.name}-{self.made}".encode()
            what = ("put", name, new) if kind == "put" else ("cas", name, new, value)
            wanted = SetCommand(name, new, None if kind == "put" else revision)
            self.number += 1
            self.entry = Entry(
                0, EntryType.COMMAND, encode_command("facts", wanted), self.session, self.number
            )
        self.call = Call(self.name, what, self.group.clockwork.now)
        self.history.append(self.call)
        self.attempt()

    def attempt(self) -> None:
        if not self.seat or self.rng.random() < 0.3:
            self.seat = self.rng.choice(list(self.group.members))
        self.tries += 1
        mark = self.tries
        if self.entry is not None:
            self.group.ask(self.name, self.seat, "propose", self.entry, lambda told: self.told(mark, told))
        else:
            assert self.call is not None
            self.group.ask(
                self.name, self.seat, "read", self.call.what[1], lambda told: self.told(mark, told)
            )
        self.timer = self.group.clockwork.after(self.patience, self.again)

    def again(self) -> None:
        self.seat = 0
        self.attempt()

    def told(self, mark: int, told: Any) -> None:
        """Answers to older tries count for nothing: the one under way will be told the same."""
        if mark != self.tries or (self.call is None and self.entry is None):
            return
        assert self.timer is not None
        self.timer.cancel()
        if told[0] == "refused":
            self.seat = told[2] if told[2] in self.group.members else 0
            self.tries += 1
            self.timer = self.group.clockwork.after(self.rng.randint(5_000, 50_000), self.attempt)
            return
        if told[0] == "read":
            self.saw(told[1])
        elif self.entry is not None and self.entry.entry_type == EntryType.SESSION:
            self.session, self.number = msgspec.msgpack.decode(told[2]), 0
        elif told[1] is not SessionOutcome.DONE:
            self.session = 0  # what became of the call is not known: it stays open in the history
        else:
            self.changed(msgspec.msgpack.decode(told[2], type=SetResult))
        self.call = self.entry = None
        self.group.clockwork.after(self.rng.randint(*REST), self.begin)

    def saw(self, fact: KeyValueEntry | None) -> None:
        assert self.call is not None
        value, revision = (fact.value, fact.revision) if fact else (None, 0)
        self.known[self.call.what[1]] = value, revision
        self.call.told, self.call.returned = value, self.group.clockwork.now

    def changed(self, answer: SetResult) -> None:
        assert self.call is not None
        self.call.told, self.call.returned = answer.is_applied, self.group.clockwork.now
        if answer.is_applied:
            name, value = self.call.what[1:3]
            self.known[name] = value, answer.revision
            self.group.watch.confirmed(self.name, value, answer.revision)
