"""Run the program with the test kit's faults: ``python -m lichencleat.testkit.cluster.run_program [WORDS]``.

It takes the same arguments and environment as ``python -m lichencleat``. In addition, the settings may name
the disk with a volatile write cache, and an environment variable may name a file that controls both clocks.
"""

from __future__ import annotations

import sys

from lichencleat.__main__ import ignore_early_signals
from lichencleat.__main__ import main as run_main


def main() -> int:
    """Run the program; returns its exit code."""
    if len(sys.argv) == 1:  # a node: the imports below take a while
        ignore_early_signals()
    from lichencleat.testkit.cluster.process_faults import install_faults

    install_faults()
    return run_main()


if __name__ == "__main__":
    sys.exit(main())
