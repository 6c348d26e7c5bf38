"""Checkers of recorded behavior, shared by the simulations, the cluster harness and the tests. Tests verify
each checker with injected bugs.
"""
