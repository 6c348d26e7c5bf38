"""Which zone serves, decided in common, and how far a router keeps traffic near: docs/failover.md.

Promised: every order of zones has a number and one owner that gave it; who knows a newer one refuses an
older one; no order sends more to a zone than it is known to carry. What a router does by itself is bounded:
a share that spills, a budget for repeats, a part of a zone's nodes left out. Not promised: that all act on
the newest order at once; a router that hears nothing keeps the last one, and only grows more careful.

Decisions, all without I/O: `state.py` evidence and orders, a part of the group's state; `judge.py` the
owner's looks; `near.py` what a router spills; `budget.py` how often it tries again; `leave_out.py` which
nodes it avoids. The process that carries requests by them is not built yet.
"""
