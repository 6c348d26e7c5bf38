"""What a fleet of a given size costs, role by role, from slopes that were measured: docs/CAPACITY.md."""
