"""Simulated network: messages have random delays, and may be lost, duplicated or stopped by a cut link."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from lichencleat.testkit.simulation.clockwork import Clockwork

DELAY_RANGE_US = (100, 1_500)  # delay of a message within a zone, including the kernels of both machines


class Network:
    """Links between endpoints, which are named by any hashable value. Messages may overtake each other, as
    they do over a connection that breaks and is set up again.
    """

    def __init__(self, clockwork: Clockwork, rng: random.Random) -> None:
        self.clockwork, self.rng = clockwork, rng
        self.cut_counts: dict[tuple[Any, Any], int] = {}  # (sender, recipient) -> cuts in effect on this link
        self.extra_delay: dict[Any, int] = {}  # endpoint -> µs added to its messages, both ways
        self.loss = 0.0  # probability that a message is lost
        self.duplication = 0.0  # probability that a message arrives twice
        self.sent = self.lost = 0

    def cut(self, pairs: list[tuple[Any, Any]]) -> None:
        """Cut the links (sender, recipient). A link with several cuts works after as many heals."""
        for pair in pairs:
            self.cut_counts[pair] = self.cut_counts.get(pair, 0) + 1

    def heal(self, pairs: list[tuple[Any, Any]]) -> None:
        """Remove one cut from each of the links (sender, recipient)."""
        for pair in pairs:
            self.cut_counts[pair] -= 1

    def send(self, sender: Any, recipient: Any, deliver: Callable[..., None], *args: Any) -> None:
        """Schedule `deliver(*args)` after the delay of the link, unless the message is lost."""
        self.sent += 1
        if self.cut_counts.get((sender, recipient)) or self.rng.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            delay = (
                self.rng.randint(*DELAY_RANGE_US)
                + self.extra_delay.get(sender, 0)
                + self.extra_delay.get(recipient, 0)
            )
            self.clockwork.after(delay, self.deliver_unless_cut, sender, recipient, deliver, args)

    def deliver_unless_cut(
        self, sender: Any, recipient: Any, deliver: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        """Deliver a message, unless the link was cut while the message was on its way."""
        if self.cut_counts.get((sender, recipient)):
            self.lost += 1
        else:
            deliver(*args)
