"""Router: a process that forwards requests from callers to nodes according to the newest routing plan.

A router prefers the nodes of its own zone while these can serve the load. `core.py`, `keys.py` and `nodes.py`
make the decisions and do no I/O; `links.py` and `door.py` own the sockets.
"""
