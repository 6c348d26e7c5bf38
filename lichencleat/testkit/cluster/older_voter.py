"""Run a voter as an older version of the program that lacks some parts of the replicated state.

Usage: `python -m lichencleat.testkit.cluster.older_voter PARTS quorum run FILE`, where PARTS are the missing
parts, separated by commas. The voter announces the parts that it supports, as a current voter does.
"""

from __future__ import annotations

import sys

from lichencleat.cli.main import run
from lichencleat.consensus.state_machine import ReplicatedState
from lichencleat.coordinator import states
from lichencleat.testkit.cluster.process_faults import install_faults


def remove_parts(names: set[str]) -> None:
    """Remove the named parts from the replicated state of this process."""
    known = states.make_control_plane_states

    def parts() -> dict[str, ReplicatedState]:
        return {name: part for name, part in known().items() if name not in names}

    states.make_control_plane_states = parts


def main() -> int:
    """Run the command line without the missing parts; returns its exit code."""
    missing_parts, *arguments = sys.argv[1:]
    install_faults()
    remove_parts(set(missing_parts.split(",")))
    return run(arguments)


if __name__ == "__main__":
    sys.exit(main())
