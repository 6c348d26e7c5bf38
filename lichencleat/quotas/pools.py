"""Who holds how much of which pool: a part of the group's state, the same at each member; no I/O, no clock.

What is reserved only falls when the one that held it says so, or when the owner says that its term must be
over. So whatever is in flight, lost or late, the table stands for at least what is used.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.leases.jobs import Jobs
from lichencleat.quotas.terms import (
    LIMIT_MOST,
    NODES_MOST,
    POOLS_MOST,
    RETURN,
    Ask,
    Command,
    Deal,
    Define,
    Done,
    Drop,
    Forget,
    Granted,
    Over,
    Part,
    Pool,
    Seat,
    job_of,
)

decode_command = msgspec.msgpack.Decoder(Command).decode
decode_pools = msgspec.msgpack.Decoder(dict[str, Pool]).decode
TERMS = (300_000, 600_000_000)  # µs: below, renewals are all that goes on; above, a lost node is long missed


def reserved(pool: Pool) -> int:
    """What all nodes together may have in hand at most; the floors of empty seats included."""
    empty = max(0, pool.nodes - len(pool.seats))
    return empty * pool.floor + sum(each.held + each.ghost for each in pool.seats.values())


class Pools:
    """A `state.Part`. What is reserved grows in `grant` alone."""

    def __init__(self, jobs: Jobs) -> None:
        """`jobs`: the part of the same state; its newest token is what a deal is held against."""
        self.jobs = jobs
        self.pools: dict[str, Pool] = {}

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            what = decode_command(command)
        except UNDECODABLE:
            return Done(False, "no command")
        if isinstance(what, Ask):
            return self.ask(index, what)
        if isinstance(what, Define):
            return self.define(what)
        if isinstance(what, Part):
            return self.deal_part(what)
        pool = self.pools.get(what.pool)
        if pool is None:
            return Done(False, "no such pool")
        if isinstance(what, Drop):
            return self.drop(what, pool)
        if isinstance(what, Forget):
            return Done(pool.seats.pop(what.node, None) is not None, "no such node")
        if not self.is_owner(what):
            return Done(False, "an older owner's")
        return self.deal(what, pool) if isinstance(what, Deal) else self.over(what, pool)

    def is_owner(self, what: Deal | Over) -> bool:
        """Guards against an owner that was stopped for leases and goes on where it was."""
        return self.jobs.is_owner(job_of(what.pool), what.token)

    def deal_part(self, what: Part) -> Done:
        if not self.jobs.is_owner(RETURN, what.token):
            return Done(False, "an older owner's")
        for pool in self.pools.values():
            pool.part = min(1.0, max(0.0, what.part))
        return Done(True)

    def define(self, what: Define) -> Done:
        if not (0 < what.limit <= LIMIT_MOST and 0 < what.nodes <= NODES_MOST and what.floor >= 0):
            return Done(False, "a figure out of range")
        if what.floor * what.nodes > what.limit:
            return Done(False, f"{what.nodes} floors of {what.floor} are over the limit of {what.limit}")
        if not TERMS[0] <= what.term <= TERMS[1]:
            return Done(False, "a term out of range")
        known = self.pools.get(what.pool)
        if known is None:
            if len(self.pools) >= POOLS_MOST:
                return Done(False, "too many pools")
            self.pools[what.pool] = Pool(what.limit, what.floor, what.nodes, what.term)
            return Done(True)
        if known.seats and (known.floor, known.term) != (what.floor, what.term):
            return Done(False, "floor and term stay while nodes have seats: they count by them")
        if len(known.seats) > what.nodes:
            return Done(False, f"{len(known.seats)} nodes have seats; forget some first")
        known.limit, known.floor, known.nodes, known.term = what.limit, what.floor, what.nodes, what.term
        return Done(True)

    def drop(self, what: Drop, pool: Pool) -> Done:
        if pool.seats:
            return Done(False, "nodes have seats in it; forget them first")
        del self.pools[what.pool]
        return Done(True)

    # -- nodes -----------------------------------------------------------------------------------------

    def ask(self, index: int, what: Ask) -> Granted:
        if isinstance(what, Part):
            return self.deal_part(what)
        pool = self.pools.get(what.pool)
        if pool is None:
            return Granted(0, 0, refused="no such pool")
        if (what.floor, what.term) != (pool.floor, pool.term):
            its, pools = f"{what.floor} for {what.term} µs", f"{pool.floor} for {pool.term} µs"
            return Granted(0, 0, refused=f"it counts on {its}, and the pool says {pools}")
        seat = pool.seats.get(what.node)
        if seat is None:
            if len(pool.seats) >= pool.nodes:
                return Granted(0, 0, refused=f"all {pool.nodes} seats are taken")
            seat = pool.seats[what.node] = Seat(what.life, 0, pool.floor, pool.floor, 0, index)
        elif seat.life != what.life:
            # the process before is gone, but its calls may go on to their ends: what it held stays reserved
            # until the owner has waited
            seat.ghost, seat.ghost_at = seat.ghost + seat.held, seat.renewed
            seat.life, seat.turn, seat.held, seat.target = what.life, 0, 0, pool.floor
        if what.turn <= seat.turn:
            return Granted(0, 0, refused="a later renewal came before")
        seat.turn, seat.need, seat.renewed = what.turn, max(0, what.need), index
        self.grant(pool, seat, what.holds)
        return Granted(min(seat.held, seat.target), pool.token)

    def grant(self, pool: Pool, seat: Seat, holds: int) -> None:
        """What it gave back is free, what it is to have is reserved as far as there is room."""
        if seat.target < seat.held:
            seat.held = max(seat.target, min(seat.held, holds))
        elif seat.target > seat.held:
            seat.held += max(0, min(seat.target - seat.held, pool.limit - reserved(pool)))

    # -- the owner -------------------------------------------------------------------------------------

    def deal(self, what: Deal, pool: Pool) -> Done:
        pool.token = what.token
        for name, target in what.targets.items():
            seat = pool.seats.get(name)
            if seat is not None:
                seat.target = max(pool.floor, min(target, pool.limit))
        return Done(True)

    def over(self, what: Over, pool: Pool) -> Done:
        seat = pool.seats.get(what.node)
        if seat is None or what.renewed not in (seat.renewed, seat.ghost_at):
            return Done(False, "it has renewed since")
        if what.renewed == seat.renewed:
            seat.held, seat.target, seat.need = min(seat.held, pool.floor), pool.floor, 0
        if what.renewed == seat.ghost_at:
            seat.ghost = seat.ghost_at = 0
        if not seat.ghost:
            seat.held = max(seat.held, pool.floor)  # on which it may count by itself: it was set aside
        return Done(True)

    # -- the state -------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        """One pool by its name, or all of them."""
        return self.pools if query is None else self.pools.get(query)

    def dump(self) -> Any:
        return self.pools

    def load(self, dumped: msgspec.Raw) -> None:
        self.pools = decode_pools(dumped)
