"""The fleet after a power loss: docs/recovery.md.

Promised: a node takes part in what is common only under the fleet's present epoch; it counts no window on a
clock that the fleet contradicts; service returns in waves that grow while the last one stands, by one owner's
plan that lies in the log, so that it goes on whoever dies. Not promised: that a node which hears from nobody
waits for ever; after a while it serves what it can prove alone.

Decisions, all without I/O: `boot.py` what a start found, `trust.py` what is trusted from before and by which
proof, `state.py` epoch and plan as a part of the group's state, `planner.py` what the owner proposes,
`waking.py` what a node may serve. `seat.py` carries them out.
"""
