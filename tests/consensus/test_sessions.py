"""Client sessions: a proposal is applied once."""

from lichencleat.consensus.sessions import SessionOutcome, SessionTable


def test_repeated_proposal_returns_the_first_result():
    sessions, applied = SessionTable(), []
    sessions.open(5)

    def apply(number):
        return sessions.apply_once(9, 5, number, lambda: applied.append(number) or b"r%d" % number)

    assert apply(1) == apply(1) == (SessionOutcome.DONE, b"r1")
    assert apply(3) == (SessionOutcome.GAP, b"")
    assert apply(2) == (SessionOutcome.DONE, b"r2") and apply(1) == (SessionOutcome.PAST, b"")
    assert applied == [1, 2]
    assert sessions.apply_once(9, 6, 1, lambda: b"") == (SessionOutcome.UNKNOWN_SESSION, b"")


def test_least_recently_used_session_is_evicted_also_after_a_dump():
    sessions = SessionTable(max_sessions=2)
    sessions.open(1)
    sessions.open(2)
    sessions.apply_once(3, 1, 1, lambda: b"x")
    again = SessionTable(max_sessions=2)
    again.load(sessions.dump())
    for each in (sessions, again):
        each.open(4)
        assert list(each.records) == [1, 4]
