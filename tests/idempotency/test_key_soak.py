"""A short run of the soak; the long one is `python -m tests.idempotency.key_soak`."""

import pytest
from key_soak import KeySoak

SEEDS = 400


@pytest.mark.parametrize("first", range(0, SEEDS, 100))
def test_random_requests_that_share_keys_run_once_and_leave_nothing(first):
    """Guards against a request that takes the record of another one with its key, in any order."""
    for seed in range(first, first + 100):
        KeySoak(seed).play()
