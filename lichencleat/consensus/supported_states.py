"""Which replicated states each member's program supports, and when one may be used first. No I/O.

A member that does not know a state skips its commands, and its snapshots lack them: restarted as a version
that knows the state, it would differ from the others and not notice. The leader therefore admits the first
command for a state only once every member has reported that it supports it. It then writes into the log that
the state is active, which stops a member that is downgraded to a version without it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.consensus.messages import Configuration

ACTIVATION_COMMAND = "parts"  # name under which a leader writes which state is active from then on
# What a version supports that does not report it yet. The names are stored.
LEGACY_STATES = frozenset(["facts", "owners", "shares", "revive", "zones", "distribution"])
MAX_TRACKED_MEMBERS = 2_048  # twice the connections that a leader accepts
MAX_NAMED_MEMBERS = 3  # in a rejection, which is one line for an operator


class UnknownStateError(Exception):
    """The cluster uses states that this program does not know.

    Attributes:
        names: the states' names.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = sorted(names)
        which = ", ".join(self.names)
        super().__init__(f"the group decides on {which}, which this version does not know: start a newer one")


class SupportedStates:
    """What each member has reported since this process started; the latest report counts."""

    def __init__(self, own: Iterable[str]) -> None:
        """`own`: the states that this program supports."""
        self.own = frozenset(own)
        self.advertised = tuple(sorted(self.own))  # as sent in greetings
        self.by_member: dict[int, frozenset[str]] = {}

    def record(self, member_id: int, states: Iterable[str] | None) -> None:
        """Record a member's report; None from a version that does not report."""
        self.by_member.pop(member_id, None)
        self.by_member[member_id] = LEGACY_STATES if states is None else frozenset(states)
        if len(self.by_member) > MAX_TRACKED_MEMBERS:
            del self.by_member[next(iter(self.by_member))]

    def rejection(self, state: str, configuration: Configuration, leader_id: int) -> str | None:
        """Return why commands for the state can't be admitted, or None where they can."""
        if state not in self.own:
            return f"the leader does not know {state!r}: it is another group's, or of a later version"
        lacking = [
            each.name
            for each in configuration.members
            if each.member_id != leader_id and not self._supports(each.member_id, state)
        ]
        if not lacking:
            return None
        named = ", ".join(lacking[:MAX_NAMED_MEMBERS])
        unnamed_count = len(lacking) - MAX_NAMED_MEMBERS
        more = f" and {unnamed_count} more" if unnamed_count > 0 else ""
        return f"not all members have said that they know {state!r}: {named}{more}"

    def _supports(self, member_id: int, state: str) -> bool:
        return state in self.by_member.get(member_id, frozenset())
