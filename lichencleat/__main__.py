"""`python -m lichencleat`: one real node, as the platform's environment describes it."""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the imports take a while; what it asks for is read after them

from lichencleat.net.program import main  # noqa: E402

sys.exit(main())
