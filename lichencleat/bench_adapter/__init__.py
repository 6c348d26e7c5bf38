"""The adapter between the simulator's wire and the decisions; it holds no decision."""
