"""A relay's file: errors name the line, and nothing of an invalid file is used."""

from pathlib import Path

import pytest

from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.loading import read_node_config
from lichencleat.config.schema import MAX_RELAY_ADDRESSES
from lichencleat.config_distribution.file import read_relay_file
from lichencleat.config_distribution.terms import MAX_RELAYS
from lichencleat.coordinator.settings import read_quorum_settings

EXAMPLES = Path(__file__).parents[2] / "deploy" / "relays"
GOOD = """distribution:
  group: config
  name: north-a-1
  zone: north-a
  listen: 127.0.0.1:7931
  sources:
    - [127.0.0.1:7921, 127.0.0.1:7922]
    - [127.0.0.1:7901]
"""


@pytest.fixture
def file(tmp_path):
    def write(text):
        path = tmp_path / "relay.yaml"
        path.write_text(text)
        return str(path)

    return write


def test_a_good_file_is_read_with_its_defaults(file):
    relay = read_relay_file(file(GOOD))
    assert relay.sources == [["127.0.0.1:7921", "127.0.0.1:7922"], ["127.0.0.1:7901"]]
    assert (relay.directory, relay.disk, relay.log.form) == (None, "real", "logfmt")


@pytest.mark.parametrize("name", ["region", "zone"])
def test_the_examples_are_valid(name):
    assert read_relay_file(f"{EXAMPLES}/{name}.yaml").group == "config"
    voter = read_quorum_settings(f"{EXAMPLES}/voter.yaml", member=True)
    assert voter.group == "config" and voter.distribution


def test_a_node_s_section_is_read_and_its_errors_are_reported(file):
    chosen = read_node_config(f"{EXAMPLES}/node.yaml").distribution
    assert (chosen.zone, chosen.tenants, chosen.directory) == ("north-a", True, None)
    assert read_node_config(file("")).distribution is None and MAX_RELAY_ADDRESSES == MAX_RELAYS
    for text, told in (
        (
            "distribution: {group: g, sources: [[1.1.1.1:7, 1.1.1.1:7]]}",
            "sources[0][1]: 1.1.1.1:7 is listed twice",
        ),
        (
            "distribution: {group: g, sources: []}",
            "line 1: distribution.sources: Expected `array` of length >= 1",
        ),
        ("distribution: {group: g, sources: [[1.1.1.1:7]], listen: x}", "unknown key 'listen'"),
        ("distribution: {sources: [[1.1.1.1:7]]}", "missing required field `group`"),
        (
            "distribution: {group: g, sources: [[1.1.1.1:7]], tenants: 1}",
            "distribution.tenants: Expected `bool`",
        ),
    ):
        with pytest.raises(InvalidConfigError) as wrong:
            read_node_config(file(text))
        assert told in str(wrong.value)


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("  zone:", "  zones:", "line 4: distribution: unknown key 'zones'; known here: directory, disk"),
        ("  listen: 127.0.0.1:7931\n", "", "line 1: distribution: Object missing required field `listen`"),
        ("[127.0.0.1:7901]", "[]", "line 8: distribution.sources[1]: Expected `array` of length >= 1"),
        ("[127.0.0.1:7901]", "[voter:7901]", "line 8: distribution.sources[1][0]: Expected `str` matching"),
        (
            "[127.0.0.1:7901]",
            "[127.0.0.1:0]",
            "line 8: distribution.sources[1][0]: 127.0.0.1:0 is not a valid address",
        ),
        (
            "[127.0.0.1:7901]",
            "[127.0.0.1:7921]",
            "line 8: distribution.sources[1][0]: 127.0.0.1:7921 is listed twice",
        ),
        ("[127.0.0.1:7901]", "[127.0.0.1:7931]", "[1][0]: 127.0.0.1:7931 is the address of this process"),
        (
            "listen: 127.0.0.1:7931",
            "listen: 300.0.0.1:7931",
            "line 5: distribution.listen: 300.0.0.1:7931 is not a valid address",
        ),
        ("  name: north-a-1", "  name: ''", "line 3: distribution.name: Expected `str` of length >= 1"),
        ("distribution:", "distributions:", "line 1: the file: unknown key 'distributions'"),
        (
            "[127.0.0.1:7901]",
            "[" + ", ".join(f"10.0.0.{n}:1" for n in range(31)) + "]",
            "line 6: distribution.sources: 33 addresses, but at most 32 are allowed",
        ),
    ],
)
def test_an_error_names_its_line(file, old, new, told):
    assert old in GOOD
    with pytest.raises(InvalidConfigError) as wrong:
        read_relay_file(file(GOOD.replace(old, new)))
    assert told in str(wrong.value)
