"""Random requests that share keys, on one node with a disk.

`python -m tests.idempotency.key_soak --seeds 2000` plays many histories. Requests with a few keys and bodies
are read in one reactor turn or apart, withdrawn, repeated late and read late. Meanwhile the disk is slow or
full, runs end or fail, and the power is cut.

Checks: no key runs twice with one body in its window, each result comes from a run of the same request, each
request is answered in time, a rejected one has not run, and nothing of an ended request stays in memory.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent))
from node_lifecycle import SECOND, Environment, NodeIncarnation

from lichencleat.admission.types import Effect, Outcome, RequestClass
from lichencleat.store.errors import StoreError

WINDOWS_S = (0.5, 2.0, 30.0)  # shorter than the deadline, and longer than most of a history
DEADLINE_S = 6.0
ANSWER_SLACK_S = 0.05  # by which every limit is extended on sockets, by the protocol
CLOCK_STEP_S = 0.01
STEPS = 150  # actions of one history
DISK_ROOM_FULL = 0


@dataclass
class Attempt:
    """One request as its caller knows it; times are in µs of Unix time."""

    number: int
    key: bytes
    body: bytes
    arrived: int
    incarnation: NodeIncarnation
    is_withdrawn: bool = False
    answered_at: int | None = None

    @property
    def answer(self):
        return self.incarnation.answers.get(self.number)


class KeySoak:
    """One history, drawn from its seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"shared keys {seed}")
        self.window_s = self.rng.choice(WINDOWS_S)
        self.request_class = RequestClass(
            "save", Effect.KEYED, 2 * SECOND, int(DEADLINE_S * SECOND), window=int(self.window_s * SECOND)
        )
        self.environment = Environment()
        self.node = NodeIncarnation(self.environment, keyed_class=self.request_class)
        self.start_node()
        self.attempts: list[Attempt] = []

    def start_node(self) -> None:
        self.node.start()
        assert not self.node.start_error, self.node.start_error
        self.started_at = self.node.clock()

    def play(self) -> None:
        """Play the history and check it; raises AssertionError."""
        actions = [
            *[self.receive] * 8,
            *[self.withdraw] * 3,
            *[self.turn] * 4,
            *[self.run_disk_call] * 5,
            *[self.end_run] * 3,
            *[self.wait] * 4,
            self.fill_or_free_disk,
            self.cut_power,
        ]
        for _ in range(STEPS):
            self.rng.choice(actions)()
            self.note_answers()
        self.settle()
        self.check()

    # -- actions -------------------------------------------------------------------------------------------

    def receive(self) -> None:
        number, rng = len(self.attempts), self.rng
        is_pure = rng.random() < 0.15
        key, body = (
            (b"pure", b"") if is_pure else (rng.choice([b"k1", b"k2"]), rng.choice([b"a", b"a", b"b"]))
        )
        delay = rng.choice([0, 0, 0, 20_000, 150_000, 600_000])
        # what was written before the start of the process was lost with the sockets of the one before
        arrived = max(self.node.clock() - delay, self.started_at)
        self.attempts.append(Attempt(number, key, body, arrived, self.node))
        self.node.receive_request(number, body, key, is_pure, arrived)

    def withdraw(self) -> None:
        waiting = [each for each in self.attempts if self.is_waiting(each)]
        if waiting:
            attempt = self.rng.choice(waiting)
            attempt.is_withdrawn = True
            self.node.host.on_caller_gone(self.node.cases[attempt.number])

    def turn(self) -> None:
        self.node.run_turn()

    def run_disk_call(self) -> None:
        self.node.run_disk_calls(self.rng.choice([1, 1, 2, 5]))

    def end_run(self) -> None:
        environment, interpreter = self.environment, self.node.interpreter
        if not environment.running:
            return
        ident = self.rng.choice(list(environment.running))
        del environment.running[ident]
        outcome = self.rng.choice([Outcome.COMPLETED] * 4 + [Outcome.FAILED])
        result = ident if outcome is Outcome.COMPLETED else b""
        run = interpreter.runs.pop(ident, None)
        if run is not None:
            run.on_ended(outcome, 1_000, result)
        elif interpreter.early_outcomes is not None:
            interpreter.early_outcomes[ident] = outcome, 1_000, result

    def wait(self) -> None:
        for _ in range(self.rng.choice([1, 1, 2, 6, 20])):
            self.advance(0.05)
            if self.rng.random() < 0.8:
                self.node.run_disk_calls()

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps that are short beside the node's own timers."""
        for _ in range(round(seconds / CLOCK_STEP_S)):
            self.node.reactor.advance(CLOCK_STEP_S)
            self.note_answers()

    def fill_or_free_disk(self) -> None:
        disk = self.environment.disk
        disk.room = DISK_ROOM_FULL if disk.room is None else None

    def cut_power(self) -> None:
        self.environment.disk.room = None
        self.node = self.node.crash(self.rng)
        self.start_node()

    def settle(self) -> None:
        self.environment.disk.room = None
        for _ in range(round((DEADLINE_S + 2) / 0.1)):
            self.node.run_disk_calls()
            self.end_run()
            self.advance(0.1)

    # -- checks --------------------------------------------------------------------------------------------

    def is_waiting(self, attempt: Attempt) -> bool:
        return attempt.incarnation is self.node and not attempt.is_withdrawn and attempt.answer is None

    def note_answers(self) -> None:
        for attempt in self.attempts:
            if attempt.answered_at is None and attempt.answer is not None:
                attempt.answered_at = self.node.clock()

    def runs(self) -> list[tuple[bytes, Attempt]]:
        """Return the ids of the runs with their attempts, in the order of their starts."""
        started = [ident for ident, _, _ in self.environment.runs]
        return [(ident, self.attempts[int(ident.split(b"-")[1])]) for ident in started]

    def check(self) -> None:
        runs = [(ident, attempt) for ident, attempt in self.runs() if attempt.key != b"pure"]
        window = self.request_class.window
        for at, (_, first) in enumerate(runs):
            for _, second in runs[at + 1 :]:
                if (first.key, first.body) == (second.key, second.body):
                    apart = second.arrived - first.arrived
                    assert not 0 <= apart <= window, f"{first.number} and {second.number} ran in one window"
        for attempt in self.attempts:
            self.check_answer(attempt, dict(runs))
        self.check_memory()

    def check_answer(self, attempt: Attempt, runs: dict[bytes, Attempt]) -> None:
        if attempt.answer is None:
            assert attempt.is_withdrawn or attempt.incarnation is not self.node, (
                f"{attempt.number}: no answer"
            )
            return
        kind, result = attempt.answer
        in_time = attempt.arrived + (DEADLINE_S + ANSWER_SLACK_S) * SECOND
        assert attempt.answered_at <= in_time, f"{attempt.number}: answered late"
        if attempt.key == b"pure":
            return
        if kind == "honoured":
            made_for = runs.get(result)
            assert made_for is not None, f"{attempt.number}: served with a result of no run"
            is_same = (made_for.key, made_for.body) == (attempt.key, attempt.body)
            assert is_same, f"{attempt.number}: served with the result of {made_for.number}"
        if kind == "deferred":
            assert attempt not in runs.values(), f"{attempt.number}: rejected, but it ran"

    def check_memory(self) -> None:
        node, host = self.node, self.node.host
        assert not node.service.intents.pending_starts, "starts are left"
        assert not node.service.intents._open_records, "open records are left"
        assert not len(host.pending_requests), "requests are left"
        assert host.pending_ids == set(node.service.index.earlier_runs), "ids are left"
        assert not host.records.linked, "linked repeats are left"
        assert not any(each.waiters for each in host.records.by_request.values()), "waiters are left"
        assert not node.report.counts["node errors"], "an error was logged"


@click.command()
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--seeds", default=2_000, show_default=True, help="Number of seeds.")
def main(first: int, seeds: int) -> None:
    """Play many histories; print the seed of each that breaks a check."""
    broken = 0
    for seed in range(first, first + seeds):
        try:
            KeySoak(seed).play()
        except (AssertionError, StoreError) as error:
            broken += 1
            click.echo(f"seed {seed}: {error}")
    click.echo(f"{seeds} histories, {broken} broken")
    raise click.exceptions.Exit(1 if broken else 0)


if __name__ == "__main__":
    main()
