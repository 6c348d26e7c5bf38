"""Which commands the lease holder of a pool proposes."""

from quotas.quota_state_driver import TERM

from lichencleat.quotas.allocator import Allocator
from lichencleat.quotas.messages import GrantExpired


def test_allocator_expires_a_grant_after_a_term_and_the_drift(quotas):
    quotas.ask("a", 1)
    allocator = Allocator("p", quotas.token)
    (allocate,) = allocator.decide(0, quotas.pool)
    quotas(allocate)
    quotas.ask("a", 2)
    assert allocator.decide(5, quotas.pool) == []
    assert allocator.decide(5 + int(TERM * 1.1) - 1, quotas.pool) == []
    (expired,) = allocator.decide(5 + int(TERM * 1.1), quotas.pool)
    assert expired == GrantExpired("p", quotas.token, "a", quotas.pool.node_quotas["a"].renewal_index)
    # a new lease holder starts the measurement again
    assert Allocator("p", quotas.token).decide(10 * TERM, quotas.pool) == []
