"""A voter as of a version that knows fewer parts: `python -m lichencleat.testkit.cluster.older_voter PARTS
quorum run
FILE`; PARTS are those that it does not know, with commas between.

It says which it knows, as each version from landing 6 on does.
"""

from __future__ import annotations

import sys

from lichencleat.cli.main import run
from lichencleat.consensus.state_machine import ReplicatedState
from lichencleat.coordinator import states
from lichencleat.testkit.cluster.process_faults import install_faults


def without(names: set[str]) -> None:
    known = states.make_control_plane_states

    def parts() -> dict[str, ReplicatedState]:
        return {name: part for name, part in known().items() if name not in names}

    states.make_control_plane_states = parts


def main() -> int:
    missing, *words = sys.argv[1:]
    install_faults()
    without(set(missing.split(",")))
    return run(words)


if __name__ == "__main__":
    sys.exit(main())
