"""`lichencleat members run`: the process of one member, which logs its view of the other members."""

from __future__ import annotations

import os
import random
import signal
from typing import Annotated

from msgspec import Meta, Struct
from twisted.internet.base import ReactorBase
from twisted.internet.error import CannotListenError

from lichencleat.config.addresses import parse_address
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import parse_config, read_config_text
from lichencleat.config.schema import Name
from lichencleat.log.interfaces import EventLogger
from lichencleat.log.structured import create_logger
from lichencleat.membership.datagram_transport import GossipTransport, TransportCounts
from lichencleat.membership.gossip import GossipMember
from lichencleat.membership.messages import MemberState, MemberUpdate
from lichencleat.membership.settings import GossipSettings
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.units import MICROSECONDS_PER_MILLISECOND

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]

PROBES_PER_SYNC = 5  # number of probe intervals in a sync interval
LEAVE_DELAY_S = 0.2  # pause before the process stops, in which the announcement is sent
EXIT_CANT_LISTEN = 2

STATE_EVENTS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}
"""The log event of a change to each state."""


class MembershipConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one member."""

    group: Name
    name: Name
    listen: Address
    seeds: Annotated[list[Address], Meta(max_length=64)] = []
    zone: str = ""
    role: str = "node"
    period_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1_000  # time between two probes
    answer_ms: Annotated[int, Meta(ge=5, le=60_000)] = 300  # time limit for the answer to a direct probe

    def gossip_settings(self) -> GossipSettings:
        """Return the protocol's settings."""
        probe_interval = self.period_ms * MICROSECONDS_PER_MILLISECOND
        return GossipSettings(
            probe_interval=probe_interval,
            probe_timeout=self.answer_ms * MICROSECONDS_PER_MILLISECOND,
            sync_interval=PROBES_PER_SYNC * probe_interval,
        )


class MembershipFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole settings file."""

    members: MembershipConfig


def read_membership_config(path: str) -> MembershipConfig:
    """Read a member's settings file.

    Raises:
        InvalidConfigError: The file cannot be read or is invalid.
    """
    file, document = parse_config(path, read_config_text(path), MembershipFile)
    config = file.members
    if config.answer_ms * 2 > config.period_ms:
        line = document.line_of("$.members.answer_ms") or document.line_of("$.members.period_ms")
        problem = (
            f"members.answer_ms: {config.answer_ms} is more than half of period_ms "
            f"({config.period_ms}); indirect probes need the other half, so choose a smaller value"
        )
        raise InvalidConfigError.at(path, line, problem)
    return config


def run(config: MembershipConfig) -> int:
    """Run the member until SIGTERM; return the exit code."""
    reactor = make_reactor()
    log = create_logger(unix_time, process=config.name, role="members", group=config.group, pid=os.getpid())
    transport = create_transport(reactor, config, log)
    host, port = parse_address(config.listen)
    try:
        reactor.listenUDP(port, transport, interface=host)  # type: ignore[no-untyped-call]
    except CannotListenError as error:
        log.warning("can't start", reason=str(error))
        return EXIT_CANT_LISTEN

    def leave() -> None:
        transport.leave()
        reactor.callLater(LEAVE_DELAY_S, reactor.stop)

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(leave))
    log.info("started", listen=config.listen)
    reactor.run(installSignalHandlers=False)
    log_counts(log, transport.counts)
    return 0


def create_transport(reactor: ReactorBase, config: MembershipConfig, log: EventLogger) -> GossipTransport:
    """Create the transport and its member, with a new incarnation; changes of members are logged."""
    host, port = parse_address(config.listen)
    incarnation = unix_time()
    own = MemberUpdate(config.name, MemberState.ALIVE, incarnation, host, port, config.zone, config.role)
    seeds = [parse_address(seed) for seed in config.seeds]
    rng = random.Random(os.urandom(16))

    def create_member(now: int) -> GossipMember:
        return GossipMember(config.group, own, seeds, config.gossip_settings(), rng, now)

    def log_change(update: MemberUpdate) -> None:
        log.info(
            STATE_EVENTS[MemberState(update.state)],
            member=update.name,
            zone=update.zone,
            incarnation=update.incarnation,
            here=transport.member.table.active_count(),
        )

    transport = GossipTransport(reactor, create_member, log_change)
    return transport


def log_counts(log: EventLogger, counts: TransportCounts) -> None:
    """Log the counts of datagrams; called at the end of the process."""
    log.info(
        "stopped",
        sent=counts.sent,
        sent_bytes=counts.sent_bytes,
        heard=counts.received,
        not_understood=counts.undecodable,
        lost=counts.unsent,
    )
