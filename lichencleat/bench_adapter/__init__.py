"""The adapter between the operators' simulator and the admission controller; it decides nothing.

`wire` handles batches, `instance` feeds one node's events to its controller, `actions` encodes decisions.
"""
