"""Simulated clients of a consensus group. Each client has a session, makes one call at a time, retries the
call until it has an answer, and records its history for the linearizability check.
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

# timeout of an attempt, drawn once per client; a client with a long timeout also accepts late answers
ATTEMPT_TIMEOUT_RANGE_US = (200_000, 3_000_000)
PAUSE_RANGE_US = (1_000, 60_000)  # time between two calls of a client
KEY_COUNT = 3  # few keys, so that clients conflict


class SimClient:
    """A client that makes random put, compare-and-set and get calls."""

    def __init__(self, group: SimGroup, name: str, rng: random.Random, calls: int) -> None:
        self.group, self.name, self.rng, self.calls_left = group, name, rng, calls
        self.history: list[Call] = []
        self.known_values: dict[str, tuple[bytes | None, int]] = {}  # key -> last known (value, revision)
        self.session_id = self.sequence = self.attempts = self.values_written = 0
        self.member_id = 0  # member that the next attempt asks; 0: choose at random
        self.attempt_timeout = rng.randint(*ATTEMPT_TIMEOUT_RANGE_US)
        self.call: Call | None = None
        self.entry: Entry | None = None  # entry to propose in the current call; None for a read
        self.timer: Timer | None = None

    def start(self) -> None:
        self.group.clockwork.after(self.rng.randint(*PAUSE_RANGE_US), self.begin)

    def begin(self) -> None:
        """Open a session if the client has none, otherwise start the next call."""
        if self.calls_left == 0:
            return
        if not self.session_id:
            self.entry = Entry(0, EntryType.SESSION)
            self.attempt()
            return
        self.calls_left -= 1
        name = f"f{self.rng.randrange(KEY_COUNT)}"
        kind = self.rng.choice(["put", "cas", "get"])
        value, revision = self.known_values.get(name, (None, 0))
        self.entry = None
        operation: tuple[Any, ...] = ("get", name)
        if kind != "get":
            self.values_written += 1
            new = f"{self.name}-{self.values_written}".encode()
            operation = ("put", name, new) if kind == "put" else ("cas", name, new, value)
            command = SetCommand(name, new, None if kind == "put" else revision)
            self.sequence += 1
            self.entry = Entry(
                0, EntryType.COMMAND, encode_command("facts", command), self.session_id, self.sequence
            )
        self.call = Call(self.name, operation, self.group.clockwork.now)
        self.history.append(self.call)
        self.attempt()

    def attempt(self) -> None:
        """Send the current call to a member and arm the timeout of the attempt."""
        if not self.member_id or self.rng.random() < 0.3:
            self.member_id = self.rng.choice(list(self.group.members))
        self.attempts += 1
        attempt_number = self.attempts
        if self.entry is not None:
            self.group.send_request(
                self.name,
                self.member_id,
                "propose",
                self.entry,
                lambda reply: self.on_reply(attempt_number, reply),
            )
        else:
            assert self.call is not None
            self.group.send_request(
                self.name,
                self.member_id,
                "read",
                self.call.operation[1],
                lambda reply: self.on_reply(attempt_number, reply),
            )
        self.timer = self.group.clockwork.after(self.attempt_timeout, self.retry)

    def retry(self) -> None:
        """Repeat the current call at another random member after a timeout."""
        self.member_id = 0
        self.attempt()

    def on_reply(self, attempt_number: int, reply: Any) -> None:
        """Handle the reply to an attempt. Replies to earlier attempts are ignored, because the current
        attempt is answered or retried as well.
        """
        if attempt_number != self.attempts or (self.call is None and self.entry is None):
            return
        assert self.timer is not None
        self.timer.cancel()
        if reply[0] == "refused":
            self.member_id = reply[2] if reply[2] in self.group.members else 0
            self.attempts += 1
            self.timer = self.group.clockwork.after(self.rng.randint(5_000, 50_000), self.attempt)
            return
        if reply[0] == "read":
            self.on_read(reply[1])
        elif self.entry is not None and self.entry.entry_type == EntryType.SESSION:
            self.session_id, self.sequence = msgspec.msgpack.decode(reply[2]), 0
        elif reply[1] is not SessionOutcome.DONE:
            self.session_id = 0  # the outcome is unknown: the call remains unanswered in the history
        else:
            self.on_set_result(msgspec.msgpack.decode(reply[2], type=SetResult))
        self.call = self.entry = None
        self.group.clockwork.after(self.rng.randint(*PAUSE_RANGE_US), self.begin)

    def on_read(self, entry: KeyValueEntry | None) -> None:
        """Record the result of a read in the history."""
        assert self.call is not None
        value, revision = (entry.value, entry.revision) if entry else (None, 0)
        self.known_values[self.call.operation[1]] = value, revision
        self.call.result, self.call.returned = value, self.group.clockwork.now

    def on_set_result(self, answer: SetResult) -> None:
        """Record the result of a put or a compare-and-set in the history."""
        assert self.call is not None
        self.call.result, self.call.returned = answer.is_applied, self.group.clockwork.now
        if answer.is_applied:
            name, value = self.call.operation[1:3]
            self.known_values[name] = value, answer.revision
            self.group.watch.confirmed(self.name, value, answer.revision)
