"""`python -m lichencleat`: one real node, as the platform's environment describes it; with a command, that
command.
"""

import signal
import sys


def ignore_early_signals() -> None:
    """Ignore SIGHUP and exit cleanly at SIGTERM while the node is being imported."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def main() -> int:
    if len(sys.argv) > 1:
        try:
            from lichencleat.cli.main import run
        except ModuleNotFoundError as missing:
            print(f"lichencleat: needs {missing.name}: pip install 'lichencleat[commands]'", file=sys.stderr)
            return 2
        return run(sys.argv[1:])
    # the imports take a while; what it asks for is read after them, and nothing is owed before
    ignore_early_signals()
    from lichencleat.node.program import main as node

    return node()


if __name__ == "__main__":
    sys.exit(main())
