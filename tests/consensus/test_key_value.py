"""Key-value pairs with revisions."""

import msgspec

from lichencleat.consensus.key_value import KeyValueState, SetCommand, SetResult


def test_set_requires_the_expected_revision():
    state = KeyValueState()

    def apply(index, *what):
        return state.apply(index, msgspec.Raw(msgspec.msgpack.encode(SetCommand(*what))))

    assert apply(1, "a", b"x", 0) == SetResult(True, 1)
    assert apply(2, "a", b"y", 0) == SetResult(False, 1, "another revision")
    assert apply(3, "a", b"z", 1) == SetResult(True, 3) and state.read("a").value == b"z"
    assert apply(4, "a", None) == SetResult(True, 0) and state.read("a") is None
    assert not apply(5, "b", bytes(70_000)).is_applied
    assert state.apply(6, msgspec.Raw(b"\x01")) == SetResult(False, 0, "no command")
