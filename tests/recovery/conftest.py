"""Fixtures of the tests of recovery."""

import pytest
from replicated_group import ReplicatedGroup


@pytest.fixture
def group():
    return ReplicatedGroup()
