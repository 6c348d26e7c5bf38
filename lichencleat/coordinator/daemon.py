"""The coordinator daemon: runs one member of a group."""

from __future__ import annotations

import os
import random
from collections.abc import Generator
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.error import CannotListenError

from lichencleat.config.addresses import parse_address
from lichencleat.consensus.identity import IDENTITY_KEY, Identity, load_identity
from lichencleat.consensus.process import MemberOptions, MemberProcess
from lichencleat.coordinator import states
from lichencleat.coordinator.candidate_expiry import CandidateExpiryProposer
from lichencleat.coordinator.settings import QuorumSettings
from lichencleat.coordinator.storage import open_member_disk, store_limits
from lichencleat.daemon import EXIT_CANNOT_START, EXIT_STOPPED, run_daemon
from lichencleat.log.structured import create_logger
from lichencleat.reactor import Reactor, make_reactor, unix_time
from lichencleat.store.errors import StoreError
from lichencleat.store.store import Store, open_store


class _WrongKindOfGroupError(Exception):
    """The directory was created for a group that replicates another kind of state."""

    def __init__(self, directory: str | None, was_distribution: bool) -> None:
        kind = "configuration" if was_distribution else "control-plane state"
        super().__init__(
            f"{directory}: belongs to a group that replicates {kind}; set quorum.distribution as it was"
        )


class CoordinatorDaemon:
    """Starts a member on the reactor and stops it on request."""

    def __init__(self, reactor: Reactor, settings: QuorumSettings) -> None:
        """`settings` must have the keys that a member needs, not only those of a client."""
        self.exit_code = EXIT_STOPPED
        self.log = create_logger(
            unix_time,
            settings.log.form,
            process=settings.name,
            role="quorum",
            group=settings.group,
            pid=os.getpid(),
        )
        self._reactor = reactor
        self._settings = settings
        self._rng = random.Random(os.urandom(16))
        self._process: MemberProcess | None = None
        self._stop_requested = False

    @inlineCallbacks
    def start(self) -> Generator[Any, Any, None]:
        """Open the store and start the member; stop the reactor if the store or the member can't start."""
        try:
            store = yield self._open_store()
        except StoreError as error:
            self._stop(EXIT_CANNOT_START, str(error))
            return
        try:
            identity = yield self._record_start(store)
            process = self._make_process(store, identity)
        except (StoreError, CannotListenError, _WrongKindOfGroupError) as error:
            yield store.close()
            self._stop(EXIT_CANNOT_START, str(error))
            return
        self._process = process
        self.log.info(
            "started", seat=identity.member_id, start=identity.start_count, listen=self._settings.listen
        )
        process.ended.addCallback(self._stop)
        if self._stop_requested:
            process.stop_gracefully()

    def request_stop(self) -> None:
        """Stop the member gracefully; a member that leads first transfers its leadership."""
        self._stop_requested = True
        if self._process is not None:
            self._process.stop_gracefully()

    def _open_store(self) -> Deferred[Store]:
        settings = self._settings
        assert settings.directory is not None
        return open_store(
            self._reactor,
            settings.directory,
            unix_time,
            self._rng,
            store_limits(settings),
            disk=open_member_disk(settings),
        )

    @inlineCallbacks
    def _record_start(self, store: Store) -> Generator[Any, Any, Identity]:
        """Store the member's incremented start count; the Deferred fires with the member's identity."""
        settings = self._settings
        assert settings.name is not None
        get = store.engine.get
        identity = load_identity(get, self._rng, settings.group, settings.name, settings.distribution)
        if identity.distribution != settings.distribution:
            raise _WrongKindOfGroupError(settings.directory, identity.distribution)
        yield store.put(IDENTITY_KEY, msgspec.msgpack.encode(identity))
        return identity

    def _make_process(self, store: Store, identity: Identity) -> MemberProcess:
        settings = self._settings
        assert settings.listen is not None
        return MemberProcess(
            self._reactor,
            store,
            identity,
            parse_address(settings.listen),
            self.log,
            self._rng,
            self._make_options(identity),
        )

    def _make_options(self, identity: Identity) -> MemberOptions:
        settings = self._settings
        timeouts = settings.times.to_timeouts()
        if not settings.distribution:
            due_proposals = CandidateExpiryProposer().propose_expired
            return MemberOptions(
                states.make_control_plane_states, due_proposals, timeouts, zone=settings.zone
            )
        from lichencleat.config_distribution.voting import (
            VoterPublisher,  # only groups for configuration load it
        )

        return MemberOptions(
            states.make_config_distribution_states,
            timeouts=timeouts,
            zone=settings.zone,
            extension=VoterPublisher(self._reactor, identity.member_name, settings.zone, self.log),
        )

    def _stop(self, exit_code: int, reason: str = "") -> None:
        self.exit_code = exit_code
        if reason:
            self.log.warning("can't start", reason=reason)
        else:
            self.log.info("stopped", code=exit_code)
        self._reactor.callLater(0, self._reactor.stop)


def run_coordinator(settings: QuorumSettings) -> int:
    """Run one member until it stops.

    Returns:
        The exit code: 0 stopped on request, 2 could not start, 3 halted because it was not safe to continue.
    """
    reactor = make_reactor()
    return run_daemon(reactor, CoordinatorDaemon(reactor, settings))
