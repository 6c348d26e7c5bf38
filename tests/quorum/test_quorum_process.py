"""What a client and a process do with what should not come, by hand."""

import random
from types import SimpleNamespace

from twisted.internet.testing import MemoryReactorClock

from lichencleat.quorum.client import Client, GroupError
from lichencleat.quorum.member import Role
from lichencleat.quorum.process import Process
from lichencleat.quorum.terms import Act, Decision, Reason


def test_the_end_of_a_connection_that_was_dropped_counts_for_nothing():
    reactor = MemoryReactorClock()
    client = Client(reactor, "g", [("10.0.0.1", 1), ("10.0.0.2", 2)], random.Random(1))
    client.call("status")
    first = client.opening
    client.move(("10.0.0.2", 2))
    reactor.advance(0)
    second = client.opening
    assert second is not None and second is not first
    client.lost(first)
    assert client.opening is second and client.connector is not None
    client.lost(second)
    assert client.opening is None


def test_a_call_that_nobody_answers_ends_with_its_patience_and_says_whether_it_may_be_done():
    reactor, told = MemoryReactorClock(), []
    client = Client(reactor, "g", [("10.0.0.1", 1)], random.Random(1))
    client.call("status", None, 3.0).addErrback(lambda failure: told.append(failure.value))
    for _ in range(100):
        reactor.advance(0.1)
    assert [type(each) for each in told] == [GroupError] and not told[0].maybe
    client.close()
    client.call("status").addErrback(lambda failure: told.append(failure.value))
    assert "closed" in str(told[1])


def test_a_leader_tends_its_state_also_while_entries_wait_to_be_applied():
    process, seen = Process.__new__(Process), []
    process.reactor, process.ending, process.role = MemoryReactorClock(), False, Role.LEADER
    process.state, process.tend = SimpleNamespace(applied=1), lambda state, now: seen.append(state) or []
    process.voter = SimpleNamespace(commit=2)
    process.look_after()
    process.reactor.advance(1)
    assert seen[:2] == [process.state, process.state]
    process.role = Role.FOLLOWER
    process.look_after()
    assert seen[-1] is None and process.tending is None


def test_a_leader_s_own_proposal_that_is_refused_has_nobody_to_be_told():
    assert Process.carry_out(None, Decision(Act.REFUSE, ticket=None, reason=Reason.NOT_LEADER)) is None
