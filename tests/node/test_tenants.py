"""Tests of the tenants from the distributed configuration: around a change, and without a relay."""

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
from lichencleat.node.config import read_start_settings
from lichencleat.node.pending_request import Answer
from lichencleat.node.report import Report
from lichencleat.node.tenants import DistributedConfig, Tenants
from lichencleat.store.errors import StoreError


def encode_array(*fields):
    return b"*%d\r\n" % len(fields) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in fields)


class RequestSender:
    """Sends requests of tenants over one connection."""

    def __init__(self, connection, tenants):
        self.connection, self.tag = connection, 0
        connection.listener.tenants = tenants

    def ask(self, tenant, tariff=b"look", key=b""):
        """Send a request; returns its tag if it was accepted, None if it was refused."""
        self.tag += 1
        fields = b"i=%016d,s=1000,f=1,m=9,p=0.5" % self.tag
        fields += (b",t=" + tenant if tenant else b"") + (b",k=" + key if key else b"")
        self.connection.dataReceived(encode_array(b"REQ", b"%d" % self.tag, tariff, fields, b"x"))
        self.connection.bad_arrays = 0
        return self.tag if self.tag in self.connection.pending_requests else None


def put(*names):
    return [Change("tenant", name, b"{}") for name in names]


@pytest.fixture
def table():
    return Table()


@pytest.fixture
def sender(connection, reactor, table):
    reactor.advance(1)
    tenants = Tenants(frozenset([b"old", b"acme"]))
    tenants.table = table
    return RequestSender(connection, tenants)


def test_tenants_of_settings_hold_until_a_table_version_is_in_force(sender, table):
    assert sender.ask(b"old") and sender.ask(b"acme") and not sender.ask(b"new") and not sender.ask(b"")
    table.apply(4, put("acme", "new", "ünïcode"))
    assert not sender.ask(b"old") and not sender.ask(b"") and not sender.ask(b"\xff\xfe")
    assert sender.ask(b"acme") and sender.ask(b"new") and sender.ask("ünïcode".encode())
    table.apply(5, [Change("tenant", "acme", None)])
    assert not sender.ask(b"acme") and sender.ask(b"new")
    assert not sender.ask(b"n" * 400)


def test_table_without_tenant_records_refuses_all_requests(sender, table):
    table.apply(4, [Change("route", "acme", b"{}")])
    assert not sender.ask(b"acme") and not sender.ask(b"old") and not sender.ask(b"")


def test_any_request_is_accepted_without_tenants_in_settings_and_table(connection, reactor, table):
    reactor.advance(1)
    tenants = Tenants(frozenset())
    sender = RequestSender(connection, tenants)
    assert sender.ask(b"") and sender.ask(b"any")
    tenants.table = table
    assert sender.ask(b"")
    table.apply(1, put("acme"))
    assert not sender.ask(b"") and sender.ask(b"acme")


def test_old_version_is_in_force_until_a_change_or_snapshot_is_applied(sender, table):
    table.apply(4, put("acme", "leaves"))
    source = Table()
    source.apply(4, put("acme", "leaves"))
    batch = source.apply(6, [*put("comes"), Change("tenant", "leaves", None)])
    copy = TableCopy(table)

    def seen():
        accepted = [bool(sender.ask(each)) for each in (b"acme", b"leaves", b"comes")]
        sender.connection.pending_requests.clear()  # the number of open requests per connection is limited
        return accepted

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
        assert seen() == [True, False, True] and not sender.ask(b"t7")
    while not copy.step():
        assert seen() == [True, False, True]
    copy.take()
    assert seen() == [False, False, True] and sender.ask(b"t7")
    assert isinstance(view.head(0), SnapshotHead)


def test_pending_request_of_a_removed_tenant_is_answered_to_that_tenant_alone(sender, table, connection):
    table.apply(4, put("acme", "other"))
    key = b"5c" * 16
    mine = sender.ask(b"acme", b"save", key)
    other = sender.ask(b"other", b"save", key)
    table.apply(5, [Change("tenant", "acme", None)])
    assert not sender.ask(b"acme", b"save", key)
    connection.transport.clear()
    connection.pending_requests[mine].reply(Answer.SERVED, b"of-acme", 0, False)
    assert (
        b"of-acme" in connection.transport.value() and b"$1\r\n%d\r\n" % mine in connection.transport.value()
    )
    assert other in connection.pending_requests and mine not in connection.pending_requests
    table.apply(6, put("acme"))
    again = sender.ask(b"acme", b"save", key)
    assert connection.pending_requests[again].key != connection.pending_requests[other].key


FILE = "distribution: {group: config, zone: z, sources: [[10.0.0.1:1]], tenants: true}"


@pytest.fixture
def make_full_node(tmp_path):
    """Makes nodes that keep their log lines in `log_lines`."""

    def make_node(text):
        settings_file = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
        settings = {**SETTINGS, "orgs": [{"name": "old"}]}
        settings_file |= {"seed": "5", "stop_ms": 3000, "limits": {"sockets": 256}, "settings": settings}
        config = tmp_path / "config.json"
        config.write_text(json.dumps(settings_file))
        reactor = Machine()
        reactor.advance(1_000)
        chosen, _ = parse_node_config("f", text)
        settings_file = read_start_settings({"BALANCER_CONFIG": str(config)})
        node = RealNode(reactor, lambda: int(reactor.seconds() * SECOND), settings_file, chosen)
        node.log_lines = []
        node.report.write = node.log_lines.append
        node.start()
        node.engine.on_interpreter_ready(False)
        return node

    return make_node


def test_changed_distribution_section_needs_a_restart(make_full_node):
    node = make_full_node(FILE)
    subscriber = node.distributed.subscriber
    node.reload(node.settings, parse_node_config("f", FILE)[0])
    assert "distribution" not in node.log_lines[-1]
    for text in (FILE.replace("zone: z", "zone: y"), ""):
        node.reload(node.settings, parse_node_config("f", text)[0])
        assert "distribution changed, which needs a restart" in node.log_lines[-1]
    assert node.distributed.subscriber is subscriber and not subscriber.stopped
    plain = make_full_node("")
    plain.reload(plain.settings, parse_node_config("f", FILE)[0])
    assert "distribution changed, which needs a restart" in plain.log_lines[-1]
    assert plain.distributed is None and plain.dispatchers.tenants == frozenset([b"old"])


def test_node_stays_subscribed_until_it_has_drained(make_full_node):
    node = make_full_node(FILE)
    assert node.dispatchers.tenants is node.distributed.tenants and b"old" in node.dispatchers.tenants
    node.reactor.advance(10.1)
    assert any("distribution: version 0, age unknown, relay none" in line for line in node.log_lines)
    subscriber = node.distributed.subscriber
    node.leave()
    node.reactor.advance(0.1)
    assert not node.ended.called and not subscriber.stopped
    for _ in range(300):
        node.reactor.advance(0.01)
    assert node.ended.called and subscriber.stopped and not subscriber.attempts


def test_distribution_is_not_imported_if_it_is_off():
    text = "from lichencleat.config.loading import parse_node_config; import lichencleat.node.assembly, sys; "
    text += "assert parse_node_config('f', 'log: {form: json}')[0].log; print(*sys.modules)"
    ran = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True)
    assert "lichencleat.node.assembly" in ran.stdout.split()
    assert not [each for each in ran.stdout.split() if "distribution" in each or each == "xxhash"]


def make_node(directory=None, tenants=True):
    reactor = MemoryReactorClock()
    chosen = SimpleNamespace(
        group="config", zone="north-a", sources=[["10.0.0.1:1"]], directory=directory, tenants=tenants
    )
    report = Report("n1", lambda: int(reactor.seconds() * 1_000_000))
    report.write = lambda line: None
    made = DistributedConfig(reactor, "n1", chosen, frozenset([b"old"]), lambda: 0, random.Random(1), report)
    return reactor, made, report


def test_node_continues_without_a_relay():
    reactor, node, report = make_node()
    assert node.describe() == "reads its disk"
    node.start()
    for _ in range(100):
        reactor.advance(0.1)
        while reactor.tcpClients:
            reactor.tcpClients.pop()[2].clientConnectionFailed(None, None)
    assert node.describe() == "version 0, age unknown, relay none"
    assert b"old" in node.tenants and b"new" not in node.tenants
    assert report.counts["distribution left"] > 1
    node.stop()
    assert not reactor.getDelayedCalls()


def test_table_is_ignored_for_tenants_unless_configured():
    _, node, _ = make_node(tenants=False)
    node.start()
    node.subscriber.copy.table.apply(3, put("new"))
    assert b"old" in node.tenants and b"new" not in node.tenants
    node.stop()


class Disk:
    """In place of config_distribution.kept.Kept, in memory."""

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
def make_with_disk(monkeypatch):
    def make_with_disk(opened):
        monkeypatch.setattr(kept, "open_persisted_table", lambda *args, **more: opened)
        return make_node("somewhere")

    return make_with_disk


def test_table_on_disk_is_in_force_at_start_and_changes_are_stored(make_with_disk, table):
    table.apply(4, put("acme"))
    disk = Disk(table, b"mark-one", [])
    _, node, _ = make_with_disk(succeed(disk))
    node.start()
    assert b"acme" in node.tenants and b"old" not in node.tenants
    assert node.subscriber.copy.mark == b"mark-one"
    assert node.describe() == "version 4, age unknown, relay none"
    batch = table.apply(5, put("new"))
    node.on_batches_taken((batch,))
    node.on_batches_taken(())
    node.subscriber.copy.mark = b"mark-two"
    node.on_version_known()
    assert disk.calls == [
        ("on_batches_applied", table, (batch,)),
        ("on_snapshot_applied", table),
        ("set_group_mark", b"mark-two"),
    ]
    node.stop()
    assert disk.calls[-1] == "close"


@pytest.mark.parametrize("opened", [lambda: fail(StoreError("full")), lambda: succeed(Disk())])
def test_failed_disk_is_logged_and_node_continues_without(make_with_disk, opened):
    _, node, report = make_with_disk(opened())
    node.start()
    assert report.counts["distribution words of the disk"] == 1
    assert node.subscriber is not None and node.store is None
    node.stop()


def test_node_stopped_while_its_disk_is_read_does_not_subscribe(make_with_disk, table):
    opened = Deferred()
    reactor, node, _ = make_with_disk(opened)
    node.start()
    node.stop()
    disk = Disk(table, b"", [])
    opened.callback(disk)
    assert disk.calls == ["close"]
    assert node.subscriber is None and not reactor.getDelayedCalls()


def test_missing_library_is_reported_in_one_line_with_exit_code_2(tmp_path):
    (tmp_path / "xxhash.py").write_text("raise ModuleNotFoundError('none', name='xxhash')\n")
    config, chosen = tmp_path / "config.json", tmp_path / "chosen.yaml"
    settings_file = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
    settings_file["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    config.write_text(json.dumps({**settings_file, "seed": "a", "stop_ms": 3000, "settings": SETTINGS}))
    chosen.write_text("distribution: {group: config, sources: [['127.0.0.1:1']]}\n")
    variables = {"BALANCER_CONFIG": str(config), "LICHENCLEAT_FILE": str(chosen), "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run(
        [sys.executable, "-m", "lichencleat"], capture_output=True, text=True, env=os.environ | variables
    )
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1
    assert "needs xxhash: pip install 'lichencleat[fleet]'" in ended.stderr
