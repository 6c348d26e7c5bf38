"""Lifeguard's local health: a member that misses answers may be slow itself, and suspects others later."""

from __future__ import annotations

MAX_SCORE = 8  # so intervals are stretched nine times at the most


class LocalHealth:
    """A score from 0, healthy, that stretches this member's intervals."""

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """There is a sign that this member is slow."""
        self.score = min(MAX_SCORE, self.score + 1)

    def stretch(self, span: int) -> int:
        """Returns an interval, stretched by the score."""
        return span * (self.score + 1)
