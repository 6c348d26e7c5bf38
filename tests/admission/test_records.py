"""Records of the admission controller: which attempt a repeat shares."""

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.records import IdempotencyRecords, find_original
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Effect, NodeSpec, Request, RequestClass, RequestState

SAVE = RequestClass("save", Effect.KEYED, 2_000_000, 6_000_000, window=2_000_000)


def test_a_repeat_takes_the_place_of_all_its_attempts_that_did_not_run():
    """Guards against two runs of a key: one of several attempts still looked free to a second repeat."""
    spec = NodeSpec(request_classes=[SAVE])
    records = IdempotencyRecords(spec, Timing(spec), RequestPools())
    earlier, later = (Request(SAVE, 0, 6_000_000, state=RequestState.ENDED) for _ in range(2))
    first = Request(SAVE, 0, 6_000_000, original=later, other_originals=[earlier])
    second = Request(SAVE, 0, 6_000_000, original=later)
    third = Request(SAVE, 0, 6_000_000, original=earlier)
    original = first.original = find_original(first)
    records.replace(original, first)
    assert find_original(first) is None
    assert find_original(second) is first and find_original(third) is first


def test_a_repeat_shares_the_attempt_that_ran_or_is_not_decided_yet():
    """Guards against a run beside that of an earlier attempt, whatever became of the other attempts."""
    ended, queued = Request(SAVE, 0, 6_000_000, state=RequestState.ENDED), Request(SAVE, 0, 6_000_000)
    ran = Request(SAVE, 0, 6_000_000, state=RequestState.ENDED, started=1)
    for shared in (queued, ran):
        repeat = Request(SAVE, 0, 6_000_000, original=ended, other_originals=[shared])
        repeat.original = find_original(repeat)
        assert repeat.original is shared
        assert repeat.other_originals == [ended]
