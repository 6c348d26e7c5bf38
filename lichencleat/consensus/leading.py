"""What is only a leader's: its followers, rounds of reads, proposals that wait, a handing over; no I/O.

Made anew at each election won and thrown away with the leadership, so that nothing of an older term is left
in it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from lichencleat.consensus.following import Progress
from lichencleat.consensus.group import agreed, has_majority
from lichencleat.consensus.terms import NOBODY, Reason

WAITING_MOST = 4_096  # proposals not committed yet: some MB, and at most a second of a slow group
READS_MOST = 4_096  # reads that wait for a round


class Leading:
    def __init__(self, seat: int, first: int) -> None:
        self.seat = seat
        self.first = first  # index of this term's first entry: before it is committed nothing is known to be
        self.progress: dict[int, Progress] = {}
        self.hungry: dict[int, None] = {}  # followers that may be sent something
        self.waiting: dict[int, Any] = {}  # index -> the proposal's ticket
        self.reads: list[tuple[Any, int, int]] = []  # ticket, index, the round that proves it
        self.round = 0  # the last one begun
        self.proved = 0  # the last one that a majority answered
        self.moving: tuple[int, int] | None = None  # seat that is to lead, µs when that is given up

    def regroup(self, seats: Iterable[int], next_index: int, now: int) -> None:
        """The members are others now: who is new is fed, who is gone is not."""
        seats = set(seats) - {self.seat}
        for gone in set(self.progress) - seats:
            del self.progress[gone]
            self.hungry.pop(gone, None)
        for new in sorted(seats - set(self.progress)):
            self.progress[new] = Progress(next_index, now)
            self.hungry[new] = None

    def feed_all(self) -> None:
        self.hungry = dict.fromkeys(self.progress)

    def reached(self, voters: frozenset[int], durable: int) -> int:
        """The highest index that a majority has on its disks."""
        return agreed(voters, lambda each: durable if each == self.seat else self.matched(each))

    def matched(self, seat: int) -> int:
        progress = self.progress.get(seat)
        return progress.match if progress else 0

    def heard(self, since: int) -> set[int]:
        """Who answered after that moment; the leader itself is one of them."""
        return {self.seat, *(seat for seat, each in self.progress.items() if each.heard_at > since)}

    # -- reads: a leader that was replaced must not answer from what it knows -------------------------

    def ask(self, ticket: Any, index: int) -> Reason | None:
        """A read that holds at `index` once a round that began after it was answered."""
        if len(self.reads) >= READS_MOST:
            return Reason.BUSY
        self.reads.append((ticket, index, self.round + 1))
        return None

    def begins_round(self) -> bool:
        """Is a new round due? Then it has begun: its number goes out with the leader's next word."""
        if self.reads and self.proved == self.round:
            self.round += 1
            return True
        return False

    def answered(self, voters: frozenset[int]) -> None:
        rounds = agreed(voters, lambda each: self.round if each == self.seat else self.answered_by(each))
        self.proved = max(self.proved, rounds)

    def answered_by(self, seat: int) -> int:
        progress = self.progress.get(seat)
        return progress.round if progress else 0

    def proved_reads(self) -> Iterator[tuple[Any, int]]:
        while self.reads and self.reads[0][2] <= self.proved:
            ticket, index, _ = self.reads.pop(0)
            yield ticket, index

    # -- handing over ------------------------------------------------------------------------------

    def ready_to_move(self, last: int) -> int:
        """The seat that may lead now, as it has all that this leader has; else nobody."""
        if self.moving and self.matched(self.moving[0]) >= last:
            return self.moving[0]
        return NOBODY

    def leads_majority(self, voters: frozenset[int], since: int) -> bool:
        return has_majority(voters, self.heard(since))
