"""A complete fleet of real processes: voters, and nodes in two zones under load.

The nodes share a dependency, store idempotency records on disk and restart together under a rollout plan.
Tests and benchmarks of the whole fleet use this module.
"""

from __future__ import annotations

import itertools
import json
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml

from lichencleat.testkit.cluster.nodes import HARD_LIMIT, RigNode, settings
from lichencleat.testkit.cluster.peers import Dependency
from lichencleat.testkit.cluster.rig import Rig, wait_until

# Calls in flight that the dependency allows; floor of each node's grant, in calls; s that a grant is valid.
LIMIT, FLOOR, GRANT_TERM = 24, 1, 1.0
# Number of nodes; attempts without an answer at each node; idempotency keys in use at each node.
NODES, OPEN_ATTEMPTS, KEY_COUNT = 8, 6, 12
WINDOW = 60.0  # s for which an idempotency key is remembered: longer than most schedules
RETURN_TIMEOUT = 30.0  # s within which all nodes must accept all requests again


class Load:
    """Load of one node: idempotent requests that call the dependency, and keyed requests with a few keys."""

    def __init__(self, rig: Rig, node: RigNode, open_: int = OPEN_ATTEMPTS) -> None:
        self.rig, self.node, self.open, self.on = rig, node, open_, True
        self.rng = random.Random(node.name)
        self.keys = [b"%032x" % self.rng.getrandbits(128) for _ in range(KEY_COUNT)]
        self.made = 0
        self.caller = node.caller()
        rig.relays.reactor.callFromThread(self.step)

    def step(self) -> None:
        """Send attempts until `open` of them have no answer, and schedule the next step."""
        if not self.on:
            return
        while self.caller.waiting < self.open:
            self.made += 1
            if self.rng.random() < 0.4:
                key = self.rng.choice(self.keys)
                attempt = self.caller.ask(b"save", b"body " + key, HARD_LIMIT, self.rng, key)
            else:
                attempt = self.caller.ask(b"look", b"b%d" % self.made, HARD_LIMIT, self.rng)
            if attempt is None:
                break
        self.rig.relays.reactor.callLater(self.rng.uniform(0.01, 0.04), self.step)

    def new_keys(self) -> None:
        """Replace the idempotency keys; the earlier keys are not used any more."""
        self.keys = [b"%032x" % self.rng.getrandbits(128) for _ in range(KEY_COUNT)]

    def count_served(self) -> int:
        """Return the number of served attempts."""
        return sum(bool(each.answers) and each.answers[0][0] == b"200" for each in list(self.caller.attempts))

    def find_violation(self) -> str | None:
        """Return a description of the first violated guarantee at this node, or None.

        Guarantees: a key that ran does not run again for an attempt sent within WINDOW; each attempt is
        answered at most once; a served result comes from a run; all served answers of a key are the same.
        """
        engine = self.node.engine
        sent = {each.ident: each.sent for each in self.caller.attempts}
        for (request_class, body), runs in engine.run_starts.items():
            for (first, _), (second, _) in itertools.pairwise(runs if request_class == b"save" else ()):
                apart = (sent[second] - sent[first]) / 1e6
                if apart <= WINDOW:
                    return f"{self.node.name}: {body!r} ran again, sent {apart:.2f} s after the last attempt"
        served_results: dict[bytes, set[bytes]] = {}
        for each in self.caller.attempts:
            if len(each.answers) > 1:
                return f"{self.node.name}: {each.ident!r} was answered {len(each.answers)} times"
            for status, _, result, _ in each.answers:
                if status == b"200" and result not in engine.results.get((each.request_class, each.body), []):
                    return f"{self.node.name}: {each.body!r} was served with a result that no run produced"
                if status == b"200" and each.request_class == b"save":
                    served_results.setdefault(each.body, set()).add(result)
        return next(
            (
                f"{body!r} was served with different results: {results}"
                for body, results in served_results.items()
                if len(results) > 1
            ),
            None,
        )


class Fleet:
    """Owns the rig, nodes, loads and dependency; `close` ends all of them."""

    def __init__(
        self,
        path: Path,
        forgets: bool = False,
        nodes: int = NODES,
        limit: int = LIMIT,
        uses_rollout: bool = True,
        dependency: Callable[[Any], Dependency] | None = None,
        open_: int = OPEN_ATTEMPTS,
        work: float = 0.01,
    ) -> None:
        """Start all processes, wait until all nodes accept all requests, and start the load.

        `uses_rollout`: whether restarted nodes follow the rollout plan, instead of serving at once when up;
        `forgets`, `work`: see `peers.Engine`; `open_`: attempts without an answer at each node.
        """
        self.rig = rig = Rig(path)
        self.uses_rollout, self.count = uses_rollout, nodes
        self.nodes: dict[str, RigNode] = {}
        self.loads: list[Load] = []
        rig.form()
        self.file = str(rig.voters["v1"].file)
        arguments = [
            "--limit",
            str(limit),
            "--nodes",
            str(nodes),
            "--floor",
            str(FLOOR),
            "--term",
            str(GRANT_TERM),
        ]
        assert self.command("shares", "define", self.file, "below", *arguments)[0] == 0
        if uses_rollout:
            assert self.command("owners", "define", self.file, "revive")[0] == 0
        reactor = rig.relays.reactor
        make = dependency or (lambda reactor: Dependency(reactor, random.Random(1), 0.03, limit))
        self.dependency: Dependency = rig.relays.call(make, reactor)
        for number in range(1, nodes + 1):
            name, zone = f"n{number}", "xy"[number % 2]
            operator_settings = {
                "fleet": {
                    "group": "rig",
                    "members": [each.address for each in rig.voters.values()],
                    "zone": zone,
                    "candidate": number <= 4,
                    "revive": uses_rollout,
                    "shares": {"pool": "below", "floor": FLOOR, "term_s": GRANT_TERM},
                },
                "keyed": {"directory": str(path / f"{name}.keyed"), "disk": "held back"},
                "log": {},
            }
            platform_settings = settings(calls=(True, False), window=WINDOW)
            engine = {"work": work, "calling": frozenset([b"look"]), "forgets": forgets}
            node = RigNode(rig, name, operator_settings, self.dependency, platform_settings, **engine)
            self.nodes[name] = node
            node.start()
        self.wait_until_open()
        self.loads = [Load(rig, each, open_) for each in self.nodes.values()]

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the program; returns its exit code and its output."""
        return self.rig.command(*arguments)

    def status(self) -> dict[str, dict]:
        """Return the rollout status of each node, or nothing if the command fails."""
        code, output = self.command("fleet", "status", self.file, "--json")
        return {each["node"]: each for each in json.loads(output)} if code == 0 else {}

    def epoch(self) -> int:
        """Return the epoch of the rollout plan, or 0 if the command fails."""
        code, output = self.command("fleet", "plan", self.file, "--json")
        return json.loads(output)["epoch"] if code == 0 else 0

    def wait_until_open(self) -> None:
        """Wait until the rollout has ended and all nodes accept all requests; fail after BACK seconds."""
        if not self.uses_rollout:
            return
        end = time.monotonic() + RETURN_TIMEOUT
        while time.monotonic() < end:
            status_by_node = self.status()
            if (
                sum(each["share"] >= 1.0 for each in status_by_node.values()) == self.count
                and not self.is_rollout_active()
            ):
                return
        output = self.command("fleet", "status", self.file)[1]
        raise AssertionError(
            f"not all nodes accept all requests after {RETURN_TIMEOUT:g} s:\n{output}\n{self.rig.logs()}"
        )

    def leave_rollout(self, name: str) -> None:
        """Let the next processes of a node run without the rollout plan, like those of an older version."""
        node = self.nodes[name]
        operator_settings = yaml.safe_load(node.file.read_text())
        if operator_settings["fleet"]["revive"]:
            operator_settings["fleet"]["revive"] = False
            node.file.write_text(yaml.safe_dump(operator_settings))
            self.count -= 1

    def is_rollout_active(self) -> bool:
        """Whether a rollout is in progress, or the command that shows the plan fails."""
        code, output = self.command("fleet", "plan", self.file, "--json")
        return code != 0 or json.loads(output)["under_way"]

    def cut_power(self, nodes: list[str], voters: list[str]) -> None:
        """Kill these nodes and voters at the same moment, as a power loss does."""
        for name in nodes:
            self.nodes[name].signal(9)
        for name in voters:
            self.rig.voters[name].signal(9)
        for name in nodes:
            self.nodes[name].wait_for_exit()
        for name in voters:
            self.rig.voters[name].wait_for_exit()

    def start_again(self, nodes: list[str], voters: list[str]) -> None:
        """Start these voters, then these nodes."""
        for name in voters:
            self.rig.voters[name].start()
        for name in nodes:
            self.nodes[name].start()

    def wait_for_answers(self, count: int = 5) -> None:
        """Wait until each node has served `count` more attempts."""
        before = [each.count_served() for each in self.loads]
        wait_until(
            lambda: all(
                each.count_served() >= had + count for each, had in zip(self.loads, before, strict=True)
            ),
            "answers of all nodes",
            self.rig.logs,
        )

    def find_violation(self) -> str | None:
        """Return a description of the first violated guarantee, or None; see also `Load.find_violation`."""
        if self.dependency.over_limit:
            return f"the dependency had {self.dependency.max_in_flight} calls, limit {self.dependency.limit}"
        return self.rig.relays.call(
            lambda: next((wrong for each in self.loads if (wrong := each.find_violation())), None)
        )

    def close(self) -> None:
        """Stop the load and end all processes and stand-ins."""
        for each in self.loads:
            each.on = False
        for each in self.nodes.values():
            each.close()
        self.rig.relays.call(self.dependency.close)
        self.rig.close()
