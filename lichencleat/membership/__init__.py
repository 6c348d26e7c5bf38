"""SWIM membership by gossip: which of hundreds of instances are alive. It elects nobody.

Guarantees: a dead member is suspected by some within a few probe intervals and known as dead by all some
seconds later; each instance sends and receives a few small datagrams a second, however many there are; two
partitions merge again by themselves. Not guaranteed: that all see the same at one moment, or that a member
called dead is. After SWIM (Das, Gupta, Motivala 2002), with the local health of Lifeguard (Dadgar, Phillips,
Currey 2018).

Without any I/O: `gossip` (one member, composed of the following), `member_table` (which update on a member
holds), `dissemination` (which updates are passed on, how often), `probing` (direct and indirect probes),
`suspicion` (timeouts of suspects), `state_sync` (join and anti-entropy), `local_health`, `outbox`.
`datagram_transport` is the socket, `messages` the wire format, `program` the command.
"""
