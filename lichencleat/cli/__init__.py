"""The command line: `lichencleat NOUN VERB`, one module a noun. It decides nothing; it reads, calls, and
shows.

Wrong input is one line on standard error (what, where, what to do) and exit 2, with nothing written; what was
found to be wrong with the data is exit 1. Tables by default, `--json` beside them; progress on a terminal
only.
"""
