"""The member table: the latest update about each member.

Updates form a semilattice: two tables that received the same updates are equal, in whatever order and however
often the updates arrived.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from crc32c import crc32c

from lichencleat.membership.messages import MemberState, MemberUpdate

MAX_MEMBERS = 1_024  # updates about more members are dropped, so that datagrams cannot exhaust the memory


class MemberTable:
    """The latest update about each member."""

    def __init__(self) -> None:
        self.members: dict[str, MemberUpdate] = {}
        self._state_changed_at: dict[str, int] = {}  # by name: µs of this member's monotonic clock

    def apply(self, now: int, update: MemberUpdate) -> bool:
        """Apply an update; return whether it overrides the known update about the member."""
        known = self.members.get(update.name)
        if known is None:
            is_accepted = len(self.members) < MAX_MEMBERS and update.state in MemberState._value2member_map_
        else:
            is_accepted = update.precedence() > known.precedence()
        if not is_accepted:
            return False
        if known is None or known.state != update.state:
            self._state_changed_at[update.name] = now
        self.members[update.name] = update
        return True

    def forget_dead(self, now: int, retention: int) -> list[str]:
        """Remove members that have been dead or have left for `retention` µs; return their names."""
        forgotten = [
            name
            for name, member in self.members.items()
            if member.state >= MemberState.DEAD and now - self._state_changed_at[name] >= retention
        ]
        for name in forgotten:
            del self.members[name]
            del self._state_changed_at[name]
        return forgotten

    def active(self) -> Iterator[MemberUpdate]:
        """Iterate over the members that are alive or suspect."""
        return (member for member in self.members.values() if member.state <= MemberState.SUSPECT)

    def active_count(self) -> int:
        """Return the number of members that are alive or suspect."""
        return sum(1 for _ in self.active())

    def digest(self) -> int:
        """Return a checksum of the table; equal tables have equal checksums, and no checksum is 0."""
        rows = sorted((each.name, each.incarnation, each.state) for each in self.members.values())
        return crc32c(msgspec.msgpack.encode(rows)) or 1
