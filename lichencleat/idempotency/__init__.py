"""Durable idempotency records: requests with an idempotency key keep their results across restarts.

Guarantees: a keyed request is sent to the interpreter only after its intent is durable, and is answered only
after its result is durable. Within its window, no restart makes the request run a second time, and a repeat
gets the same result or an error. Not guaranteed: that a repeat after a crash gets the result. If only the
intent survived, the request may have run, and the records can't prove whether it did.

`IdempotencyService` owns the store and composes:

- `index`: the state of each key, without I/O;
- `writer`: writes to the store, and the health of the disk;
- `intents`: runs that wait for their intent, and the results of runs;
- `lookups`: answers to repeats;
- `earlier_runs`: runs of an earlier incarnation;
- `node_time`: the clock that measures the windows.

`records` defines the stored format; `ownership` rejects a directory of another node. The design is described
in docs/idempotency.md.
"""
