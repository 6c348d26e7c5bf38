"""Receipts and results that outlive a restart: docs/idempotency.md.

Promised: a receipted request is handed to the interpreter only once its intent survives a cut, and is
honoured only once its result does; so in its window no restart makes it run a second time, and a repeat is
told the same result or is given up. Not promised: that a repeat after a cut gets its result; where the
intent alone survived, the run may have happened, and nothing here proves more.

Decisions, all without I/O: `book.py` what is known of a key, what a repeat is told, what an intent without a
result proves, when there is no room. `keeper.py` carries them out on the store.
"""
