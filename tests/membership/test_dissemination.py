"""The dissemination queue, driven by direct calls."""

from membership.updates import update

from lichencleat.membership.dissemination import DisseminationQueue, retransmit_limit


def test_dissemination_sends_each_update_a_bounded_number_of_times():
    queue = DisseminationQueue()
    for number in range(100):
        queue.enqueue(update(f"n{number}"))
    sent = [each.name for _ in range(200) for each in queue.take(500, 3)]
    assert sorted(sent) == sorted(f"n{n}" for n in range(100) for _ in range(3))
    assert queue.take(500, 3) == () and retransmit_limit(300, 3) < 30
    queue.enqueue(update("z"))
    queue.enqueue(update("y"))
    assert queue.take(70, 3, first="y")[0].name == "y"
