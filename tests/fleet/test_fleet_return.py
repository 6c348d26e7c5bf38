"""Restart of a whole fleet after power losses: three voters and eight nodes as real processes.

`python -m tests.fleet.revive` plays many random schedules of this kind.
"""

import random
import re

import pytest

from lichencleat.testkit.cluster.fleet import LIMIT, Fleet
from lichencleat.testkit.cluster.peers import Dependency

CALL_MS = 30  # ms: duration of the call of the dependency that each run of the class "look" makes
WORK_MS = {"n1": 10, "n2": 160}  # ms: work of a run at each node's interpreter, without the call


class FixedTimes(random.Random):
    """Returns the mean where a stand-in draws a duration, so that no run is shorter than configured."""

    def expovariate(self, lambd=1.0):
        return 1 / lambd


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        yield made
        assert made.find_violation() is None
    finally:
        made.close()


def plan_holder(fleet):
    said = fleet.command("owners", "explain", fleet.file, "revive")[1]
    return next((name for name in fleet.nodes if f"{name} holds the lease" in said), None)


def test_fleet_restarts_by_plan_after_power_losses_and_runs_nothing_twice(fleet):
    rig, everyone, voters = fleet.rig, list(fleet.nodes), list(fleet.rig.voters)
    fleet.wait_for_answers()
    epoch = fleet.epoch()
    fleet.cut_power(everyone, voters)
    fleet.start_again(everyone, voters)
    rig.until(lambda: fleet.epoch() > epoch, "a new epoch")
    fleet.cut_power(everyone, voters)  # the second power loss interrupts the rollout
    fleet.start_again(everyone, voters)
    planner = rig.until(lambda: plan_holder(fleet), "a lease holder of the plan")
    fleet.cut_power([planner], [])
    rig.until(lambda: plan_holder(fleet) not in (None, planner), "the next lease holder of the plan")
    fleet.start_again([planner], [])
    fleet.wait_until_open()
    fleet.wait_for_answers()
    assert fleet.epoch() > epoch
    code, said = fleet.command("fleet", "explain", fleet.file, "n1")
    assert code == 0 and "it admits all arrivals" in said
    assert "no recovery is in progress" in fleet.command("fleet", "status", fleet.file)[1]
    assert fleet.command("fleet", "explain", fleet.file, "n99")[0] == 2
    assert fleet.command("fleet", "hold", fleet.file)[0] == 1
    assert fleet.command("fleet", "forget", fleet.file, "n99")[0] == 1
    assert "event=epoch" in fleet.nodes["n1"].read_log() and "event=plan" in rig.logs() + "".join(
        each.read_log() for each in fleet.nodes.values()
    )


def test_nodes_load_their_own_service_times_from_disk(tmp_path):
    fleet = Fleet(
        tmp_path,
        nodes=2,
        dependency=lambda reactor: Dependency(reactor, FixedTimes(1), CALL_MS / 1000, LIMIT),
    )
    try:
        for name, each in fleet.nodes.items():
            engine, work = each.engine, WORK_MS[name] / 1000
            fleet.rig.relays.call(lambda e=engine, w=work: vars(e).update(rng=FixedTimes(1), work=w))
        fleet.wait_for_answers(60)
        for each in fleet.nodes.values():  # a node has written its last boot record when it has ended
            each.signal(15)
        for each in fleet.nodes.values():
            assert each.wait_for_exit() == 0
        fleet.start_again(list(fleet.nodes), [])
        fleet.wait_until_open()
        took = {}
        for name, each in fleet.nodes.items():
            (said,) = re.findall(r'event="service times loaded" .*runs="(.*?)"', each.read_log())
            took[name] = dict(re.findall(r"(\w+) ([\d.]+) ms", said))
        # No run is shorter than its work and its call; a busy machine adds some ms to both nodes.
        for name, work_ms in WORK_MS.items():
            assert float(took[name]["look"]) >= work_ms + CALL_MS
        assert float(took["n2"]["look"]) > 2.5 * float(took["n1"]["look"])
        fleet.wait_for_answers()
        assert fleet.find_violation() is None
    finally:
        fleet.close()
