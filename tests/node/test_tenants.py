"""Which tenants there are where the table says so: before, during and after a change, and without a relay."""

import json
import os
import random
import subprocess
import sys
from types import SimpleNamespace

import pytest
from net_parts import SECOND, Machine
from standins import SETTINGS
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.testing import MemoryReactorClock

from lichencleat.config.loading import parse_node_config
from lichencleat.config_distribution import kept
from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Change, PagesAnswer, SnapshotHead
from lichencleat.node.assembly import RealNode
from lichencleat.node.config import read_told
from lichencleat.node.host import Answer
from lichencleat.node.report import Report
from lichencleat.node.tenants import Distributed, Tenants
from lichencleat.store.errors import StoreError


def words(*said):
    return b"*%d\r\n" % len(said) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in said)


class Asking:
    """Requests of tenants over one connection."""

    def __init__(self, connection, tenants):
        self.connection, self.tag = connection, 0
        connection.door.tenants = tenants

    def ask(self, tenant, tariff=b"look", key=b""):
        """Its tag, where it was taken in hand; None where it was refused."""
        self.tag += 1
        said = b"i=%016d,s=1000,f=1,m=9,p=0.5" % self.tag
        said += (b",t=" + tenant if tenant else b"") + (b",k=" + key if key else b"")
        self.connection.dataReceived(words(b"REQ", b"%d" % self.tag, tariff, said, b"x"))
        self.connection.bad = 0
        return self.tag if self.tag in self.connection.cases else None


def put(*names):
    return [Change("tenant", name, b"{}") for name in names]


@pytest.fixture
def table():
    return Table()


@pytest.fixture
def asking(connection, reactor, table):
    reactor.advance(1)
    tenants = Tenants(frozenset([b"old", b"acme"]))
    tenants.table = table
    return Asking(connection, tenants)


def test_the_settings_hold_until_a_version_is_in_force_and_the_table_alone_from_then_on(asking, table):
    assert asking.ask(b"old") and asking.ask(b"acme") and not asking.ask(b"new") and not asking.ask(b"")
    table.apply(4, put("acme", "new", "ünïcode"))
    assert not asking.ask(b"old") and not asking.ask(b"") and not asking.ask(b"\xff\xfe")
    assert asking.ask(b"acme") and asking.ask(b"new") and asking.ask("ünïcode".encode())
    table.apply(5, [Change("tenant", "acme", None)])
    assert not asking.ask(b"acme") and asking.ask(b"new")
    assert not asking.ask(b"n" * 400)


def test_a_record_of_another_kind_is_no_tenant_and_a_table_without_any_refuses_all(asking, table):
    table.apply(4, [Change("route", "acme", b"{}")])
    assert not asking.ask(b"acme") and not asking.ask(b"old") and not asking.ask(b"")


def test_without_tenants_in_the_settings_and_before_a_version_any_request_is_taken(
    connection, reactor, table
):
    reactor.advance(1)
    tenants = Tenants(frozenset())
    asking = Asking(connection, tenants)
    assert asking.ask(b"") and asking.ask(b"any")
    tenants.table = table
    assert asking.ask(b"")
    table.apply(1, put("acme"))
    assert not asking.ask(b"") and asking.ask(b"acme")


def test_during_a_change_or_a_snapshot_the_version_before_holds_whole(asking, table):
    table.apply(4, put("acme", "leaves"))
    source = Table()
    source.apply(4, put("acme", "leaves"))
    batch = source.apply(6, [*put("comes"), Change("tenant", "leaves", None)])
    copy = TableCopy(table)

    def seen():
        taken = [bool(asking.ask(each)) for each in (b"acme", b"leaves", b"comes")]
        asking.connection.cases.clear()  # a connection carries so many at once
        return taken

    copy.stage((batch,))
    while not copy.step():
        assert seen() == [True, True, False]
    assert seen() == [True, True, False]
    copy.take()
    assert seen() == [True, False, True]

    source.apply(9, [*put(*(f"t{n}" for n in range(60))), Change("tenant", "acme", None)])
    view = source.view()
    copy.begin(view.head(0))
    while wanted := copy.missing(8):
        copy.put(PagesAnswer(9, tuple((n, view.packed(n)) for n in wanted)))
        assert not copy.step() or not copy.missing(1)
        assert seen() == [True, False, True] and not asking.ask(b"t7")
    while not copy.step():
        assert seen() == [True, False, True]
    copy.take()
    assert seen() == [False, False, True] and asking.ask(b"t7")
    assert isinstance(view.head(0), SnapshotHead)


def test_what_is_in_hand_of_a_tenant_that_goes_is_answered_to_it_and_to_nobody_else(
    asking, table, connection
):
    table.apply(4, put("acme", "other"))
    key = b"5c" * 16
    mine = asking.ask(b"acme", b"save", key)
    other = asking.ask(b"other", b"save", key)
    table.apply(5, [Change("tenant", "acme", None)])
    assert not asking.ask(b"acme", b"save", key)
    connection.transport.clear()
    connection.cases[mine].reply(Answer.HONOURED, b"of-acme", 0, False)
    assert (
        b"of-acme" in connection.transport.value() and b"$1\r\n%d\r\n" % mine in connection.transport.value()
    )
    assert other in connection.cases and mine not in connection.cases
    table.apply(6, put("acme"))
    again = asking.ask(b"acme", b"save", key)
    assert connection.cases[again].key != connection.cases[other].key


FILE = "distribution: {group: config, zone: z, sources: [[10.0.0.1:1]], tenants: true}"


@pytest.fixture
def whole_node(tmp_path):
    """A node and the line that it told last."""

    def make(text):
        told = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
        settings = {**SETTINGS, "orgs": [{"name": "old"}]}
        told |= {"seed": "5", "stop_ms": 3000, "limits": {"sockets": 256}, "settings": settings}
        config = tmp_path / "config.json"
        config.write_text(json.dumps(told))
        reactor = Machine()
        reactor.advance(1_000)
        chosen, _ = parse_node_config("f", text)
        told = read_told({"BALANCER_CONFIG": str(config)})
        node = RealNode(reactor, lambda: int(reactor.seconds() * SECOND), told, chosen)
        node.told_lines = []
        node.report.write = node.told_lines.append
        node.start()
        node.host.begin(False)
        return node

    return make


def test_a_changed_section_needs_a_restart_and_a_hangup_leaves_what_runs(whole_node):
    node = whole_node(FILE)
    subscriber = node.distributed.subscriber
    node.reload(node.told, parse_node_config("f", FILE)[0])
    assert "distribution" not in node.told_lines[-1]
    for text in (FILE.replace("zone: z", "zone: y"), ""):
        node.reload(node.told, parse_node_config("f", text)[0])
        assert "distribution changed, which needs a restart" in node.told_lines[-1]
    assert node.distributed.subscriber is subscriber and not subscriber.stopped
    plain = whole_node("")
    plain.reload(plain.told, parse_node_config("f", FILE)[0])
    assert "distribution changed, which needs a restart" in plain.told_lines[-1]
    assert plain.distributed is None and plain.dispatchers.tenants == frozenset([b"old"])


def test_a_node_follows_until_its_end_and_then_closes(whole_node):
    node = whole_node(FILE)
    assert node.dispatchers.tenants is node.distributed.tenants and b"old" in node.dispatchers.tenants
    node.reactor.advance(10.1)
    assert any("distribution: version 0, age unknown, relay none" in line for line in node.told_lines)
    subscriber = node.distributed.subscriber
    node.leave()
    node.reactor.advance(0.1)
    assert not node.ended.called and not subscriber.stopped
    for _ in range(300):
        node.reactor.advance(0.01)
    assert node.ended.called and subscriber.stopped and not subscriber.attempts


def test_off_means_not_imported():
    text = "from lichencleat.config.loading import parse_node_config; import lichencleat.node.assembly, sys; "
    text += "assert parse_node_config('f', 'log: {form: json}')[0].log; print(*sys.modules)"
    ran = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True)
    assert "lichencleat.node.assembly" in ran.stdout.split()
    assert not [each for each in ran.stdout.split() if "distribution" in each or each == "xxhash"]


def make(directory=None, tenants=True):
    reactor = MemoryReactorClock()
    chosen = SimpleNamespace(
        group="config", zone="north-a", sources=[["10.0.0.1:1"]], directory=directory, tenants=tenants
    )
    report = Report("n1", lambda: int(reactor.seconds() * 1_000_000))
    report.write = lambda line: None
    made = Distributed(reactor, "n1", chosen, frozenset([b"old"]), lambda: 0, random.Random(1), report)
    return reactor, made, report


def test_a_node_that_hears_of_no_relay_goes_on_and_says_so():
    reactor, node, report = make()
    assert node.beliefs() == "reads its disk"
    node.start()
    for _ in range(100):
        reactor.advance(0.1)
        while reactor.tcpClients:
            reactor.tcpClients.pop()[2].clientConnectionFailed(None, None)
    assert node.beliefs() == "version 0, age unknown, relay none"
    assert b"old" in node.tenants and b"new" not in node.tenants
    assert report.counts["distribution left"] > 1
    node.stop()
    assert not reactor.getDelayedCalls()


def test_where_tenants_are_not_switched_on_the_table_says_nothing_about_them():
    _, node, _ = make(tenants=False)
    node.start()
    node.subscriber.copy.table.apply(3, put("new"))
    assert b"old" in node.tenants and b"new" not in node.tenants
    node.stop()


class Disk:
    """As distribution.kept.Kept, in memory."""

    def __init__(self, *loaded):
        self.loaded, self.calls = loaded, []

    def load(self):
        return succeed(self.loaded) if self.loaded else fail(StoreError("it can't be read"))

    def close(self):
        self.calls.append("close")
        return succeed(None)

    def __getattr__(self, name):
        return lambda *what: self.calls.append((name, *what))


@pytest.fixture
def on_disk(monkeypatch):
    def on_disk(opened):
        monkeypatch.setattr(kept, "open_persisted_table", lambda *args, **more: opened)
        return make("somewhere")

    return on_disk


def test_a_start_from_the_disk_is_in_force_at_once_and_what_is_taken_is_kept(on_disk, table):
    table.apply(4, put("acme"))
    disk = Disk(table, b"mark-one", [])
    _, node, _ = on_disk(succeed(disk))
    node.start()
    assert b"acme" in node.tenants and b"old" not in node.tenants
    assert node.subscriber.copy.mark == b"mark-one"
    assert node.beliefs() == "version 4, age unknown, relay none"
    batch = table.apply(5, put("new"))
    node.taken((batch,))
    node.taken(())
    node.subscriber.copy.mark = b"mark-two"
    node.told()
    assert disk.calls == [
        ("on_batches_applied", table, (batch,)),
        ("on_snapshot_applied", table),
        ("set_group_mark", b"mark-two"),
    ]
    node.stop()
    assert disk.calls[-1] == "close"


@pytest.mark.parametrize("opened", [lambda: fail(StoreError("full")), lambda: succeed(Disk())])
def test_a_disk_that_fails_is_told_and_the_node_goes_on_without(on_disk, opened):
    _, node, report = on_disk(opened())
    node.start()
    assert report.counts["distribution words of the disk"] == 1
    assert node.subscriber is not None and node.kept is None
    node.stop()


def test_a_node_that_ends_while_its_disk_is_read_follows_nobody(on_disk, table):
    opened = Deferred()
    reactor, node, _ = on_disk(opened)
    node.start()
    node.stop()
    disk = Disk(table, b"", [])
    opened.callback(disk)
    assert disk.calls == ["close"]
    assert node.subscriber is None and not reactor.getDelayedCalls()


def test_a_missing_library_is_one_line_and_exit_2(tmp_path):
    (tmp_path / "xxhash.py").write_text("raise ModuleNotFoundError('none', name='xxhash')\n")
    config, chosen = tmp_path / "config.json", tmp_path / "chosen.yaml"
    told = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
    told["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    config.write_text(json.dumps({**told, "seed": "a", "stop_ms": 3000, "settings": SETTINGS}))
    chosen.write_text("distribution: {group: config, sources: [['127.0.0.1:1']]}\n")
    variables = {"BALANCER_CONFIG": str(config), "LICHENCLEAT_FILE": str(chosen), "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run(
        [sys.executable, "-m", "lichencleat"], capture_output=True, text=True, env=os.environ | variables
    )
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1
    assert "needs xxhash: pip install 'lichencleat[fleet]'" in ended.stderr
