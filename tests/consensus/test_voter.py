"""One voter, driven by hand: what it writes, says and refuses."""

import random

import pytest

from lichencleat.consensus.configuration import (
    change_rejection,
    has_majority,
    quorum_value,
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
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.progress import MAX_INFLIGHT_MESSAGES, Progress
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason

TIMES = Timeouts()
MEMBERS = [Member(seat, f"v{seat}", "h", seat) for seat in range(1, 6)]
GROUP = Configuration(tuple(MEMBERS[:3]))


def voter(seat=1, group=GROUP, entries=(), term=0, vote=0):
    return RaftNode(
        seat, DurableState(term, vote, Snapshot(0, 0, group, b""), list(entries)), TIMES, random.Random(1), 0
    )


def pull(one, acts=None):
    """All decisions; what is to be saved is confirmed at once."""
    found = []
    while (decision := one.next_action()) is not None:
        found.append(decision)
        if decision.action_type is ActionType.WRITE:
            one.on_write_durable(0, decision.write.number)
    return [each for each in found if acts is None or each.action_type in acts]


def sent(one):
    return [each.message for each in pull(one, [ActionType.SEND])]


def leader(group=GROUP, now=0):
    one = voter(group=group)
    one.start_election(now, False)
    pull(one)
    for seat in sorted(group.voter_ids() - {1}):
        one.receive(now, Message(MessageType.VOTE_RESPONSE, 1, seat, 1, granted=True))
    return one


def ack(one, seat, index, now=0, **more):
    one.receive(
        now, Message(MessageType.APPEND_RESPONSE, one.term, seat, 1, index=index, granted=True, **more)
    )


def test_a_vote_is_said_only_once_it_is_saved():
    one = voter(2)
    one.receive(0, Message(MessageType.VOTE, 1, 1, 2))
    decision = one.next_action()
    assert decision.action_type is ActionType.WRITE and (decision.write.term, decision.write.vote) == (1, 1)
    assert one.next_action() is None
    one.on_write_durable(0, decision.write.number)
    assert [each.granted for each in sent(one)] == [True]
    one.receive(0, Message(MessageType.VOTE, 1, 3, 2))
    assert [each.granted for each in sent(one)] == [False]


def test_a_follower_says_only_what_is_flushed_and_says_the_rest_later():
    one = voter(2)
    one.receive(0, Message(MessageType.APPEND, 1, 1, 2, entries=(Entry(1, EntryType.COMMAND, b"a"),)))
    first = one.next_action().write
    one.on_write_durable(0, first.number)
    assert [each.index for each in sent(one)] == [0, 1]
    one.receive(
        0,
        Message(
            MessageType.APPEND, 1, 1, 2, index=1, log_term=1, entries=(Entry(1, EntryType.COMMAND, b"b"),)
        ),
    )
    second = one.next_action()
    assert second.action_type is ActionType.WRITE
    assert [(each.index, each.granted) for each in sent(one)] == [(1, True)]
    one.on_write_durable(0, second.write.number)
    assert [(each.index, each.granted) for each in sent(one)] == [(2, True)]


def test_nobody_stands_while_a_leader_is_heard_and_a_newcomer_disturbs_no_group():
    one = voter(2)
    one.receive(0, Message(MessageType.APPEND, 4, 1, 2))
    sent(one)
    one.receive(TIMES.election_timeout_us - 1, Message(MessageType.VOTE, 9, 3, 2, index=9, log_term=9))
    one.receive(TIMES.election_timeout_us - 1, Message(MessageType.PRE_VOTE, 9, 3, 2, index=9, log_term=9))
    assert one.term == 4 and sent(one) == []
    one.receive(
        TIMES.election_timeout_us - 1,
        Message(MessageType.VOTE, 5, 3, 2, index=9, log_term=9, is_transfer=True),
    )
    assert one.term == 5 and sent(one)[0].granted


def test_an_election_is_sounded_out_before_any_term_is_taken():
    one = voter()
    one.on_timer(one.deadline())
    asked = sent(one)
    assert {each.message_type for each in asked} == {MessageType.PRE_VOTE} and one.term == 0
    one.receive(0, Message(MessageType.PRE_VOTE_RESPONSE, 1, 2, 1, granted=True))
    assert one.term == 1 and {each.message_type for each in sent(one)} == {MessageType.VOTE}


def test_a_leader_that_hears_no_majority_gives_up_and_says_what_it_does_not_know():
    one = leader()
    one.propose(0, "ticket", b"x")
    one.on_timer(TIMES.election_timeout_us + 1)
    assert one.role is Role.FOLLOWER
    refused = pull(one, [ActionType.REJECT])
    assert [(each.context, each.reason) for each in refused] == [("ticket", RejectReason.LEADERSHIP_LOST)]


def test_an_entry_is_committed_by_a_majority_of_disks_and_comes_back_with_its_ticket():
    one = leader()
    pull(one)
    one.propose(0, "ticket", b"x")
    pull(one)
    assert one.commit_index == 0
    ack(one, 3, 2)
    applied = pull(one, [ActionType.APPLY])
    assert [(each.index, each.context) for each in applied] == [(1, None), (2, "ticket")]


def test_a_ticket_of_a_committed_entry_survives_the_leadership():
    one = leader()
    one.propose(0, "ticket", b"x")
    pull(one)
    ack(one, 3, 2)
    one.receive(0, Message(MessageType.APPEND, 7, 2, 1))
    assert [each.context for each in pull(one, [ActionType.APPLY])] == [None, "ticket"]


def test_reads_wait_for_a_round_that_began_after_them():
    one = leader()
    pull(one)
    one.read(0, "early")
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.LEADER_NOT_READY
    ack(one, 2, 1)
    pull(one)
    one.read(0, "first")
    one.read(0, "second")
    assert pull(one, [ActionType.SERVE_READ]) == []
    ack(one, 2, 1, read_round=1)
    assert [each.context for each in pull(one, [ActionType.SERVE_READ])] == ["first"]
    ack(one, 3, 1, read_round=2)
    assert [(each.context, each.index) for each in pull(one, [ActionType.SERVE_READ])] == [("second", 1)]


def test_leadership_is_handed_over_once_the_heir_has_all():
    one = leader()
    pull(one)
    ack(one, 2, 1)
    one.propose(0, "t", b"x")
    assert (
        one.transfer_leadership(0, 2)
        and not one.transfer_leadership(0, 3)
        and not voter().transfer_leadership(0, 2)
    )
    assert not [each for each in sent(one) if each.message_type == MessageType.TIMEOUT_NOW]
    one.propose(0, "late", b"y")
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.TRANSFER_IN_PROGRESS
    ack(one, 2, 2)
    assert [each.recipient for each in sent(one) if each.message_type == MessageType.TIMEOUT_NOW] == [2]
    heir = voter(2, entries=one.log.entries, term=1)
    heir.receive(0, Message(MessageType.APPEND, 1, 1, 2, index=2, log_term=1))
    heir.receive(0, Message(MessageType.TIMEOUT_NOW, 1, 1, 2))
    assert heir.role is Role.CANDIDATE and all(
        each.is_transfer for each in sent(heir) if each.message_type == MessageType.VOTE
    )


def test_a_transfer_that_comes_to_nothing_is_given_up():
    one = leader()
    pull(one)
    assert one.transfer_leadership(0, 2)
    for seat in (2, 3):
        ack(one, seat, 0, now=TIMES.transfer_timeout_us)
    one.on_timer(TIMES.transfer_timeout_us)
    one.propose(TIMES.transfer_timeout_us, "t", b"x")
    assert pull(one, [ActionType.REJECT]) == []


def test_members_change_by_one_step_and_one_at_a_time():
    one = leader()
    pull(one)
    one.change_configuration(0, "soon", with_member(GROUP, MEMBERS[3]))
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.LEADER_NOT_READY
    ack(one, 2, 1)
    pull(one)
    learner = Member(4, "v4", "h", 4, is_voter=False)
    one.change_configuration(0, "learner", with_member(GROUP, learner))
    one.change_configuration(0, "more", with_member(GROUP, MEMBERS[4]))
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.CHANGE_IN_PROGRESS
    assert 4 in one.leader_state.progress and one.voters == {1, 2, 3}
    ack(one, 2, 2)
    pull(one)
    one.change_configuration(0, "never heard", with_member(one.log.configuration, MEMBERS[3]))
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.LEARNER_BEHIND
    ack(one, 4, 1)
    one.change_configuration(0, "votes", with_member(one.log.configuration, MEMBERS[3]))
    pull(one)
    assert one.voters == {1, 2, 3, 4}


def test_who_fails_to_be_elected_draws_from_a_longer_span_each_time():
    one = voter()
    spans = []
    for _ in range(6):
        now = one.deadline()
        one.on_timer(now)
        spans.append(TIMES.election_timeout_us + (TIMES.election_jitter_us << min(one.failed_campaigns, 3)))
        assert one.deadline() - now <= spans[-1]
    assert spans[:4] == [TIMES.election_timeout_us + TIMES.election_jitter_us * n for n in (2, 4, 8, 8)]
    one.receive(now, Message(MessageType.APPEND, 9, 2, 1))
    assert one.failed_campaigns == 0


def test_a_learner_that_lacks_much_is_not_made_a_voter_yet():
    one = leader()
    for _ in range(400):
        one.propose(0, None, b"x")
    pull(one)
    ack(one, 2, 401)
    pull(one)
    one.change_configuration(0, None, with_member(GROUP, Member(4, "v4", "h", 4, is_voter=False)))
    pull(one)
    ack(one, 2, 402)
    one.change_configuration(0, "t", with_member(one.log.configuration, MEMBERS[3]))
    assert pull(one, [ActionType.REJECT])[0].reason is RejectReason.LEARNER_BEHIND
    ack(one, 4, 300)
    one.change_configuration(0, "t", with_member(one.log.configuration, MEMBERS[3]))
    assert pull(one, [ActionType.REJECT]) == [] and 4 in one.voters


def test_a_leader_that_is_removed_commits_its_going_and_leads_no_more():
    one = leader()
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change_configuration(0, "gone", without_member(GROUP, 1))
    pull(one)
    ack(one, 2, 2)
    assert one.role is Role.LEADER  # of 2 and 3 only one has it
    ack(one, 3, 2)
    assert one.role is Role.FOLLOWER
    assert [each.context for each in pull(one, [ActionType.APPLY])] == ["gone"]
    one.on_timer(one.deadline())
    assert sent(one) == []


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        (3, 4, None),
        (3, 5, RejectReason.INVALID_REQUEST),
        (2, 1, None),
        (1, 0, RejectReason.LAST_VOTER),
        (4, 3, None),
    ],
)
def test_steps_that_may_be_made(old, new, why):
    assert change_rejection(Configuration(tuple(MEMBERS[:old])), Configuration(tuple(MEMBERS[:new]))) is why


def test_the_last_but_one_goes_and_the_last_one_goes_on_alone():
    pair = Configuration(tuple(MEMBERS[:2]))
    one = leader(pair)
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change_configuration(0, "gone", without_member(pair, 2))
    assert [each.context for each in pull(one, [ActionType.APPLY])] == ["gone"]
    one.propose(0, "alone", b"x")
    assert [each.context for each in pull(one, [ActionType.APPLY])] == ["alone"]


def test_one_whose_removal_is_not_committed_may_stand_and_does_not_count_itself():
    pair = Configuration(tuple(MEMBERS[:2]))
    one = leader(pair)
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change_configuration(
        0, "gone", without_member(pair, 1)
    )  # 2 goes down before it has this, and comes back asking for votes
    pull(one)
    one.on_timer(TIMES.election_timeout_us + 1)
    one.receive(TIMES.election_timeout_us * 9, Message(MessageType.PRE_VOTE, 2, 2, 1, index=1, log_term=1))
    assert not any(each.granted for each in sent(one))
    one.on_timer(TIMES.election_timeout_us * 9)
    asked = sent(one)
    assert [(each.message_type, each.recipient) for each in asked] == [(MessageType.PRE_VOTE, 2)]
    one.receive(TIMES.election_timeout_us * 9, Message(MessageType.PRE_VOTE_RESPONSE, 2, 2, 1, granted=True))
    one.receive(TIMES.election_timeout_us * 9, Message(MessageType.VOTE_RESPONSE, 2, 2, 1, granted=True))
    assert one.role is Role.LEADER
    pull(one)
    ack(one, 2, 3, now=TIMES.election_timeout_us * 9)
    assert one.role is Role.FOLLOWER and not one.can_campaign()


def test_a_disk_that_failed_ends_all_that_is_said():
    one = leader()
    one.propose(0, "t", b"x")
    one.on_disk_failed("EIO")
    acts = [each.action_type for each in pull(one)]
    assert acts == [ActionType.REJECT, ActionType.HALT]
    one.receive(0, Message(MessageType.VOTE, 9, 2, 1))
    one.propose(0, "late", b"y")
    assert [each.action_type for each in pull(one)] == [ActionType.REJECT]


def test_another_entry_in_place_of_a_committed_one_makes_it_leave():
    one = voter(2, entries=[Entry(1, EntryType.NO_OP)], term=1)
    one.receive(0, Message(MessageType.APPEND, 1, 1, 2, index=1, log_term=1, commit=1))
    pull(one)
    one.receive(0, Message(MessageType.APPEND, 2, 3, 2, entries=(Entry(2, EntryType.NO_OP),)))
    assert "a disk has lost" in pull(one, [ActionType.HALT])[0].reason


def test_a_snapshot_comes_in_pieces_over_and_out_of_turn():
    one = voter(2, Configuration(()))
    pieces = [
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
            configuration=GROUP if at == 0 else None,
        )
        for at, data in ((0, b"abc"), (3, b"def"))
    ]
    for each in (pieces[1], pieces[0], pieces[0], pieces[1]):
        one.receive(0, each)
    decisions = pull(one)
    taken = [each.message for each in decisions if each.action_type is ActionType.SEND]
    assert [each.offset for each in taken if each.message_type == MessageType.SNAPSHOT_RESPONSE] == [0, 3, 3]
    restored = [each.snapshot for each in decisions if each.action_type is ActionType.RESTORE_SNAPSHOT]
    assert [each.data for each in restored] == [b"abcdef"]
    assert one.commit_index == 10 and one.voters == {1, 2, 3}


def test_a_follower_is_sent_what_it_lacks_and_no_more_than_it_may_have_unanswered():
    entries = RaftLog(Snapshot(0, 0, GROUP, b""), [Entry(1, EntryType.COMMAND, b"x" * 300_000)] * 40)
    progress, word = Progress(41, 0), Message(MessageType.APPEND, 1, 1, 2)
    assert progress.next_message(entries, word).index == 40 and progress.next_message(entries, word) is None
    progress.on_rejected(40, 3)
    assert progress.next_message(entries, word).index == 3
    progress.on_accepted(4)
    ahead = []
    while (message := progress.next_message(entries, word)) is not None:
        ahead.append(message.index)
    assert ahead == list(range(4, 4 + MAX_INFLIGHT_MESSAGES))
    progress.on_heartbeat()
    progress.on_heartbeat()
    assert progress.is_probing and progress.next_index == 5


def test_a_follower_with_a_slow_disk_is_not_sent_the_same_piece_over_and_over():
    entries = RaftLog(Snapshot(77, 1, GROUP, b"state"))
    progress, word = Progress(71, 0), Message(MessageType.APPEND, 1, 1, 2)
    progress.match_index = 70
    assert progress.next_message(entries, word).message_type == MessageType.SNAPSHOT
    progress.on_accepted(70)  # it has committed more, and flushed no more
    assert progress.next_message(entries, word) is None
    progress.on_heartbeat()
    assert progress.next_message(entries, word).message_type == MessageType.SNAPSHOT
    progress.on_accepted(77)
    assert progress.next_message(entries, word) is None


def test_majorities():
    three = frozenset([1, 2, 3])
    assert has_majority(three, [1, 3]) and not has_majority(three, [1, 9, 8])
    assert quorum_value(three, {1: 5, 2: 9, 3: 7}.get) == 7
    assert quorum_value(frozenset([1, 2, 3, 4]), {1: 5, 2: 9, 3: 7, 4: 1}.get) == 5
