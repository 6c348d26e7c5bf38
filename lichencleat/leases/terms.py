"""Jobs, candidates, and what is said about them; no I/O."""

from __future__ import annotations

import msgspec

LEASE = 1_000_000  # µs: how long an owner may act on one renewal; a dead one is missed for about as long
DRIFT = 0.1  # by so much two machines' monotonic clocks may differ in rate; 10% is far beyond any that works
RENEW = 3  # renewals in a lease: two in a row may be lost
JOBS_MOST = 256
CANDIDATES_MOST = 64  # each renews through the log, three times a lease
CRASHES_MOST = 3  # owners that a job may crash before it is put aside


class Job(msgspec.Struct, array_like=True):
    """One piece of work that exactly one process does."""

    near: str = ""  # the zone that it should be done in, if there is one to do it
    owner: str = ""  # a candidate's name; empty: nobody's
    token: int = 0  # index of the entry that gave it away last: it only grows
    wanted: str = ""  # whom it is to go to, once its owner has let go
    crashes: int = 0  # owners that it has crashed since it was last put on
    last: str = ""  # the one that it crashed last: not the first choice for it
    aside: bool = False


class Candidate(msgspec.Struct, array_like=True):
    zone: str
    healthy: bool
    life: int  # drawn at its start: one of the same name is another one
    renewed: int  # index of the entry by which it last renewed
    knows: list[str] = []  # what the names of jobs that it can do begin with; empty: it can do all


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """A candidate is there, with what it owns. First of a life: it owns nothing."""

    name: str
    zone: str
    life: int
    healthy: bool
    held: dict[str, int]  # job -> token, as it believes
    knows: list[str] = []


class Gone(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """The leader has waited long enough after that renewal. One that renewed since is not gone."""

    name: str
    renewed: int


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A candidate lets go of everything and is one no more."""

    name: str
    life: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """An owner has stopped acting, and says so. `crashed`: the job has made it fail."""

    name: str
    job: str
    token: int
    crashed: bool = False


class Move(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    job: str
    to: str


class Define(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """Makes a job, or puts one that was aside on again."""

    job: str
    near: str = ""


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    job: str


Command = Renew | Gone | Leave | Release | Move | Define | Drop


class Owned(msgspec.Struct, frozen=True, array_like=True):
    """What a candidate is told after a renewal: its jobs with their tokens, and those that it should let go
    of.
    """

    yours: dict[str, int]
    let_go: list[str]
    refused: str = ""


class Done(msgspec.Struct, frozen=True, array_like=True):
    done: bool
    why: str = ""
