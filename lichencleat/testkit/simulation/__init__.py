"""Simulations that run the program's state machines in one process, with a simulated network, simulated disks
and simulated clocks. The seed fully determines a run.

The consensus simulation: `clockwork.py` simulated time, `network.py` message delivery, `group.py` members of
a consensus group with their disks, `clients.py` clients of the group, `faults.py` the random fault schedule
and its reduction to a minimal one, `run.py` the command that plays one or many seeds.
"""
