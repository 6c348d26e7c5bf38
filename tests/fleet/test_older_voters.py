"""Mixed versions: voters as real processes, some of which lack parts of the replicated state.

Proposals for a part are rejected until all voters support this part; the other parts keep working. A voter
that is downgraded to a version without a part that is in use exits.
"""

import pytest

from lichencleat.recovery.messages import NodeReport
from lichencleat.testkit.cluster.fleet import Fleet
from lichencleat.testkit.cluster.rig import Rig
from lichencleat.transport.errors import RequestFailedError

MISSING_PARTS = ("revive", "zones")


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path)
    try:
        yield made
    finally:
        made.close()


def report(number):
    return NodeReport(f"n{number}", "x", number, True, 0, 1, True, True, 0.5)


def propose_report(rig, client, number):
    """Propose a node's report; returns the reason of the rejection, or "" if the report is accepted."""
    try:
        rig.ask(client.propose, "revive", report(number), 0.5)
    except RequestFailedError as wrong:
        return str(wrong)
    return ""


def make_leader(rig, voter):
    """Transfer the leadership to a voter; a transfer that is rejected because it is too early is repeated."""

    def is_leader():
        if rig.leader() is not voter:
            rig.command("quorum", "transfer", str(voter.file), voter.name)
        return rig.leader() is voter

    rig.until(is_leader, f"{voter.name} to lead")


def test_a_part_that_a_voter_lacks_is_rejected_until_its_upgrade_and_other_parts_work(rig):
    v1, v2, v3 = rig.voters.values()
    v3.missing_parts = MISSING_PARTS
    rig.form()
    client = rig.client()
    make_leader(rig, v1)
    assert "not all members have said that they know 'revive': v3" in propose_report(rig, client, 1)
    assert rig.command("owners", "define", str(v1.file), "deal")[0] == 0
    make_leader(rig, v3)
    assert "the leader does not know 'revive'" in propose_report(rig, client, 2)
    assert rig.command("owners", "define", str(v1.file), "plan")[0] == 0
    v3.kill()
    v3.missing_parts = ()
    v3.start()
    rig.until(lambda: propose_report(rig, client, 3) == "", "a report to be accepted after the upgrade")
    told = []
    for each in (v1, v2, v3):  # all voters have the same state, including the upgraded voter
        make_leader(rig, each)
        assert "revive" in each.status()["used"]
        told.append(rig.ask(client.read, "revive", None))
    assert told[0] == told[1] == told[2] and list(told[0]["nodes"]) == ["n3"]


def test_a_downgraded_voter_exits_and_the_others_keep_working(rig):
    rig.form()
    client = rig.client()
    v1, v2, v3 = rig.voters.values()
    make_leader(rig, v1)
    rig.until(lambda: propose_report(rig, client, 1) == "", "a report to be accepted")
    v3.kill()
    v3.missing_parts = MISSING_PARTS
    v3.start()
    assert v3.wait_for_exit() == 3
    assert "uses revive, which this version does not support: start a newer version" in v3.log.read_text()
    assert propose_report(rig, client, 2) == ""
    v3.missing_parts = ()
    v3.start()
    make_leader(rig, v3)
    assert list(rig.ask(client.read, "revive", None)["nodes"]) == ["n1", "n2"]


def test_nodes_serve_without_downgraded_voters_and_follow_the_plan_after_the_upgrade(tmp_path):
    fleet = Fleet(tmp_path, nodes=3)
    try:
        fleet.wait_for_answers()
        epoch, voters = fleet.epoch(), list(fleet.rig.voters)
        fleet.cut_power(list(fleet.nodes), voters)
        for name in voters[1:]:
            fleet.rig.voters[name].missing_parts = MISSING_PARTS
        fleet.start_again(list(fleet.nodes), voters)
        # Two of three voters exit, so no majority is left; the nodes serve without a plan.
        for name in voters[1:]:
            assert fleet.rig.voters[name].wait_for_exit() == 3
        fleet.wait_for_answers(1)
        for name in voters[1:]:
            fleet.rig.voters[name].missing_parts = ()
        fleet.start_again([], voters[1:])
        fleet.wait_until_open()
        fleet.wait_for_answers()
        assert fleet.epoch() > epoch and fleet.find_violation() is None
    finally:
        fleet.close()
