"""Attempts that a router of the tests observes in one poll: sent, succeeded, rejected, lost."""

SUCCEEDED, LOST, REJECTED = (20, 20, 0, 0), (20, 2, 0, 18), (20, 10, 10, 0)
