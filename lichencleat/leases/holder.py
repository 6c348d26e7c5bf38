"""A process that wants jobs: renews its lease through the group, begins and ends its work. Decides nothing
itself.
"""

from __future__ import annotations

import random
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from lichencleat.leases.leases import Leases
from lichencleat.leases.terms import DRIFT, LEASE, Leave, Owned, Release
from lichencleat.transport.group_client import GroupClient

SECOND = 1_000_000  # µs
LOOK_MOST = 100_000  # µs from one look at the lease to the next, whatever is due
LEAVE_WAIT = 2.0  # s for the word that it leaves; then the others wait for its lease to end


class Work(Protocol):
    """What a job is, to the process that does it. Called in the reactor's thread; both return at once."""

    def begins(self, job: str, token: int) -> None: ...

    def ends(self, job: str, reason: str) -> None:
        """Nothing more may be done for that job under the token it had."""


class Holder:
    """Owns the lease's timer and the jobs that run; given back in `leave`."""

    def __init__(
        self,
        reactor: Any,
        client: GroupClient,
        name: str,
        zone: str,
        work: Work,
        rng: random.Random,
        log: Any,
        lease: int = LEASE,
        drift: float = DRIFT,
    ) -> None:
        self.reactor, self.client, self.work, self.log = reactor, client, work, log
        self.leases = Leases(name, zone, rng.getrandbits(48), lease, drift)
        self.patience = lease / SECOND
        self.timer: Any = None
        self.left = False

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def start(self) -> None:
        self.step()

    def token(self, job: str) -> int | None:
        """To be asked before each act, and sent with it; None: no act."""
        return self.leases.may_act(self.now(), job)

    def step(self) -> None:
        """Whatever is due: jobs that lapse end first."""
        self.timer = None
        if self.left:
            return
        now = self.now()
        for job in self.leases.lapse(now):
            self.ends(job, "the lease is over")
        renewal = self.leases.next_renewal(now)
        if renewal is not None:
            told = self.client.propose("owners", renewal, self.patience)
            told.addCallbacks(self.renewed, self.not_renewed)
        self.arm()

    def arm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.left:
            span = max(0, min(self.leases.deadline() - self.now(), LOOK_MOST))
            self.timer = self.reactor.callLater(span / SECOND, self.step)

    def renewed(self, told: Any) -> None:
        before = dict(self.leases.held)
        owned = msgspec.convert(told, Owned)
        begin = self.leases.answered(self.now(), owned)
        if owned.refused:
            self.log.warning("refused", reason=owned.refused)
        held = self.leases.held
        for job in [each for each in before if each not in held or each in begin]:
            self.ends(job, owned.refused or "another one has it")
        for job, token in begin.items():
            self.log.info("begins", job=job, token=token)
            self.work.begins(job, token)
        for job in list(self.leases.let_go):
            self.release(job, False)
        self.arm()

    def not_renewed(self, failure: Failure) -> None:
        self.leases.failed(self.now())
        self.log.warning("not renewed", reason=failure.getErrorMessage())
        self.arm()

    def crashed(self, job: str) -> None:
        """The job has failed here: the group gives it to another, or puts it aside."""
        self.release(job, True)

    def release(self, job: str, crashed: bool) -> None:
        token = self.leases.released(job)
        if token is not None:
            self.ends(job, "it failed here" if crashed else "it goes to another")
            self.send_release(job, token, crashed)

    def send_release(self, job: str, token: int, crashed: bool) -> None:
        """Until the log has it, this process neither acts on that token nor takes it up again."""
        if self.left or self.leases.releasing.get(job) != token:
            return
        told = self.client.propose("owners", Release(self.leases.name, job, token, crashed), self.patience)
        told.addCallbacks(
            lambda _: self.leases.is_released(job), lambda _: self.send_release(job, token, crashed)
        )

    def ends(self, job: str, reason: str) -> None:
        self.log.info("ends", job=job, reason=reason)
        self.work.ends(job, reason)

    def leave(self) -> Deferred[None]:
        """At a drain: lets go of everything at once, waits for nobody else's, and tells the group."""
        if self.left:
            return succeed(None)
        for job in list(self.leases.held):
            self.ends(job, "this process leaves")
        self.leases.leaves()
        self.left = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        told = self.client.propose("owners", Leave(self.leases.name, self.leases.life), LEAVE_WAIT)
        told.addErrback(lambda failure: self.log.warning("left untold", reason=failure.getErrorMessage()))
        return told.addCallback(lambda _: None)
