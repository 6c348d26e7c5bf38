"""An embedded key-value store: a segmented write-ahead log that survives a power cut at any moment.

The store has `put`, `delete` and batches of both, which are confirmed once they are on disk; reads by key,
ordered scans by prefix, snapshots, expiry, and compaction in bounded steps. It guarantees that every
confirmed batch is present and complete after a power cut, and that a batch is never visible in part. The
guarantees do not hold on a disk that reports a flush as done before the data is durable. One process at a
time may open a store's directory. docs/store.md describes the file format, and which data survives a failure.

`store.Store` is for programs on a Twisted reactor, `engine.Engine` for all others. The decisions are made
without I/O in `maintenance.py` (which background job runs next), `log_tail.py` (which records at the log's
end are known to be flushed), `capacity.py` (which batches fit the limits) and `index.py` (a key's location,
now and in a snapshot). All I/O goes through `disk.Disk`.
"""
