"""`distribution status` adds up the counts of several voters by zone and names those that don't answer."""

import json

import pytest
from click.testing import CliRunner
from twisted.internet.defer import succeed

from lichencleat.cli import relays
from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import FOLLOW, Change, Count, FollowRequest

FILE = """quorum:
  group: config
  members: [10.0.0.1:1, 10.0.0.2:1, 10.0.0.3:1]
"""
SILENT = "no connection to 10.0.0.3:1"


def voter(name, version, *counts):
    """The status of a publisher whose subscribers have sent these counts."""
    table = Table()
    for each in range(1, version + 1):
        table.apply(each, [Change("tenant", f"t{each}", b"")])
    publisher = Publisher(name, "", table, 0)
    publisher.set_age(0, 300_000)
    for who, (told, has) in enumerate(counts):
        publisher.add_subscriber(0, who)
        publisher.on_request(0, who, 1, FOLLOW, FollowRequest(has, b"", told))
    return json.loads(json.dumps(publisher.in_force(0)))


@pytest.fixture
def status(tmp_path, monkeypatch):
    path = tmp_path / "v.yaml"
    path.write_text(FILE)

    def run(found, *options):
        monkeypatch.setattr(relays, "call_members", lambda reactor, quorum, addresses, what: succeed(found))
        return CliRunner().invoke(relays.status, [str(path), *options])

    return run


def found():
    return {
        "10.0.0.1:1": voter(
            "v1",
            9,
            ((Count("north-a", 30, 7, 900_000, 2, "r1"), Count("north-b", 5, 9, 100_000, 0, "r3")), 9),
        ),
        "10.0.0.2:1": voter("v2", 8, ((Count("north-a", 12, 3, 4_000_000, 1, "r2"),), 8)),
        "10.0.0.3:1": SILENT,
    }


def test_zones_are_added_up_over_all_answers(status):
    told = json.loads(status(found(), "--json").stdout)
    assert (told["version"], told["nodes"], told["late"]) == (9, 47, 3)
    north = {"zone": "north-a", "nodes": 42, "lowest": 3, "late": 3, "oldest_us": 4_000_000, "by": "r2"}
    assert told["zones"][0] == north and told["zones"][1]["nodes"] == 5
    assert told["members"]["10.0.0.3:1"] == SILENT


def test_the_table_names_the_relay_of_the_lowest_version_and_missing_answers(status):
    ran = status(found())
    lines = ran.stdout.splitlines()
    assert ran.exit_code == 0 and lines[0] == "version 9, 47 nodes, 3 late"
    assert lines[3].split() == ["north-a", "42", "3", "3", "4.0", "r2"]
    assert lines[-1] == f"10.0.0.3:1 did not answer: {SILENT}"
    assert [each.split()[0] for each in lines if "10.0.0." in each][:2] == ["v1", "v2"]


def test_an_unknown_age_is_shown_as_unknown(status):
    told = {"10.0.0.1:1": voter("v1", 1, ((Count("north-a", 1, 0, 1 << 53, 0, "r1"),), 0))}
    assert status(told).stdout.splitlines()[3].split() == ["north-a", "1", "0", "0", "unknown", "r1"]
    assert json.loads(status(told, "--json").stdout)["zones"][0]["oldest_us"] == -1


def test_without_any_answer_the_exit_code_is_1(status):
    ran = status({"10.0.0.3:1": SILENT})
    assert ran.exit_code == 1 and "no answer from 10.0.0.1:1, 10.0.0.2:1, 10.0.0.3:1" in ran.output


def test_an_invalid_file_gives_one_line_and_exit_code_2(tmp_path):
    path = tmp_path / "r.yaml"
    path.write_text("distribution:\n  group: config\n")
    for command in (relays.run, relays.status):
        ran = CliRunner().invoke(command, [str(path)])
        assert ran.exit_code == 2 and "line 1" in ran.output
