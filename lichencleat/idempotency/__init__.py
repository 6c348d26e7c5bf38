"""Durable idempotency records: requests with an idempotency key keep their results across restarts.

Guarantees: a request with a key is handed to the interpreter only once its intent is durable, and is answered
only once its result is. So within its window no restart makes it run a second time, and a repeat gets the
same result or an error. Not guaranteed: that a repeat after a crash gets its result; where only the intent
survived, the run may have happened, and nothing here proves more.

`IdempotencyService` owns the store and composes:

- `index`: what is known of each key, without I/O;
- `writer`: writes, and the health of the disk;
- `intents`: runs that wait for their intent, and their results;
- `lookups`: answers to repeats;
- `earlier_runs`: runs of an earlier incarnation;
- `node_time`: the clock that the windows are measured with.

`records` is the stored format, `ownership` guards against another node's directory. The design is described
in docs/idempotency.md.
"""
