"""Distributes the fleet's configuration to every node: routes, tenants and the like, in numbered batches.

Guarantees: a batch is applied as a whole or not at all; a node's version never decreases within a
life of its process, whichever relay it follows; two processes with the same version hold the same bytes;
lost, late or corrupt data is detected by a digest. Not guaranteed: that all nodes have a version at the
same moment, or that updates arrive without any relay (a node then keeps its version and reports its age).

A group of voters numbers the batches (`source.py`), tiers of relays pass them down, and each subscriber
polls the process above it, so nothing waits for a slow subscriber. Decided without I/O: what a subscriber
is sent next (`feed.py`), which relay is followed and what may be applied (`follow.py`), and the version
counts that are added up the tree (`counts.py`). Design: docs/config_distribution.md.
Disabled unless the operators' file names it; when disabled, the package is not imported.
"""
