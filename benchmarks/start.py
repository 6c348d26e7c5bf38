"""How long a node takes from its start to its first report, by then it listens: with bytecode and without.

`python -m benchmarks.start [PAIRS]` copies the package twice, compiles one copy as `build` in
deploy/balancer.toml does, and starts both in turns, writing no bytecode (the platform's file system is
read-only). Measured on this machine; the ratio is of each pair.
"""

from __future__ import annotations

import json
import os
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WAIT = 30  # s for one start
SETTINGS = {"classes": [{"name": "look", "aim": 2.0, "deadline": 6.0}], "specifics": {"cores": 2}}


def copy(folder: Path, compiled: bool) -> Path:
    shutil.copytree(
        ROOT / "lichencleat", folder / "lichencleat", ignore=shutil.ignore_patterns("__pycache__")
    )
    if compiled:
        command = [
            sys.executable,
            "-m",
            "compileall",
            "-q",
            "--invalidation-mode",
            "checked-hash",
            "lichencleat",
        ]
        subprocess.run(command, cwd=folder, check=True)
    return folder


def start(folder: Path) -> tuple[float, float]:
    """Seconds to the first report, and of the processor until then."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as members, socket.socket() as free:
        members.bind(("127.0.0.1", 0))
        members.settimeout(WAIT)
        free.bind(("127.0.0.1", 0))
        listen, port = free.getsockname()[1], members.getsockname()[1]
        free.close()
        told = {
            "name": "n1",
            "listen": f"127.0.0.1:{listen}",
            "vm": "127.0.0.1:1",
            "members": f"127.0.0.1:{port}",
        }
        told |= {"seed": "5", "stop_ms": 500, "limits": {"sockets": 256}, "settings": SETTINGS}
        config = folder / "config.json"
        config.write_text(json.dumps(told))
        environment = {**os.environ, "BALANCER_CONFIG": str(config), "PYTHONDONTWRITEBYTECODE": "1"}
        command, began = [sys.executable, "-m", "lichencleat"], time.monotonic()
        process = subprocess.Popen(command, cwd=folder, env=environment, stderr=subprocess.DEVNULL)
        try:
            members.recv(100)
            took = time.monotonic() - began
        finally:
            process.kill()
            _, _, used = os.wait4(process.pid, 0)
            process.returncode = 0
    return took, used.ru_utime + used.ru_stime


def main(pairs: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        plain, compiled = copy(Path(name) / "plain", False), copy(Path(name) / "compiled", True)
        start(plain), start(compiled)
        runs = [(start(plain), start(compiled)) for _ in range(pairs)]
    print(f"{os.cpu_count()} cores; {pairs} pairs, alternating; median (least to most)")
    for at, what in enumerate(("s to the first report", "s of processor")):
        for side, how in enumerate(("no bytecode", "bytecode")):
            tell(what, how, [run[side][at] for run in runs])
        tell(what, "ratio", [run[1][at] / run[0][at] for run in runs])


def tell(what: str, how: str, figures: list[float]) -> None:
    print(f"{what:22} {how:12} {statistics.median(figures):.3f} ({min(figures):.3f} to {max(figures):.3f})")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
