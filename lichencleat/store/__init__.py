"""An embedded store: keys and values in a segmented log that survives a cut of power at any moment.

Its job: `put`, `delete` and whole batches of both, confirmed once they are on disk; reads by key, ordered
scans by prefix, snapshots, expiry, compaction in bounded steps. It promises that what it confirmed is there
after any cut, whole, and that it never gives back what it did not fully accept. It does not promise anything
of a disk that lies about a flush, and shares its directory with no second process. The file format and what
survives what: docs/store.md.

Its decisions stand without I/O in `upkeep.py` (what to clean, when to write a checkpoint), `tail.py` (what a
log's tail proves) and `index.py` (what a key's place is, now and in a snapshot). All I/O goes through
`disk.Disk`.
"""
