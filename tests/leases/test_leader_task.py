"""A task that runs in the process that holds the lease on the task's job."""

import pytest
from leases.group_client_stub import GroupClientStub, LogStub
from twisted.internet.task import Clock

from lichencleat.leases.leader_task import REQUEST_TIMEOUT_S, LeaderTask


class FencingTokensStub:
    """Holds the fencing tokens that the test sets."""

    def __init__(self):
        self.held = {}

    def fencing_token(self, job):
        return self.held.get(job)


class Task(LeaderTask[int]):
    """Records states and replies; its decision object is just the fencing token."""

    query = "query"

    def __init__(self, reactor):
        super().__init__(reactor, GroupClientStub(), "part", "job", LogStub())
        self.lease_client = FencingTokensStub()
        self.states = []
        self.replies = []

    def create_decider(self, fencing_token):
        return fencing_token

    def on_state(self, state, decider):
        self.states.append((state, decider))
        self.schedule_poll(decider, 0.25)

    def on_reply(self, reply):
        self.replies.append(reply)

    def on_proposal_failed(self, failure):
        self.replies.append(failure.type)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def task(clock):
    task = Task(clock)
    task.lease_client.held["job"] = 7
    return task


def test_task_polls_while_its_lease_is_held(task, clock):
    task.on_lease_acquired("job", 7)
    assert task.client.requests == [("read", "part", "query", REQUEST_TIMEOUT_S)]
    task.client.replies[0].callback("state")
    assert task.states == [("state", 7)]
    clock.advance(0.24)
    assert len(task.client.requests) == 1
    clock.advance(0.01)
    assert len(task.client.requests) == 2
    task.client.replies[1].callback("state")
    task.on_lease_lost("job", "the lease is over")
    assert clock.getDelayedCalls() == []


def test_task_ignores_leases_of_other_jobs(task):
    task.on_lease_acquired("other", 1)
    assert task.client.requests == []
    task.on_lease_acquired("job", 7)
    task.on_lease_lost("other", "the lease is over")
    assert task.decider == 7


def test_task_drops_an_answer_requested_under_an_earlier_lease(task):
    task.on_lease_acquired("job", 7)
    task.on_lease_lost("job", "the lease is over")
    task.on_lease_acquired("job", 9)
    task.client.replies[0].callback("old")
    assert task.states == []
    task.client.replies[1].callback("new")
    assert task.states == [("new", 9)]


def test_task_polls_again_after_a_failed_read(task, clock):
    task.on_lease_acquired("job", 7)
    task.client.replies[0].errback(ValueError("no"))
    clock.advance(task.poll_interval_s)
    assert len(task.client.requests) == 2


def test_task_proposes_only_while_the_lease_is_held(task):
    task.propose("part", "command")
    assert task.client.requests == [("propose", "part", "command", REQUEST_TIMEOUT_S)]
    task.client.replies[0].callback("done")
    task.lease_client.held.clear()
    task.propose("part", "command")
    task.lease_client = None
    task.propose("part", "command")
    assert len(task.client.requests) == 1 and task.replies == ["done"]
