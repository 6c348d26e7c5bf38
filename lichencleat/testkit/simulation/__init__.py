"""The same state machines in one process: on a drawn network, drawn disks and drawn clocks, the same to the
byte for a seed.

`clockwork.py` time, `network.py` what is between, `group.py` voters with their disks, `clients.py` who asks
them, `faults.py` what is drawn to go wrong and how a failing schedule is made short, `run.py` one run and
many of them.
"""
