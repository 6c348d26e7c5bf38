"""The loop of timer, proposal and reply."""

import pytest
from leases.group_client_stub import GroupClientStub, LogStub
from twisted.internet.task import Clock

from lichencleat.leases.periodic_proposer import MAX_ROUND_INTERVAL_US, PeriodicProposer, Proposal


class Proposer(PeriodicProposer):
    """Proposes the command that the test sets as due, and records rounds, replies and failures."""

    min_round_interval_us = 1_000

    def __init__(self, reactor, client):
        super().__init__(reactor, client, "part", LogStub())
        self.due = None
        self.wait = MAX_ROUND_INTERVAL_US
        self.rounds = []
        self.handled = []

    def next_proposal(self, now):
        self.rounds.append(now)
        due, self.due = self.due, None
        return due

    def next_round_at(self, now):
        return now + self.wait

    def on_reply(self, reply):
        self.handled.append(reply)
        self.schedule_round()

    def on_failure(self, failure):
        self.handled.append(failure.type)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def proposer(clock):
    return Proposer(clock, GroupClientStub())


def test_proposer_runs_its_first_round_at_start_and_proposes_the_due_command(proposer):
    proposer.due = Proposal("command", 0.5)
    proposer.start()
    assert proposer.rounds == [0]
    assert proposer.client.requests == [("propose", "part", "command", 0.5)]


@pytest.mark.parametrize(("wait", "interval"), [(50_000, 50_000), (0, 1_000), (9_000_000, 100_000)])
def test_proposer_bounds_the_interval_of_rounds(proposer, clock, wait, interval):
    proposer.wait = wait
    proposer.start()
    (timer,) = clock.getDelayedCalls()
    assert timer.getTime() == pytest.approx(interval / 1e6)


def test_proposer_passes_replies_and_failures_on(proposer):
    for _ in range(2):
        proposer.due = Proposal("command", 0.5)
        proposer.run_round()
    proposer.client.replies[0].callback("done")
    proposer.client.replies[1].errback(ValueError("no"))
    assert proposer.handled == ["done", ValueError]


def test_proposer_has_one_timer_even_if_a_round_is_scheduled_twice(proposer, clock):
    proposer.due = Proposal("command", 0.5)
    proposer.start()
    clock.advance(0.04)
    proposer.client.replies[0].callback("done")
    (timer,) = clock.getDelayedCalls()
    assert timer.getTime() == pytest.approx(0.14)


def test_stopped_proposer_runs_no_round_but_handles_the_last_reply(proposer, clock):
    proposer.due = Proposal("command", 0.5)
    proposer.start()
    proposer.stop()
    proposer.client.replies[0].callback("done")
    clock.advance(1)
    assert proposer.handled == ["done"] and proposer.rounds == [0] and clock.getDelayedCalls() == []
