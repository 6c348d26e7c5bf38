"""The adapter between the operators' simulator and the admission controller; it makes no decisions.

`wire` handles batches, `instance` feeds one node's events to its controller, `actions` encodes decisions.
"""
