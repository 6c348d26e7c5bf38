"""What a node may serve, by what it knows since its start; no I/O.

Shut until the fleet's word comes; with that, as far as it says. Where nobody answers for a while, the node
opens by itself, slowly: what it can prove alone it may serve, and waiting for ever helps nobody.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.recovery.boot import Clock
from lichencleat.recovery.terms import Report, Word
from lichencleat.recovery.trust import Known, may_serve_receipted

ALONE = (
    4_000_000  # µs without a word after which a node goes on by itself: voters that have power elect in one
)
ALONE_STEP = (
    0.05  # of its arrivals, for each second alone: in 20 s it is open, as gently as a cold engine warms
)
OFTEN, SELDOM = 400_000, 2_000_000  # µs from one report to the next, while it opens and when it is open
SECOND = 1_000_000  # µs


@dataclass(frozen=True, slots=True)
class May:
    share: float  # of the arrivals
    receipted: bool
    why: str


class Waking:
    def __init__(
        self, node: str, zone: str, life: int, clean: bool, epoch: int, clock: Clock, now: int
    ) -> None:
        """`epoch`: the last that it took part in; `now`: µs of the monotonic clock at its start."""
        self.node, self.zone, self.life, self.clean = node, zone, life, clean
        self.epoch, self.clock = epoch, clock
        self.heard = False  # since its start
        self.alone_since: int | None = now  # nobody answers, or nobody plans
        self.share = 0.0
        self.clock_off = 0
        self.why = "it waits for the fleet's word"
        self.asked_at: int | None = None
        self.ask_at = now
        self.ready = self.proof = False
        self.wants_proof = True  # it keeps receipts on a disk

    def known(self) -> Known:
        right = self.clock_off == 0 and (self.clock is Clock.PLAUSIBLE or self.heard)
        return Known(self.proof or not self.wants_proof, self.heard, right)

    def may(self, now: int) -> May:
        """At each moment. The share is no older epoch's; without any word it comes from time alone."""
        share, why = self.share, self.why
        if self.alone_since is not None and now - self.alone_since >= ALONE:
            alone = min(1.0, ALONE_STEP * (1 + (now - self.alone_since - ALONE) // SECOND))
            if alone > share:
                share, why = alone, f"{'nobody plans' if self.heard else 'nobody answers'}: it goes on alone"
        receipted = may_serve_receipted(self.known())
        if not receipted:
            why = f"its clock is off by {self.clock_off / SECOND:.0f} s" if self.clock_off else why
        return May(share, receipted, why)

    # -- reports ---------------------------------------------------------------------------------------

    def next_report(self, now: int, unix: int, strain: float, speed: float) -> Report | None:
        """To be sent now, None where it is not time, or one is under way."""
        if self.asked_at is not None or now < self.ask_at:
            return None
        self.asked_at = now
        return Report(
            self.node,
            self.zone,
            self.life,
            self.clean,
            self.epoch,
            unix,
            self.ready,
            self.proof,
            strain,
            speed,
        )

    def answered(self, now: int, word: Word) -> bool:
        """Did a new epoch begin for this node?"""
        self.asked_at = None
        new = word.epoch > self.epoch
        if word.epoch >= self.epoch:
            self.heard = True
            self.epoch, self.share = word.epoch, word.share
            self.clock_off, self.why = word.clock_off, word.why
            if not word.unowned:
                self.alone_since = None
            elif self.alone_since is None:
                self.alone_since = now
        self.ask_at = now + (SELDOM if self.share >= 1.0 and not word.often else OFTEN)
        return new

    def failed(self, now: int) -> None:
        """Nobody answered: what was said last holds, and may only be used less."""
        self.asked_at = None
        self.ask_at = now + OFTEN
