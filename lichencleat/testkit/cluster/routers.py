"""Zones of real nodes behind real routers, with voters that compute the routing plan.

Nodes, routers and voters are processes of the program. There is a relay in front of each voter, and in front
of each node one relay for the routers of each zone.
"""

from __future__ import annotations

import json
import random
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml

from lichencleat.testkit.cluster.nodes import HARD_LIMIT, RigNode, settings, unix_time
from lichencleat.testkit.cluster.peers import Attempt, Caller
from lichencleat.testkit.cluster.relay import LOCAL
from lichencleat.testkit.cluster.rig import GROUP, ControlledProcess, Rig, free_port

ZONE_CAPACITY = 400.0  # configured capacity of a zone in requests per second
ZONE_LATENCY_MS = 5.0  # ms: configured latency between two zones
WINDOW = 60.0  # s for which an idempotency key is remembered: longer than a test


class RouterProcess(ControlledProcess):
    """A router that can be restarted: its file and log stay when the process ends."""

    def __init__(self, zones: Zones, name: str, zone: str, candidate: bool) -> None:
        self.zones, self.name, self.zone = zones, name, zone
        rig = zones.rig
        self.port = free_port(rig.reserved)
        self.log, self.file = rig.path / f"{name}.log", rig.path / f"{name}.yaml"
        self.running: subprocess.Popen | None = None
        self.router_settings: dict[str, Any] = {
            "name": name,
            "zone": zone,
            "listen": f"{LOCAL}:{self.port}",
            "settings": str(zones.settings),
            "routers": zones.count,
            "group": GROUP,
            "members": [each.address for each in rig.voters.values()],
            "candidate": candidate,
        }

    def write_file(self) -> None:
        """Write the configuration file, with the present nodes of all zones."""
        self.router_settings["zones"] = {
            name: {
                "far_ms": 0.0 if name == self.zone else ZONE_LATENCY_MS,
                "nodes": {each: f"{LOCAL}:{self.zones.relay_port(each, self.zone)}" for each in nodes},
            }
            for name, nodes in self.zones.node_names.items()
        }
        self.file.write_text(yaml.safe_dump({"router": self.router_settings}))

    def start(self) -> None:
        """Start a process of the router; its log is appended to the router's log file."""
        self.write_file()
        rig = self.zones.rig
        with open(self.log, "ab") as log:
            arguments = ["router", "run", str(self.file)]
            self.running = rig.start_program(arguments, stderr=log, env=rig.environment(self.name))

    def read_log(self) -> str:
        """Return the text of the log of all processes of the router so far."""
        return self.log.read_text() if self.log.exists() else ""

    def caller(self, number: int = 1) -> Caller:
        """Return a new caller of this router."""
        new_caller = self.zones.rig.relays.call(
            Caller, self.zones.rig.relays.reactor, (LOCAL, self.port), unix_time, number
        )
        self.zones.callers.append(new_caller)
        return new_caller


class Zones:
    """Owns the rig, nodes, routers and callers; `close` ends all of them."""

    def __init__(
        self,
        path: Path,
        names: tuple[str, ...] = ("a", "b"),
        nodes: int = 2,
        routers: int = 1,
        work: float = 0.01,
        keyed: bool = False,
    ) -> None:
        """Start the voters, define the zones, and start `nodes` nodes and `routers` routers in each zone.

        `work`: mean duration of a run in seconds; `keyed`: whether nodes store idempotency records on disk.
        """
        platform_settings = settings(window=WINDOW)
        self.rig = rig = Rig(path)
        self.count = routers * len(names)
        self.node_names = {zone: [f"{zone}-n{number}" for number in range(1, nodes + 1)] for zone in names}
        self.settings = path / "settings.json"
        self.settings.write_text(json.dumps(platform_settings))
        self.callers: list[Caller] = []
        self.relay_ports: dict[tuple[str, str], int] = {}
        self.nodes: dict[str, RigNode] = {}
        rig.form()
        self.file = str(rig.voters["v1"].file)
        for zone in names:
            far = [f"--far={other}={ZONE_LATENCY_MS}" for other in names if other != zone]
            arguments = ["zones", "define", self.file, zone, "--carries", str(ZONE_CAPACITY), *far]
            code, output = rig.command(*arguments)
            assert code == 0, output
            for name in self.node_names[zone]:
                self.nodes[name] = RigNode(
                    rig,
                    name,
                    self.idempotency_settings(name) if keyed else {},
                    platform_settings=platform_settings,
                    work=work,
                )
                self.nodes[name].start()
        self.routers = {
            f"{zone}-r{number}": RouterProcess(self, f"{zone}-r{number}", zone, number == 1)
            for zone in names
            for number in range(1, routers + 1)
        }
        for each in self.routers.values():
            each.start()

    def idempotency_settings(self, name: str) -> dict[str, Any]:
        """Return the part of the operators' file that makes a node store idempotency records."""
        return {"keyed": {"directory": str(self.rig.path / f"{name}.keyed"), "disk": "held back"}}

    def relay_port(self, node: str, zone: str) -> int:
        """Return the port of the relay from the routers of a zone to a node; each link can be cut alone."""
        key = (node, zone)
        if key not in self.relay_ports:
            self.relay_ports[key] = self.rig.relays.add_relay(f"{node}<{zone}", self.nodes[node].port, zone)
        return self.relay_ports[key]

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the program; returns its exit code and its output."""
        return self.rig.command(*arguments)

    def status(self) -> dict[str, dict[str, Any]]:
        """Return the status of each zone, or nothing if the command fails."""
        code, output = self.command("zones", "status", self.file, "--json")
        return {each["zone"]: each for each in json.loads(output)} if code == 0 else {}

    def until(self, condition: Callable[[], Any], what: str) -> Any:
        """Wait for a condition, see `Rig.until`."""
        return self.rig.until(condition, what)

    def ask(
        self, caller: Caller, request_class: bytes, body: bytes, rng: random.Random, **more: Any
    ) -> Attempt:
        """Send one attempt as soon as a connection is established, and return the attempt."""
        key = more.pop("key", b"")

        def ask() -> Attempt | None:
            return self.rig.relays.call(lambda: caller.ask(request_class, body, HARD_LIMIT, rng, key, **more))

        return self.until(ask, "a connection to the router")

    def answer(
        self, caller: Caller, request_class: bytes, body: bytes, rng: random.Random, **more: Any
    ) -> Attempt:
        """Send one attempt, wait for its answer or the loss of its connection, and return the attempt."""
        attempt = self.ask(caller, request_class, body, rng, **more)
        self.until(lambda: attempt.answers or attempt.lost, "an answer")
        return attempt

    def runs(self, request_class: bytes, body: bytes) -> dict[str, int]:
        """Return the number of runs of a request by node; nodes without a run are left out."""
        return {
            name: count
            for name, each in self.nodes.items()
            if (count := each.engine.run_counts[request_class, body])
        }

    def find_violation(self) -> str | None:
        """Return a description of the first violated guarantee in the answers of all callers, or None.

        Guarantees: each attempt is answered exactly once, or loses its connection; a served result comes from
        a run; no answer is more than 50 ms after the deadline.
        """
        results_by_request: dict[tuple[bytes, bytes], set[bytes]] = {}
        for node in self.nodes.values():
            for request, results in node.engine.results.items():
                results_by_request.setdefault(request, set()).update(results)
        for caller in self.callers:
            for each in caller.attempts:
                if len(each.answers) > 1:
                    return f"{each.body!r} was answered {len(each.answers)} times"
                if not each.answers and not each.lost:
                    return f"{each.body!r} was not answered"
                for status, _, result, answered_at in each.answers:
                    if status == b"200" and result not in results_by_request.get(
                        (each.request_class, each.body), set()
                    ):
                        return f"{each.body!r} was served with a result that no run produced"
                    if answered_at > each.deadline + 50_000:
                        return (
                            f"{each.body!r} was answered {answered_at - each.deadline} µs after its deadline"
                        )
        return None

    def close(self) -> None:
        """End all processes and stand-ins."""
        for each in self.callers:
            self.rig.relays.call(each.close)
        for node in self.nodes.values():
            node.close()
        self.rig.close()
