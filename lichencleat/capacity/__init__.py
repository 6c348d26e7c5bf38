"""Computes what a fleet of a given size costs, role by role, from slopes measured by benchmarks:
docs/CAPACITY.md.
"""
