"""Raft: a replicated log with a few voters, and any number of learners that follow it.

A proposal that was confirmed to a client is at the same index of every member's log for ever, and is applied
once. While a majority of the voters can communicate and write, there is a leader that accepts proposals.
Nothing is promised about time while faults last; and nothing at all on a disk that confirms a flush it has
not made, or for a voter's directory that is restored from a copy while the other members are unreachable.

Literature: Raft (Ongaro and Ousterhout 2014) and Ongaro's thesis (2014): leadership transfer 3.10, membership
changes by single steps 4.1, sessions 6.3, linearizable reads 6.4, pre-vote 9.6.

The core does no I/O. `raft_node` is its interface to the host; it is built from `node_state`, `follower`,
`replicator` and `elector`. `raft_log` is the log in memory and `log_storage` its layout on disk; `leader` and
`progress` hold what a leader knows of its followers; `configuration` has quorums and membership changes.
`state_machine` applies committed entries behind `sessions`; `identity` detects restored copies of a
directory; `supported_states` guards upgrades. `process` is the host of the core, with the modules that it is
made of; what is replicated is passed in as `ReplicatedState`s by `coordinator`.
"""
