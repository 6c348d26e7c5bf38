"""Who is there, among hundreds of instances that may talk to each other; it informs and decides nothing that
must be single.

Promised: who is gone is suspected by somebody within a few periods and known as gone by all some seconds
later; each instance sends and hears a few small datagrams a second, however many there are; two halves that
were apart come together by themselves. Not promised: that all see the same at one moment, or that who is
called gone is. By SWIM (Das, Gupta, Motivala 2002), with the local health of Lifeguard (Dadgar, Phillips,
Currey 2018).

Decisions, all without I/O: `table.py` which word on a member holds, `rumors.py` what is passed on how often,
`gossip.py` who is probed, suspected, called gone. `port.py` is the socket.
"""
