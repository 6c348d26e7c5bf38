"""Fixtures of the tests of failover."""

import pytest
from failover_group import ReplicatedGroup


@pytest.fixture
def group():
    return ReplicatedGroup()
