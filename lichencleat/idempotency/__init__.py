"""Durable idempotency records: requests with an idempotency key keep their results across restarts.

Guarantees: a keyed request is sent to the interpreter only after its intent is durable, and is answered only
after its result is durable. Within its window, no restart makes the request run a second time, and a repeat
gets the same result or an error. Not guaranteed: that a repeat after a crash gets the result. If only the
intent survived, the request may have run, and the records can't show whether it did.

An intent is the record of a request that is about to run. An earlier run is a run that an earlier process
(incarnation) of the node started, and that may still be in progress at the interpreter.

`IdempotencyService` owns the store and composes:

- `index`: the state of each key, without I/O;
- `writer`: writes to the store, and the health of the disk;
- `intents`: writes the intent before each run, and the result after the run;
- `lookups`: answers to repeats;
- `earlier_runs`: outcomes of earlier runs, and answers to repeats that wait for them;
- `node_time`: the clock that measures the windows.

`records` defines the stored format; `ownership` rejects a directory of another node. The design is described
in docs/idempotency.md.
"""
