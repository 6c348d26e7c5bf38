"""Loading of the operator's file: mistakes are reported with their line, settings with their origin."""

import json
import subprocess
import sys

import pytest

from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.listing import list_settings
from lichencleat.config.loading import read_node_config

GOOD = """flows:
  collectors:
    - address: 127.0.0.1:4739
      wire: netflow9-udp
    - address: "[::1]:4740"
  to: first that lives
"""


@pytest.fixture
def config_file(tmp_path):
    def write(text):
        path = tmp_path / "node.yaml"
        path.write_bytes(text.encode() if isinstance(text, str) else text)
        return str(path)

    return write


def test_read_node_config_fills_in_defaults(config_file):
    flows = read_node_config(config_file(GOOD)).flows
    assert [each.endpoint for each in flows.collectors] == [("127.0.0.1", 4739), ("::1", 4740)]
    assert (flows.to, flows.active_s, flows.collectors[1].wire) == ("first that lives", 60.0, "ipfix-udp")
    assert (
        read_node_config(config_file("")).flows is None and read_node_config(config_file("{}")).flows is None
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("  to: first that lives", "  too: all", "line 6: flows: unknown key 'too'; known here: active_s"),
        ("netflow9-udp", "netflow5", "line 4: flows.collectors[0].wire: Invalid enum value 'netflow5'"),
        (
            "    - address: 127.0.0.1:4739",
            "    - adress: x",
            "line 3: flows.collectors[0]: unknown key 'adress'",
        ),
        (
            "127.0.0.1:4739",
            "collector.example:4739",
            "line 3: flows.collectors[0].address: Expected `str` matching",
        ),
        (
            "127.0.0.1:4739",
            "127.0.0.999:4739",
            "line 3: flows.collectors[0].address: 127.0.0.999:4739 is not a valid address",
        ),
        ("127.0.0.1:4739", "127.0.0.1:99999", "line 3: flows.collectors[0].address"),
        ("  to: first that lives", "  idle_s: 0", "line 6: flows.idle_s: Expected `float` > 0"),
        ("  to: first that lives", "  idle_s: 90", "line 6: flows.idle_s: 90 is greater than active_s (60)"),
        ("  to: first that lives", "  domain: x", "line 6: flows.domain: Expected `int`, got `str`"),
        ("  to: first that lives", "  to: all\n  to: all", "line 7: duplicate key 'to'"),
        ("  to: first that lives", "  to: [", "not YAML"),
        (
            "flows:",
            "flow:",
            "line 1: the file: unknown key 'flow'; known here: distribution, fleet, flows, keyed, log",
        ),
        (GOOD, "- a\n", "the file: Expected `object`, got `array`"),
        (GOOD, "flows: {}\n", "line 1: flows: Object missing required field `collectors`"),
        (GOOD, "flows: {collectors: []}\n", "line 1: flows.collectors: Expected `array` of length >= 1"),
        (GOOD, "[" * 2_000, "not YAML"),
    ],
)
def test_read_node_config_reports_a_mistake_with_its_line(config_file, old, new, message):
    path = config_file(GOOD.replace(old, new))
    with pytest.raises(InvalidConfigError) as error:
        read_node_config(path)
    assert message in str(error.value) and str(error.value).startswith(path) and "\n" not in str(error.value)


@pytest.mark.parametrize("text", [b"\xff\xfe\x00", b"a" * 2_000_000])
def test_read_node_config_rejects_binary_and_oversized_files(config_file, text):
    with pytest.raises(InvalidConfigError):
        read_node_config(config_file(text))


def test_read_node_config_rejects_a_missing_file(tmp_path):
    with pytest.raises(InvalidConfigError, match="No such file"):
        read_node_config(str(tmp_path / "none.yaml"))


def test_list_settings_names_the_origin_of_each_value(config_file):
    settings = {each.path: (each.value, each.origin) for each in list_settings(config_file(GOOD))}
    assert settings["flows.collectors[0].wire"] == ("netflow9-udp", "line 4")
    assert settings["flows.collectors[1].wire"] == ("ipfix-udp", "default")
    assert settings["flows.to"] == ("first that lives", "line 6")
    assert settings["flows.active_s"] == (60.0, "default")


def test_config_commands_check_and_show_a_file(config_file):
    def call(*arguments):
        command = [sys.executable, "-m", "lichencleat", "config", *arguments]
        return subprocess.run(command, capture_output=True, text=True)

    good = config_file(GOOD)
    assert call("check", good).returncode == 0
    rows = json.loads(call("show", good, "--json").stdout)
    assert {"setting": "flows.domain", "value": 1, "from": "default"} in rows
    rejected = call("check", config_file("flowz: 1\n"))
    assert rejected.returncode == 2 and rejected.stderr.count("\n") == 1 and "flowz" in rejected.stderr
