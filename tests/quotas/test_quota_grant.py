"""How many calls a node may have in flight and until when."""

from quotas.quota_state_driver import TERM

from lichencleat.quotas.messages import QuotaReply
from lichencleat.quotas.quota_grant import QuotaGrant


def make_grant(**arguments):
    return QuotaGrant("p", "a", 1, 2, TERM, 0, **arguments)


def test_grant_is_measured_from_its_request_and_the_floor_applies_after_it():
    grant = make_grant()
    assert grant.usable_calls(0) == 0  # calls of an earlier incarnation may be in flight
    request = grant.next_request(100, 0)
    assert (request.request_number, request.in_use, grant.next_request(200, 0)) == (1, 0, None)
    grant.on_reply(500_000, QuotaReply(7, 3))
    assert grant.usable_calls(900_099) == 7 and grant.max_call_duration(500_000) == 400_100
    assert grant.usable_calls(900_100) == 0 and grant.usable_calls(1_100_000) == 2
    assert grant.max_call_duration(1_100_000) == 900_000
    assert grant.next_request(1_200_000, 5).in_use == 5


def test_late_reply_grants_nothing_and_a_rejection_applies_after_the_last_grant():
    grant = make_grant()
    grant.next_request(0, 0)
    grant.on_reply(950_000, QuotaReply(7, 3))
    assert grant.usable_calls(950_000) == 0
    grant.next_request(950_000, 0)
    grant.on_reply(960_000, QuotaReply(7, 3))
    grant.next_request(grant.next_request_at, 0)
    grant.on_reply(1_300_000, QuotaReply(0, 0, "all 4 seats are taken"))
    assert grant.usable_calls(1_849_999) == 7 and grant.usable_calls(1_850_000) == 0
    grant.next_request(grant.next_request_at, 0)
    grant.on_failure(2_000_000)
    assert grant.usable_calls(2_000_000) == 0 and grant.next_action_at(2_000_000) > 2_000_000
