"""The check of fencing tokens by receivers that act on the results of jobs."""

from __future__ import annotations

MAX_TOKENS = 4_096  # jobs whose tokens are remembered; a consensus group allows far fewer jobs


class Fence:
    """Rejects a fencing token that is older than a token accepted for the same job before.

    Args:
        tokens: Newest accepted token of each job. A receiver must store them together with the results;
            otherwise it accepts an old token after a restart.
    """

    def __init__(self, tokens: dict[str, int] | None = None) -> None:
        self.tokens = dict(tokens or {})
        self.rejected = 0

    def accept(self, job: str, token: int) -> bool:
        """Record `token` and return True; return False if the token is too old or there are too many jobs."""
        known = self.tokens.get(job, 0)
        if token < known or (known == 0 and len(self.tokens) >= MAX_TOKENS):
            self.rejected += 1
            return False
        self.tokens[job] = token
        return True
