"""Router: a process that carries requests from callers to nodes by the newest routing plan.

It prefers the nodes of its own zone while these can serve the load. `core.py`, `keys.py` and `nodes.py`
decide and do no I/O; `links.py` and `door.py` own the sockets.
"""
