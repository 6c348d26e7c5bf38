"""The directory of a member: the limits of its store, its kind of disk, and the creation of a new group."""

from __future__ import annotations

import random

import msgspec

from lichencleat.config.addresses import parse_address
from lichencleat.consensus.identity import IDENTITY_KEY, Identity, load_identity
from lichencleat.consensus.log_storage import HARD_STATE_KEY, LogStorage
from lichencleat.consensus.messages import Configuration, Member
from lichencleat.consensus.state_machine import bootstrap_snapshot
from lichencleat.coordinator.settings import QuorumSettings
from lichencleat.reactor import unix_time
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk
from lichencleat.store.disk_kinds import open_disk
from lichencleat.store.engine import Engine

GROUP_ID_BYTES = 8
# Limits of the store in a group for a fleet's control plane; the log is compacted at snapshots, which keeps
# the store small.
CONTROL_PLANE_STORE_LIMITS = StoreLimits(segment_bytes=8 << 20, max_disk_bytes=256 << 20, max_entries=200_000)
# Limits of the store in a group for configuration. The disk holds two snapshots of up to 160 MiB (the current
# one and the one being written), two logs of 32 MiB each, and the same amount again for space that compaction
# has not freed yet.
CONFIG_DISTRIBUTION_STORE_LIMITS = StoreLimits(
    segment_bytes=8 << 20, max_disk_bytes=1 << 30, max_entries=200_000
)


class BootstrapError(Exception):
    """The directory already belongs to a member.

    Attributes:
        directory: the path of the directory as given in the settings.
    """

    def __init__(self, directory: str) -> None:
        super().__init__(
            f"{directory}: already belongs to a member; use an empty directory, or add a voter with "
            "'lichencleat quorum add'"
        )
        self.directory = directory


def store_limits(settings: QuorumSettings) -> StoreLimits:
    """Return the limits of a member's store, which depend on the kind of group."""
    return CONFIG_DISTRIBUTION_STORE_LIMITS if settings.distribution else CONTROL_PLANE_STORE_LIMITS


def open_member_disk(settings: QuorumSettings) -> Disk:
    """Open the directory of a member.

    Raises:
        StoreError: the directory can't be opened, or the kind of disk in the settings is not available.
    """
    assert settings.directory is not None
    return open_disk(settings.disk, settings.directory)


def bootstrap_group(settings: QuorumSettings, rng: random.Random) -> Identity:
    """Create a new group with this member as its only voter, and return the member's identity.

    Raises:
        BootstrapError: the directory already belongs to a member.
        StoreError: the directory can't be opened or written.
    """
    assert settings.directory is not None
    engine = Engine.open(open_member_disk(settings), unix_time, rng, store_limits(settings), create=True)
    try:
        if engine.get(IDENTITY_KEY) is not None or engine.get(HARD_STATE_KEY) is not None:
            raise BootstrapError(settings.directory)
        return _write_first_member(engine, settings, rng)
    finally:
        engine.close()


def _write_first_member(engine: Engine, settings: QuorumSettings, rng: random.Random) -> Identity:
    assert settings.name is not None
    address = settings.address or settings.listen
    assert address is not None
    identity = load_identity(lambda key: None, rng, settings.group, settings.name, settings.distribution)
    identity.cluster_id = rng.randbytes(GROUP_ID_BYTES)
    identity.start_count = 0
    host, port = parse_address(address)
    member = Member(identity.member_id, settings.name, host, port, True, settings.zone)
    batch = LogStorage().bootstrap_batch(bootstrap_snapshot(Configuration((member,))))
    batch.put(IDENTITY_KEY, msgspec.msgpack.encode(identity))
    (error,) = engine.commit([batch])
    if error is not None:
        raise error
    return identity
