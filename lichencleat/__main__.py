"""`python -m lichencleat`: one real node, as the platform's environment describes it."""

import sys

from lichencleat.net.program import main

sys.exit(main())
