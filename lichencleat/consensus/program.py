"""`lichencleat quorum run`: one member from its file, with its store, signals and exit code."""

from __future__ import annotations

import os
import random
from typing import Any

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import CannotListenError

from lichencleat.clocks import make_reactor, unix_time
from lichencleat.consensus.facts import Facts
from lichencleat.consensus.file import QuorumChoice, parse_address
from lichencleat.consensus.journal import TOP, Journal
from lichencleat.consensus.process import Process
from lichencleat.consensus.seats import IDENTITY, Identity, wake_up
from lichencleat.consensus.serves import Serves
from lichencleat.consensus.state import Part, State, founded
from lichencleat.consensus.terms import Group, Member
from lichencleat.failover.state import FailoverState
from lichencleat.leases.candidate_expiry import CandidateExpiry
from lichencleat.leases.lease_state import LeaseState
from lichencleat.log.structured import create_logger
from lichencleat.programs import run_program
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery.state import FleetState
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk, RealDisk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.store.store import open_store

BOUNDS = StoreLimits(
    segment_bytes=8 << 20, max_disk_bytes=256 << 20, max_entries=200_000
)  # logs are cut at snapshots
# two snapshots of up to 160 MiB (the one that stands, the one that is written), two lots of the log of 32 MiB
# each, and as much again that is not cleaned yet
DISTRIBUTION_BOUNDS = StoreLimits(segment_bytes=8 << 20, max_disk_bytes=1 << 30, max_entries=200_000)
STOPPED, WRONG, LEFT = 0, 2, 3  # exit codes


class NotFoundedError(Exception):
    """What, where and what to do, in one line."""


def bounds_of(chosen: QuorumChoice) -> StoreLimits:
    return DISTRIBUTION_BOUNDS if chosen.distribution else BOUNDS


def disk_of(chosen: QuorumChoice) -> Disk:
    assert chosen.directory is not None
    if chosen.disk == "held back":
        from lichencleat.testkit.cluster.heldback import HeldBackDisk  # for tests: not imported otherwise

        return HeldBackDisk(chosen.directory, create=True)
    return RealDisk(chosen.directory, create=True)


def found(chosen: QuorumChoice, rng: random.Random) -> Identity:
    """Makes a new group with this member as its only voter. Raises NotFoundedError, StoreError."""
    assert chosen.directory is not None and chosen.name is not None and chosen.listen is not None
    engine = Engine.open(disk_of(chosen), unix_time, rng, bounds_of(chosen), create=True)
    try:
        if engine.get(IDENTITY) is not None or engine.get(TOP) is not None:
            raise NotFoundedError(
                f"{chosen.directory}: belongs to a member already; name an empty one, or add a voter with "
                "'lichencleat quorum add'"
            )
        identity = wake_up(lambda key: None, rng, chosen.group, chosen.name, chosen.distribution)
        identity.group, identity.start = rng.randbytes(8), 0
        host, port = parse_address(chosen.address or chosen.listen)
        group = Group((Member(identity.seat, chosen.name, host, port, True, chosen.zone),))
        batch = Journal().found(founded(group)).put(IDENTITY, msgspec.msgpack.encode(identity))
        (wrong,) = engine.commit([batch])
        if wrong is not None:
            raise wrong
        return identity
    finally:
        engine.close()


def parts() -> dict[str, Part]:
    """What the group decides on; the same at each member."""
    jobs = LeaseState()
    return {
        "facts": Facts(),
        "owners": jobs,
        "shares": QuotaState(jobs),
        "revive": FleetState(jobs),
        "zones": FailoverState(jobs),
    }


def distribution_parts() -> dict[str, Part]:
    """Of a group for configuration: leases and renewals never travel with it."""
    from lichencleat.config_distribution.source import Source  # other groups don't load it

    return {"facts": Facts(), "distribution": Source()}


class ExpiryTender:
    """What the leader says of candidates that are gone."""

    def __init__(self) -> None:
        self.expiry = CandidateExpiry()

    def tend(self, state: State | None, now: int) -> list[tuple[str, Any]]:
        if state is None:
            self.expiry.reset()
            return []
        jobs = state.parts["owners"]
        assert isinstance(jobs, LeaseState)
        return [("owners", each) for each in self.expiry.find_expired(now, jobs.candidates)]


class Running:
    """Brings a member up on the reactor, and down at a signal."""

    def __init__(self, reactor: Any, chosen: QuorumChoice) -> None:
        self.reactor, self.chosen = reactor, chosen
        self.rng = random.Random(os.urandom(16))
        self.code = STOPPED
        self.process: Process | None = None
        self.stopping = False
        self.log = create_logger(
            unix_time,
            chosen.log.form,
            process=chosen.name,
            role="quorum",
            group=chosen.group,
            pid=os.getpid(),
        )

    @inlineCallbacks
    def start(self) -> Any:
        chosen = self.chosen
        try:
            store = yield open_store(
                self.reactor,
                chosen.directory,
                unix_time,
                self.rng,
                bounds_of(chosen),
                disk=disk_of(chosen),
            )
        except StoreError as wrong:
            self.stop(WRONG, str(wrong))
            return
        try:
            get = store.engine.get
            identity = wake_up(get, self.rng, chosen.group, chosen.name, chosen.distribution)
            if identity.distribution != chosen.distribution:
                yield store.close()
                was = "configuration" if identity.distribution else "other things than configuration"
                self.stop(
                    WRONG, f"{chosen.directory}: of a group for {was}; set quorum.distribution as it was"
                )
                return
            yield store.put(IDENTITY, msgspec.msgpack.encode(identity))
            listen = parse_address(chosen.listen)
            serves: Serves | None = None
            own: tuple[Any, Any] = (parts, ExpiryTender().tend)
            if chosen.distribution:
                from lichencleat.config_distribution.voting import Voting

                serves = Voting(self.reactor, identity.member, chosen.zone, self.log)
                own = (distribution_parts, lambda state, now: [])
            self.process = Process(
                self.reactor,
                store,
                identity,
                listen,
                self.log,
                self.rng,
                *own,
                chosen.times.times(),
                chosen.zone,
                serves,
            )
        except (StoreError, CannotListenError) as wrong:
            yield store.close()
            self.stop(WRONG, str(wrong))
            return
        self.log.info("started", seat=identity.seat, start=identity.start, listen=chosen.listen)
        self.process.ended.addCallback(self.stop)
        if self.stopping:
            self.process.leave()

    def told_to_leave(self) -> None:
        self.stopping = True
        if self.process is not None:
            self.process.leave()

    def stop(self, code: int, reason: str = "") -> None:
        self.code = code
        if reason:
            self.log.warning("can't start", reason=reason)
        else:
            self.log.info("stopped", code=code)
        self.reactor.callLater(0, self.reactor.stop)


def run(chosen: QuorumChoice) -> int:
    """The exit code: 0 told to leave, 2 could not start, 3 left by itself, rather than lie."""
    reactor = make_reactor()
    return run_program(reactor, Running(reactor, chosen))
