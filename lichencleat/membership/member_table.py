"""The member table: which update on each member holds.

Updates form a semilattice: received in any order, any number of times, equal sets of them leave equal tables.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from crc32c import crc32c

from lichencleat.membership.messages import MemberState, MemberUpdate

MAX_MEMBERS = 1_024  # updates on more are dropped: datagrams must not be able to fill the memory


class MemberTable:
    """The latest update on each member."""

    def __init__(self) -> None:
        self.members: dict[str, MemberUpdate] = {}
        self._state_changed_at: dict[str, int] = {}  # µs, here

    def apply(self, now: int, update: MemberUpdate) -> bool:
        """Applies an update; returns whether it is news."""
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
        """Removes members that are dead or left for `retention` µs; returns their names."""
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
        """Yields the members that are alive or suspect."""
        return (member for member in self.members.values() if member.state <= MemberState.SUSPECT)

    def active_count(self) -> int:
        """The number of members that are alive or suspect."""
        return sum(1 for _ in self.active())

    def digest(self) -> int:
        """Returns a checksum, equal for equal tables; never 0."""
        rows = sorted((each.name, each.incarnation, each.state) for each in self.members.values())
        return crc32c(msgspec.msgpack.encode(rows)) or 1
