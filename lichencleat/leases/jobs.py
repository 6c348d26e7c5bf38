"""Who owns what: a part of the group's state, so the same at each member, and after any restart; no I/O, no
clock.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.leases.choice import better, heir
from lichencleat.leases.terms import (
    CANDIDATES_MOST,
    CRASHES_MOST,
    JOBS_MOST,
    Candidate,
    Command,
    Define,
    Done,
    Drop,
    Gone,
    Job,
    Leave,
    Move,
    Owned,
    Release,
    Renew,
)

decode_command = msgspec.msgpack.Decoder(Command).decode


class Dumped(msgspec.Struct, array_like=True):
    jobs: dict[str, Job]
    candidates: dict[str, Candidate]
    tokens: dict[str, int]


decode_dumped = msgspec.msgpack.Decoder(Dumped).decode


class Jobs:
    """A `state.Part`. Every change of an owner is in `give` or `take`."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.candidates: dict[str, Candidate] = {}
        self.tokens: dict[
            str, int
        ] = {}  # the last one of each job that ever was: one made anew goes on from it

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            what = decode_command(command)
        except UNDECODABLE:
            return Done(False, "no command")
        answer = self.do(index, what)
        self.settle(index)
        return self.owned(what.name) if answer is None and isinstance(what, Renew) else answer

    def do(self, index: int, what: Command) -> Done | Owned | None:
        if isinstance(what, Renew):
            return self.renew(index, what)
        if isinstance(what, Gone):
            known = self.candidates.get(what.name)
            if known is None or known.renewed != what.renewed:
                return Done(False, "it has renewed since")
            self.forget(what.name)
        elif isinstance(what, Leave):
            known = self.candidates.get(what.name)
            if known is None or known.life != what.life:
                return Done(False, "no such candidate")
            self.forget(what.name)
        elif isinstance(what, Release):
            return self.release(what)
        elif isinstance(what, Move):
            return self.move(what)
        elif isinstance(what, Define):
            return self.define(what)
        elif isinstance(what, Drop) and self.jobs.pop(what.job, None) is None:
            return Done(False, "no such job")
        return Done(True)

    def renew(self, index: int, what: Renew) -> Owned | None:
        known = self.candidates.get(what.name)
        if known is not None and known.life != what.life:
            # another process of that name: it must wait until the one before is gone, as that one may act yet
            return Owned({}, [], "another one of that name has not gone yet")
        if known is None:
            if len(self.candidates) >= CANDIDATES_MOST:
                return Owned({}, [], "too many candidates")
            if what.held:
                return Owned({}, [], "it was gone")  # it must let go first, and then come as a new one
        self.candidates[what.name] = Candidate(what.zone, what.healthy, what.life, index, what.knows)
        return None

    def owned(self, name: str) -> Owned:
        yours = {job: each.token for job, each in self.jobs.items() if each.owner == name}
        return Owned(yours, [job for job in yours if self.jobs[job].wanted not in ("", name)])

    def is_owner(self, job: str, token: int) -> bool:
        """Is that the newest token of a job that somebody owns?"""
        known = self.jobs.get(job)
        return known is not None and bool(known.owner) and known.token == token

    def forget(self, name: str) -> None:
        del self.candidates[name]
        for job in self.jobs.values():
            if job.owner == name:
                self.take(job)
            if job.wanted == name:
                job.wanted = ""

    def release(self, what: Release) -> Done:
        job = self.jobs.get(what.job)
        if job is None or (job.owner, job.token) != (what.name, what.token):
            return Done(False, "it is not its owner")
        if what.crashed:
            job.crashes += 1
            job.last = what.name
            job.aside = job.crashes >= CRASHES_MOST
        self.take(job)
        return Done(True)

    def move(self, what: Move) -> Done:
        job = self.jobs.get(what.job)
        if job is None:
            return Done(False, "no such job")
        if what.to not in self.candidates:
            return Done(False, "no such candidate")
        if job.owner != what.to:
            job.wanted = what.to
        return Done(True)

    def define(self, what: Define) -> Done:
        job = self.jobs.get(what.job)
        if job is None:
            if len(self.jobs) >= JOBS_MOST:
                return Done(False, "too many jobs")
            job = self.jobs[what.job] = Job(token=self.tokens.get(what.job, 0))
        job.near, job.aside, job.crashes, job.last = what.near, False, 0, ""
        return Done(True)

    def settle(self, index: int) -> None:
        """Free jobs are given away; of those that would be better elsewhere, one is asked back."""
        for name in sorted(self.jobs):
            job = self.jobs[name]
            if not job.owner and (chosen := heir(name, self.jobs, self.candidates)):
                self.give(name, job, chosen, index)
        found = better(self.jobs, self.candidates)
        if found is not None:
            self.jobs[found[0]].wanted = found[1]

    def give(self, name: str, job: Job, to: str, index: int) -> None:
        """The token is the entry's index: greater than any before, whoever led and whatever was dropped."""
        job.owner, job.token, job.wanted = to, index, ""
        self.tokens[name] = index

    def take(self, job: Job) -> None:
        job.owner = ""

    def read(self, query: Any) -> Any:
        """All jobs and candidates, as the commands show them."""
        return {"jobs": self.jobs, "candidates": self.candidates}

    def dump(self) -> Any:
        return Dumped(self.jobs, self.candidates, self.tokens)

    def load(self, dumped: msgspec.Raw) -> None:
        found = decode_dumped(dumped)
        self.jobs, self.candidates, self.tokens = found.jobs, found.candidates, found.tokens
