"""Admission control for one node: concurrency limiting, queueing, scheduling and load shedding.

A host feeds events to the controller and carries out the decisions that it pulls; the package does no I/O and
reads no clock. `types` holds the interface between the two, `node_spec` decodes the start settings.
"""
