"""The client of a group whose members do not answer."""

import random

from twisted.internet.testing import MemoryReactorClock

from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient


def test_group_client_ignores_the_end_of_a_connection_that_it_already_dropped():
    reactor = MemoryReactorClock()
    client = GroupClient(reactor, "g", [("10.0.0.1", 1), ("10.0.0.2", 2)], random.Random(1))
    client.call("status")
    first = client._factory
    client._switch_member(("10.0.0.2", 2))
    reactor.advance(0)
    second = client._factory
    assert second is not None and second is not first
    client.on_connection_lost(first)
    assert client._factory is second and client._connector is not None
    client.on_connection_lost(second)
    assert client._factory is None


def test_unanswered_request_fails_at_its_timeout_and_reports_whether_it_may_take_effect():
    reactor, errors = MemoryReactorClock(), []
    client = GroupClient(reactor, "g", [("10.0.0.1", 1)], random.Random(1))
    client.call("status", None, 3.0).addErrback(lambda failure: errors.append(failure.value))
    for _ in range(100):
        reactor.advance(0.1)
    assert [type(each) for each in errors] == [RequestFailedError] and not errors[0].may_take_effect
    client.close()
    client.call("status").addErrback(lambda failure: errors.append(failure.value))
    assert "closed" in str(errors[1])
