"""The capacity benchmarks run at small sizes and write a valid file; the values themselves mean nothing."""

import random
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from benchmarks.capacity import Effort, Lines, group, state  # noqa: E402
from benchmarks.capacity.__main__ import ROLES, main  # noqa: E402
from lichencleat.capacity.slopes import decode  # noqa: E402

IN_PROCESS = ["members", "learners", "group changes", "shares", "facts", "file", "owners", "judge", "revive"]
IN_PROCESS += ["return", "collector", "senders"]


def measured(tmp_path, *names):
    into = tmp_path / "slopes.json"
    words = [word for name in names for word in ("--only", name)]
    ran = CliRunner().invoke(main, [*words, "--quick", "--json", str(into)], catch_exceptions=False)
    assert ran.exit_code == 0, ran.output
    return decode(into.read_bytes())


def test_every_line_has_at_least_four_sizes_and_a_run(tmp_path):
    found = measured(tmp_path, *IN_PROCESS)
    assert found.quick and [each.name for each in found.runs] == IN_PROCESS
    for each in found.lines:
        assert len(each.points) >= 4, each.name
        assert all(len(point.values) >= 1 for point in each.points)
    assert {each.run for each in found.lines} == set(IN_PROCESS)
    assert all(each.simulated for each in found.lines if each.run in ("members", "return"))


def test_the_real_program_is_measured(tmp_path):
    found = measured(tmp_path, "connections")
    assert [each.size for each in found.lines[0].points] == [10, 20, 30, 40]


def test_a_second_run_keeps_the_other_lines_of_the_file(tmp_path):
    first = measured(tmp_path, "owners", "group changes")
    second = measured(tmp_path, "owners")
    assert [each.name for each in second.runs] == [each.name for each in first.runs]
    assert second.line("voter.change_bytes") == first.line("voter.change_bytes")
    assert list(ROLES).index("group changes") < list(ROLES).index("owners")


def test_counted_values_are_deterministic():
    one, other = (group.changes(Effort(quick=True)) for _ in range(2))
    assert one == other
    sizes = [each.value for each in one[0].points]
    assert sizes == sorted(sizes) and sizes[0] > 8 * 40  # each entry has the name and address of each member


def test_a_group_in_one_process_commits_all_writes():
    made = group.Together(learners=4, seed=1)
    for number in range(10):
        made.write(number)
    for _ in range(9):  # a learner learns the commit index at every eighth heartbeat
        made.beat()
    applied = {each.applied for each in made.states.values()}
    assert len(applied) == 1 and applied.pop() >= 10
    assert made.timed[True].calls and made.timed[False].calls


def test_the_pool_accepts_renewals():
    _, pools = state.dealt(16, random.Random(1))
    before = pools.pools[state.POOL].node_quotas["node-00003"].request_number
    seat = pools.pools[state.POOL].node_quotas["node-00003"]
    ask = state.QuotaRequest(
        state.POOL,
        "node-00003",
        seat.incarnation,
        before + 1,
        state.FLOOR,
        state.DEFAULT_TERM_US,
        seat.reserved,
        30,
    )
    assert not pools.apply(1, state.raw(ask)).rejection
    assert seat.request_number == before + 1


def test_points_are_ordered_by_size():
    lines = Lines("run")
    lines.kind("a", "things", "ms")
    for size, value in ((20, 2.0), (10, 1.0), (20, 4.0)):
        lines.add("a", size, value)
    (made,) = lines.made()
    assert [(each.size, each.values) for each in made.points] == [(10, [1.0]), (20, [2.0, 4.0])]


def test_a_file_of_another_machine_or_effort_is_not_overwritten(tmp_path):
    into = tmp_path / "slopes.json"
    measured(tmp_path, "owners")
    into.write_bytes(into.read_bytes().replace(b'"quick": true', b'"quick": false'))
    ran = CliRunner().invoke(main, ["--only", "owners", "--quick", "--json", str(into)])
    assert ran.exit_code != 0
    with pytest.raises(AssertionError):
        assert decode(into.read_bytes()).quick
