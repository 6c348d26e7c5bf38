"""Starts real voters, each with a directory and a log of its own, a relay before each, and ends them whatever
happens.
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
from lichencleat.testkit.cluster.heldback import FULL
from lichencleat.testkit.cluster.relay import CLIENT, LOCAL, Relays
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

PROGRAM = "lichencleat.testkit.cluster.run_program"
OLDER = "lichencleat.testkit.cluster.older_voter"
PATIENCE = 10.0  # s: only a failing test waits so long
FAST = {"beat_ms": 30, "election_ms": 180, "spread_ms": 180, "transfer_ms": 400}
GROUP = "rig"
PORTS = random.SystemRandom()  # rigs side by side draw apart; no test hangs on which port it is


def free_port(reserved: list[socket.socket] | None = None) -> int:
    """Below what the kernel gives out by itself: no relay or connection made meanwhile takes it.

    `reserved`: takes a UDP socket of that number, so that no other rig draws it while its process is down.
    """
    while True:
        port = PORTS.randrange(20_000, 32_000)
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            held.bind((LOCAL, port))
            with socket.create_server((LOCAL, port)):
                pass
        except OSError:  # somebody's
            held.close()
            continue
        if reserved is None:
            held.close()
        else:
            reserved.append(held)
        return port


def wait_until(
    holds: Callable[[], Any], what: str, more: Callable[[], str] = lambda: "", patience: float = PATIENCE
) -> Any:
    """What it gives, once that is true; fails after so many seconds, and tells what it waited for."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        found = holds()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"waited {patience:g} s for {what}\n{more()}")


class Signalled:
    """A process that is ended, stopped and woken by signals; `running` is the last one that was started."""

    running: subprocess.Popen | None = None

    def up(self) -> bool:
        return self.running is not None and self.running.poll() is None

    def signal(self, number: int) -> None:
        if self.running is not None and self.running.poll() is None:
            os.kill(self.running.pid, number)

    def kill(self) -> None:
        """Where its disk holds back what was not flushed, this is a cut of power."""
        self.signal(signal.SIGKILL)
        self.ended()

    def stop(self) -> None:
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)

    def ended(self) -> int:
        """Its exit code, once it has ended."""
        assert self.running is not None
        return self.running.wait(PATIENCE)


class Voter(Signalled):
    """One process of the program; its directory outlives it."""

    def __init__(self, rig: Rig, name: str, disk: str) -> None:
        self.rig, self.name = rig, name
        self.port = free_port(rig.reserved)
        self.relay = rig.relays.before(name, self.port)
        self.directory = rig.path / name
        self.file = rig.path / f"{name}.yaml"
        self.log = rig.path / f"{name}.log"
        self.running: subprocess.Popen | None = None
        self.lacks: tuple[str, ...] = ()  # parts that it does not know from its next start on
        self.chosen = {
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
        self.chosen["members"] = [each.address for each in self.rig.voters.values()]
        self.file.write_text(yaml.safe_dump({"quorum": self.chosen}))

    def start(self) -> None:
        self.write_file()
        with open(self.log, "ab") as log:
            words, more = ["quorum", "run", str(self.file)], {"stderr": log}
            if self.lacks:
                words, more["module"] = [",".join(self.lacks), *words], OLDER
            self.running = self.rig.program(words, env=self.rig.variables(self.name), **more)

    def fill_disk(self) -> None:
        """Nothing more goes onto its disk until `empty_disk`."""
        (self.rig.path / f"{self.name}{FULL}").touch()

    def empty_disk(self) -> None:
        (self.rig.path / f"{self.name}{FULL}").unlink(missing_ok=True)

    def status(self) -> dict[str, Any] | None:
        """What it says of itself; None where it does not answer."""
        return self.rig.status(self)


class Rig:
    """Owns the processes, the relays, the clients; all are given back in `close`, also when a test fails."""

    def __init__(
        self,
        path: Path,
        voters: int = 3,
        disk: str = "held back",
        times: dict | None = None,
        relays: Relays | None = None,
    ) -> None:
        self.path, self.times, self.patience = path, times or FAST, PATIENCE
        self.relays: Any = relays or Relays()
        self.children: list[subprocess.Popen] = []
        self.reserved: list[socket.socket] = []
        self.clients: list[GroupClient] = []
        self.voters: dict[str, Voter] = {}
        for number in range(1, voters + 1):
            name = f"v{number}"
            self.voters[name] = Voter(self, name, disk)

    def program(self, words: list[str], module: str = PROGRAM, **more: Any) -> subprocess.Popen:
        root = Path(__file__).resolve().parents[3]
        child = subprocess.Popen([sys.executable, "-m", module, *words], cwd=root, **more)
        self.children.append(child)
        return child

    def variables(self, name: str) -> dict[str, str]:
        """The environment of the process of that name: its clocks run by the rig's word."""
        return {**os.environ, clock.CLOCK_FILE_VARIABLE: self.clock_file(name)}

    def clock_file(self, name: str) -> str:
        return str(self.path / f"{name}.clock")

    def clock(self, name: str, rate: float = 1.0, ahead: float = 0.0) -> None:
        """From now on its clocks run at that rate, and Unix time is ahead by so many seconds."""
        clock.write(self.clock_file(name), rate, ahead)

    def command(self, *words: str) -> tuple[int, str]:
        """Exit code and output of a command of the program."""
        made = self.program(list(words), stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        said, _ = made.communicate(timeout=2 * PATIENCE)  # it gives up by itself after one
        return made.returncode, said

    def form(self) -> None:
        """Founds the group with the first voter and adds the others."""
        first, *others = self.voters.values()
        for each in self.voters.values():
            each.write_file()
        code, said = self.command("quorum", "found", str(first.file))
        assert code == 0, said
        for each in self.voters.values():
            each.start()
        self.until(lambda: self.leader() is not None, "a leader")
        for each in others:
            self.add(each)

    def add(self, voter: Voter) -> None:
        client = self.client()
        self.until(lambda: voter.status() is not None, f"{voter.name} to answer")
        new = voter.status()
        assert new is not None
        who = [new["seat"], voter.name, LOCAL, voter.relay, ""]
        self.ask(client.call, "add", [*who, False], PATIENCE)

        def promoted() -> bool:
            try:
                self.ask(client.call, "add", [*who, True], PATIENCE)
            except RequestFailedError:
                return False
            return True

        self.until(promoted, f"{voter.name} to catch up")

    # -- looking -------------------------------------------------------------------------------------

    def client(self) -> GroupClient:
        addresses = [(LOCAL, each.relay) for each in self.voters.values()]
        made = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, addresses, random.Random(len(self.clients))
        )
        self.clients.append(made)
        return made

    def ask(self, call: Callable[..., Any], *args: Any) -> Any:
        """Does a client's call on the relays' reactor and waits for it. Raises RequestFailedError."""
        return self.relays.call(call, *args)

    def status(self, voter: Voter) -> dict[str, Any] | None:
        if voter.running is None or voter.running.poll() is not None:
            return None
        made = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, [(LOCAL, voter.port)], random.Random(1)
        )  # past the relay: a look is no traffic
        try:
            return self.ask(made.call, "status", None, 1.0)
        except RequestFailedError:
            return None
        finally:
            self.relays.call(made.close)

    def leader(self, among: list[Voter] | None = None) -> Voter | None:
        """Who leads in the newest term, of those that answer."""
        said = {each: each.status() for each in among or self.voters.values()}
        leading = {each: told for each, told in said.items() if told and told["role"] == "leader"}
        return max(leading, key=lambda each: leading[each]["term"], default=None)

    def until(self, holds: Callable[[], Any], what: str) -> Any:
        return wait_until(holds, what, self.logs, self.patience)

    def logs(self) -> str:
        """The last lines of every process."""
        return "\n".join(
            f"{log.stem}: {line[:200]}"
            for log in sorted(self.path.glob("*.log"))
            for line in log.read_text().splitlines()[-12:]
        )

    def worker(self, name: str, zone: str, receiver: int) -> subprocess.Popen:
        """A process that wants jobs; its log is NAME.log."""
        file = next(iter(self.voters.values())).file
        words = [
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
            child = subprocess.Popen(words, cwd=root, stderr=log, env=self.variables(name))
        self.children.append(child)
        return child

    # -- faults --------------------------------------------------------------------------------------

    def apart(self, here: list[Voter], clients: bool = True) -> set[tuple[str, str]]:
        """Cuts these voters off from the others, both ways; `clients`: those stay with the others."""
        inside = {each.name for each in here}
        outside = set(self.voters) - inside | ({CLIENT} if clients else set())
        pairs = {(a, b) for a in inside for b in outside}
        pairs |= {(b, a) for a, b in pairs}
        self.relays.hold(pairs)
        return pairs

    def heal(self, pairs: set[tuple[str, str]]) -> None:
        self.relays.release(pairs)

    def close(self) -> None:
        for made in self.clients:
            self.relays.reactor.callFromThread(made.close)
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
    """A client that puts, puts over and reads facts as long as it is told to, and writes down what it saw."""

    def __init__(self, rig: Rig, name: str, facts: int = 2) -> None:
        self.rig, self.name, self.facts = rig, name, facts
        self.rng = random.Random(name)
        self.client = rig.client()
        self.history: list[Call] = []
        self.known: dict[str, tuple[bytes | None, int]] = {}
        self.on = True
        self.made = 0
        rig.relays.reactor.callFromThread(self.step)

    def now(self) -> int:
        return int(self.rig.relays.reactor.seconds() * 1e6)

    def step(self) -> None:
        if not self.on:
            return
        name = f"f{self.rng.randrange(self.facts)}"
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
            told = self.client.read("facts", name, PATIENCE)
        else:
            wanted = ["set", name, new, None if kind == "put" else revision]
            told = self.client.propose("facts", wanted, PATIENCE)
        told.addCallbacks(self.answered, lambda failure: None, callbackArgs=(call,))
        told.addBoth(lambda _: self.rig.relays.reactor.callLater(self.rng.uniform(0.002, 0.02), self.step))

    def answered(self, told: Any, call: Call) -> None:
        call.returned = self.now()
        name = call.operation[1]
        if call.operation[0] == "get":
            fact = KeyValueEntry(*told) if told else None
            self.known[name] = (fact.value, fact.revision) if fact else (None, 0)
            call.result = self.known[name][0]
            return
        answer = SetResult(*told)
        call.result = answer.is_applied
        if answer.is_applied:
            self.known[name] = call.operation[2], answer.revision

    def count(self) -> int:
        return sum(each.returned < 1 << 61 for each in self.history)
