"""A process that carries requests from callers to nodes: near while that is safe, by the newest order.

`core.py`, `keys.py` and `nodes.py` decide and do no I/O; `links.py` and `door.py` are sockets.
"""
