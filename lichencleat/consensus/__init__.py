"""Raft: a replicated log with a few voters, and any number of learners that follow it.

A proposal that was confirmed to a client stays at the same index in every member's log and is applied exactly
once. While a majority of the voters can communicate and write, there is a leader that accepts proposals.
While faults last, there is no bound on the time until a proposal is confirmed. No guarantee at all holds if a
disk confirms a flush that it has not made, or if a voter's directory is restored from a copy while the other
members are unreachable.

Literature: Raft (Ongaro and Ousterhout 2014) and Ongaro's thesis (2014): leadership transfer 3.10, membership
changes by single steps 4.1, sessions 6.3, linearizable reads 6.4, pre-vote 9.6.

The core does no I/O. `raft_node` is its interface to the host and is composed of `node_state`, `follower`,
`replicator` and `elector`. `raft_log` is the log in memory and `log_storage` its layout on disk; `leader` and
`progress` hold a leader's view of its followers; `configuration` has quorums and membership changes.
`state_machine` applies committed entries, each session proposal once by means of `sessions`; `identity`
detects restored copies of a directory; `supported_states` makes upgrades safe. `process` hosts the core, with
the help of the remaining modules. `coordinator` passes in the `ReplicatedState`s that a cluster replicates.
"""
