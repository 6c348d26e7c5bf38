"""The nouns of the command line, and the aliases under which they were known before."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from lichencleat.cli.main import FORMER_NOUNS, NOUNS, lichencleat


def help_of(*arguments: str) -> str:
    """The help text without its first line, which repeats the words of the command line."""
    result = CliRunner().invoke(lichencleat, [*arguments, "--help"])
    assert result.exit_code == 0, result.output
    return result.output.partition("\n")[2]


@pytest.mark.parametrize(("former", "current"), sorted(FORMER_NOUNS.items()))
def test_former_noun_runs_the_code_of_the_current_one(former: str, current: str) -> None:
    assert help_of(former) == help_of(current)
    root = lichencleat.make_context("lichencleat", [former, "--help"], resilient_parsing=True)
    assert lichencleat.get_command(root, former) is lichencleat.get_command(root, current)


@pytest.mark.parametrize("former", sorted(FORMER_NOUNS))
def test_former_noun_is_not_listed(former: str) -> None:
    assert former not in NOUNS
    assert f"  {former} " not in help_of()


@pytest.mark.parametrize("noun", sorted(NOUNS))
def test_noun_is_listed_and_has_commands(noun: str) -> None:
    assert f"  {noun} " in help_of()
    assert "Commands:" in help_of(noun)
