"""Real processes of the program on loopback, with faults between them: `rig.py` starts and ends them,
`relay.py` lies between any two, `heldback.py` makes a kill a cut of power.
"""
