"""Quorums, and which configuration changes are allowed."""

import pytest

from lichencleat.consensus.configuration import (
    change_rejection,
    has_majority,
    quorum_value,
)
from lichencleat.consensus.messages import (
    Configuration,
    Member,
    RejectReason,
)

MEMBERS = [Member(member_id, f"v{member_id}", "h", member_id) for member_id in range(1, 6)]


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        (3, 4, None),
        (3, 5, RejectReason.INVALID_REQUEST),
        (2, 1, None),
        (1, 0, RejectReason.LAST_VOTER),
        (4, 3, None),
    ],
)
def test_change_rejection_allows_steps_of_one_member(old, new, why):
    assert change_rejection(Configuration(tuple(MEMBERS[:old])), Configuration(tuple(MEMBERS[:new]))) is why


def test_majority_and_quorum_value():
    three = frozenset([1, 2, 3])
    assert has_majority(three, [1, 3]) and not has_majority(three, [1, 9, 8])
    assert quorum_value(three, {1: 5, 2: 9, 3: 7}.get) == 7
    assert quorum_value(frozenset([1, 2, 3, 4]), {1: 5, 2: 9, 3: 7, 4: 1}.get) == 5
