"""One owner at a time for a job of the fleet: leases from the group's log, and fencing tokens.

Promised: a job has at most one owner in the log, each with a token that only grows; whoever checks tokens
never accepts an older one after a newer. As long as clocks keep the stated drift, an owner has stopped by
itself before the next one begins. Not promised: that an owner notices in time. A pause may lie between any
two lines; only the token makes its late act harmless.

Decisions, all without I/O: `jobs.py` who owns what (a part of the group's state, the same at each member),
`choice.py` who is next, `expiry.py` when the leader may say that a candidate is gone, `leases.py` when an
owner may act and when it asks anew, `fence.py` which token is accepted. `holder.py` carries them out in a
process that wants jobs.
"""
