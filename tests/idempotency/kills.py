"""The real node killed at random times under repeated keys: `python -m tests.idempotency.kills --kills 500`.

The node's engine survives the kills and counts runs. The disk drops unflushed writes at a kill, so that each
kill acts as a power loss. Callers repeat the same keys across the restarts. Checks: no key runs twice in its
window, each result comes from a run, and all results of one key are the same.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from lichencleat.testkit.cluster.nodes import HARD_LIMIT, RigNode, settings
from lichencleat.testkit.cluster.rig import Rig, wait_until

WINDOW_S = 30.0  # longer than a round, so that no key may run twice in a round
KEY_COUNT = 40  # per round
MAX_OPEN_REQUESTS = 12  # attempts at once


@dataclass
class RoundResult:
    seed: int
    kills: int = 0
    attempts: int = 0
    answers: Counter = field(default_factory=Counter)
    runs: int = 0
    fault: str | None = None


class KillRound:
    """One node that is killed several times, with its own directory and keys."""

    def __init__(self, rig: Rig, seed: int, kills: int, forgets: bool) -> None:
        self.rng = random.Random(f"kills {seed}")
        self.rig, self.kills = rig, kills
        operator_file = {"keyed": {"directory": str(rig.path / "keyed"), "disk": "held back"}}
        node_settings = settings(window=WINDOW_S)
        self.node = RigNode(
            rig,
            "n1",
            operator_file,
            None,
            node_settings,
            work=self.rng.choice([0.002, 0.05, 0.3]),
            forgets=forgets,
        )
        self.keys = [b"%032x" % self.rng.getrandbits(128) for _ in range(KEY_COUNT)]
        self.caller = None
        self.result = RoundResult(seed)
        self.is_sending = True
        self.life = 0

    def send_requests(self) -> None:
        """Keeps requests open, most of them with keys that were used before."""
        if not self.is_sending:
            return
        caller = self.caller
        if caller is not None:
            while caller.waiting < MAX_OPEN_REQUESTS:
                key = self.rng.choice(self.keys)
                if caller.ask(b"save", b"body " + key, HARD_LIMIT, self.rng, key) is None:
                    break
        self.rig.relays.reactor.callLater(self.rng.uniform(0.001, 0.01), self.send_requests)

    def run(self) -> RoundResult:
        rig, node = self.rig, self.node
        rig.relays.reactor.callFromThread(self.send_requests)
        for _ in range(self.kills):
            node.start()
            self.caller = node.caller()
            before = sum(self.count_answers().values())
            wait_until(
                lambda had=before: sum(self.count_answers().values()) > had, "an answer", node.read_log
            )
            time.sleep(self.rng.uniform(0, 0.25))
            node.kill()
            self.result.kills += 1
        node.start()
        self.caller = node.caller()
        self.request_all_keys()
        return self.judge()

    def request_all_keys(self) -> None:
        """Sends one more request for each key, and waits for all answers."""
        requests = []

        def ask_all() -> bool:
            caller = self.caller
            for key in self.keys[len(requests) :]:
                one = caller.ask(b"save", b"body " + key, HARD_LIMIT, self.rng, key)
                if one is None:
                    return False
                requests.append(one)
            return True

        self.is_sending = False
        wait_until(lambda: self.rig.relays.call(ask_all), "room on the connection", self.node.read_log)
        wait_until(
            lambda: all(each.answers or each.lost for each in requests),
            "the last answers",
            self.node.read_log,
        )
        self.result.fault = "a request was lost" if any(each.lost for each in requests) else None

    def count_answers(self) -> Counter:
        found: Counter = Counter()
        for caller in self.node.callers:
            for each in list(caller.attempts):
                if each.answers:
                    found[each.answers[0][0]] += 1
        return found

    def judge(self) -> RoundResult:
        """Counts answers and runs, and keeps the first violation of a check."""
        result, engine = self.result, self.node.engine
        sent_requests = [each for caller in self.node.callers for each in caller.attempts]
        result.answers = self.count_answers()
        result.runs = sum(engine.run_counts.values())
        result.attempts = len(sent_requests)
        for (_, body), count in engine.run_counts.items():
            if count > 1:
                self.note_fault(f"{body!r} ran {count} times")
        results_by_body: dict[bytes, set[bytes]] = {}
        for each in sent_requests:
            if len(each.answers) > 1:
                self.note_fault(f"{each.ident!r} was answered {len(each.answers)} times")
            for status, _, result_bytes, _ in each.answers:
                if status == b"200":
                    results_by_body.setdefault(each.body, set()).add(result_bytes)
                    if result_bytes not in engine.results.get((b"save", each.body), []):
                        self.note_fault(f"{each.body!r} was served a result of no run: {result_bytes!r}")
        for body, results in results_by_body.items():
            if len(results) > 1:
                self.note_fault(f"{body!r} was served different results: {results}")
        return result

    def note_fault(self, fault: str) -> None:
        """Keeps the first fault of the round."""
        self.result.fault = self.result.fault or fault


def run(seed: int, kills: int = 10, forgets: bool | None = None) -> RoundResult:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), voters=0)
        kill_round = None
        try:
            kill_round = KillRound(rig, seed, kills, seed % 2 == 0 if forgets is None else forgets)
            return kill_round.run()
        except AssertionError as error:
            return RoundResult(seed, fault=str(error))
        finally:
            if kill_round is not None:
                kill_round.is_sending = False
                kill_round.node.close()
            rig.close()


@click.command()
@click.option("--kills", default=500, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option(
    "--each", default=10, show_default=True, help="Kills of one round, with its directory and keys."
)
@click.option("--side-by-side", default=4, show_default=True)
def main(kills: int, first: int, each: int, side_by_side: int) -> None:
    """Runs rounds of kills, and prints each round's first fault."""
    total, failed_rounds = RoundResult(0), []
    with ProcessPoolExecutor(side_by_side) as pool:
        for result in pool.map(run, range(first, first + -(-kills // each)), [each] * -(-kills // each)):
            total.kills, total.attempts, total.runs = (
                total.kills + result.kills,
                total.attempts + result.attempts,
                total.runs + result.runs,
            )
            total.answers += result.answers
            if result.fault is not None:
                failed_rounds.append(result)
                click.echo(f"seed {result.seed}: {result.fault}")
    served, rejected = total.answers[b"200"], total.answers[b"503"]
    failed = sum(total.answers.values()) - served - rejected
    click.echo(
        f"{total.kills} kills, {total.attempts} attempts, {total.runs} runs, {served} served, "
        f"{rejected} rejected, {failed} failed, {len(failed_rounds)} rounds with a fault"
    )
    raise SystemExit(1 if failed_rounds else 0)


if __name__ == "__main__":
    main()
