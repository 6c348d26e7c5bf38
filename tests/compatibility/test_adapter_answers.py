"""The adapter's answers to recorded batches, held to the byte.

The recordings in `data/adapter/` were made at commit 3273848, before the code was renamed and split: the
drills of `lbsim check` (each event and outcome) under two sites' settings, and single nodes of busy days.
"""

from pathlib import Path

import pytest
from adapter_recording import read_exchanges

from lichencleat.bench_adapter.wire import Wire

RECORDINGS = sorted((Path(__file__).parent / "data" / "adapter").glob("*.gz"))


@pytest.mark.parametrize("recording", RECORDINGS, ids=lambda path: path.stem)
def test_adapter_answers_equal_recording(recording: Path) -> None:
    adapter = Wire()
    for number, exchange in enumerate(read_exchanges(recording), 1):
        assert adapter.answer(exchange.batch.decode()).encode() == exchange.answer, f"exchange {number}"


def test_recordings_hold_every_action_of_the_adapter() -> None:
    answers = b"".join(exchange.answer for path in RECORDINGS for exchange in read_exchanges(path))
    actions = (
        "admit askBelow bounce closeIdle erase fallBack giveUp join notifyMe pin publish reportHealth suspend"
    )
    assert [action for action in actions.split() if f'"{action}"'.encode() not in answers] == []
