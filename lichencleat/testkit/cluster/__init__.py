"""Cluster harness: real processes of the program on loopback, with injected faults.

`rig.py` starts and stops the processes. `relay.py` forwards the traffic between them and can delay or block
it. `heldback.py` is a disk that loses unflushed writes when a process is killed, as in a power loss.
"""
