"""Assembling snapshots that arrive in chunks."""

import random

from support.log_storage import (
    CONFIGURATION,
    make_entries,
    make_snapshot,
)

from lichencleat.consensus.messages import (
    ActionType,
    DurableState,
    Message,
    MessageType,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.progress import SNAPSHOT_CHUNK_BYTES, Progress
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.snapshot_receiver import MAX_SNAPSHOT_BYTES, SnapshotReceiver


def make_chunks(snapshot, size, at=0):
    data = snapshot.data
    return [
        Message(
            MessageType.SNAPSHOT,
            1,
            1,
            2,
            index=snapshot.index,
            log_term=snapshot.term,
            offset=offset,
            snapshot_size=len(data),
            data=data[offset : offset + size],
            configuration=CONFIGURATION if offset == 0 else None,
        )
        for offset in range(0, len(data), size)
    ]


def test_receiver_ignores_duplicate_misordered_and_foreign_chunks():
    one, other, rng = make_snapshot(9, 5_000), make_snapshot(10, 4_000), random.Random(3)
    for _ in range(200):
        receiver, chunks, offset_reached = SnapshotReceiver(), make_chunks(one, 700), 0
        for _ in range(400):
            next_chunk = chunks[offset_reached // 700]
            chunk = rng.choice([*chunks[1:], next_chunk, next_chunk, *make_chunks(other, 700)[1:]])
            received = receiver.add_chunk(chunk)
            if not isinstance(received, int):
                break
            if chunk.index == one.index:
                assert received in (offset_reached, offset_reached + 700) and (
                    received == offset_reached or chunk.offset == offset_reached
                )
                offset_reached = received
            else:
                assert received == 0
        assert received == one and receiver.first_chunk is None and not receiver.data


def test_receiver_restarts_at_another_first_chunk_and_rejects_a_snapshot_over_the_limit():
    receiver = SnapshotReceiver()
    first, second = make_chunks(make_snapshot(9, 2_000), 700), make_chunks(make_snapshot(10, 900), 700)
    assert [receiver.add_chunk(first[0]), receiver.add_chunk(first[1])] == [700, 1_400]
    assert receiver.add_chunk(second[0]) == 700 and receiver.add_chunk(first[2]) == 0
    assert receiver.add_chunk(second[1]) == make_snapshot(10, 900)
    too_large = Message(
        MessageType.SNAPSHOT,
        1,
        1,
        2,
        index=9,
        log_term=1,
        snapshot_size=MAX_SNAPSHOT_BYTES + 1,
        data=b"x",
        configuration=CONFIGURATION,
    )
    assert receiver.add_chunk(too_large) == 0 and receiver.first_chunk is None


def test_empty_follower_catches_up_by_a_large_snapshot():
    whole = Snapshot(40, 3, CONFIGURATION, random.Random(1).randbytes(1 << 20) * 3)
    follower = RaftNode(2, DurableState(), Timeouts(), random.Random(1), 0)
    progress, log = Progress(1, 0), RaftLog(whole, make_entries(41, 43))
    template, restored, sent = Message(MessageType.APPEND, 3, 1, 2, commit=43), [], 0
    while not restored:
        message = progress.next_message(log, template)
        assert message is not None and len(message.data) <= SNAPSHOT_CHUNK_BYTES
        sent += 1
        follower.receive(0, message)
        while (action := follower.next_action()) is not None:
            if action.action_type is ActionType.WRITE:
                follower.on_write_durable(0, action.write.number)
            elif (
                action.action_type is ActionType.SEND
                and action.message.message_type == MessageType.SNAPSHOT_RESPONSE
            ):
                progress.on_snapshot_chunk_received(action.message.index, action.message.offset)
            elif action.action_type is ActionType.RESTORE_SNAPSHOT:
                restored.append(action.snapshot)
    assert restored == [whole] and sent == 12 and follower.commit_index == 40
