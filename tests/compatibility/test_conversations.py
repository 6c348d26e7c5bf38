"""A member answers clients' frames as one of 3273848 did: request names, replies, refusals, status keys."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from conversation import CONVERSATIONS, converse
from running_member import gossip, start_member
from twisted.internet.testing import MemoryReactorClock

DATA = Path(__file__).parent / "data"
GOLDEN = json.loads((DATA / "conversations.json").read_text(encoding="utf-8"))
GOLDEN_GOSSIP = json.loads((DATA / "gossip.json").read_text(encoding="utf-8"))


def plain(value: Any) -> Any:
    """The value as the generator wrote it."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, tuple | list):
        return [plain(each) for each in value]
    if isinstance(value, dict):
        return {key: plain(each) for key, each in value.items()}
    return value


@pytest.mark.parametrize("group", CONVERSATIONS)
def test_member_gives_the_same_answers(group: str, tmp_path: Path) -> None:
    reactor, steps = MemoryReactorClock(), CONVERSATIONS[group]
    start_member(reactor, tmp_path, group)
    answers = converse(reactor, steps)
    assert [plain(step.frame) for step in steps] == [each["sent"] for each in GOLDEN[group]]
    for step, answer, golden in zip(steps, answers, GOLDEN[group], strict=True):
        assert plain(answer) == golden["answers"], step.frame


def test_gossip_sends_the_same_datagrams() -> None:
    for number, (sent, golden) in enumerate(zip(gossip(), GOLDEN_GOSSIP, strict=True)):
        assert sent == golden, f"after {number} datagrams"
