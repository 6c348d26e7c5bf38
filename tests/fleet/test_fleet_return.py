"""Three voters and eight real nodes lose their power, twice, and the owner of the plan dies; in full:
`python -m tests.fleet.revive`.
"""

import random
import re

import pytest

from lichencleat.testkit.cluster.fleet import LIMIT, Fleet
from lichencleat.testkit.cluster.peers import Dependency

CALL_MS = 30  # of the dependency, in the middle of each run of the class "look"
WORK_MS = {"n1": 10, "n2": 160}  # of a run at each node's interpreter, besides the call


class FixedTimes(random.Random):
    """Gives the mean wherever a stand-in draws a time, so that no run takes less than it is told to."""

    def expovariate(self, lambd=1.0):
        return 1 / lambd


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        yield made
        assert made.judge() is None
    finally:
        made.close()


def owner(fleet):
    said = fleet.command("owners", "explain", fleet.file, "revive")[1]
    return next((name for name in fleet.nodes if f"{name} holds the lease" in said), None)


def test_a_fleet_returns_by_plan_after_cuts_of_power_and_runs_nothing_twice(fleet):
    rig, everyone, voters = fleet.rig, list(fleet.nodes), list(fleet.rig.voters)
    fleet.work()
    epoch = fleet.epoch()
    fleet.cut(everyone, voters)
    fleet.come_back(everyone, voters)
    rig.until(lambda: fleet.epoch() > epoch, "a new epoch")
    fleet.cut(everyone, voters)  # in the middle of the return
    fleet.come_back(everyone, voters)
    planner = rig.until(lambda: owner(fleet), "an owner of the plan")
    fleet.cut([planner], [])
    rig.until(lambda: owner(fleet) not in (None, planner), "the next owner")
    fleet.come_back([planner], [])
    fleet.until_open()
    fleet.work()
    assert fleet.epoch() > epoch
    code, said = fleet.command("fleet", "explain", fleet.file, "n1")
    assert code == 0 and "it admits all arrivals" in said
    assert "no recovery is in progress" in fleet.command("fleet", "status", fleet.file)[1]
    assert fleet.command("fleet", "explain", fleet.file, "n99")[0] == 2
    assert fleet.command("fleet", "hold", fleet.file)[0] == 1
    assert fleet.command("fleet", "forget", fleet.file, "n99")[0] == 1
    assert "event=epoch" in fleet.nodes["n1"].said() and "event=plan" in rig.logs() + "".join(
        each.said() for each in fleet.nodes.values()
    )


def test_nodes_recall_their_own_speed_from_their_disks(tmp_path):
    fleet = Fleet(
        tmp_path,
        nodes=2,
        dependency=lambda reactor: Dependency(reactor, FixedTimes(1), CALL_MS / 1000, LIMIT),
    )
    try:
        for name, each in fleet.nodes.items():
            engine, work = each.engine, WORK_MS[name] / 1000
            fleet.rig.relays.call(lambda e=engine, w=work: vars(e).update(rng=FixedTimes(1), work=w))
        fleet.work(60)
        for each in fleet.nodes.values():  # its last sign of life stands on the disk once it has ended
            each.signal(15)
        for each in fleet.nodes.values():
            assert each.ended() == 0
        fleet.come_back(list(fleet.nodes), [])
        fleet.until_open()
        took = {}
        for name, each in fleet.nodes.items():
            (said,) = re.findall(r'event="service times loaded" .*runs="(.*?)"', each.said())
            took[name] = dict(re.findall(r"(\w+) ([\d.]+) ms", said))
        # No run is shorter than its work and its call; a busy machine adds some ms to both nodes.
        for name, work_ms in WORK_MS.items():
            assert float(took[name]["look"]) >= work_ms + CALL_MS
        assert float(took["n2"]["look"]) > 2.5 * float(took["n1"]["look"])
        fleet.work()
        assert fleet.judge() is None
    finally:
        fleet.close()
