"""What lies between the members: each message takes a drawn time, is lost, comes twice, or meets a cut."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from lichencleat.testkit.simulation.clockwork import Clockwork

NEAR = (100, 1_500)  # µs: a message within a zone, with its way through two kernels


class Network:
    """Ends are whatever names them. Messages overtake each other: a link that broke and came back does so
    too.
    """

    def __init__(self, clockwork: Clockwork, rng: random.Random) -> None:
        self.clockwork, self.rng = clockwork, rng
        self.cuts: dict[tuple[Any, Any], int] = {}  # (from, to) -> how many cuts lie on it
        self.slow: dict[Any, int] = {}  # end -> µs more to and from it
        self.loss = 0.0
        self.repeats = 0.0
        self.sent = self.lost = 0

    def cut(self, pairs: list[tuple[Any, Any]]) -> None:
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def heal(self, pairs: list[tuple[Any, Any]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1

    def send(self, sender: Any, to: Any, deliver: Callable[..., None], *args: Any) -> None:
        self.sent += 1
        if self.cuts.get((sender, to)) or self.rng.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if self.rng.random() < self.repeats else 1):
            span = self.rng.randint(*NEAR) + self.slow.get(sender, 0) + self.slow.get(to, 0)
            self.clockwork.after(span, self.arrive, sender, to, deliver, args)

    def arrive(self, sender: Any, to: Any, deliver: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.cuts.get((sender, to)):
            self.lost += 1
        else:
            deliver(*args)
