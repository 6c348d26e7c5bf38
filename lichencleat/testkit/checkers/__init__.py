"""Judges of what happened, written once for the simulation, the rig and the tests; each is checked with
planted mistakes.
"""
