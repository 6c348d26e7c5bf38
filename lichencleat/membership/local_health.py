"""Lifeguard's local health: a member that gets no answers may itself be slow, so it then waits longer."""

from __future__ import annotations

MAX_SCORE = 8  # intervals are multiplied by at most MAX_SCORE + 1, that is 9


class LocalHealth:
    """The health score of this member: 0 is healthy; a greater score makes the member's intervals longer."""

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Lower the score; called when a probe was answered."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """Raise the score; called when an event indicates that this member is slow."""
        self.score = min(MAX_SCORE, self.score + 1)

    def stretch(self, interval: int) -> int:
        """Return the interval multiplied by the score plus 1."""
        return interval * (self.score + 1)
