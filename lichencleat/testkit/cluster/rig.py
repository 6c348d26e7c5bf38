"""Base of the cluster harness: a group of real voters behind relays.

Each voter has a directory and a log of its own. `Rig.close` ends all processes, also after a failed test.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml

from lichencleat.consensus.key_value import KeyValueEntry, SetResult
from lichencleat.testkit.checkers.linear import Call
from lichencleat.testkit.cluster import clock
from lichencleat.testkit.cluster.heldback import FULL_DISK_SUFFIX
from lichencleat.testkit.cluster.relay import CLIENT, LOCAL, Relays
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

PROGRAM = "lichencleat.testkit.cluster.run_program"
OLDER_PROGRAM = "lichencleat.testkit.cluster.older_voter"
PATIENCE = 10.0  # s: time limit of a wait
# Intervals that are shorter than the defaults, so that elections take less time.
FAST_TIMES = {"beat_ms": 30, "election_ms": 180, "spread_ms": 180, "transfer_ms": 400}
GROUP = "rig"
PORTS = random.SystemRandom()  # unseeded, so that concurrent rigs try different ports


def free_port(reserved: list[socket.socket] | None = None) -> int:
    """Return a free port below the kernel's ephemeral ports, so that no connection gets it.

    `reserved`: receives a UDP socket bound to the same number. While that socket is open, no other rig
    chooses the port, even when the process that listens on the port is down.
    """
    while True:
        port = PORTS.randrange(20_000, 32_000)
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            held.bind((LOCAL, port))
            with socket.create_server((LOCAL, port)):
                pass
        except OSError:  # the port is in use
            held.close()
            continue
        if reserved is None:
            held.close()
        else:
            reserved.append(held)
        return port


def wait_until(
    condition: Callable[[], Any], what: str, more: Callable[[], str] = lambda: "", patience: float = PATIENCE
) -> Any:
    """Wait until a condition is true, and return its value.

    Raises AssertionError after `patience` seconds. Its message names `what` was expected, and ends with the
    text of `more`.
    """
    end = time.monotonic() + patience
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"waited {patience:g} s for {what}\n{more()}")


class ControlledProcess:
    """Control of a process by signals; `running` is the process that was started last."""

    running: subprocess.Popen | None = None

    def is_up(self) -> bool:
        """Whether the process is running."""
        return self.running is not None and self.running.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.running is not None and self.running.poll() is None:
            os.kill(self.running.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end. With a volatile write cache this acts as a power loss."""
        self.signal(signal.SIGKILL)
        self.wait_for_exit()

    def stop(self) -> None:
        """Pause the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def wait_for_exit(self) -> int:
        """Wait for the end of the process, and return its exit code."""
        assert self.running is not None
        return self.running.wait(PATIENCE)


class Voter(ControlledProcess):
    """A voter that can be restarted: its directory and log stay when the process ends."""

    def __init__(self, rig: Rig, name: str, disk: str) -> None:
        self.rig, self.name = rig, name
        self.port = free_port(rig.reserved)
        self.relay = rig.relays.add_relay(name, self.port)
        self.directory = rig.path / name
        self.file = rig.path / f"{name}.yaml"
        self.log = rig.path / f"{name}.log"
        self.running: subprocess.Popen | None = None
        # Parts of the replicated state that the next process does not support.
        self.missing_parts: tuple[str, ...] = ()
        self.settings = {
            "group": GROUP,
            "name": name,
            "listen": f"{LOCAL}:{self.port}",
            "address": self.address,
            "directory": str(self.directory),
            "members": [self.address],
            "times": rig.times,
            "disk": disk,
        }

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.relay}"

    def write_file(self) -> None:
        """Write the settings, with the present voters as members."""
        self.settings["members"] = [each.address for each in self.rig.voters.values()]
        self.file.write_text(yaml.safe_dump({"quorum": self.settings}))

    def start(self) -> None:
        """Start a process of the voter, as an older version if `missing_parts` is set."""
        self.write_file()
        with open(self.log, "ab") as log:
            arguments, more = ["quorum", "run", str(self.file)], {"stderr": log}
            if self.missing_parts:
                arguments, more["module"] = [",".join(self.missing_parts), *arguments], OLDER_PROGRAM
            self.running = self.rig.start_program(arguments, env=self.rig.environment(self.name), **more)

    def fill_disk(self) -> None:
        """Make every write of the voter fail for lack of space until `empty_disk` is called."""
        (self.rig.path / f"{self.name}{FULL_DISK_SUFFIX}").touch()

    def empty_disk(self) -> None:
        """Let the voter write to its disk again."""
        (self.rig.path / f"{self.name}{FULL_DISK_SUFFIX}").unlink(missing_ok=True)

    def status(self) -> dict[str, Any] | None:
        """Return the status that the voter reports, or None if the voter does not answer."""
        return self.rig.status(self)


class Rig:
    """Owns the voters, other processes, relays and clients of a test; `close` ends all of them."""

    def __init__(
        self,
        path: Path,
        voters: int = 3,
        disk: str = "held back",
        times: dict | None = None,
        relays: Relays | None = None,
    ) -> None:
        self.path, self.times, self.patience = path, times or FAST_TIMES, PATIENCE
        self.relays: Any = relays or Relays()
        self.children: list[subprocess.Popen] = []
        self.reserved: list[socket.socket] = []
        self.clients: list[GroupClient] = []
        self.voters: dict[str, Voter] = {}
        for number in range(1, voters + 1):
            name = f"v{number}"
            self.voters[name] = Voter(self, name, disk)

    def start_program(self, arguments: list[str], module: str = PROGRAM, **more: Any) -> subprocess.Popen:
        """Start a process of the program with these arguments. `more`: arguments of Popen."""
        root = Path(__file__).resolve().parents[3]
        child = subprocess.Popen([sys.executable, "-m", module, *arguments], cwd=root, **more)
        self.children.append(child)
        return child

    def environment(self, name: str) -> dict[str, str]:
        """Return the environment of the named process, with the path of its clock file."""
        return {**os.environ, clock.CLOCK_FILE_VARIABLE: self.clock_file(name)}

    def clock_file(self, name: str) -> str:
        """Return the path of the file that controls the clocks of the named process."""
        return str(self.path / f"{name}.clock")

    def clock(self, name: str, rate: float = 1.0, unix_offset: float = 0.0) -> None:
        """Set the rate of both clocks of a process, and the seconds by which its Unix time is ahead."""
        clock.write(self.clock_file(name), rate, unix_offset)

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the program; returns its exit code and its output."""
        child = self.start_program(
            list(arguments), stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
        output, _ = child.communicate(timeout=2 * PATIENCE)  # the program itself gives up after PATIENCE
        return child.returncode, output

    def form(self) -> None:
        """Found the group with the first voter and add the others."""
        first, *others = self.voters.values()
        for each in self.voters.values():
            each.write_file()
        code, output = self.command("quorum", "found", str(first.file))
        assert code == 0, output
        for each in self.voters.values():
            each.start()
        self.until(lambda: self.leader() is not None, "a leader")
        for each in others:
            self.add(each)

    def add(self, voter: Voter) -> None:
        """Add a running voter as a learner, and promote it as soon as it has caught up."""
        client = self.client()
        self.until(lambda: voter.status() is not None, f"{voter.name} to answer")
        status = voter.status()
        assert status is not None
        member = [status["seat"], voter.name, LOCAL, voter.relay, ""]
        self.ask(client.call, "add", [*member, False], PATIENCE)

        def promoted() -> bool:
            try:
                self.ask(client.call, "add", [*member, True], PATIENCE)
            except RequestFailedError:
                return False
            return True

        self.until(promoted, f"{voter.name} to catch up")

    # -- observation -------------------------------------------------------------------------------------

    def client(self) -> GroupClient:
        """Return a new client of the group, connected through the relays."""
        addresses = [(LOCAL, each.relay) for each in self.voters.values()]
        client = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, addresses, random.Random(len(self.clients))
        )
        self.clients.append(client)
        return client

    def ask(self, call: Callable[..., Any], *args: Any) -> Any:
        """Make a client's call on the relays' reactor and return its answer. Raises RequestFailedError."""
        return self.relays.call(call, *args)

    def status(self, voter: Voter) -> dict[str, Any] | None:
        """Return the status that a voter reports, or None if the voter does not answer within 1 s."""
        if voter.running is None or voter.running.poll() is not None:
            return None
        # Connects without the relay, so that injected faults do not affect the status request.
        client = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, [(LOCAL, voter.port)], random.Random(1)
        )
        try:
            return self.ask(client.call, "status", None, 1.0)
        except RequestFailedError:
            return None
        finally:
            self.relays.call(client.close)

    def leader(self, among: list[Voter] | None = None) -> Voter | None:
        """Return the leader of the highest term among the voters that answer, or None."""
        statuses = {each: each.status() for each in among or self.voters.values()}
        leading = {each: status for each, status in statuses.items() if status and status["role"] == "leader"}
        return max(leading, key=lambda each: leading[each]["term"], default=None)

    def until(self, condition: Callable[[], Any], what: str) -> Any:
        """Wait for a condition, see `wait_until`; a failure shows the logs."""
        return wait_until(condition, what, self.logs, self.patience)

    def logs(self) -> str:
        """Return the last 12 lines of the log of every process."""
        return "\n".join(
            f"{log.stem}: {line[:200]}"
            for log in sorted(self.path.glob("*.log"))
            for line in log.read_text().splitlines()[-12:]
        )

    def worker(self, name: str, zone: str, receiver: int) -> subprocess.Popen:
        """Start a candidate for the leases of jobs; its log is NAME.log. `receiver`: port of the receiver."""
        file = next(iter(self.voters.values())).file
        arguments = [
            sys.executable,
            "-m",
            "lichencleat.testkit.cluster.worker",
            str(file),
            name,
            zone,
            str(receiver),
        ]
        with open(self.path / f"{name}.log", "ab") as log:
            root = Path(__file__).resolve().parents[3]
            child = subprocess.Popen(arguments, cwd=root, stderr=log, env=self.environment(name))
        self.children.append(child)
        return child

    # -- faults --------------------------------------------------------------------------------------

    def isolate(self, here: list[Voter], clients: bool = True) -> set[tuple[str, str]]:
        """Block the traffic between these voters and the others, in both directions.

        `clients`: whether clients can reach only the other voters. Returns the blocked directions.
        """
        inside = {each.name for each in here}
        outside = set(self.voters) - inside | ({CLIENT} if clients else set())
        pairs = {(a, b) for a in inside for b in outside}
        pairs |= {(b, a) for a, b in pairs}
        self.relays.block(pairs)
        return pairs

    def heal(self, pairs: set[tuple[str, str]]) -> None:
        """Unblock directions."""
        self.relays.unblock(pairs)

    def close(self) -> None:
        """End all processes, clients and relays, and release the ports."""
        for client in self.clients:
            self.relays.reactor.callFromThread(client.close)
        for child in self.children:
            if child.poll() is None:
                os.kill(child.pid, signal.SIGKILL)
        for child in self.children:
            child.wait(PATIENCE)
            if child.stdout is not None:
                child.stdout.close()
        self.relays.close()
        for held in self.reserved:
            held.close()


class Writer:
    """A client that reads, sets and conditionally sets keys until `on` is false, and records the history."""

    def __init__(self, rig: Rig, name: str, key_count: int = 2) -> None:
        self.rig, self.name, self.key_count = rig, name, key_count
        self.rng = random.Random(name)
        self.client = rig.client()
        self.history: list[Call] = []
        self.known: dict[str, tuple[bytes | None, int]] = {}
        self.on = True
        self.made = 0
        rig.relays.reactor.callFromThread(self.step)

    def now(self) -> int:
        """Return the time of the relays' reactor in µs."""
        return int(self.rig.relays.reactor.seconds() * 1e6)

    def step(self) -> None:
        """Make one random call, and schedule the next after its answer."""
        if not self.on:
            return
        name = f"f{self.rng.randrange(self.key_count)}"
        kind = self.rng.choice(["put", "cas", "get"])
        value, revision = self.known.get(name, (None, 0))
        self.made += 1
        new = f"{self.name}-{self.made}".encode()
        what: tuple[Any, ...] = {"get": ("get", name), "put": ("put", name, new)}.get(
            kind, ("cas", name, new, value)
        )
        call = Call(self.name, what, self.now())
        self.history.append(call)
        if kind == "get":
            answer = self.client.read("facts", name, PATIENCE)
        else:
            command = ["set", name, new, None if kind == "put" else revision]
            answer = self.client.propose("facts", command, PATIENCE)
        answer.addCallbacks(self.on_answer, lambda failure: None, callbackArgs=(call,))
        answer.addBoth(lambda _: self.rig.relays.reactor.callLater(self.rng.uniform(0.002, 0.02), self.step))

    def on_answer(self, answer: Any, call: Call) -> None:
        """Record the answer of a call, and the value and revision that are known now."""
        call.returned = self.now()
        name = call.operation[1]
        if call.operation[0] == "get":
            entry = KeyValueEntry(*answer) if answer else None
            self.known[name] = (entry.value, entry.revision) if entry else (None, 0)
            call.result = self.known[name][0]
            return
        result = SetResult(*answer)
        call.result = result.is_applied
        if result.is_applied:
            self.known[name] = call.operation[2], result.revision

    def count(self) -> int:
        """Return the number of calls that were answered."""
        return sum(each.returned < 1 << 61 for each in self.history)
