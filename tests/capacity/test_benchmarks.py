"""The measurements go through at small sizes and give a file of the right form; their figures say nothing."""

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


def test_every_line_has_four_sizes_and_its_run(tmp_path):
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


def test_another_run_leaves_what_the_file_has(tmp_path):
    first = measured(tmp_path, "owners", "group changes")
    second = measured(tmp_path, "owners")
    assert [each.name for each in second.runs] == [each.name for each in first.runs]
    assert second.line("voter.change_bytes") == first.line("voter.change_bytes")
    assert list(ROLES).index("group changes") < list(ROLES).index("owners")


def test_counted_figures_are_the_same_each_time():
    one, other = (group.changes(Effort(quick=True)) for _ in range(2))
    assert one == other
    sizes = [each.value for each in one[0].points]
    assert sizes == sorted(sizes) and sizes[0] > 8 * 40  # each member's name and address is in each entry


def test_a_group_in_one_process_commits_what_it_is_told():
    made = group.Together(learners=4, seed=1)
    for number in range(10):
        made.write(number)
    for _ in range(9):  # a learner hears at each eighth beat what is committed
        made.beat()
    applied = {each.applied for each in made.states.values()}
    assert len(applied) == 1 and applied.pop() >= 10
    assert made.timed[True].calls and made.timed[False].calls


def test_renewals_are_taken_by_the_pool():
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


def test_values_come_in_the_order_of_their_sizes():
    lines = Lines("run")
    lines.kind("a", "things", "ms")
    for size, value in ((20, 2.0), (10, 1.0), (20, 4.0)):
        lines.add("a", size, value)
    (made,) = lines.made()
    assert [(each.size, each.values) for each in made.points] == [(10, [1.0]), (20, [2.0, 4.0])]


def test_another_machines_file_is_left_alone(tmp_path):
    into = tmp_path / "slopes.json"
    measured(tmp_path, "owners")
    into.write_bytes(into.read_bytes().replace(b'"quick": true', b'"quick": false'))
    ran = CliRunner().invoke(main, ["--only", "owners", "--quick", "--json", str(into)])
    assert ran.exit_code != 0
    with pytest.raises(AssertionError):
        assert decode(into.read_bytes()).quick
