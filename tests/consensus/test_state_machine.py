"""The replicated state machine: replaying entries and restoring a dump give the same state."""

import random

from lichencleat.consensus.key_value import KeyValueState, SetCommand
from lichencleat.consensus.messages import Configuration, Entry, EntryType, Member, Snapshot
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.transport.frames import encode_command

CONFIGURATION = Configuration((Member(1, "v1", "h", 1),))


def test_state_is_the_same_from_entries_and_from_a_dump():
    def fresh():
        return StateMachine({"facts": KeyValueState()})

    rng, state, entries = random.Random(3), fresh(), []
    for index in range(1, 200):
        kind = rng.random()
        if kind < 0.1:
            entry = Entry(1, EntryType.SESSION)
        elif kind < 0.2:
            entry = Entry(1, EntryType.COMMAND, rng.randbytes(5))
        else:
            wanted = SetCommand(
                f"f{rng.randrange(5)}", rng.choice([None, b"v"]), rng.choice([None, 0, index - 3])
            )
            entry = Entry(
                1, EntryType.COMMAND, encode_command("facts", wanted), rng.choice([0, 3, 7]), rng.randrange(4)
            )
        entries.append(entry)
        state.apply(index, entry)
    copied, replayed = fresh(), fresh()
    copied.restore(Snapshot(199, 1, CONFIGURATION, state.dump()))
    for index, entry in enumerate(entries, 1):
        replayed.apply(index, entry)
    assert copied.dump() == replayed.dump() == state.dump()
