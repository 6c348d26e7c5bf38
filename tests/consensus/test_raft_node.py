"""The actions of the Raft node: what it writes, sends, applies and rejects."""

import random

from lichencleat.consensus.configuration import (
    with_member,
    without_member,
)
from lichencleat.consensus.messages import (
    ActionType,
    Configuration,
    DurableState,
    Entry,
    EntryType,
    Member,
    Message,
    MessageType,
    RejectReason,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role

TIMEOUTS = Timeouts()


MEMBERS = [Member(member_id, f"v{member_id}", "h", member_id) for member_id in range(1, 6)]


CONFIGURATION = Configuration(tuple(MEMBERS[:3]))


def make_node(member_id=1, configuration=CONFIGURATION, entries=(), term=0, vote=0):
    return RaftNode(
        member_id,
        DurableState(term, vote, Snapshot(0, 0, configuration, b""), list(entries)),
        TIMEOUTS,
        random.Random(1),
        0,
    )


def take_actions(node, action_types=None):
    """Return all actions, or those of the given types; each write becomes durable at once."""
    found = []
    while (action := node.next_action()) is not None:
        found.append(action)
        if action.action_type is ActionType.WRITE:
            node.on_write_durable(0, action.write.number)
    return [each for each in found if action_types is None or each.action_type in action_types]


def sent_messages(node):
    return [each.message for each in take_actions(node, [ActionType.SEND])]


def make_leader(configuration=CONFIGURATION, now=0):
    node = make_node(configuration=configuration)
    node.start_election(now, False)
    take_actions(node)
    for member_id in sorted(configuration.voter_ids() - {1}):
        node.receive(now, Message(MessageType.VOTE_RESPONSE, 1, member_id, 1, granted=True))
    return node


def acknowledge(node, member_id, index, now=0, **more):
    node.receive(
        now, Message(MessageType.APPEND_RESPONSE, node.term, member_id, 1, index=index, granted=True, **more)
    )


def test_vote_is_sent_only_once_it_is_durable():
    node = make_node(2)
    node.receive(0, Message(MessageType.VOTE, 1, 1, 2))
    action = node.next_action()
    assert action.action_type is ActionType.WRITE and (action.write.term, action.write.vote) == (1, 1)
    assert node.next_action() is None
    node.on_write_durable(0, action.write.number)
    assert [each.granted for each in sent_messages(node)] == [True]
    node.receive(0, Message(MessageType.VOTE, 1, 3, 2))
    assert [each.granted for each in sent_messages(node)] == [False]


def test_follower_reports_durable_entries_only_and_the_rest_later():
    node = make_node(2)
    node.receive(0, Message(MessageType.APPEND, 1, 1, 2, entries=(Entry(1, EntryType.COMMAND, b"a"),)))
    first = node.next_action().write
    node.on_write_durable(0, first.number)
    assert [each.index for each in sent_messages(node)] == [0, 1]
    node.receive(
        0,
        Message(
            MessageType.APPEND, 1, 1, 2, index=1, log_term=1, entries=(Entry(1, EntryType.COMMAND, b"b"),)
        ),
    )
    second = node.next_action()
    assert second.action_type is ActionType.WRITE
    assert [(each.index, each.granted) for each in sent_messages(node)] == [(1, True)]
    node.on_write_durable(0, second.write.number)
    assert [(each.index, each.granted) for each in sent_messages(node)] == [(2, True)]


def test_vote_requests_are_ignored_while_a_leader_is_alive():
    node = make_node(2)
    node.receive(0, Message(MessageType.APPEND, 4, 1, 2))
    sent_messages(node)
    node.receive(TIMEOUTS.election_timeout_us - 1, Message(MessageType.VOTE, 9, 3, 2, index=9, log_term=9))
    node.receive(
        TIMEOUTS.election_timeout_us - 1, Message(MessageType.PRE_VOTE, 9, 3, 2, index=9, log_term=9)
    )
    assert node.term == 4 and sent_messages(node) == []
    node.receive(
        TIMEOUTS.election_timeout_us - 1,
        Message(MessageType.VOTE, 5, 3, 2, index=9, log_term=9, is_transfer=True),
    )
    assert node.term == 5 and sent_messages(node)[0].granted


def test_pre_vote_precedes_a_new_term():
    node = make_node()
    node.on_timer(node.deadline())
    requests = sent_messages(node)
    assert {each.message_type for each in requests} == {MessageType.PRE_VOTE} and node.term == 0
    node.receive(0, Message(MessageType.PRE_VOTE_RESPONSE, 1, 2, 1, granted=True))
    assert node.term == 1 and {each.message_type for each in sent_messages(node)} == {MessageType.VOTE}


def test_leader_without_quorum_contact_steps_down_and_rejects_its_proposals():
    node = make_leader()
    node.propose(0, "ticket", b"x")
    node.on_timer(TIMEOUTS.election_timeout_us + 1)
    assert node.role is Role.FOLLOWER
    rejected = take_actions(node, [ActionType.REJECT])
    assert [(each.context, each.reason) for each in rejected] == [("ticket", RejectReason.LEADERSHIP_LOST)]


def test_entry_is_committed_by_a_majority_of_disks_and_applied_with_its_context():
    node = make_leader()
    take_actions(node)
    node.propose(0, "ticket", b"x")
    take_actions(node)
    assert node.commit_index == 0
    acknowledge(node, 3, 2)
    applied = take_actions(node, [ActionType.APPLY])
    assert [(each.index, each.context) for each in applied] == [(1, None), (2, "ticket")]


def test_context_of_a_committed_entry_survives_the_leadership():
    node = make_leader()
    node.propose(0, "ticket", b"x")
    take_actions(node)
    acknowledge(node, 3, 2)
    node.receive(0, Message(MessageType.APPEND, 7, 2, 1))
    assert [each.context for each in take_actions(node, [ActionType.APPLY])] == [None, "ticket"]


def test_read_waits_for_a_round_that_began_after_it():
    node = make_leader()
    take_actions(node)
    node.read(0, "early")
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.LEADER_NOT_READY
    acknowledge(node, 2, 1)
    take_actions(node)
    node.read(0, "first")
    node.read(0, "second")
    assert take_actions(node, [ActionType.SERVE_READ]) == []
    acknowledge(node, 2, 1, read_round=1)
    assert [each.context for each in take_actions(node, [ActionType.SERVE_READ])] == ["first"]
    acknowledge(node, 3, 1, read_round=2)
    assert [(each.context, each.index) for each in take_actions(node, [ActionType.SERVE_READ])] == [
        ("second", 1)
    ]


def test_leadership_is_transferred_once_the_target_has_all_entries():
    node = make_leader()
    take_actions(node)
    acknowledge(node, 2, 1)
    node.propose(0, "t", b"x")
    assert (
        node.transfer_leadership(0, 2)
        and not node.transfer_leadership(0, 3)
        and not make_node().transfer_leadership(0, 2)
    )
    assert not [each for each in sent_messages(node) if each.message_type == MessageType.TIMEOUT_NOW]
    node.propose(0, "late", b"y")
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.TRANSFER_IN_PROGRESS
    acknowledge(node, 2, 2)
    assert [
        each.recipient for each in sent_messages(node) if each.message_type == MessageType.TIMEOUT_NOW
    ] == [2]
    target = make_node(2, entries=node.log.entries, term=1)
    target.receive(0, Message(MessageType.APPEND, 1, 1, 2, index=2, log_term=1))
    target.receive(0, Message(MessageType.TIMEOUT_NOW, 1, 1, 2))
    assert target.role is Role.CANDIDATE and all(
        each.is_transfer for each in sent_messages(target) if each.message_type == MessageType.VOTE
    )


def test_transfer_is_abandoned_at_its_deadline():
    node = make_leader()
    take_actions(node)
    assert node.transfer_leadership(0, 2)
    for member_id in (2, 3):
        acknowledge(node, member_id, 0, now=TIMEOUTS.transfer_timeout_us)
    node.on_timer(TIMEOUTS.transfer_timeout_us)
    node.propose(TIMEOUTS.transfer_timeout_us, "t", b"x")
    assert take_actions(node, [ActionType.REJECT]) == []


def test_configuration_changes_by_one_member_at_a_time():
    node = make_leader()
    take_actions(node)
    node.change_configuration(0, "soon", with_member(CONFIGURATION, MEMBERS[3]))
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.LEADER_NOT_READY
    acknowledge(node, 2, 1)
    take_actions(node)
    learner = Member(4, "v4", "h", 4, is_voter=False)
    node.change_configuration(0, "learner", with_member(CONFIGURATION, learner))
    node.change_configuration(0, "more", with_member(CONFIGURATION, MEMBERS[4]))
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.CHANGE_IN_PROGRESS
    assert 4 in node.leader_state.progress and node.voters == {1, 2, 3}
    acknowledge(node, 2, 2)
    take_actions(node)
    node.change_configuration(0, "never heard", with_member(node.log.configuration, MEMBERS[3]))
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.LEARNER_BEHIND
    acknowledge(node, 4, 1)
    node.change_configuration(0, "votes", with_member(node.log.configuration, MEMBERS[3]))
    take_actions(node)
    assert node.voters == {1, 2, 3, 4}


def test_election_jitter_doubles_with_each_failed_campaign():
    node = make_node()
    spans = []
    for _ in range(6):
        now = node.deadline()
        node.on_timer(now)
        spans.append(
            TIMEOUTS.election_timeout_us + (TIMEOUTS.election_jitter_us << min(node.failed_campaigns, 3))
        )
        assert node.deadline() - now <= spans[-1]
    assert spans[:4] == [TIMEOUTS.election_timeout_us + TIMEOUTS.election_jitter_us * n for n in (2, 4, 8, 8)]
    node.receive(now, Message(MessageType.APPEND, 9, 2, 1))
    assert node.failed_campaigns == 0


def test_learner_that_lags_behind_is_not_promoted():
    node = make_leader()
    for _ in range(400):
        node.propose(0, None, b"x")
    take_actions(node)
    acknowledge(node, 2, 401)
    take_actions(node)
    node.change_configuration(0, None, with_member(CONFIGURATION, Member(4, "v4", "h", 4, is_voter=False)))
    take_actions(node)
    acknowledge(node, 2, 402)
    node.change_configuration(0, "t", with_member(node.log.configuration, MEMBERS[3]))
    assert take_actions(node, [ActionType.REJECT])[0].reason is RejectReason.LEARNER_BEHIND
    acknowledge(node, 4, 300)
    node.change_configuration(0, "t", with_member(node.log.configuration, MEMBERS[3]))
    assert take_actions(node, [ActionType.REJECT]) == [] and 4 in node.voters


def test_removed_leader_commits_its_removal_and_steps_down():
    node = make_leader()
    take_actions(node)
    acknowledge(node, 2, 1)
    take_actions(node)
    node.change_configuration(0, "gone", without_member(CONFIGURATION, 1))
    take_actions(node)
    acknowledge(node, 2, 2)
    assert node.role is Role.LEADER  # only one of the remaining voters 2 and 3 has the entry
    acknowledge(node, 3, 2)
    assert node.role is Role.FOLLOWER
    assert [each.context for each in take_actions(node, [ActionType.APPLY])] == ["gone"]
    node.on_timer(node.deadline())
    assert sent_messages(node) == []


def test_last_remaining_voter_commits_alone():
    pair = Configuration(tuple(MEMBERS[:2]))
    node = make_leader(pair)
    take_actions(node)
    acknowledge(node, 2, 1)
    take_actions(node)
    node.change_configuration(0, "gone", without_member(pair, 2))
    assert [each.context for each in take_actions(node, [ActionType.APPLY])] == ["gone"]
    node.propose(0, "alone", b"x")
    assert [each.context for each in take_actions(node, [ActionType.APPLY])] == ["alone"]


def test_member_with_uncommitted_removal_campaigns_without_its_own_vote():
    pair = Configuration(tuple(MEMBERS[:2]))
    node = make_leader(pair)
    take_actions(node)
    acknowledge(node, 2, 1)
    take_actions(node)
    # Member 2 crashes before it receives this entry, and requests votes after its restart.
    node.change_configuration(0, "gone", without_member(pair, 1))
    take_actions(node)
    node.on_timer(TIMEOUTS.election_timeout_us + 1)
    node.receive(
        TIMEOUTS.election_timeout_us * 9, Message(MessageType.PRE_VOTE, 2, 2, 1, index=1, log_term=1)
    )
    assert not any(each.granted for each in sent_messages(node))
    node.on_timer(TIMEOUTS.election_timeout_us * 9)
    requests = sent_messages(node)
    assert [(each.message_type, each.recipient) for each in requests] == [(MessageType.PRE_VOTE, 2)]
    node.receive(
        TIMEOUTS.election_timeout_us * 9, Message(MessageType.PRE_VOTE_RESPONSE, 2, 2, 1, granted=True)
    )
    node.receive(TIMEOUTS.election_timeout_us * 9, Message(MessageType.VOTE_RESPONSE, 2, 2, 1, granted=True))
    assert node.role is Role.LEADER
    take_actions(node)
    acknowledge(node, 2, 3, now=TIMEOUTS.election_timeout_us * 9)
    assert node.role is Role.FOLLOWER and not node.can_campaign()


def test_failed_disk_halts_the_node():
    node = make_leader()
    node.propose(0, "t", b"x")
    node.on_disk_failed("EIO")
    action_types = [each.action_type for each in take_actions(node)]
    assert action_types == [ActionType.REJECT, ActionType.HALT]
    node.receive(0, Message(MessageType.VOTE, 9, 2, 1))
    node.propose(0, "late", b"y")
    assert [each.action_type for each in take_actions(node)] == [ActionType.REJECT]


def test_conflict_with_a_committed_entry_halts_the_node():
    node = make_node(2, entries=[Entry(1, EntryType.NO_OP)], term=1)
    node.receive(0, Message(MessageType.APPEND, 1, 1, 2, index=1, log_term=1, commit=1))
    take_actions(node)
    node.receive(0, Message(MessageType.APPEND, 2, 3, 2, entries=(Entry(2, EntryType.NO_OP),)))
    assert "a disk has lost" in take_actions(node, [ActionType.HALT])[0].reason


def test_snapshot_chunks_may_be_duplicated_and_out_of_order():
    node = make_node(2, Configuration(()))
    chunks = [
        Message(
            MessageType.SNAPSHOT,
            3,
            1,
            2,
            10,
            2,
            offset=at,
            snapshot_size=6,
            data=data,
            configuration=CONFIGURATION if at == 0 else None,
        )
        for at, data in ((0, b"abc"), (3, b"def"))
    ]
    for each in (chunks[1], chunks[0], chunks[0], chunks[1]):
        node.receive(0, each)
    actions = take_actions(node)
    sent = [each.message for each in actions if each.action_type is ActionType.SEND]
    assert [each.offset for each in sent if each.message_type == MessageType.SNAPSHOT_RESPONSE] == [0, 3, 3]
    restored = [each.snapshot for each in actions if each.action_type is ActionType.RESTORE_SNAPSHOT]
    assert [each.data for each in restored] == [b"abcdef"]
    assert node.commit_index == 10 and node.voters == {1, 2, 3}
