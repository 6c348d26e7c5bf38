"""Case 7: a bad client that uses another's key with another body removes the record of the other's run."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit-2"))
import standins as s

KEYS = 2  # keyed requests of a round, sent at once
FILLER = 8  # pure requests that keep the cores busy for a second, so that what follows is queued
CHECKS = 100  # health checks in one piece: the node reads for some ms
ROUNDS = 5  # the case ends with the first round that breaks the rule


class Case:
    """One node with a disk, its interpreter and its callers."""

    def __init__(self, folder: Path, note, trouble: bool) -> None:
        self.folder, self.note, self.trouble = folder, note, trouble
        self.vm = s.Interpreter(note)
        self.vm.hold = lambda body: 1.0 if body.startswith(b"fill") else 2.0
        self.address = (s.LOCAL, s.free_ports(1)[0])

    async def start_node(self) -> None:
        """Start the node as the deploy file does, and wait until it takes requests."""
        self.vm.gauges_wanted.clear()
        self.node = s.start_node(self.folder / "n1.json", self.folder / "log", self.folder / "keyed.yaml")
        await s.until(self.vm.gauges_wanted.is_set, "the node")

    async def caller(self, name: str) -> s.Client:
        """Open a connection to the node."""
        made = await s.connected(self.note, self.address, name)
        made.on_over = self.vm.over.add
        return made

    async def play(self) -> bool:
        """Play rounds until one breaks the rule; returns whether the rule held."""
        vm_address, members = await self.vm.listen(), await s.Members().listen()
        port = self.address[1]
        s.node_config(self.folder / "n1.json", "n1", port, vm_address, members, s.settings())
        (self.folder / "keyed.yaml").write_text(
            f"keyed: {{directory: {self.folder / 'keyed'}, entries: 100000, disk_mb: 256}}\n"
        )
        await self.start_node()
        held = True
        for number in range(ROUNDS):
            held = held and await self.play_round(number)
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            self.note("node: " + line)
        return held

    async def play_round(self, number: int) -> bool:
        """Play one round with keys of its own; returns whether the rule held."""
        bodies = [b"save %d of round %d" % (n, number) for n in range(KEYS)]
        keys = [f"{1 + n + number * KEYS:032x}" for n in range(KEYS)]
        await asyncio.sleep(1.0)
        first = await self.send_first(keys, bodies)
        await s.until(lambda: any(self.vm.count(each) for each in bodies), "a run", 10)
        await asyncio.sleep(0.5)
        self.note("SIGKILL to the node, while runs are under way; it is started again")
        self.node.send_signal(signal.SIGKILL)
        self.node.wait()
        ran = [n for n in range(KEYS) if self.vm.count(bodies[n])]
        await self.start_node()
        again = await self.caller("honest again")
        await asyncio.sleep(0.5)
        retries = [again.send(f"save {n} again", "save", bodies[n], keys[n], True) for n in ran]
        await asyncio.wait([each.done for each in retries], timeout=10)
        await asyncio.sleep(2.5)
        twice = [n for n in ran if self.vm.count(bodies[n]) > 1]
        for n in range(KEYS):
            self.note(f"key {keys[n]}: first try {first[n].word}, ran {self.vm.count(bodies[n])} times")
        self.note(
            f"{len(ran)} keyed requests had run before the kill; {len(twice)} ran again in their window"
        )
        return not twice

    async def send_first(self, keys: list[str], bodies: list[bytes]) -> list[s.Try]:
        """Send the first tries and, with the trouble, at the same moment those of the bad client."""
        honest, bad, other, checks = [
            await self.caller(name) for name in ("honest", "bad", "other", "checks")
        ]
        for n in range(FILLER):
            other.send(f"filler {n}", "look", b"fill %d" % n)
        await asyncio.sleep(0.3)
        for each in (checks, honest, bad):
            each.cork()
        for _ in range(CHECKS):
            checks.check()
        first = [honest.send(f"save {n}", "save", bodies[n], key) for n, key in enumerate(keys)]
        misused = []
        if self.trouble:
            misused = [bad.send(f"misuse {n}", "save", b"misuse %d" % n, key) for n, key in enumerate(keys)]
        for each in (checks, honest, bad):
            each.uncork()
        await asyncio.sleep(0.1)
        for each in misused:
            if not each.answers:
                bad.abort(each)
        return first


async def play(note, trouble: bool) -> bool:
    """Play the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Case(Path(folder), note, trouble).play()


if __name__ == "__main__":
    s.main(play, str(Path(__file__).resolve().parent))
