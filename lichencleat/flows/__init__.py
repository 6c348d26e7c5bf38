"""Flow export: meters the node's connections and exports them as NetFlow v9 (RFC 3954) and IPFIX (RFC 7011).

`meter.py` counts octets, packets and requests and makes flow records; `pressure.py` queues them;
`layouts.py`, `ipfix.py` and `netflow9.py` encode them; `channel.py` decides which messages are due;
`exporter.py` sends them; `assembly.py` puts these parts together for a node. `decode.py` and `collector.py`
are the receiving side, for tests and trials. Only `assembly.py`, `exporter.py` and `collector.py` do I/O.

No count is truncated to fewer bits than it has. No input makes the decoder raise or use unbounded memory.
Serving never waits for a collector. See docs/flows.md.
"""
