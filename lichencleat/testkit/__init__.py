"""The project's own laboratory. Its job: to cause, in small and in large, what goes wrong between processes,
and to judge what came of it. It decides nothing about the node; its worlds are its own models.

`explore.py` tries all orders of a small setting, `sim/` draws faults by seed in one process, `checkers/`
judge histories, `rig/` starts real processes. Nothing outside `testkit/`, `cli/` and the tests imports it.
"""
