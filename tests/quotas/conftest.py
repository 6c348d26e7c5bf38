"""Fixtures for tests of quotas."""

import pytest
from quotas.quota_state_driver import QuotaStateDriver


@pytest.fixture
def quotas():
    return QuotaStateDriver()
