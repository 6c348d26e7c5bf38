"""Real nodes of the cluster harness: processes with a configuration, an operators' file and stub peers."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import yaml

from lichencleat.testkit.cluster.peers import Caller, Dependency, Engine, MembershipStub
from lichencleat.testkit.cluster.relay import LOCAL
from lichencleat.testkit.cluster.rig import PROGRAM, ControlledProcess, Rig, free_port

HARD_LIMIT = 6_000_000  # µs: deadline of both request classes
ROOT = Path(__file__).resolve().parents[3]


def unix_time() -> int:
    """Return the Unix time in µs."""
    return time.time_ns() // 1000


def settings(
    cores: int = 4, calls: tuple[bool, bool] = (False, False), window: float = 10.0
) -> dict[str, Any]:
    """Return settings with two request classes: `look` is idempotent, `save` carries an idempotency key.

    `calls`: whether a run of each class calls the dependency; `window`: how long an
    idempotency key is remembered, in seconds.
    """
    return {
        "classes": [
            {"name": "look", "aim": 2.0, "deadline": HARD_LIMIT / 1e6, "effect": "free", "worth": 1.0},
            {
                "name": "save",
                "aim": 2.0,
                "deadline": HARD_LIMIT / 1e6,
                "effect": "guarded",
                "worth": 4.0,
                "window": window,
            },
        ],
        "specifics": {
            "cores": cores,
            "memoryKb": 100_000.0,
            "blowup": 4.0,
            "entryKb": 10.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "abort",
            "advert": "threshold",
            "below": "shared",
            "callsOut": 1_000.0,
            "classCalls": list(calls),
            "classSkipWorth": [0.0, 0.0],
        },
        "invariants": {"tipMultiple": 8.0, "stopSendingWithin": 0.3, "cold": 10.0, "coldFrom": 0.3},
        "allowed": {"maxRetryAfter": 1.0},
        "resolution": 0.005,
    }


class RigNode(ControlledProcess):
    """A node that can be restarted: its engine, directory and log stay when the process ends."""

    def __init__(
        self,
        rig: Rig,
        name: str,
        operator_settings: dict[str, Any],
        dependency: Dependency | None = None,
        platform_settings: dict[str, Any] | None = None,
        **engine: Any,
    ) -> None:
        """Create the node's stand-ins and write its files; `start` starts the process.

        `operator_settings`: content of the operators' file; `platform_settings`: by default `settings()`;
        `engine`: arguments of the interpreter's stand-in, see `Engine`.
        """
        self.rig, self.name = rig, name
        self.log = rig.path / f"{name}.log"
        self.running: subprocess.Popen | None = None
        reactor = rig.relays.reactor
        rng = random.Random(name)
        self.engine: Engine = rig.relays.call(lambda: Engine(reactor, rng, **engine))
        self.membership: MembershipStub = rig.relays.call(lambda: MembershipStub(reactor))
        self.port = free_port(rig.reserved)
        self.config, self.file = rig.path / f"{name}.json", rig.path / f"{name}.node.yaml"
        configuration = {
            "name": name,
            "listen": f"{LOCAL}:{self.port}",
            "seed": name,
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "vm": self.engine.address,
            "members": self.membership.address,
            "settings": platform_settings or settings(),
        }
        if dependency is not None:
            configuration["catalog"] = dependency.address
        self.config.write_text(json.dumps(configuration))
        self.file.write_text(yaml.safe_dump(operator_settings))
        self.callers: list[Caller] = []

    def start(self) -> None:
        """Start a process of the node; its log is appended to the node's log file."""
        variables = {"BALANCER_CONFIG": str(self.config), "LICHENCLEAT_FILE": str(self.file)}
        with open(self.log, "ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", PROGRAM],
                cwd=ROOT,
                env={**self.rig.environment(self.name), **variables},
                stderr=log,
            )
        self.rig.children.append(self.running)

    def caller(self, number: int = 1) -> Caller:
        """Return a new caller of this node."""
        reactor = self.rig.relays.reactor
        new_caller = self.rig.relays.call(Caller, reactor, (LOCAL, self.port), unix_time, number)
        new_caller.on_answer = lambda attempt: self.engine.end_waiting_run(attempt.ident)
        self.callers.append(new_caller)
        return new_caller

    def read_log(self) -> str:
        """Return the text of the log of all processes of the node so far."""
        return self.log.read_text() if self.log.exists() else ""

    def close(self) -> None:
        """Close the stand-ins; the rig ends the process."""
        for each in (*self.callers, self.engine, self.membership):
            self.rig.relays.call(each.close)
