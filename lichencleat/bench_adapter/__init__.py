"""The adapter between the operators' simulator and the admission controller; the adapter decides nothing.

`wire` handles batches of events, `instance` passes one node's events to the node's controller, `actions`
encodes decisions, `errors` has the errors of invalid input.
"""
