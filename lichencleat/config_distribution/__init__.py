"""The fleet's configuration carried to every node: routes, tenants and the like, in numbered batches.

Promises: a batch is in force whole or not at all; a node's version never goes back within a life, whichever
relay speaks; two processes that say the same version hold the same bytes; what is lost, late or spoilt is
found by a digest. Not promised: that all nodes have a version at the same moment, nor news without any
relay (a node then goes on with what it has and says how old it is).

A group of voters numbers the batches (`source.py`), relays in tiers hand them down, each subscriber asks
the one above it and is answered, so nothing waits for anybody who is slow. Decided without I/O: what a
subscriber is sent next (`feed.py`), which relay is followed and what may be taken over (`follow.py`), what
is counted up the tree (`counts.py`). Design: docs/config_distribution.md.
Off unless the operators' file names it; off means not imported.
"""
