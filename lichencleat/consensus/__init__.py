"""A replicated log of decisions among a few voters, with any number of learners that follow it.

Its job: a proposal that was confirmed to a client stands in the same place of every member's log for ever,
and is applied once; while a majority of the voters can talk and write, there is a leader that takes
proposals. It promises nothing about time while faults go on, and nothing at all on a disk that says
"flushed" and lies, or on a voter's directory put back from a copy while the others are out of reach. By Raft
(Ongaro and Ousterhout 2014; Ongaro's thesis 2014: pre-vote 9.6, transfer 3.10, members by single steps 4.1,
sessions 6.3, read index 6.4).

Decisions, all without I/O: `voter.py` who leads and what is committed, `leading.py` what each follower is
sent, `entries.py` the log in memory, `group.py` who counts and which change is allowed, `sessions.py` what a
repeat is told, `seats.py` who a peer really is. Off by default; nothing else of the program imports it.
"""
