"""Directories that 3273848 wrote are read with the same meaning: a copy of each, by the current code."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from directories import (
    read_boot_and_figures,
    read_kept,
    read_keyed,
    read_member,
    read_store,
    read_store_stat,
    state_of_member,
)

DATA = Path(__file__).parent / "data"
GOLDEN_DIRECTORIES = json.loads((DATA / "directories.json").read_text(encoding="utf-8"))
GOLDEN_STATES = json.loads((DATA / "states.json").read_text(encoding="utf-8"))
MEMBERS = {"member": "control", "member_distribution": "distribution"}


def plain(value: Any) -> Any:
    """The value as the generator wrote it."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, tuple | list):
        return [plain(each) for each in value]
    if isinstance(value, dict):
        return {key: plain(each) for key, each in value.items()}
    return value


def copy(name: str, to: Path) -> Path:
    """A copy that may be written to."""
    return shutil.copytree(DATA / name, to / name)


def golden(name: str, *keys: str) -> dict[str, Any]:
    """Some of what was recorded of a directory."""
    return {key: GOLDEN_DIRECTORIES[name][key] for key in keys}


@pytest.mark.parametrize("name", GOLDEN_DIRECTORIES)
def test_golden_directory_is_whole(name: str) -> None:
    assert sorted(each.name for each in (DATA / name).iterdir()) == GOLDEN_DIRECTORIES[name]["files"]


def test_store_holds_the_same_records(tmp_path: Path) -> None:
    path = copy("store", tmp_path)
    expected = GOLDEN_DIRECTORIES["store"]["content"]
    assert read_store(path) == expected
    assert read_store(path) == expected  # after it was closed by the current code


def test_store_says_the_same_of_its_sizes(tmp_path: Path) -> None:
    assert read_store_stat(copy("store", tmp_path)) == GOLDEN_DIRECTORIES["store"]["stat"]


@pytest.mark.parametrize("name", MEMBERS)
def test_member_finds_its_log_snapshot_identity_and_lives(name: str, tmp_path: Path) -> None:
    found = read_member(copy(name, tmp_path))
    assert found == golden(name, *found)


@pytest.mark.parametrize(("name", "group"), MEMBERS.items())
def test_member_comes_to_the_same_state(name: str, group: str, tmp_path: Path) -> None:
    states = GOLDEN_STATES[group]
    assert state_of_member(copy(name, tmp_path), group) == states["dumps"][str(len(states["entries"]))]


def test_idempotency_records_are_the_same(tmp_path: Path) -> None:
    keys = list(GOLDEN_DIRECTORIES["keyed"]["entries"])
    found = read_keyed(copy("keyed", tmp_path), keys)
    assert plain(found) == golden("keyed", *found)


def test_boot_record_and_learned_service_times_are_the_same(tmp_path: Path) -> None:
    longest = GOLDEN_DIRECTORIES["keyed"]["longest"]
    found = read_boot_and_figures(copy("keyed", tmp_path), longest)
    assert plain(found) == golden("keyed", *found)


def test_kept_configuration_is_the_same(tmp_path: Path) -> None:
    names = list(GOLDEN_DIRECTORIES["kept"]["values"])
    found = read_kept(copy("kept", tmp_path), names)
    assert plain(found) == golden("kept", *found)
