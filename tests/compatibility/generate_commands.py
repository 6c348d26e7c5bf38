"""Records what commands and loaders of settings files give, with the code of 3273848.

Like `generate.py` it was run once, by that commit's code under its former package names, and cannot run in
the current tree (from the repository's root, `/tmp/base` a clone checked out at 3273848; the files under
`data/files` are that commit's own under `deploy` and in the pages of `docs`, and some more written by hand):

    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate_commands.py
"""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from generate import module, write_json
from workplace import COMMANDS, describe, prepare, run_command

LOADERS = {
    "node": ("chosen.file", "read_file"),
    "quorum": ("quorum.file", "read_quorum"),
    "relay": ("distribution.file", "read_relay"),
    "router": ("router.file", "read_router"),
    "members": ("members.program", "read_members"),
    "target": ("capacity.target", "read_target"),
}
FILES = {
    "node": (
        "deploy/example.yaml",
        "deploy/keyed.yaml",
        "deploy/relays/node.yaml",
        "docs/operate-keyed-1.yaml",
        "docs/operate-owners-1.yaml",
        "docs/operate-revive-1.yaml",
        "docs/operate-distribution-2.yaml",
        "full/node.yaml",
    ),
    "quorum": (
        "deploy/voters/v1.yaml",
        "deploy/voters/v2.yaml",
        "deploy/voters/v3.yaml",
        "deploy/relays/voter.yaml",
        "full/voter.yaml",
    ),
    "relay": (
        "deploy/relays/region.yaml",
        "deploy/relays/zone.yaml",
        "docs/operate-distribution-1.yaml",
        "full/relay.yaml",
    ),
    "router": ("deploy/zones/ljubljana-r1.yaml", "deploy/zones/maribor-r1.yaml", "full/router.yaml"),
    "members": ("full/members.yaml", "full/members-defaults.yaml"),
    "target": ("deploy/target.yaml",),
}


def decoded(kind: str, file: str) -> Any:
    """What the loader makes of the file, by the names of its keys."""
    name, attribute = LOADERS[kind]
    found = getattr(module(name), attribute)("files/" + file)
    return msgspec.to_builtins(found[0] if isinstance(found, tuple) else found)


def main() -> None:
    """Runs each command twice, in copies of its own, to see that its output is always the same."""
    recorded = []
    for _ in range(2):
        with tempfile.TemporaryDirectory() as path:
            prepare(Path(path))
            os.chdir(path)
            recorded.append([{"arguments": list(each), **run_command(each)} for each in COMMANDS])
            files = [
                {"kind": kind, "file": file, "decoded": decoded(kind, file)}
                for kind, names in FILES.items()
                for file in names
            ]
    assert recorded[0] == recorded[1]
    nouns = {noun: describe(noun) for noun in module("cli.main").NOUNS}
    write_json("commands.json", {"nouns": nouns, "runs": recorded[0]})
    write_json("settings_files.json", files)


if __name__ == "__main__":
    main()
