"""Flow export: who sends what, as NetFlow v9 and IPFIX, made and read.

Its job: to tell ordinary collectors of the node's connections without slowing the node. So far it holds the
wire: the elements (`elements.py`), an encoder each (`ipfix.py`, `netflow9.py`), and a decoder of both
(`decode.py`), all without I/O. It promises that no count is cut to fewer bits than it has, and that no bytes
whatever make the decoder raise or grow without bound. It does not meter or send anything yet: docs/flows.md,
docs/ROADMAP.md.
"""
