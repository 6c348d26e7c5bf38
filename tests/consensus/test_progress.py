"""The messages that a leader sends to a follower."""

import random

from support.log_storage import make_entries

from lichencleat.consensus.messages import (
    Configuration,
    DurableState,
    Entry,
    EntryType,
    Member,
    Message,
    MessageType,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.progress import MAX_INFLIGHT_MESSAGES, Progress
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.raft_node import RaftNode

CONFIGURATION = Configuration((Member(1, "v1", "h", 1), Member(2, "v2", "h", 2), Member(3, "v3", "h", 3)))


def test_progress_sends_missing_entries_up_to_the_inflight_limit():
    entries = RaftLog(Snapshot(0, 0, CONFIGURATION, b""), [Entry(1, EntryType.COMMAND, b"x" * 300_000)] * 40)
    progress, heartbeat = Progress(41, 0), Message(MessageType.APPEND, 1, 1, 2)
    assert (
        progress.next_message(entries, heartbeat).index == 40
        and progress.next_message(entries, heartbeat) is None
    )
    progress.on_rejected(40, 3)
    assert progress.next_message(entries, heartbeat).index == 3
    progress.on_accepted(4)
    sent_indices = []
    while (message := progress.next_message(entries, heartbeat)) is not None:
        sent_indices.append(message.index)
    assert sent_indices == list(range(4, 4 + MAX_INFLIGHT_MESSAGES))
    progress.on_heartbeat()
    progress.on_heartbeat()
    assert progress.is_probing and progress.next_index == 5


def test_progress_does_not_resend_a_chunk_to_a_follower_with_a_slow_disk():
    entries = RaftLog(Snapshot(77, 1, CONFIGURATION, b"state"))
    progress, heartbeat = Progress(71, 0), Message(MessageType.APPEND, 1, 1, 2)
    progress.match_index = 70
    assert progress.next_message(entries, heartbeat).message_type == MessageType.SNAPSHOT
    progress.on_accepted(70)  # the commit index has advanced, but no more entries are durable
    assert progress.next_message(entries, heartbeat) is None
    progress.on_heartbeat()
    assert progress.next_message(entries, heartbeat).message_type == MessageType.SNAPSHOT
    progress.on_accepted(77)
    assert progress.next_message(entries, heartbeat) is None


def test_follower_commits_up_to_its_matched_index_on_a_heartbeat():
    log, progress = RaftLog(Snapshot(0, 0, CONFIGURATION, b""), make_entries(1, 9)), Progress(1, 0)
    progress.match_index = 4
    heartbeat = progress.make_heartbeat(log, Message(MessageType.APPEND, 1, 1, 2, commit=9))
    assert (heartbeat.index, heartbeat.commit) == (4, 9)
    follower = RaftNode(
        2, DurableState(1, 0, None, list(make_entries(1, 4))), Timeouts(), random.Random(1), 0
    )
    follower.receive(0, heartbeat)
    assert follower.commit_index == 4
