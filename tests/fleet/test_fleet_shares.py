"""Quota of a shared dependency, with three voters and four nodes as real processes, under faults.

The dependency counts the calls in flight, which must never exceed its limit.
"""

import signal

import pytest
from fleet.shares_drawn import FLOOR, LIMIT, Fleet


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        yield made
        assert made.dependency.over_limit == 0 and made.dependency.max_in_flight <= LIMIT
    finally:
        made.close()


def test_the_limit_holds_and_all_nodes_are_served_when_the_allocator_changes(fleet):
    """The allocator is killed and restarted as a node; the next is stopped past its lease and resumed."""
    fleet.wait_for_answers(fleet.nodes)
    fleet.rig.until(
        lambda: fleet.dependency.max_in_flight >= LIMIT - FLOOR - 1, "calls in flight near the limit"
    )
    old = fleet.owner()
    fleet.nodes[old].kill()
    fleet.rig.until(lambda: fleet.owner() not in (None, old), "another allocator")
    others = [name for name in fleet.nodes if name != old]
    fleet.wait_for_answers(others)
    fleet.nodes[old].start()
    fleet.wait_for_answers(fleet.nodes)
    stopped = fleet.owner()
    fleet.nodes[stopped].signal(signal.SIGSTOP)
    fleet.rig.until(lambda: fleet.owner() not in (None, stopped), "a third allocator")
    fleet.wait_for_answers([name for name in fleet.nodes if name != stopped])
    fleet.nodes[stopped].signal(signal.SIGCONT)
    fleet.wait_for_answers(fleet.nodes)
    assert 'event="grant changed"' in fleet.nodes[old].read_log()
    code, said = fleet.rig.command("shares", "show", fleet.file, "below", "--json")
    assert code == 0 and '"n1"' in said


def test_without_a_majority_every_node_falls_to_its_floor_and_recovers(fleet):
    fleet.wait_for_answers(fleet.nodes)
    lost = list(fleet.rig.voters.values())[:2]
    for each in lost:
        each.kill()
    fleet.rig.until(
        lambda: all(each.read_log().rstrip().rfind(f"usable={FLOOR} ") > 0 for each in fleet.nodes.values()),
        "all nodes to use their floors",
    )
    fleet.wait_for_answers(fleet.nodes, 5)
    for each in lost:
        each.start()
    before = fleet.dependency.received
    fleet.wait_for_answers(fleet.nodes)
    assert fleet.dependency.received > before
    code, said = fleet.rig.command("shares", "list", fleet.file)
    assert code == 0 and "below" in said
    assert fleet.rig.command("shares", "show", fleet.file, "nothing")[0] == 2
    assert fleet.rig.command("shares", "drop", fleet.file, "below")[0] == 1
