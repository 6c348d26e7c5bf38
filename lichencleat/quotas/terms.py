"""Pools, seats, and what is said about them; no I/O."""

from __future__ import annotations

import msgspec

TERM = 5_000_000  # µs: how long a node may use its grant on one renewal; a call under it ends within it
RENEW = 3  # renewals in a term: two in a row may be lost
DRIFT = 0.1  # by so much two machines' monotonic clocks may differ in rate, as for leases
POOLS_MOST = 64
NODES_MOST = 1_024  # seats of a pool
LIMIT_MOST = 1_000_000  # calls in hand


class Seat(msgspec.Struct, array_like=True):
    """One node's part. What is reserved for it is `held`, and `ghost` while an earlier life may be about."""

    life: int  # drawn at the node's start
    turn: int  # of its last renewal: an older one that comes late changes nothing
    held: int  # it may have so many in hand, until it says less or its term is over
    target: int  # what the owner wants it to have
    need: int  # what it last said that it could use
    renewed: int  # index of the entry by which it last renewed
    ghost: int = 0  # what its earlier lives held: with `held` never under the floor
    ghost_at: int = 0  # index of their last renewal


class Pool(msgspec.Struct, array_like=True):
    limit: int  # calls in hand that the dependency survives
    floor: int  # what each node may have in hand without any word, once it has run for a term
    nodes: int  # seats: the floor is set aside for each, taken or not
    term: int  # µs
    token: int = 0  # of the owner whose deal came last
    seats: dict[str, Seat] = {}
    part: float = 1.0  # of the limit beyond all floors that is dealt now: less while the fleet returns


class Define(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    pool: str
    limit: int
    floor: int
    nodes: int
    term: int = TERM


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    pool: str


class Forget(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """An operator's word that this node is gone for good and uses not even its floor."""

    pool: str
    node: str


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A node renews. It keeps itself to `holds` from before it asked until the answer."""

    pool: str
    node: str
    life: int
    turn: int
    floor: int  # what it believes of the pool
    term: int
    holds: int
    need: int


class Deal(msgspec.Struct, frozen=True, array_like=True, tag="deal"):
    """The owner's: who is to have how much. Refused under a token that is not the job's newest."""

    pool: str
    token: int
    targets: dict[str, int]


class Over(msgspec.Struct, frozen=True, array_like=True, tag="over"):
    """The owner's: that renewal's term must be over. One that has renewed since keeps what it has."""

    pool: str
    token: int
    node: str
    renewed: int


class Part(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """Of whoever brings the fleet back: so much of every pool may be dealt for now."""

    token: int  # of the job RETURN
    part: float


RETURN = "revive"  # the job of the fleet whose owner may say so
Command = Define | Drop | Forget | Ask | Deal | Over | Part


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a renewal."""

    amount: int
    token: int  # of the owner that dealt it, 0: nobody has yet
    refused: str = ""


class Done(msgspec.Struct, frozen=True, array_like=True):
    done: bool
    why: str = ""


def job_of(pool: str) -> str:
    """The job of the fleet whose owner deals that pool out."""
    return f"shares/{pool}"
