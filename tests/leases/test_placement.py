"""Which candidate gets a job, and which job moves."""

import pytest

from lichencleat.leases.messages import (
    Candidate,
    Job,
)
from lichencleat.leases.placement import choose_holder, find_relocation


def candidates(**zones):
    return {name: Candidate(zone.strip("!"), "!" not in zone, 1, 1) for name, zone in zones.items()}


@pytest.mark.parametrize(
    ("job", "zones", "chosen"),
    [
        (Job(preferred_zone="y"), {"a": "x", "b": "y"}, "b"),
        (Job(preferred_zone="y"), {"a": "x", "b": "y!"}, "a"),
        (Job(preferred_zone="z"), {"a": "x", "b": "y"}, "a"),
        (Job(last_crashed_holder="a"), {"a": "x", "b": "y"}, "b"),
        (Job(last_crashed_holder="a"), {"a": "x"}, "a"),
        (Job(next_holder="b"), {"a": "x", "b": "y"}, "b"),
        (Job(next_holder="b"), {"a": "x", "b": "y!"}, "a"),
        (Job(suspended=True), {"a": "x"}, ""),
        (Job(), {"a": "x!"}, ""),
    ],
)
def test_choose_holder_of_a_free_job(job, zones, chosen):
    assert choose_holder("j", {"j": job}, candidates(**zones)) == chosen


def test_find_relocation_moves_one_job_at_a_time_and_only_to_a_better_holder():
    same_zone = candidates(a="x", b="x")
    jobs = {"1": Job(holder="a"), "2": Job(holder="a"), "3": Job(holder="b")}
    assert find_relocation(jobs, same_zone) is None
    jobs["3"].holder = "a"
    assert find_relocation(jobs, same_zone) == ("1", "b")
    jobs["1"].next_holder = "b"
    assert find_relocation(jobs, same_zone) is None
    assert find_relocation({"1": Job(holder="a")}, candidates(a="x!", b="y")) == ("1", "b")
    assert find_relocation({"1": Job(holder="a", preferred_zone="y")}, candidates(a="x", b="y")) == ("1", "b")
    crashed = Job(holder="a", preferred_zone="y", last_crashed_holder="b")
    assert find_relocation({"1": crashed}, candidates(a="x", b="y")) is None
