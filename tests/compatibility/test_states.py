"""The replicated state gives the results, dumps and answers that 3273848 gave to the same entries."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from directories import answer, apply, dump, new_state, restored_state

GOLDEN_STATES = json.loads((Path(__file__).parent / "data/states.json").read_text(encoding="utf-8"))
DUMPS = [(group, index) for group, golden in GOLDEN_STATES.items() for index in golden["dumps"]]


def replay(group: str, state: Any, after: int = 0) -> None:
    """Applies the entries behind the first `after`; each must give what it gave then."""
    for index, record in enumerate(GOLDEN_STATES[group]["entries"][after:], after + 1):
        expected = record["verdict"], record["result"]
        assert apply(state, index, bytes.fromhex(record["entry"])) == expected, f"entry {index}"


def final_dump(group: str) -> str:
    """The dump behind the last entry."""
    golden = GOLDEN_STATES[group]
    return str(golden["dumps"][str(len(golden["entries"]))])


@pytest.mark.parametrize("group", GOLDEN_STATES)
def test_state_gives_the_same_results_dump_and_answers(group: str) -> None:
    state = new_state(group)
    replay(group, state)
    assert dump(state) == final_dump(group)
    for read in GOLDEN_STATES[group]["reads"]:
        assert answer(state, read["part"], read["query"]) == read["answer"], read


@pytest.mark.parametrize(("group", "index"), DUMPS)
def test_state_restored_from_a_dump_goes_on_the_same(group: str, index: str) -> None:
    data = GOLDEN_STATES[group]["dumps"][index]
    state = restored_state(group, int(index), bytes.fromhex(data))
    assert dump(state) == data
    replay(group, state, int(index))
    assert dump(state) == final_dump(group)
    for read in GOLDEN_STATES[group]["reads"]:
        assert answer(state, read["part"], read["query"]) == read["answer"], read
