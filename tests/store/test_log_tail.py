"""Log tail: which frames at the end of the log are proved to be flushed."""

from lichencleat.store import framing
from lichencleat.store.log_tail import LogTail


def test_log_tail_proves_what_was_flushed_before_a_frame_was_written():
    tail = LogTail(first_sequence=10, flushed_through=9, data_start=100)
    assert tail.accept(100, 10, 10, framing.PUT, 1, 0)
    assert tail.accept(110, 10, 11, framing.PUT, 2, 0)
    assert (tail.proved_sequence, tail.proved_end, len(tail.unproved_frames)) == (9, 100, 2)
    assert tail.accept(120, 10, 12, framing.BATCH_PUT, 1, 0)
    assert (tail.proved_sequence, tail.proved_end) == (11, 120)
    assert tail.unproved_records() == []  # the batch has no commit record yet
    assert tail.accept(130, 10, 13, framing.COMMIT, 2, 1)
    assert tail.unproved_records() == [(120, 10), (130, 10)]
    assert not tail.accept(140, 10, 15, framing.PUT, 1, 0)  # sequence 14 is missing
    assert tail.is_loss_proved_by(20, 6) and not tail.is_loss_proved_by(20, 7)
