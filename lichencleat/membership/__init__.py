"""SWIM membership by gossip: which of hundreds of instances are alive. It does not elect a leader.

Guaranteed: some members suspect a dead member within a few probe intervals, and all members consider it dead
some seconds later; each member sends and receives a few small datagrams per second, whatever the size of the
group; two partitions merge without intervention. Not guaranteed: that all members have the same view at any
moment, or that a member considered dead really is. Based on SWIM (Das, Gupta, Motivala 2002), with the local
health of Lifeguard (Dadgar, Phillips, Currey 2018).

Modules without I/O: `gossip` (one member, composed of the following modules), `member_table` (the latest
update about each member), `dissemination` (which updates are retransmitted, and how often), `probing` (direct
and indirect probes), `suspicion` (timeouts of suspects), `state_sync` (join and anti-entropy), `local_health`
(longer intervals while this member is slow), `outbox` (actions that wait for the caller).

Other modules: `datagram_transport` (the UDP socket), `messages` (the wire format), `settings` (intervals of
the protocol), `program` (the command).
"""
