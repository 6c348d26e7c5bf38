"""Processes of the harness for configuration distribution: relays and watchers.

A relay is the real program. A watcher is a process with only the configuration part of a node.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

from lichencleat.config_distribution.kept import PAGE_KEY_PREFIX, STORE_LIMITS
from lichencleat.reactor import unix_time
from lichencleat.store.batch import Batch
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.testkit.cluster.heldback import FULL_DISK_SUFFIX
from lichencleat.testkit.cluster.relay import LOCAL
from lichencleat.testkit.cluster.rig import GROUP, PROGRAM, ControlledProcess, free_port

ROOT = Path(__file__).resolve().parents[3]


class Child(ControlledProcess):
    """A process that can be restarted: its directory and log stay when the process ends."""

    def __init__(self, rig: Any, name: str, zone: str) -> None:
        self.rig, self.name, self.zone = rig, name, zone
        self.directory = rig.path / name
        self.file, self.log = rig.path / f"{name}.yaml", rig.path / f"{name}.log"
        self.running: subprocess.Popen | None = None
        self.copies = 0

    def command_arguments(self) -> list[str]:
        """Return the module to run and its arguments."""
        raise NotImplementedError

    def start(self) -> None:
        """Start a process; its standard error is appended to the log."""
        with open(self.log, "ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", *self.command_arguments()],
                cwd=ROOT,
                stderr=log,
                env=self.rig.environment(self.name),
            )
        self.rig.children.append(self.running)

    def fill_disk(self) -> None:
        """Make every write of the process fail for lack of space until `empty_disk` is called."""
        (self.rig.path / f"{self.name}{FULL_DISK_SUFFIX}").touch()

    def empty_disk(self) -> None:
        """Let the process write to its disk again."""
        (self.rig.path / f"{self.name}{FULL_DISK_SUFFIX}").unlink(missing_ok=True)

    def copy_directory(self) -> Path:
        """Copy the directory while the process is paused, and return the path of the copy."""
        self.copies += 1
        to = self.rig.path / f"{self.name}.copy{self.copies}"
        self.stop()
        shutil.copytree(self.directory, to)
        self.resume()
        return to

    def restore_directory(self, copy: Path) -> None:
        """Replace the directory by a copy of it. The process must be down."""
        shutil.rmtree(self.directory)
        shutil.copytree(copy, self.directory)

    def stored_files(self) -> list[Path]:
        """Return the files of the directory that are not empty, sorted by path."""
        there = self.directory.rglob("*")
        return sorted(each for each in there if each.is_file() and each.stat().st_size)

    def corrupt_file(self, rng: random.Random) -> str:
        """Change one byte of a stored file, and return file and offset as text. The process must be down."""
        files = self.stored_files()
        if not files:
            return "nothing kept"
        file = rng.choices(files, [each.stat().st_size for each in files])[0]
        data = bytearray(file.read_bytes())
        at = rng.randrange(len(data))
        data[at] ^= rng.randrange(1, 256)
        file.write_bytes(data)
        return f"{self.name}/{file.name} at {at} of {len(data)}"

    def truncate_file(self, rng: random.Random) -> None:
        """Truncate a stored file at a random offset. The process must be down."""
        files = self.stored_files()
        if files:
            file = rng.choice(files)
            os.truncate(file, rng.randrange(file.stat().st_size))

    def copy_files_of(self, other: Child) -> None:
        """Copy the directory of another process to this one. Both processes must be down."""
        shutil.copytree(other.directory, self.directory)

    def delete_half_of_pages(self, rng: random.Random) -> int:
        """Delete half of the stored pages but not the head, as after a partial write.

        Returns the number of deleted pages. The process must be down.
        """
        if not self.stored_files():
            return 0
        try:
            engine = Engine.open(RealDisk(str(self.directory)), unix_time, rng, STORE_LIMITS)
        except StoreError:  # an earlier fault corrupted the store, so the process does not use it
            return 0
        try:
            there = [key for key, _ in engine.scan(PAGE_KEY_PREFIX)]
            lost = rng.sample(there, len(there) // 2)
            batch = Batch()
            for key in lost:
                batch.delete(key)
            assert engine.commit([batch]) == [None]
            return len(lost)
        finally:
            engine.close()


class RelayProcess(Child):
    """A relay of the real program: `lichencleat distribution run`."""

    def __init__(
        self, rig: Any, name: str, zone: str, sources: list[list[str]], has_disk: bool = True
    ) -> None:
        super().__init__(rig, name, zone)
        self.port = free_port(rig.reserved)
        self.relay_port = self.port if rig.direct else rig.relays.add_relay(name, self.port)
        self.settings = {
            "group": GROUP,
            "name": name,
            "zone": zone,
            "listen": f"{LOCAL}:{self.port}",
            "sources": sources,
        }
        if has_disk:
            self.settings |= {"directory": str(self.directory), "disk": rig.disk}
        self.file.write_text(yaml.safe_dump({"distribution": self.settings}))

    @property
    def address(self) -> str:
        """The address at which other processes call the relay."""
        return f"{LOCAL}:{self.relay_port}"

    def command_arguments(self) -> list[str]:
        return [PROGRAM, "distribution", "run", str(self.file)]


class Watcher(Child):
    """A process with a real subscriber and table; writes each version in force and its records to a file."""

    def __init__(
        self,
        rig: Any,
        name: str,
        zone: str,
        sources: list[list[str]],
        has_disk: bool = True,
        mistake: str = "",
    ) -> None:
        super().__init__(rig, name, zone)
        self.output = rig.path / f"{name}.said"
        self.bytes_read = 0  # bytes of the output file that were read
        self.lines: list[dict[str, Any]] = []
        self.mistake = mistake
        settings = {
            "group": GROUP,
            "name": name,
            "zone": zone,
            "sources": sources,
            "said": str(self.output),
            "looks_at": rig.observed_names,
            "times": {key: list(value) for key, value in rig.watcher_times.items()},
        }
        if has_disk:
            settings |= {"directory": str(self.directory), "disk": rig.disk}
        self.file.write_text(json.dumps(settings))

    def command_arguments(self) -> list[str]:
        more = ["--mistake", self.mistake] if self.mistake else []
        return ["lichencleat.testkit.cluster.watcher", str(self.file), *more]

    def read_lines(self) -> list[dict[str, Any]]:
        """Read and return the lines that were completed since the last call."""
        if not self.output.exists():
            return []
        with open(self.output, "rb") as file:
            file.seek(self.bytes_read)
            data = file.read()
        whole = data.rfind(b"\n") + 1
        self.bytes_read += whole
        new = [json.loads(line) for line in data[:whole].splitlines() if line]
        self.lines += new
        return new

    @property
    def last(self) -> dict[str, Any]:
        """The last line that the present process wrote, empty if there is none."""
        if self.running is not None and self.lines and self.lines[-1]["life"] == self.running.pid:
            return self.lines[-1]
        return {}

    def requested_line(self, since: int) -> dict[str, Any]:
        """Return the last line that the present process wrote on request since that time (µs), or {}."""
        for line in reversed(self.lines):
            if line["at"] < since:
                break
            if line["why"] == "asked" and line["life"] == self.running.pid:  # type: ignore[union-attr]
                return line
        return {}
