"""Which token is accepted by whoever acts on a job's results: never an older one after a newer; no I/O."""

from __future__ import annotations

JOBS_MOST = 4_096  # tokens kept; the group has far fewer jobs


class Fence:
    """Of one receiver. What it has accepted is kept where it keeps the results, or an old token is new after
    a restart.
    """

    def __init__(self, tokens: dict[str, int] | None = None) -> None:
        self.tokens = dict(tokens or {})
        self.refused = 0

    def accepts(self, job: str, token: int) -> bool:
        known = self.tokens.get(job, 0)
        if token < known or (known == 0 and len(self.tokens) >= JOBS_MOST):
            self.refused += 1
            return False
        self.tokens[job] = token
        return True
