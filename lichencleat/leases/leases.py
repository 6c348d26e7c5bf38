"""What an owner may do and until when, by its own monotonic clock; no I/O.

A lease counts from before the renewal was asked for, less the drift of clocks. So it ends here before the
leader may say that this candidate is gone. An answer that comes late is worth what is left of it.
"""

from __future__ import annotations

from lichencleat.leases.terms import DRIFT, LEASE, RENEW, Owned, Renew


class Leases:
    """Of one candidate. The host asks `next_renewal`, sends it, tells the answer; and acts only under
    `may_act`.
    """

    def __init__(self, name: str, zone: str, life: int, lease: int = LEASE, drift: float = DRIFT) -> None:
        self.name, self.zone, self.life = name, zone, life
        self.span = round(lease * (1 - drift))
        self.each = lease // RENEW
        self.until = 0  # µs: acts under what is held are allowed before
        self.held: dict[str, int] = {}  # job -> token
        self.asked_at: int | None = None  # of the renewal under way
        self.ask_at = 0
        self.healthy = True
        self.knows: list[str] = []  # see terms.Candidate
        self.let_go: list[str] = []  # asked back
        # stopped acting on, and not known yet to be released: an older renewal's answer may not begin them
        # again
        self.releasing: dict[str, int] = {}
        self.leaving = False

    def next_renewal(self, now: int) -> Renew | None:
        """To be sent now, None where it is not time, or one is under way."""
        if self.asked_at is not None or now < self.ask_at or self.leaving:
            return None
        self.lapse(now)
        self.asked_at = now
        return Renew(self.name, self.zone, self.life, self.healthy, dict(self.held), self.knows)

    def answered(self, now: int, owned: Owned) -> dict[str, int]:
        """The renewal under way was confirmed. Gives the jobs that begin."""
        asked_at, self.asked_at = self.asked_at, None
        assert asked_at is not None
        self.ask_at = asked_at + self.each
        if owned.refused:
            self.held = {}
            return {}
        self.until = max(self.until, asked_at + self.span)
        if now >= self.until or self.leaving:
            self.held = {}
            return {}
        yours = {job: token for job, token in owned.yours.items() if self.releasing.get(job) != token}
        begin = {job: token for job, token in yours.items() if self.held.get(job) != token}
        self.held = yours
        self.let_go = [job for job in owned.let_go if job in self.held]
        return begin

    def failed(self, now: int) -> None:
        """Nobody knows whether the renewal was taken: what is held counts by the one before."""
        self.asked_at = None
        self.ask_at = now + self.each // RENEW

    def lapse(self, now: int) -> list[str]:
        """The jobs that end as the lease is over. The next renewal begins from nothing."""
        if now < self.until or not self.held:
            return []
        lost, self.held, self.let_go = list(self.held), {}, []
        return lost

    def may_act(self, now: int, job: str) -> int | None:
        """The token to act under, None where this process is not its owner, or not surely any more.

        The clock may stop between this answer and the act; so the token goes with the act, and the receiver
        looks at it.
        """
        return self.held.get(job) if now < self.until else None

    def released(self, job: str) -> int | None:
        """It has stopped acting on that job. The token to release it by, repeated until `is_released`."""
        self.let_go = [each for each in self.let_go if each != job]
        token = self.held.pop(job, None)
        if token is not None:
            self.releasing[job] = token
        return token

    def is_released(self, job: str) -> None:
        """The log has it: somebody else may own it now."""
        self.releasing.pop(job, None)

    def leaves(self) -> None:
        self.leaving = True
        self.held = {}

    def deadline(self) -> int:
        """µs: when something is next to be done."""
        times = [self.until] if self.held else []
        if self.asked_at is None and not self.leaving:
            times.append(self.ask_at)
        return min(times, default=self.until)
