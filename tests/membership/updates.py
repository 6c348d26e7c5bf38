"""Member updates for the tests."""

from lichencleat.membership.messages import MemberState, MemberUpdate


def update(name, state=MemberState.ALIVE, incarnation=1):
    return MemberUpdate(name, state, incarnation, "10.0.0.1", 7000, "x", "node")
