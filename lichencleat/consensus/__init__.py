"""A replicated log among a few voters, with any number of learners that follow it: Raft.

Guarantees: a proposal that was confirmed to a client is at the same index of every member's log for ever, and
is applied once. While a majority of the voters can communicate and write, there is a leader that accepts
proposals. Nothing is promised about time while faults last, nothing on a disk that reports a flush which did
not happen, and nothing for a voter whose directory was restored from an older copy while the others are out
of reach.

References: Ongaro and Ousterhout 2014; Ongaro's thesis 2014 (pre-vote 9.6, leadership transfer 3.10,
single-step membership changes 4.1, sessions 6.3, read index 6.4).

Without I/O: `raft_node` (with `elector`, `follower`, `replicator` and `leader`), `raft_log`, `configuration`,
`sessions`, `identity`, `state_machine`. With I/O: `process` and the modules that it is made of. What is
replicated is passed in as `ReplicatedState`s by `coordinator`.
"""
