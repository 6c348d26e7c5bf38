"""A node's grant in a pool: how many calls it may have in flight, and until when by its own monotonic clock.

The node measures a grant from just before it requests the renewal, and shortens the grant by the largest
clock drift. After the grant ends, the node may use the floor, which is always reserved for the node. If the
group has rejected the last renewal, the node may send no calls after the grant ends.
"""

from __future__ import annotations

from lichencleat.leases.messages import MAX_CLOCK_DRIFT
from lichencleat.quotas.messages import RENEWALS_PER_TERM, QuotaReply, QuotaRequest

# Time to wait for a reply, as a fraction of a term; after a lost request, another request still fits into the
# term.
REPLY_TIMEOUT_TERMS = 0.3


class QuotaGrant:
    """State of one node in one pool, without I/O.

    The caller sends the request that `next_request` returns, and passes the reply to `on_reply` or the
    failure to `on_failure`. The caller starts downstream calls only while fewer than `usable_calls` are in
    flight, and ends each call within `max_call_duration`.

    Args:
        pool: Name of the pool.
        node: Name of the node.
        incarnation: Random number drawn when the node starts.
        floor: The pool's floor.
        term: The pool's term in µs.
        now: Time of the node's start, in µs.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(
        self,
        pool: str,
        node: str,
        incarnation: int,
        floor: int,
        term: int,
        now: int,
        drift: float = MAX_CLOCK_DRIFT,
    ) -> None:
        self.pool = pool
        self.node = node
        self.incarnation = incarnation
        self.floor = floor
        self.term = term
        self.drift = drift
        self.amount = 0  # calls that the current grant allows
        self.valid_until = 0  # time in µs until which `amount` may be used, and the floor afterwards
        # Time in µs from which the floor may be used: calls of an earlier incarnation have ended by then.
        self.floor_from = now + round(term * (1 + drift))
        self.fencing_token = 0
        self.request_number = 0
        self.requested_at: int | None = None  # time in µs of the request in flight, None if there is none
        self.next_request_at = now  # time in µs at which the next request is due
        self.rejection = ""  # why the last request was rejected; empty if it was granted
        self.demand = 0  # greatest number of calls that the node could have used since the last request

    def usable_calls(self, now: int) -> int:
        """How many calls may be in flight at `now` (µs).

        No call may start while that many calls, or more, are in flight.
        """
        if now < self.valid_until:
            return self.amount
        return 0 if self.rejection or now < self.floor_from else self.floor

    def note_demand(self, demand: int) -> None:
        """Record how many calls the node could use now; the next request reports the largest such number."""
        self.demand = max(self.demand, demand)

    def max_call_duration(self, now: int) -> int:
        """The time in µs that a call sent at `now` may take.

        The call ends within the grant; without a grant it ends within a term less the drift.
        """
        return self.valid_until - now if now < self.valid_until else round(self.term * (1 - self.drift))

    def next_request(self, now: int, in_flight: int) -> QuotaRequest | None:
        """Return the request to send at `now` (µs), None if none is due or another one is in flight."""
        if self.requested_at is not None or now < self.next_request_at:
            return None
        self.requested_at = now
        self.request_number += 1
        in_use = max(self.usable_calls(now), in_flight)
        demand = max(self.demand, in_flight)
        self.demand = 0
        return QuotaRequest(
            self.pool,
            self.node,
            self.incarnation,
            self.request_number,
            self.floor,
            self.term,
            in_use,
            demand,
        )

    def on_reply(self, now: int, reply: QuotaReply) -> None:
        """Handle the reply to the request in flight; a rejected node keeps its grant until the grant ends."""
        requested_at = self.requested_at
        assert requested_at is not None
        self.requested_at = None
        self.next_request_at = requested_at + self.term // RENEWALS_PER_TERM
        self.rejection = reply.rejection
        if reply.rejection:
            return
        valid_until = requested_at + round(self.term * (1 - self.drift))
        if now < valid_until:
            self.amount = reply.amount
            self.valid_until = valid_until
            self.fencing_token = reply.fencing_token

    def on_failure(self, now: int) -> None:
        """Handle a request without a reply: keep the previous grant's end, and retry sooner than usual."""
        self.requested_at = None
        self.next_request_at = now + self.term // RENEWALS_PER_TERM // RENEWALS_PER_TERM

    def reply_timeout(self) -> int:
        """The time in µs to wait for a reply."""
        return round(self.term * REPLY_TIMEOUT_TERMS)

    def next_action_at(self, now: int) -> int:
        """The time in µs at which the grant ends or the next renewal is due, whichever is earlier."""
        times = [self.valid_until] if now < self.valid_until else []
        if self.requested_at is None:
            times.append(self.next_request_at)
        return min(times, default=now + self.reply_timeout())
