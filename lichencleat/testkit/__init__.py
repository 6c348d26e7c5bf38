"""Test kit: injects faults between processes, in models and in real clusters, and checks the outcome.

`explore.py` is a model checker that tries all event orders of a small setting. `simulation/` draws faults
from a seed in one process, `checkers/` check recorded histories, and `cluster/` starts real processes. Only
`cli/` and the tests import the test kit.
"""
