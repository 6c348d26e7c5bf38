"""The check of fencing tokens, for receivers that act on the results of jobs."""

from __future__ import annotations

MAX_TOKENS = 4_096  # jobs that are remembered; the group has far fewer


class Fence:
    """Accepts no older token after a newer one.

    Args:
        tokens: The tokens accepted so far. A receiver stores them together with the results, as an old token
            would be accepted after a restart otherwise.
    """

    def __init__(self, tokens: dict[str, int] | None = None) -> None:
        self.tokens = dict(tokens or {})
        self.rejected = 0

    def accept(self, job: str, token: int) -> bool:
        """Remember `token` and return True, or return False if a newer one was accepted before."""
        known = self.tokens.get(job, 0)
        if token < known or (known == 0 and len(self.tokens) >= MAX_TOKENS):
            self.rejected += 1
            return False
        self.tokens[job] = token
        return True
