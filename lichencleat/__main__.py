"""The program ``python -m lichencleat``: runs the command in its arguments, or the node without arguments.

The node is configured by the platform's environment.
"""

import signal
import sys


def ignore_early_signals() -> None:
    """Ignore SIGHUP and exit cleanly at SIGTERM while the node is being imported."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def main() -> int:
    """Run the command or the node; returns the exit code."""
    if len(sys.argv) > 1:
        try:
            from lichencleat.cli.main import run
        except ModuleNotFoundError as missing:
            print(f"lichencleat: needs {missing.name}: pip install 'lichencleat[commands]'", file=sys.stderr)
            return 2
        return run(sys.argv[1:])
    # Importing the node takes a while. Only then does the node read its configuration and accept requests.
    ignore_early_signals()
    from lichencleat.node.program import main as node

    return node()


if __name__ == "__main__":
    sys.exit(main())
