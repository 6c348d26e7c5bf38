"""Commands of 3273848 are still accepted, and give what they gave: output, `--json` keys, exit codes."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import pytest
from settings_files import decoded
from workplace import COMMANDS, describe, prepare, run_command

DATA = Path(__file__).parent / "data"
GOLDEN = json.loads((DATA / "commands.json").read_text(encoding="utf-8"))
GOLDEN_FILES = json.loads((DATA / "settings_files.json").read_text(encoding="utf-8"))
PAGES = Path(__file__).parents[2] / "docs"
PAGE_LINK = re.compile(r"\[([\w-]+\.md)\]\(([\w-]+\.md)\)")
SUB_COMMANDS = [(noun, name) for noun, commands in GOLDEN["nouns"].items() for name in commands]
MISTAKES = [
    pytest.param(each, id="-".join(each["arguments"]))
    for each in GOLDEN["runs"]
    if each["arguments"][1:2] == ["check"] and each["stderr"]
]


@pytest.fixture
def workplace(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """The directory that commands run in."""
    prepare(tmp_path)
    monkeypatch.chdir(tmp_path)
    return tmp_path


def options(parameters: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Each option by each of its names."""
    return {name: each for each in parameters if each["kind"] == "option" for name in each["names"]}


def arguments(parameters: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Arguments in their order."""
    return [each for each in parameters if each["kind"] == "argument"]


@pytest.mark.parametrize(("noun", "name"), SUB_COMMANDS)
def test_sub_command_takes_the_same_arguments_and_options(noun: str, name: str) -> None:
    golden, current = GOLDEN["nouns"][noun][name], describe(noun)[name]
    assert arguments(current) == arguments(golden)
    now = options(current)
    for option, described in options(golden).items():
        assert set(described["names"]) <= set(now[option]["names"])
        assert {**now[option], "names": []} == {**described, "names": []}
    assert not [option for option, each in now.items() if each["required"] and option not in options(golden)]


@pytest.mark.parametrize(("noun", "name"), SUB_COMMANDS)
def test_sub_command_shows_its_help(noun: str, name: str) -> None:
    found = run_command((noun, name, "--help"))
    assert found["exit"] == 0
    assert found["stdout"].startswith(f"Usage: lichencleat {noun} {name} ")


def unlinked(text: str) -> str:
    """The text without the names of the pages that it links: a page may get another name."""
    return PAGE_LINK.sub("[page](page)", text)


def missing_pages(text: str) -> list[str]:
    """Pages that the text links and that do not exist."""
    return [page for _, page in PAGE_LINK.findall(text) if not (PAGES / page).is_file()]


def test_table_of_runs_is_the_golden_one() -> None:
    assert [tuple(each["arguments"]) for each in GOLDEN["runs"]] == list(COMMANDS)


def test_commands_give_the_same_output_and_exit_codes(workplace: Path) -> None:
    """In one go, as they were recorded: some of them change what later ones show."""
    for golden in GOLDEN["runs"]:
        found = run_command(tuple(golden["arguments"]))
        line = " ".join(golden["arguments"])
        assert found["exit"] == golden["exit"], line
        assert unlinked(found["stdout"]) == unlinked(golden["stdout"]), line
        assert not missing_pages(found["stdout"]), line
        assert bool(found["stderr"]) == bool(golden["stderr"]), line
        assert found["stderr"].count("\n") == golden["stderr"].count("\n"), line


def place(stderr: str) -> list[str]:
    """Program, file with its line, and what is wrong there: what an operator's page quotes."""
    return stderr.split(": ")[:3]


@pytest.mark.parametrize("golden", MISTAKES)
def test_mistake_in_a_file_is_told_with_the_same_place(golden: dict[str, Any], workplace: Path) -> None:
    assert place(run_command(tuple(golden["arguments"]))["stderr"]) == place(golden["stderr"])


@pytest.mark.parametrize("golden", GOLDEN_FILES, ids=[each["file"] for each in GOLDEN_FILES])
def test_settings_file_decodes_to_the_same_values(golden: dict[str, Any], workplace: Path) -> None:
    assert decoded(golden["kind"], "files/" + golden["file"]) == golden["decoded"]
