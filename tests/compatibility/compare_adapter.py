"""Play recordings to the adapters of two checkouts and compare every answer byte by byte.

Usage: `python compare_adapter.py OLD_CHECKOUT NEW_CHECKOUT RECORDING ...`. Prints one line a recording: equal
or the first difference, and the processor time that each adapter took for it. Exits with 1 if an answer of
one version differs from the other's. Answers of the old version which differ from the recorded ones are
counted, as a recording may come from another version.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from adapter_recording import Exchange, read_exchanges

ADAPTER_MODULES = ("bench_adapter", "benchlink")  # the second is the name at commits before the rename
EXCERPT_BYTES = 300  # of an answer in the report on a difference


class AdapterProcess:
    """The adapter of one checkout, as a child process which answers one batch at a time."""

    def __init__(self, checkout: Path) -> None:
        """Start the adapter from `checkout`, whichever name its module has there."""
        module = next(name for name in ADAPTER_MODULES if (checkout / "lichencleat" / name).is_dir())
        command = [sys.executable, "-m", f"lichencleat.{module}"]
        self._process = subprocess.Popen(command, cwd=checkout, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.cpu_seconds = 0.0
        """User and system time of the process, known once it has ended."""

    def __enter__(self) -> AdapterProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.close()
        self._process.stdout.close()
        _, status, usage = os.wait4(self._process.pid, 0)
        self._process.returncode = os.waitstatus_to_exitcode(status)
        self.cpu_seconds = usage.ru_utime + usage.ru_stime

    def send(self, batch: bytes) -> None:
        """Hand over a batch without waiting for its answer."""
        assert self._process.stdin is not None
        self._process.stdin.write(batch)
        self._process.stdin.flush()

    def receive(self) -> bytes:
        """Wait for the answer to the batch sent last; empty if the process has ended."""
        assert self._process.stdout is not None
        return self._process.stdout.readline()


@dataclass(slots=True)
class Comparison:
    """What the playing of one recording showed."""

    exchanges: int = 0
    unlike_recording: int = 0
    first_difference: str | None = None
    old_cpu_seconds: float = 0.0
    new_cpu_seconds: float = 0.0

    def compare(self, exchange: Exchange, old: bytes, new: bytes) -> None:
        """Count one exchange, and keep the first difference between the two versions."""
        self.exchanges += 1
        self.unlike_recording += old != exchange.answer
        if old != new and self.first_difference is None:
            self.first_difference = describe_difference(self.exchanges, old, new)


def describe_difference(number: int, old: bytes, new: bytes) -> str:
    """Describe where two answers to the same batch part."""
    pairs = enumerate(zip(old, new, strict=False))
    at = next((place for place, (left, right) in pairs if left != right), min(len(old), len(new)))
    start = max(0, at - EXCERPT_BYTES // 2)
    excerpts = (answer[start : start + EXCERPT_BYTES].decode() for answer in (old, new))
    return "\n".join([f"exchange {number}, byte {at}:", *(f"  {excerpt}" for excerpt in excerpts)])


def compare_recording(old_checkout: Path, new_checkout: Path, recording: Path) -> Comparison:
    """Play a recording to both adapters at once, and stop at the first difference."""
    comparison = Comparison()
    with AdapterProcess(old_checkout) as old, AdapterProcess(new_checkout) as new:
        for exchange in read_exchanges(recording):
            old.send(exchange.batch)
            new.send(exchange.batch)
            comparison.compare(exchange, old.receive(), new.receive())
            if comparison.first_difference:
                break
    comparison.old_cpu_seconds = old.cpu_seconds
    comparison.new_cpu_seconds = new.cpu_seconds
    return comparison


def main(arguments: list[str]) -> int:
    """Compare all recordings, print the results, and return the exit code."""
    old_checkout, new_checkout, *recordings = map(Path, arguments)
    comparisons = []
    for recording in recordings:
        comparison = compare_recording(old_checkout, new_checkout, recording)
        comparisons.append(comparison)
        result = f"DIFFERS {comparison.first_difference}" if comparison.first_difference else "equal"
        print(
            f"{recording.parent.name}/{recording.name}: {comparison.exchanges} exchanges, {result}; "
            f"{comparison.unlike_recording} unlike the recording; processor time "
            f"{comparison.old_cpu_seconds:.2f} s old, {comparison.new_cpu_seconds:.2f} s new",
            flush=True,
        )
    old_total = sum(each.old_cpu_seconds for each in comparisons)
    new_total = sum(each.new_cpu_seconds for each in comparisons)
    exchanges = sum(each.exchanges for each in comparisons)
    different = sum(each.first_difference is not None for each in comparisons)
    print(
        f"all: {len(comparisons)} recordings, {exchanges} exchanges, {different} different; "
        f"processor time {old_total:.2f} s old, {new_total:.2f} s new"
    )
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
