"""Which parts of the state the members' programs know, and when one may be decided on; no I/O.

A member that does not know a part passes its commands over, and what it writes down lacks them: started later
as a version that knows the part, it would hold another state than the others and not notice. So a leader lets
the first command of a part in only once every member has said that it knows it; and writes into the log that
the part is used from then on, which stops a member that is put back to a version without it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.consensus.messages import Configuration

ACTIVATION_COMMAND = "parts"  # under this name a leader writes which part is used from then on
# what a version knew that does not say so yet
LEGACY_STATES = frozenset(["facts", "owners", "shares", "revive", "zones", "distribution"])
MAX_TRACKED_MEMBERS = 2_048  # members whose word is kept: twice what a leader has connections for
MAX_NAMED_MEMBERS = 3  # members named in a refusal: a line an operator reads


class UnknownStateError(Exception):
    """The group decides on something that this program does not know."""

    def __init__(self, names: Iterable[str]) -> None:
        which = ", ".join(sorted(names))
        super().__init__(f"the group decides on {which}, which this version does not know: start a newer one")


class SupportedStates:
    """What each member has said since this process began; the last word counts."""

    def __init__(self, own: Iterable[str]) -> None:
        self.own = frozenset(own)
        self.advertised = tuple(sorted(self.own))  # as greetings tell it
        self.by_member: dict[int, frozenset[str]] = {}

    def record(self, seat: int, parts: Iterable[str] | None) -> None:
        """`parts`: None from a version that does not say."""
        self.by_member.pop(seat, None)
        self.by_member[seat] = LEGACY_STATES if parts is None else frozenset(parts)
        if len(self.by_member) > MAX_TRACKED_MEMBERS:
            del self.by_member[next(iter(self.by_member))]

    def rejection(self, part: str, group: Configuration, seat: int) -> str | None:
        """Why the member in `seat` can't decide on the part as the group's leader; None where it can."""
        if part not in self.own:
            return f"the leader does not know {part!r}: it is another group's, or of a later version"
        lacking = [
            each.name
            for each in group.members
            if each.member_id != seat and part not in self.by_member.get(each.member_id, frozenset())
        ]
        if not lacking:
            return None
        more = f" and {len(lacking) - MAX_NAMED_MEMBERS} more" if len(lacking) > MAX_NAMED_MEMBERS else ""
        named = ", ".join(lacking[:MAX_NAMED_MEMBERS])
        return f"not all members have said that they know {part!r}: {named}{more}"
