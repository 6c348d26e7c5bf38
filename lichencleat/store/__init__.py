"""An embedded key-value store: a segmented log that survives a power cut at any moment.

It has `put`, `delete` and batches of both, confirmed once they are on disk; reads by key, ordered scans by
prefix, snapshots, expiry, and compaction in bounded steps. It guarantees that what it confirmed is there
after any power cut, complete, and that it never returns what it did not fully accept. It guarantees nothing
on a disk that lies about a flush, and shares its directory with no second process. docs/store.md has the
file format and what survives which failure.

`store.Store` is for programs on a reactor, `engine.Engine` for all others. The decisions are made without
I/O in `maintenance.py` (which job is next), `log_tail.py` (what the log's end proves), `capacity.py` (what
still fits) and `index.py` (a key's location, now and in a snapshot). All I/O goes through `disk.Disk`.
"""
