"""Voters of an older version among those of now, as real processes: what one lacks waits until all know it,
the rest goes on; one that is put back to the older version stops.
"""

import pytest

from lichencleat.recovery.messages import NodeReport
from lichencleat.testkit.cluster.fleet import Fleet
from lichencleat.testkit.cluster.rig import Rig
from lichencleat.transport.errors import RequestFailedError

LACKS = ("revive", "zones")


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path)
    try:
        yield made
    finally:
        made.close()


def report(number):
    return NodeReport(f"n{number}", "x", number, True, 0, 1, True, True, 0.5)


def decided(rig, client, number):
    """A node's report, taken in or refused with its reason."""
    try:
        rig.ask(client.propose, "revive", report(number), 0.5)
    except RequestFailedError as wrong:
        return str(wrong)
    return ""


def leads(rig, voter):
    """Until it does; a transfer that comes too early is asked for again."""

    def led():
        if rig.leader() is not voter:
            rig.command("quorum", "transfer", str(voter.file), voter.name)
        return rig.leader() is voter

    rig.until(led, f"{voter.name} to lead")


def test_what_one_voter_lacks_waits_for_it_and_the_rest_goes_on(rig):
    v1, v2, v3 = rig.voters.values()
    v3.lacks = LACKS
    rig.form()
    client = rig.client()
    leads(rig, v1)
    assert "not all members have said that they know 'revive': v3" in decided(rig, client, 1)
    assert rig.command("owners", "define", str(v1.file), "deal")[0] == 0
    leads(rig, v3)
    assert "the leader does not know 'revive'" in decided(rig, client, 2)
    assert rig.command("owners", "define", str(v1.file), "plan")[0] == 0
    v3.kill()
    v3.lacks = ()
    v3.start()
    rig.until(lambda: decided(rig, client, 3) == "", "a report to be taken in once all know it")
    told = []
    for each in (v1, v2, v3):  # each has the same, the one that was put up last as well
        leads(rig, each)
        assert "revive" in each.status()["used"]
        told.append(rig.ask(client.read, "revive", None))
    assert told[0] == told[1] == told[2] and list(told[0]["nodes"]) == ["n3"]


def test_a_voter_put_back_to_an_older_version_stops_and_the_others_go_on(rig):
    rig.form()
    client = rig.client()
    v1, v2, v3 = rig.voters.values()
    leads(rig, v1)
    rig.until(lambda: decided(rig, client, 1) == "", "a report to be taken in")
    v3.kill()
    v3.lacks = LACKS
    v3.start()
    assert v3.ended() == 3
    assert "uses revive, which this version does not support: start a newer version" in v3.log.read_text()
    assert decided(rig, client, 2) == ""
    v3.lacks = ()
    v3.start()
    leads(rig, v3)
    assert list(rig.ask(client.read, "revive", None)["nodes"]) == ["n1", "n2"]


def test_a_fleet_whose_voters_return_older_goes_on_alone_and_by_plan_once_they_are_put_up(tmp_path):
    fleet = Fleet(tmp_path, nodes=3)
    try:
        fleet.work()
        epoch, voters = fleet.epoch(), list(fleet.rig.voters)
        fleet.cut(list(fleet.nodes), voters)
        for name in voters[1:]:
            fleet.rig.voters[name].lacks = LACKS
        fleet.come_back(list(fleet.nodes), voters)
        for name in voters[1:]:  # two of three: no majority is left, and each node goes on by itself
            assert fleet.rig.voters[name].ended() == 3
        fleet.work(1)
        for name in voters[1:]:
            fleet.rig.voters[name].lacks = ()
        fleet.come_back([], voters[1:])
        fleet.until_open()
        fleet.work()
        assert fleet.epoch() > epoch and fleet.judge() is None
    finally:
        fleet.close()
