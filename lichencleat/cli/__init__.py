"""The command line, `lichencleat NOUN VERB`, with one module per noun. The modules hold no decisions of the
system: they read input, call other packages and print the results.

Wrong input is reported in one line on standard error (what is wrong, where, what to do) with exit code 2, and
nothing is written. A fault in the data or a refused change has exit code 1. Output is a table by default and
JSON with `--json`. Progress is shown only on a terminal.
"""
