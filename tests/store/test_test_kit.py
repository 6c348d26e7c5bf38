"""The store's test kit: the history checker, and the faulty disk's choices after a power cut."""

from lichencleat.testkit.checkers.store_history import History
from lichencleat.testkit.faulty_disk import every_choice


def test_history_check_reports_every_violation():
    history = History()
    history.record_request([(b"a", b"1", 0), (b"b", b"1", 0)])
    history.record_confirmation()
    history.record_request([(b"a", b"2", 0), (b"b", b"2", 0)])
    assert history.check({b"a": b"1", b"b": b"1"}, 0) is None
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is None
    assert "half" in history.check({b"a": b"2", b"b": b"1"}, 0)
    assert "b'b'" in history.check({b"a": b"1"}, 0)
    assert "never" in history.check({b"a": b"1", b"b": b"1", b"c": b"never"}, 0)
    history.record_failure()
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is None
    history.record_request([])
    history.record_confirmation()
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is not None


def test_every_choice_yields_each_path_once():
    paths = []
    for choose in every_choice(100):
        first = choose(2)
        paths.append((first, choose(3) if first else None))
    assert paths == [(0, None), (1, 0), (1, 1), (1, 2)]
