"""What is only a leader's: its followers, rounds of reads, proposals that wait, a handing over; no I/O.

Made anew at each election won and thrown away with the leadership, so that nothing of an older term is left
in it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from lichencleat.consensus.configuration import has_majority, quorum_value
from lichencleat.consensus.messages import NO_MEMBER
from lichencleat.consensus.progress import Progress
from lichencleat.transport.outcomes import RejectReason

MAX_PENDING_PROPOSALS = 4_096  # proposals not committed yet: some MB, and at most a second of a slow group
MAX_PENDING_READS = 4_096  # reads that wait for a round


class LeaderState:
    def __init__(self, seat: int, first: int) -> None:
        self.member_id = seat
        self.first_index = (
            first  # index of this term's first entry: before it is committed nothing is known to be
        )
        self.progress: dict[int, Progress] = {}
        self.pending_sends: dict[int, None] = {}  # followers that may be sent something
        self.pending_proposals: dict[int, Any] = {}  # index -> the proposal's ticket
        self.pending_reads: list[tuple[Any, int, int]] = []  # ticket, index, the round that proves it
        self.read_round = 0  # the last one begun
        self.confirmed_round = 0  # the last one that a majority answered
        self.transfer: tuple[int, int] | None = None  # seat that is to lead, µs when that is given up

    def update_members(self, seats: Iterable[int], next_index: int, now: int) -> None:
        """The members are others now: who is new is fed, who is gone is not."""
        seats = set(seats) - {self.member_id}
        for gone in set(self.progress) - seats:
            del self.progress[gone]
            self.pending_sends.pop(gone, None)
        for new in sorted(seats - set(self.progress)):
            self.progress[new] = Progress(next_index, now)
            self.pending_sends[new] = None

    def schedule_all(self) -> None:
        self.pending_sends = dict.fromkeys(self.progress)

    def quorum_match_index(self, voters: frozenset[int], durable: int) -> int:
        """The highest index that a majority has on its disks."""
        return quorum_value(
            voters, lambda each: durable if each == self.member_id else self.match_index(each)
        )

    def match_index(self, seat: int) -> int:
        progress = self.progress.get(seat)
        return progress.match_index if progress else 0

    def responsive_members(self, since: int) -> set[int]:
        """Who answered after that moment; the leader itself is one of them."""
        return {
            self.member_id,
            *(seat for seat, each in self.progress.items() if each.last_response_at > since),
        }

    # -- reads: a leader that was replaced must not answer from what it knows -------------------------

    def add_read(self, ticket: Any, index: int) -> RejectReason | None:
        """A read that holds at `index` once a round that began after it was answered."""
        if len(self.pending_reads) >= MAX_PENDING_READS:
            return RejectReason.TOO_MANY_PROPOSALS
        self.pending_reads.append((ticket, index, self.read_round + 1))
        return None

    def begin_read_round(self) -> bool:
        """Is a new round due? Then it has begun: its number goes out with the leader's next word."""
        if self.pending_reads and self.confirmed_round == self.read_round:
            self.read_round += 1
            return True
        return False

    def update_confirmed_round(self, voters: frozenset[int]) -> None:
        rounds = quorum_value(
            voters, lambda each: self.read_round if each == self.member_id else self.read_round_of(each)
        )
        self.confirmed_round = max(self.confirmed_round, rounds)

    def read_round_of(self, seat: int) -> int:
        progress = self.progress.get(seat)
        return progress.read_round if progress else 0

    def take_confirmed_reads(self) -> Iterator[tuple[Any, int]]:
        while self.pending_reads and self.pending_reads[0][2] <= self.confirmed_round:
            ticket, index, _ = self.pending_reads.pop(0)
            yield ticket, index

    # -- handing over ------------------------------------------------------------------------------

    def ready_transfer_target(self, last: int) -> int:
        """The seat that may lead now, as it has all that this leader has; else nobody."""
        if self.transfer and self.match_index(self.transfer[0]) >= last:
            return self.transfer[0]
        return NO_MEMBER

    def has_quorum_contact(self, voters: frozenset[int], since: int) -> bool:
        return has_majority(voters, self.responsive_members(since))
