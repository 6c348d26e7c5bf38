"""The program `python -m lichencleat.bench_adapter`: answers batches from stdin on stdout."""

import sys

from lichencleat.admission.node_spec import InvalidInputError
from lichencleat.bench_adapter.wire import Wire

EXIT_INVALID_INPUT = 2


def main() -> int:
    """Answer batches until the input ends; returns the exit code."""
    wire = Wire()
    for line_number, line in enumerate(sys.stdin, 1):
        try:
            answer = wire.answer(line)
        except InvalidInputError as error:
            print(f"benchlink: line {line_number}: {error}", file=sys.stderr)
            return EXIT_INVALID_INPUT
        sys.stdout.write(answer)
        sys.stdout.flush()
    return 0


sys.exit(main())
