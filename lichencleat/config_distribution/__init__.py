"""Distributes the fleet's configuration to every node: routes, tenants and the like, in numbered batches.

Guarantees: a batch is applied as a whole or not at all; a node's version never decreases while its process
runs, whichever relay the node follows; two processes with the same version hold the same bytes;
lost, late or corrupt data is detected by a digest. Not guaranteed: that all nodes have a version at the
same moment, or that updates arrive while no relay can be reached (a node then keeps its version and reports
the version's age).

A group of voters numbers the batches (`source.py`), and tiers of relays pass the batches down a tree. Each
subscriber polls the process above it in the tree, so nothing waits for a slow subscriber. These modules do no
I/O: `feed.py` decides what a subscriber is sent next, `follow.py` decides which relay is followed,
`taking.py` decides what may be applied, and `counts.py` adds up the version counts along the tree. Design:
docs/config_distribution.md.
The distribution is disabled unless the operators' file has settings for it; when disabled, the package is
not imported.
"""
