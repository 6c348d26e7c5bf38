"""The operators' file: mistakes are told with their place, and what is in force with where it is from."""

import json
import subprocess
import sys

import pytest

from lichencleat.config.file import WrongFileError, read_file, show

GOOD = """flows:
  collectors:
    - address: 127.0.0.1:4739
      wire: netflow9-udp
    - address: "[::1]:4740"
  to: first that lives
"""


@pytest.fixture
def file(tmp_path):
    def write(text):
        path = tmp_path / "chosen.yaml"
        path.write_bytes(text.encode() if isinstance(text, str) else text)
        return str(path)

    return write


def test_a_good_file_is_read_with_its_defaults(file):
    flows = read_file(file(GOOD)).flows
    assert [each.host_port() for each in flows.collectors] == [("127.0.0.1", 4739), ("::1", 4740)]
    assert (flows.to, flows.active_s, flows.collectors[1].wire) == ("first that lives", 60.0, "ipfix-udp")
    assert read_file(file("")).flows is None and read_file(file("{}")).flows is None


@pytest.mark.parametrize(
    ("old", "new", "told"),
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
            "line 3: flows.collectors[0].address: 127.0.0.999:4739 is none",
        ),
        ("127.0.0.1:4739", "127.0.0.1:99999", "line 3: flows.collectors[0].address"),
        ("  to: first that lives", "  idle_s: 0", "line 6: flows.idle_s: Expected `float` > 0"),
        ("  to: first that lives", "  idle_s: 90", "line 6: flows.idle_s: 90 is over active_s (60)"),
        ("  to: first that lives", "  domain: x", "line 6: flows.domain: Expected `int`, got `str`"),
        ("  to: first that lives", "  to: all\n  to: all", "line 7: 'to' stands twice"),
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
def test_a_mistake_is_told_with_its_place(file, old, new, told):
    path = file(GOOD.replace(old, new))
    with pytest.raises(WrongFileError) as wrong:
        read_file(path)
    assert told in str(wrong.value) and str(wrong.value).startswith(path) and "\n" not in str(wrong.value)


@pytest.mark.parametrize("text", [b"\xff\xfe\x00", b"a" * 2_000_000])
def test_what_is_no_settings_file_is_refused(file, text):
    with pytest.raises(WrongFileError):
        read_file(file(text))


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(WrongFileError, match="No such file"):
        read_file(str(tmp_path / "none.yaml"))


def test_what_is_in_force_is_shown_with_where_it_comes_from(file):
    shown = {each.path: (each.value, each.origin) for each in show(file(GOOD))}
    assert shown["flows.collectors[0].wire"] == ("netflow9-udp", "line 4")
    assert shown["flows.collectors[1].wire"] == ("ipfix-udp", "default")
    assert shown["flows.to"] == ("first that lives", "line 6")
    assert shown["flows.active_s"] == (60.0, "default")


def test_the_commands(file):
    def call(*arguments):
        command = [sys.executable, "-m", "lichencleat", "config", *arguments]
        return subprocess.run(command, capture_output=True, text=True)

    good = file(GOOD)
    assert call("check", good).returncode == 0
    rows = json.loads(call("show", good, "--json").stdout)
    assert {"setting": "flows.domain", "value": 1, "from": "default"} in rows
    wrong = call("check", file("flowz: 1\n"))
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1 and "flowz" in wrong.stderr
