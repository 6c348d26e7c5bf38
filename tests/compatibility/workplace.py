"""A directory with files and stores in which commands are run; the generator and the tests share it.

It imports only the entry point of the commands, whose name is the same at 3273848 and in the current tree.
"""

from __future__ import annotations

import io
import shutil
import time
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from typing import Any
from unittest import mock

from lichencleat.cli.main import lichencleat as root_command
from lichencleat.cli.main import run

DATA = Path(__file__).resolve().parent / "data"
NOW_US = 1_780_000_000_000_000  # Unix time of all commands: that at which the directories were written
DAMAGED_SEGMENT, DAMAGED_BYTE = "000000000003.log", 20_000

COMMANDS: tuple[tuple[str, ...], ...] = (
    ("store", "stat", "store", "--json"),
    ("store", "stat", "store"),
    ("store", "check", "store", "--json"),
    ("store", "check", "damaged", "--json"),
    ("store", "check", "damaged"),
    ("store", "get", "store", "small 002"),
    ("store", "get", "store", "nothing"),
    ("store", "dump", "store", "--prefix", "small 00"),
    ("store", "dump", "store", "--prefix", "e"),
    ("store", "compact", "store", "--all", "--json"),
    ("store", "salvage", "damaged", "saved", "--json"),
    ("store", "delete", "store", "small 003"),
    ("store", "get", "missing", "key"),
    ("keyed", "show", "keyed", "--json"),
    ("keyed", "list", "keyed", "--json"),
    ("keyed", "list", "keyed", "--open", "--json"),
    ("keyed", "list", "keyed"),
    ("keyed", "check", "keyed"),
    ("keyed", "adopt", "keyed"),
    ("keyed", "show", "missing", "--json"),
    ("config", "check", "files/deploy/example.yaml"),
    ("config", "show", "files/deploy/example.yaml", "--json"),
    ("config", "show", "files/deploy/keyed.yaml", "--json"),
    ("config", "show", "files/deploy/relays/node.yaml", "--json"),
    ("config", "show", "files/docs/operate-keyed-1.yaml", "--json"),
    ("config", "show", "files/docs/operate-owners-1.yaml", "--json"),
    ("config", "show", "files/docs/operate-revive-1.yaml", "--json"),
    ("config", "show", "files/docs/operate-distribution-2.yaml", "--json"),
    ("config", "show", "files/full/node.yaml", "--json"),
    ("config", "show", "files/full/node.yaml"),
    ("config", "check", "files/wrong/unknown-key.yaml"),
    ("config", "check", "files/wrong/out-of-range.yaml"),
    ("config", "check", "files/wrong/collector.yaml"),
    ("config", "check", "files/wrong/no-yaml.yaml"),
    ("config", "check", "files/missing.yaml"),
    ("router", "check", "files/deploy/zones/ljubljana-r1.yaml", "--json"),
    ("router", "check", "files/deploy/zones/maribor-r1.yaml", "--json"),
    ("router", "check", "files/full/router.yaml", "--json"),
    ("router", "check", "files/deploy/example.yaml"),
    ("distribution", "check", "files/batches/tenants.yaml", "--json"),
    ("distribution", "check", "files/batches/tenants.jsonl", "--json"),
    ("distribution", "check", "files/batches/twice.jsonl"),
    (
        "capacity",
        "plan",
        "--slopes",
        "files/docs/slopes.json",
        "--target",
        "files/deploy/target.yaml",
        "--json",
    ),
    ("capacity", "plan", "--slopes", "files/deploy/target.yaml", "--target", "files/deploy/target.yaml"),
    ("no-such-noun",),
    ("store", "no-such-command"),
)


def prepare(where: Path) -> None:
    """Copies of the golden files and directories, one store with a byte turned."""
    for name in ("files", "store", "keyed"):
        shutil.copytree(DATA / name, where / name)
    shutil.copytree(DATA / "store", where / "damaged")
    shutil.copytree(DATA / "files/deploy", where / "deploy")  # routers' files name their settings from here
    segment = where / "damaged" / DAMAGED_SEGMENT
    data = bytearray(segment.read_bytes())
    data[DAMAGED_BYTE] ^= 0xFF
    segment.write_bytes(data)


def run_command(arguments: tuple[str, ...]) -> dict[str, Any]:
    """Exit code and output of a command, in this process and at a fixed time."""
    out, err = (io.TextIOWrapper(io.BytesIO(), "utf-8", write_through=True) for _ in range(2))
    fixed_time = mock.patch.object(time, "time_ns", lambda: NOW_US * 1_000)
    with fixed_time, redirect_stdout(out), redirect_stderr(err):
        code = run(list(arguments))
    return {"exit": code, "stdout": written(out), "stderr": written(err)}


def written(stream: io.TextIOWrapper) -> str:
    """What was written; bytes that are no UTF-8 are shown escaped."""
    buffer = stream.buffer
    assert isinstance(buffer, io.BytesIO)
    return buffer.getvalue().decode("utf-8", "backslashreplace")


def describe(noun: str) -> dict[str, Any]:
    """The sub-commands of a noun, with their arguments and options."""
    context = root_command.make_context("lichencleat", [noun], resilient_parsing=True)
    group: Any = root_command.get_command(context, noun)
    assert group is not None, noun
    return {name: [parameter(each) for each in found.params] for name, found in group.commands.items()}


def parameter(of: Any) -> dict[str, Any]:
    """What a caller may write for an argument or option."""
    described = {"kind": of.param_type_name, "nargs": of.nargs, "required": of.required}
    if of.param_type_name == "option":
        described |= {
            "names": sorted([*of.opts, *of.secondary_opts]),
            "multiple": of.multiple,
            "flag": of.is_flag,
            "default": default_of(of.default),
        }
    return described


def default_of(value: Any) -> Any:
    """A default as JSON can hold it; click's mark for none is null."""
    return value if isinstance(value, str | int | float | bool) else None
