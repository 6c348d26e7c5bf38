"""The real node killed at drawn moments under repeated keys: `python -m tests.idempotency.kills --kills 500`.

Its engine outlives it and counts runs; its disk holds back what was not flushed, so that each kill is a cut
of power. Callers ask for the same keys again and again, across the restarts. Judged: no key runs twice in its
window, whatever was honoured was made by a run, and all that was honoured for one key is the same.
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

WINDOW_S = 30.0  # s: longer than a round, so that no key may run twice in it
KEY_COUNT = 40  # of a round
MAX_OPEN_REQUESTS = 12  # tries at once


@dataclass
class RoundResult:
    seed: int
    kills: int = 0
    tries: int = 0
    answers: Counter = field(default_factory=Counter)
    runs: int = 0
    wrong: str | None = None


class KillRound:
    """One node through some kills, with keys of its own."""

    def __init__(self, rig: Rig, seed: int, kills: int, forgets: bool) -> None:
        self.rng = random.Random(f"kills {seed}")
        self.rig, self.kills = rig, kills
        chosen = {"keyed": {"directory": str(rig.path / "keyed"), "disk": "held back"}}
        told = settings(window=WINDOW_S)
        self.node = RigNode(
            rig, "n1", chosen, None, told, work=self.rng.choice([0.002, 0.05, 0.3]), forgets=forgets
        )
        self.keys = [b"%032x" % self.rng.getrandbits(128) for _ in range(KEY_COUNT)]
        self.caller = None
        self.result = RoundResult(seed)
        self.on = True
        self.life = 0

    def send_requests(self) -> None:
        """Keeps tries open: mostly of keys that came before."""
        if not self.on:
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
            wait_until(lambda had=before: sum(self.count_answers().values()) > had, "an answer", node.said)
            time.sleep(self.rng.uniform(0, 0.25))
            node.kill()
            self.result.kills += 1
        node.start()
        self.caller = node.caller()
        self.request_all_keys()
        return self.judge()

    def request_all_keys(self) -> None:
        """Every key is asked for once more, and answered."""
        asked = []

        def ask_all() -> bool:
            caller = self.caller
            for key in self.keys[len(asked) :]:
                one = caller.ask(b"save", b"body " + key, HARD_LIMIT, self.rng, key)
                if one is None:
                    return False
                asked.append(one)
            return True

        self.on = False
        wait_until(lambda: self.rig.relays.call(ask_all), "room on the connection", self.node.said)
        wait_until(
            lambda: all(each.answers or each.lost for each in asked), "the last answers", self.node.said
        )
        self.result.wrong = "a request was lost" if any(each.lost for each in asked) else None

    def count_answers(self) -> Counter:
        found: Counter = Counter()
        for caller in self.node.callers:
            for each in list(caller.said):
                if each.answers:
                    found[each.answers[0][0]] += 1
        return found

    def judge(self) -> RoundResult:
        """Counts what happened, and notes the first thing that must not."""
        result, engine = self.result, self.node.engine
        said = [each for caller in self.node.callers for each in caller.said]
        result.answers = self.count_answers()
        result.runs = sum(engine.begun.values())
        result.tries = len(said)
        for (_, body), count in engine.begun.items():
            if count > 1:
                self.note_fault(f"{body!r} ran {count} times")
        results_by_body: dict[bytes, set[bytes]] = {}
        for each in said:
            if len(each.answers) > 1:
                self.note_fault(f"{each.ident!r} was answered {len(each.answers)} times")
            for word, _, made, _ in each.answers:
                if word == b"200":
                    results_by_body.setdefault(each.body, set()).add(made)
                    if made not in engine.made.get((b"save", each.body), []):
                        self.note_fault(f"{each.body!r} was honoured with what no run made: {made!r}")
        for body, results in results_by_body.items():
            if len(results) > 1:
                self.note_fault(f"{body!r} was honoured with {results}")
        return result

    def note_fault(self, fault: str) -> None:
        """Keeps the first one."""
        self.result.wrong = self.result.wrong or fault


def run(seed: int, kills: int = 10, forgets: bool | None = None) -> RoundResult:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), voters=0)
        made = None
        try:
            made = KillRound(rig, seed, kills, seed % 2 == 0 if forgets is None else forgets)
            return made.run()
        except AssertionError as wrong:
            return RoundResult(seed, wrong=str(wrong))
        finally:
            if made is not None:
                made.on = False
                made.node.close()
            rig.close()


@click.command()
@click.option("--kills", default=500, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option(
    "--each", default=10, show_default=True, help="Kills of one round, with its directory and keys."
)
@click.option("--side-by-side", default=4, show_default=True)
def main(kills: int, first: int, each: int, side_by_side: int) -> None:
    """Plays rounds of kills, and tells what broke."""
    total, wrong = RoundResult(0), []
    with ProcessPoolExecutor(side_by_side) as pool:
        for result in pool.map(run, range(first, first + -(-kills // each)), [each] * -(-kills // each)):
            total.kills, total.tries, total.runs = (
                total.kills + result.kills,
                total.tries + result.tries,
                total.runs + result.runs,
            )
            total.answers += result.answers
            if result.wrong is not None:
                wrong.append(result)
                click.echo(f"seed {result.seed}: {result.wrong}")
    honoured, deferred = total.answers[b"200"], total.answers[b"503"]
    others = sum(total.answers.values()) - honoured - deferred
    click.echo(
        f"{total.kills} kills, {total.tries} tries, {total.runs} runs, {honoured} honoured, "
        f"{deferred} deferred, {others} given up, {len(wrong)} rounds wrong"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
