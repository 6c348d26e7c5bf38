"""Record what the simulator and an adapter send each other, for `compare_adapter.py`.

Usage: `python record_adapter.py DIRECTORY -- COMMAND ...`, given to `lbsim` as the adapter's command. It
starts COMMAND, passes batches and answers through, and writes them to a new recording in DIRECTORY.
"""

from __future__ import annotations

import gzip
import os
import subprocess
import sys
import time
from pathlib import Path


def record(directory: Path, command: list[str]) -> int:
    """Pass lines between standard input and `command`, and return the exit code of `command`."""
    path = directory / f"{time.time_ns()}-{os.getpid()}.gz"
    with (
        gzip.open(path, "wb", compresslevel=1) as recording,
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as adapter,
    ):
        assert adapter.stdin is not None
        assert adapter.stdout is not None
        for batch in sys.stdin.buffer:
            adapter.stdin.write(batch)
            adapter.stdin.flush()
            answer = adapter.stdout.readline()
            if not answer:
                break
            sys.stdout.buffer.write(answer)
            sys.stdout.buffer.flush()
            recording.write(batch)
            recording.write(answer)
        adapter.stdin.close()
        return adapter.wait()


if __name__ == "__main__":
    separator = sys.argv.index("--")
    sys.exit(record(Path(sys.argv[1]), sys.argv[separator + 1 :]))
