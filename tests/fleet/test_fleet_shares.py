"""Three voters, four real nodes that share a dependency, faults between them; the dependency counts."""

import signal

import pytest
from fleet.shares_drawn import FLOOR, LIMIT, Fleet


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        yield made
        assert made.below.over_limit == 0 and made.below.most <= LIMIT
    finally:
        made.close()


def test_all_nodes_call_under_one_limit_whoever_deals_it_out(fleet):
    """The owner is killed, then the next one is stopped for leases and goes on; a node comes again."""
    fleet.more(fleet.nodes)
    fleet.rig.until(lambda: fleet.below.most >= LIMIT - FLOOR - 1, "the limit to be made use of")
    old = fleet.owner()
    fleet.nodes[old].kill()
    fleet.rig.until(lambda: fleet.owner() not in (None, old), "another owner")
    others = [name for name in fleet.nodes if name != old]
    fleet.more(others)
    fleet.nodes[old].start()
    fleet.more(fleet.nodes)
    stopped = fleet.owner()
    fleet.nodes[stopped].signal(signal.SIGSTOP)
    fleet.rig.until(lambda: fleet.owner() not in (None, stopped), "a third owner")
    fleet.more([name for name in fleet.nodes if name != stopped])
    fleet.nodes[stopped].signal(signal.SIGCONT)
    fleet.more(fleet.nodes)
    assert 'event="grant changed"' in fleet.nodes[old].said()
    code, said = fleet.rig.command("shares", "show", fleet.file, "below", "--json")
    assert code == 0 and '"n1"' in said


def test_without_a_majority_every_node_falls_to_its_floor_and_comes_back(fleet):
    fleet.more(fleet.nodes)
    lost = list(fleet.rig.voters.values())[:2]
    for each in lost:
        each.kill()
    fleet.rig.until(
        lambda: all(each.said().rstrip().rfind(f"usable={FLOOR} ") > 0 for each in fleet.nodes.values()),
        "the floors",
    )
    fleet.more(fleet.nodes, 5)
    for each in lost:
        each.start()
    before = fleet.below.taken
    fleet.more(fleet.nodes)
    assert fleet.below.taken > before
    code, said = fleet.rig.command("shares", "list", fleet.file)
    assert code == 0 and "below" in said
    assert fleet.rig.command("shares", "show", fleet.file, "nothing")[0] == 2
    assert fleet.rig.command("shares", "drop", fleet.file, "below")[0] == 1
