"""One voter, driven by hand: what it writes, says and refuses."""

import random

import pytest

from lichencleat.consensus.entries import Entries
from lichencleat.consensus.following import AHEAD_MOST, Progress
from lichencleat.consensus.group import agreed, changed, has_majority, objection, without
from lichencleat.consensus.member import Role
from lichencleat.consensus.terms import (
    Act,
    Durable,
    Entry,
    Group,
    Kind,
    Member,
    Message,
    Reason,
    Snapshot,
    Times,
    What,
)
from lichencleat.consensus.voter import Voter

TIMES = Times()
MEMBERS = [Member(seat, f"v{seat}", "h", seat) for seat in range(1, 6)]
GROUP = Group(tuple(MEMBERS[:3]))


def voter(seat=1, group=GROUP, entries=(), term=0, vote=0):
    return Voter(
        seat, Durable(term, vote, Snapshot(0, 0, group, b""), list(entries)), TIMES, random.Random(1), 0
    )


def pull(one, acts=None):
    """All decisions; what is to be saved is confirmed at once."""
    found = []
    while (decision := one.next_decision()) is not None:
        found.append(decision)
        if decision.act is Act.SAVE:
            one.saved(0, decision.save.number)
    return [each for each in found if acts is None or each.act in acts]


def sent(one):
    return [each.message for each in pull(one, [Act.SEND])]


def leader(group=GROUP, now=0):
    one = voter(group=group)
    one.stand(now, False)
    pull(one)
    for seat in sorted(group.voters() - {1}):
        one.hears(now, Message(Kind.VOTED, 1, seat, 1, granted=True))
    return one


def ack(one, seat, index, now=0, **more):
    one.hears(now, Message(Kind.APPENDED, one.term, seat, 1, index=index, granted=True, **more))


def test_a_vote_is_said_only_once_it_is_saved():
    one = voter(2)
    one.hears(0, Message(Kind.VOTE, 1, 1, 2))
    decision = one.next_decision()
    assert decision.act is Act.SAVE and (decision.save.term, decision.save.vote) == (1, 1)
    assert one.next_decision() is None
    one.saved(0, decision.save.number)
    assert [each.granted for each in sent(one)] == [True]
    one.hears(0, Message(Kind.VOTE, 1, 3, 2))
    assert [each.granted for each in sent(one)] == [False]


def test_a_follower_says_only_what_is_flushed_and_says_the_rest_later():
    one = voter(2)
    one.hears(0, Message(Kind.APPEND, 1, 1, 2, entries=(Entry(1, What.COMMAND, b"a"),)))
    first = one.next_decision().save
    one.saved(0, first.number)
    assert [each.index for each in sent(one)] == [0, 1]
    one.hears(0, Message(Kind.APPEND, 1, 1, 2, index=1, past=1, entries=(Entry(1, What.COMMAND, b"b"),)))
    second = one.next_decision()
    assert second.act is Act.SAVE
    assert [(each.index, each.granted) for each in sent(one)] == [(1, True)]
    one.saved(0, second.save.number)
    assert [(each.index, each.granted) for each in sent(one)] == [(2, True)]


def test_nobody_stands_while_a_leader_is_heard_and_a_newcomer_disturbs_no_group():
    one = voter(2)
    one.hears(0, Message(Kind.APPEND, 4, 1, 2))
    sent(one)
    one.hears(TIMES.election - 1, Message(Kind.VOTE, 9, 3, 2, index=9, past=9))
    one.hears(TIMES.election - 1, Message(Kind.WOULD_YOU, 9, 3, 2, index=9, past=9))
    assert one.term == 4 and sent(one) == []
    one.hears(TIMES.election - 1, Message(Kind.VOTE, 5, 3, 2, index=9, past=9, forced=True))
    assert one.term == 5 and sent(one)[0].granted


def test_an_election_is_sounded_out_before_any_term_is_taken():
    one = voter()
    one.wakes(one.deadline())
    asked = sent(one)
    assert {each.kind for each in asked} == {Kind.WOULD_YOU} and one.term == 0
    one.hears(0, Message(Kind.WOULD, 1, 2, 1, granted=True))
    assert one.term == 1 and {each.kind for each in sent(one)} == {Kind.VOTE}


def test_a_leader_that_hears_no_majority_gives_up_and_says_what_it_does_not_know():
    one = leader()
    one.propose(0, "ticket", b"x")
    one.wakes(TIMES.election + 1)
    assert one.role is Role.FOLLOWER
    refused = pull(one, [Act.REFUSE])
    assert [(each.ticket, each.reason) for each in refused] == [("ticket", Reason.LOST)]


def test_an_entry_is_committed_by_a_majority_of_disks_and_comes_back_with_its_ticket():
    one = leader()
    pull(one)
    one.propose(0, "ticket", b"x")
    pull(one)
    assert one.commit == 0
    ack(one, 3, 2)
    applied = pull(one, [Act.APPLY])
    assert [(each.index, each.ticket) for each in applied] == [(1, None), (2, "ticket")]


def test_a_ticket_of_a_committed_entry_survives_the_leadership():
    one = leader()
    one.propose(0, "ticket", b"x")
    pull(one)
    ack(one, 3, 2)
    one.hears(0, Message(Kind.APPEND, 7, 2, 1))
    assert [each.ticket for each in pull(one, [Act.APPLY])] == [None, "ticket"]


def test_reads_wait_for_a_round_that_began_after_them():
    one = leader()
    pull(one)
    one.read(0, "early")
    assert pull(one, [Act.REFUSE])[0].reason is Reason.TOO_EARLY
    ack(one, 2, 1)
    pull(one)
    one.read(0, "first")
    one.read(0, "second")
    assert pull(one, [Act.READ]) == []
    ack(one, 2, 1, round=1)
    assert [each.ticket for each in pull(one, [Act.READ])] == ["first"]
    ack(one, 3, 1, round=2)
    assert [(each.ticket, each.index) for each in pull(one, [Act.READ])] == [("second", 1)]


def test_leadership_is_handed_over_once_the_heir_has_all():
    one = leader()
    pull(one)
    ack(one, 2, 1)
    one.propose(0, "t", b"x")
    assert one.transfer(0, 2) and not one.transfer(0, 3) and not voter().transfer(0, 2)
    assert not [each for each in sent(one) if each.kind == Kind.LEAD]
    one.propose(0, "late", b"y")
    assert pull(one, [Act.REFUSE])[0].reason is Reason.MOVING
    ack(one, 2, 2)
    assert [each.to for each in sent(one) if each.kind == Kind.LEAD] == [2]
    heir = voter(2, entries=one.entries.held, term=1)
    heir.hears(0, Message(Kind.APPEND, 1, 1, 2, index=2, past=1))
    heir.hears(0, Message(Kind.LEAD, 1, 1, 2))
    assert heir.role is Role.STANDING and all(each.forced for each in sent(heir) if each.kind == Kind.VOTE)


def test_a_transfer_that_comes_to_nothing_is_given_up():
    one = leader()
    pull(one)
    assert one.transfer(0, 2)
    for seat in (2, 3):
        ack(one, seat, 0, now=TIMES.transfer)
    one.wakes(TIMES.transfer)
    one.propose(TIMES.transfer, "t", b"x")
    assert pull(one, [Act.REFUSE]) == []


def test_members_change_by_one_step_and_one_at_a_time():
    one = leader()
    pull(one)
    one.change(0, "soon", changed(GROUP, MEMBERS[3]))
    assert pull(one, [Act.REFUSE])[0].reason is Reason.TOO_EARLY
    ack(one, 2, 1)
    pull(one)
    learner = Member(4, "v4", "h", 4, votes=False)
    one.change(0, "learner", changed(GROUP, learner))
    one.change(0, "more", changed(GROUP, MEMBERS[4]))
    assert pull(one, [Act.REFUSE])[0].reason is Reason.CHANGING
    assert 4 in one.lead.progress and one.voters == {1, 2, 3}
    ack(one, 2, 2)
    pull(one)
    one.change(0, "never heard", changed(one.entries.group, MEMBERS[3]))
    assert pull(one, [Act.REFUSE])[0].reason is Reason.BEHIND
    ack(one, 4, 1)
    one.change(0, "votes", changed(one.entries.group, MEMBERS[3]))
    pull(one)
    assert one.voters == {1, 2, 3, 4}


def test_who_fails_to_be_elected_draws_from_a_longer_span_each_time():
    one = voter()
    spans = []
    for _ in range(6):
        now = one.deadline()
        one.wakes(now)
        spans.append(TIMES.election + (TIMES.spread << min(one.failed, 3)))
        assert one.deadline() - now <= spans[-1]
    assert spans[:4] == [TIMES.election + TIMES.spread * n for n in (2, 4, 8, 8)]
    one.hears(now, Message(Kind.APPEND, 9, 2, 1))
    assert one.failed == 0


def test_a_learner_that_lacks_much_is_not_made_a_voter_yet():
    one = leader()
    for _ in range(400):
        one.propose(0, None, b"x")
    pull(one)
    ack(one, 2, 401)
    pull(one)
    one.change(0, None, changed(GROUP, Member(4, "v4", "h", 4, votes=False)))
    pull(one)
    ack(one, 2, 402)
    one.change(0, "t", changed(one.entries.group, MEMBERS[3]))
    assert pull(one, [Act.REFUSE])[0].reason is Reason.BEHIND
    ack(one, 4, 300)
    one.change(0, "t", changed(one.entries.group, MEMBERS[3]))
    assert pull(one, [Act.REFUSE]) == [] and 4 in one.voters


def test_a_leader_that_is_removed_commits_its_going_and_leads_no_more():
    one = leader()
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change(0, "gone", without(GROUP, 1))
    pull(one)
    ack(one, 2, 2)
    assert one.role is Role.LEADER  # of 2 and 3 only one has it
    ack(one, 3, 2)
    assert one.role is Role.FOLLOWER
    assert [each.ticket for each in pull(one, [Act.APPLY])] == ["gone"]
    one.wakes(one.deadline())
    assert sent(one) == []


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        (3, 4, None),
        (3, 5, Reason.UNFIT),
        (2, 1, None),
        (1, 0, Reason.LAST),
        (4, 3, None),
    ],
)
def test_steps_that_may_be_made(old, new, why):
    assert objection(Group(tuple(MEMBERS[:old])), Group(tuple(MEMBERS[:new]))) is why


def test_the_last_but_one_goes_and_the_last_one_goes_on_alone():
    pair = Group(tuple(MEMBERS[:2]))
    one = leader(pair)
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change(0, "gone", without(pair, 2))
    assert [each.ticket for each in pull(one, [Act.APPLY])] == ["gone"]
    one.propose(0, "alone", b"x")
    assert [each.ticket for each in pull(one, [Act.APPLY])] == ["alone"]


def test_one_whose_removal_is_not_committed_may_stand_and_does_not_count_itself():
    pair = Group(tuple(MEMBERS[:2]))
    one = leader(pair)
    pull(one)
    ack(one, 2, 1)
    pull(one)
    one.change(0, "gone", without(pair, 1))  # 2 goes down before it has this, and comes back asking for votes
    pull(one)
    one.wakes(TIMES.election + 1)
    one.hears(TIMES.election * 9, Message(Kind.WOULD_YOU, 2, 2, 1, index=1, past=1))
    assert not any(each.granted for each in sent(one))
    one.wakes(TIMES.election * 9)
    asked = sent(one)
    assert [(each.kind, each.to) for each in asked] == [(Kind.WOULD_YOU, 2)]
    one.hears(TIMES.election * 9, Message(Kind.WOULD, 2, 2, 1, granted=True))
    one.hears(TIMES.election * 9, Message(Kind.VOTED, 2, 2, 1, granted=True))
    assert one.role is Role.LEADER
    pull(one)
    ack(one, 2, 3, now=TIMES.election * 9)
    assert one.role is Role.FOLLOWER and not one.may_stand()


def test_a_disk_that_failed_ends_all_that_is_said():
    one = leader()
    one.propose(0, "t", b"x")
    one.disk_failed("EIO")
    acts = [each.act for each in pull(one)]
    assert acts == [Act.REFUSE, Act.LEAVE]
    one.hears(0, Message(Kind.VOTE, 9, 2, 1))
    one.propose(0, "late", b"y")
    assert [each.act for each in pull(one)] == [Act.REFUSE]


def test_another_entry_in_place_of_a_committed_one_makes_it_leave():
    one = voter(2, entries=[Entry(1, What.NOTHING)], term=1)
    one.hears(0, Message(Kind.APPEND, 1, 1, 2, index=1, past=1, commit=1))
    pull(one)
    one.hears(0, Message(Kind.APPEND, 2, 3, 2, entries=(Entry(2, What.NOTHING),)))
    assert "a disk has lost" in pull(one, [Act.LEAVE])[0].reason


def test_a_snapshot_comes_in_pieces_over_and_out_of_turn():
    one = voter(2, Group(()))
    pieces = [
        Message(Kind.SNAPSHOT, 3, 1, 2, 10, 2, offset=at, size=6, data=data, group=GROUP if at == 0 else None)
        for at, data in ((0, b"abc"), (3, b"def"))
    ]
    for each in (pieces[1], pieces[0], pieces[0], pieces[1]):
        one.hears(0, each)
    decisions = pull(one)
    taken = [each.message for each in decisions if each.act is Act.SEND]
    assert [each.offset for each in taken if each.kind == Kind.TAKEN] == [0, 3, 3]
    restored = [each.snapshot for each in decisions if each.act is Act.RESTORE]
    assert [each.data for each in restored] == [b"abcdef"]
    assert one.commit == 10 and one.voters == {1, 2, 3}


def test_a_follower_is_sent_what_it_lacks_and_no_more_than_it_may_have_unanswered():
    entries = Entries(Snapshot(0, 0, GROUP, b""), [Entry(1, What.COMMAND, b"x" * 300_000)] * 40)
    progress, word = Progress(41, 0), Message(Kind.APPEND, 1, 1, 2)
    assert progress.next_message(entries, word).index == 40 and progress.next_message(entries, word) is None
    progress.refused(40, 3)
    assert progress.next_message(entries, word).index == 3
    progress.agreed(4)
    ahead = []
    while (message := progress.next_message(entries, word)) is not None:
        ahead.append(message.index)
    assert ahead == list(range(4, 4 + AHEAD_MOST))
    progress.beat()
    progress.beat()
    assert progress.probing and progress.next == 5


def test_a_follower_with_a_slow_disk_is_not_sent_the_same_piece_over_and_over():
    entries = Entries(Snapshot(77, 1, GROUP, b"state"))
    progress, word = Progress(71, 0), Message(Kind.APPEND, 1, 1, 2)
    progress.match = 70
    assert progress.next_message(entries, word).kind == Kind.SNAPSHOT
    progress.agreed(70)  # it has committed more, and flushed no more
    assert progress.next_message(entries, word) is None
    progress.beat()
    assert progress.next_message(entries, word).kind == Kind.SNAPSHOT
    progress.agreed(77)
    assert progress.next_message(entries, word) is None


def test_majorities():
    three = frozenset([1, 2, 3])
    assert has_majority(three, [1, 3]) and not has_majority(three, [1, 9, 8])
    assert agreed(three, {1: 5, 2: 9, 3: 7}.get) == 7
    assert agreed(frozenset([1, 2, 3, 4]), {1: 5, 2: 9, 3: 7, 4: 1}.get) == 5
