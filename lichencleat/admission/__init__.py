"""Admission control for one node: concurrency limiting, queueing, scheduling and load shedding.

A host passes events to the controller, asks it for decisions and carries them out; the package does no I/O
and reads no clock. `types` defines the interface between host and controller, `node_spec` decodes the start
settings.
"""
