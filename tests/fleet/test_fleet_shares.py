"""Three voters, four real nodes that share a dependency, faults between them; the dependency counts."""

import random
import signal

import pytest

from lichencleat.lab.rig.nodes import HARD_LIMIT, RigNode, settings
from lichencleat.lab.rig.peers import Dependency
from lichencleat.lab.rig.rig import Rig

LIMIT, FLOOR, NODES, TERM = 12, 1, 5, 1.0


class Load:
    """Keeps so many pure inquiries with a call open at a node."""

    def __init__(self, rig, node, open_):
        self.rig, self.caller, self.open = rig, node.caller(), open_
        self.rng = random.Random(node.name)
        self.made = 0
        rig.relays.reactor.callFromThread(self.step)

    def step(self):
        if self.caller.closed:
            return
        while self.caller.waiting < self.open:
            self.made += 1
            if self.caller.ask(b"look", b"b%d" % self.made, HARD_LIMIT, self.rng) is None:
                break
        self.rig.relays.reactor.callLater(0.01, self.step)

    def honoured(self):
        return sum(bool(each.answers) and each.answers[0][0] == b"200" for each in self.caller.said)


class Fleet:
    def __init__(self, tmp_path):
        self.rig = rig = Rig(tmp_path)
        self.nodes, self.loads = {}, {}
        self.below = None
        rig.form()
        self.file = str(rig.voters["v1"].file)
        words = ["--limit", str(LIMIT), "--nodes", str(NODES), "--floor", str(FLOOR), "--term", str(TERM)]
        code, said = rig.command("shares", "define", self.file, "below", *words)
        assert code == 0, said
        reactor = rig.relays.reactor
        self.below = rig.relays.call(lambda: Dependency(reactor, random.Random(1), 0.05, LIMIT))
        chosen = {
            "fleet": {
                "group": "rig",
                "members": [each.address for each in rig.voters.values()],
                "candidate": True,
                "shares": {"pool": "below", "floor": FLOOR, "term_s": TERM},
            },
            "log": {},
        }
        for name in ("n1", "n2", "n3", "n4"):
            told = settings(calls=(True, False))
            made = RigNode(rig, name, chosen, self.below, told, work=0.01, calling=frozenset([b"look"]))
            self.nodes[name] = made
            made.start()
            self.loads[name] = Load(rig, made, 10)

    def owner(self):
        code, said = self.rig.command("owners", "explain", self.file, "shares/below")
        assert code == 0, said
        return next((name for name in self.nodes if f"{name} owns it" in said), None)

    def more(self, names, count=20):
        before = {name: self.loads[name].honoured() for name in names}
        self.rig.until(
            lambda: all(self.loads[name].honoured() >= had + count for name, had in before.items()),
            f"answers of {', '.join(names)}",
        )

    def close(self):
        for each in self.nodes.values():
            self.rig.relays.call(each.caller().close)
            each.close()
        if self.below is not None:
            self.rig.relays.call(self.below.close)
        self.rig.close()


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
    assert "event=grant" in fleet.nodes[old].said()
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
