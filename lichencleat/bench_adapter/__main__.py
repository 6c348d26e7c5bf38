"""`python -m lichencleat.bench_adapter`: reads batches on standard input and answers each on standard
output."""

import sys

from lichencleat.admission.node_spec import InvalidInputError
from lichencleat.bench_adapter.wire import Wire


def main() -> int:
    wire = Wire()
    for number, line in enumerate(sys.stdin, 1):
        try:
            reply = wire.answer(line)
        except InvalidInputError as bad:
            print(f"benchlink: line {number}: {bad}", file=sys.stderr)
            return 2
        sys.stdout.write(reply)
        sys.stdout.flush()
    return 0


sys.exit(main())
