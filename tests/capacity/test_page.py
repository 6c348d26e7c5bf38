"""The tables of docs/CAPACITY.md equal those made from the committed slopes; the capacity command and its
errors.
"""

import json
from pathlib import Path

import pytest
from test_slopes import line, slopes

from lichencleat.capacity import page
from lichencleat.capacity.plan import make_plan
from lichencleat.capacity.target import read_slopes, read_target
from lichencleat.cli.main import run

ROOT = Path(__file__).resolve().parents[2]
PAGE, SLOPES, TARGET = (
    ROOT / each for each in ("docs/CAPACITY.md", "docs/slopes.json", "deploy/target.yaml")
)


def tables():
    slopes, target = read_slopes(str(SLOPES)), read_target(str(TARGET))
    return page.tables(make_plan(slopes, target), slopes, target)


def test_the_page_matches_the_committed_slopes():
    text = PAGE.read_text(encoding="utf-8")
    assert page.insert_tables(text, tables()) == text


def test_the_committed_slopes_are_not_from_a_quick_run():
    assert not read_slopes(str(SLOPES)).quick


def test_a_changed_figure_on_the_page_is_detected():
    text = PAGE.read_text(encoding="utf-8")
    row = next(each for each in text.splitlines() if each.startswith("| voter | facts: routes and tenants"))
    changed = text.replace(row, row.replace("65,536", "65,537"))
    assert changed != text
    assert page.insert_tables(changed, tables()) == text


def test_a_table_without_marker_or_a_marker_without_table_is_an_error():
    text = PAGE.read_text(encoding="utf-8")
    with pytest.raises(page.InvalidPageError, match="no marker for order"):
        page.insert_tables(text.replace("<!-- capacity: order -->", ""), tables())
    with pytest.raises(page.InvalidPageError, match="no table 'ordre'"):
        page.insert_tables(text.replace("<!-- capacity: order -->", "<!-- capacity: ordre -->"), tables())


@pytest.mark.parametrize(
    "value, expected",
    [
        (None, "not measured"),
        (0.0, "0"),
        (0.0123456, "0.0123"),
        (65_536.0, "65,536"),
        (123_456_789.0, "123,456,789"),
        (4_096.4, "4,100"),
    ],
)
def test_figures_are_formatted(value, expected):
    assert page.figure(value) == expected


# -- the command -------------------------------------------------------------------------------------------


def test_the_plan_as_a_table_and_as_json(capsys):
    arguments = ["capacity", "plan", "--slopes", str(SLOPES), "--target", str(TARGET)]
    assert run(arguments) == 0
    shown = capsys.readouterr().out
    assert "Budgets and bounds that the target exceeds" in shown and "quorum.facts.FACTS_MOST" in shown
    assert run([*arguments, "--json"]) == 0
    plan = json.loads(capsys.readouterr().out)
    assert {each["role"] for each in plan["rows"]} >= {
        "node",
        "member",
        "voter",
        "relay",
        "dealer",
        "planner",
    }
    assert plan["failing"] == sorted(plan["failing"], key=lambda each: each["share"])


def test_a_smaller_fleet_has_fewer_failures(tmp_path, capsys):
    small = tmp_path / "small.yaml"
    text = TARGET.read_text().replace("nodes: 3300", "nodes: 100").replace("callers: 130000", "callers: 500")
    text = text.replace("requests_per_s: 2200000", "requests_per_s: 66000")
    small.write_text(text.replace("dependency_seats: 3300", "dependency_seats: 100"))
    arguments = ["capacity", "plan", "--slopes", str(SLOPES), "--json"]
    assert run([*arguments, "--target", str(small)]) == 0
    some = json.loads(capsys.readouterr().out)["failing"]
    assert run([*arguments, "--target", str(TARGET)]) == 0
    all_ = json.loads(capsys.readouterr().out)["failing"]
    assert {each["what"] for each in some} < {each["what"] for each in all_}


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("nodes: 3300", "nodes: many", "line 2: nodes"),
        ("zones: 17", "zones: 5", "line 10: zones: 5 in 6 regions"),
        ("  memory_mb: 64", "  memory_gb: 64", "unknown key 'memory_gb'"),
        ("rack: 40", "rack: 0", "rack"),
    ],
)
def test_an_invalid_target_is_reported_with_its_line(tmp_path, capsys, old, new, message):
    wrong = tmp_path / "wrong.yaml"
    text = TARGET.read_text()
    assert old in text
    wrong.write_text(text.replace(old, new))
    assert run(["capacity", "plan", "--slopes", str(SLOPES), "--target", str(wrong)]) == 2
    assert message in capsys.readouterr().err


def test_invalid_slopes_are_reported(tmp_path, capsys):
    wrong = tmp_path / "slopes.json"
    assert run(["capacity", "plan", "--slopes", str(wrong), "--target", str(TARGET)]) == 2
    assert "No such file" in capsys.readouterr().err
    wrong.write_text('{"format": 1}')
    assert run(["capacity", "plan", "--slopes", str(wrong), "--target", str(TARGET)]) == 2
    assert "no file of slopes" in capsys.readouterr().err


def test_the_command_inserts_tables_into_a_page(tmp_path):
    copy = tmp_path / "page.md"
    text = PAGE.read_text(encoding="utf-8")
    copy.write_text(text.replace("**no**", "yes"), encoding="utf-8")
    arguments = ["capacity", "plan", "--slopes", str(SLOPES), "--target", str(TARGET), "--into", str(copy)]
    assert run(arguments) == 0
    assert copy.read_text(encoding="utf-8") == text


def test_lines_that_were_not_measured_are_shown_as_such():
    target = read_target(str(TARGET))
    some = slopes(line((1, 1), (2, 2)))
    shown = page.tables(make_plan(some, target), some, target)
    assert shown["roles"].count("not measured") == len(make_plan(some, target).rows)
