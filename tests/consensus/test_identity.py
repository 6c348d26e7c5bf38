"""Identities of members and of their starts."""

import pytest

from lichencleat.consensus.identity import CONFIRMATION_WAIT_US, GreetingResult, Incarnation, PeerIncarnations


@pytest.mark.parametrize(
    ("cluster_id", "recipient", "incarnation", "result", "is_new"),
    [
        (b"g", 1, Incarnation(7, 70), GreetingResult.ACCEPTED, False),
        (b"g", 0, Incarnation(8, 1), GreetingResult.ACCEPTED, True),
        (b"g", 1, Incarnation(6, 70), GreetingResult.STALE_INCARNATION, False),  # restored from an older copy
        (b"g", 1, Incarnation(7, 71), GreetingResult.STALE_INCARNATION, False),  # a copy runs simultaneously
        (b"other", 1, Incarnation(9, 1), GreetingResult.WRONG_CLUSTER, False),
        (b"g", 5, Incarnation(9, 1), GreetingResult.WRONG_MEMBER, False),
    ],
)
def test_greeting_is_checked_against_known_incarnations(cluster_id, recipient, incarnation, result, is_new):
    incarnations = PeerIncarnations(b"g", 1, Incarnation(1, 1), {2: Incarnation(7, 70)})
    assert incarnations.on_greeting(cluster_id, 2, recipient, incarnation) == (result, is_new)


def test_start_waits_for_all_confirmations_or_until_the_timeout():
    incarnations = PeerIncarnations(b"g", 1, Incarnation(4, 1), {})
    others = frozenset([2, 3])
    assert incarnations.on_greeting_reply(
        2, GreetingResult.ACCEPTED
    ) is None and not incarnations.can_participate(others, CONFIRMATION_WAIT_US - 1)
    assert incarnations.can_participate(others, CONFIRMATION_WAIT_US)
    assert incarnations.on_greeting_reply(
        3, GreetingResult.ACCEPTED
    ) is None and incarnations.can_participate(others, 0)
    assert "restored from a copy" in incarnations.on_greeting_reply(3, GreetingResult.STALE_INCARNATION)
    assert incarnations.on_greeting_reply(3, GreetingResult.WRONG_CLUSTER) is None
