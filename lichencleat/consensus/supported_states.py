"""Tracks which replicated states each member supports, and when a state may be activated. No I/O.

A member that does not support a state skips the state's commands, and the member's snapshots lack their
effect. After an upgrade to a version that supports the state, such a member would hold other data than the
rest, and nothing would detect the difference. The leader therefore admits the first command for a state only
once every member has reported that it supports the state. The leader then appends an activation entry to the
log, which stops a member that is downgraded to a version without the state.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.consensus.messages import Configuration

ACTIVATION_COMMAND = "parts"  # name of the command with which a leader activates states
# The states that a version supports if it is too old to report them. The names are stored.
LEGACY_STATES = frozenset(["facts", "owners", "shares", "revive", "zones", "distribution"])
MAX_TRACKED_MEMBERS = 2_048  # twice the number of connections that a leader accepts
MAX_NAMED_MEMBERS = 3  # members named in a rejection, which should fit on one line for an operator


class UnknownStateError(Exception):
    """The cluster has activated states that this program does not support.

    Attributes:
        names: the states' names.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = sorted(names)
        which = ", ".join(self.names)
        super().__init__(
            f"the group uses {which}, which this version does not support: start a newer version"
        )


class SupportedStates:
    """The states that each member has reported since this process started; the latest report counts."""

    def __init__(self, own: Iterable[str]) -> None:
        """`own` has the names of the states that this program supports."""
        self.own = frozenset(own)
        self.advertised = tuple(sorted(self.own))  # sent in greetings
        self.by_member: dict[int, frozenset[str]] = {}

    def record(self, member_id: int, states: Iterable[str] | None) -> None:
        """Record a member's report; `states` is None from a version that does not report them."""
        self.by_member.pop(member_id, None)
        self.by_member[member_id] = LEGACY_STATES if states is None else frozenset(states)
        if len(self.by_member) > MAX_TRACKED_MEMBERS:
            del self.by_member[next(iter(self.by_member))]

    def rejection(self, state: str, configuration: Configuration, leader_id: int) -> str | None:
        """Return why commands for the state can't be admitted, or None if they can."""
        if state not in self.own:
            return f"the leader does not know {state!r}: it is another group's, or of a later version"
        lacking = [
            each.name
            for each in configuration.members
            if each.member_id != leader_id and not self._is_supported_by(each.member_id, state)
        ]
        if not lacking:
            return None
        named = ", ".join(lacking[:MAX_NAMED_MEMBERS])
        unnamed_count = len(lacking) - MAX_NAMED_MEMBERS
        more = f" and {unnamed_count} more" if unnamed_count > 0 else ""
        return f"not all members have said that they know {state!r}: {named}{more}"

    def _is_supported_by(self, member_id: int, state: str) -> bool:
        return state in self.by_member.get(member_id, frozenset())
