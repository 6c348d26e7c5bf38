"""Structured lines, their limit, and many files in one order."""

import io
import json

from lichencleat.log.lines import KIND_MOST, make_log
from lichencleat.log.merge import merge, moment


def test_a_line_bears_its_fields_and_a_kind_that_comes_too_often_is_counted():
    now, out = [1_000_000], io.StringIO()
    log = make_log(lambda: now[0], file=out, process="v1")
    for _ in range(KIND_MOST + 5):
        log.info("met a thing", n=1)
    log.info("other")
    now[0] += 1_000_000
    log.info("met a thing", n=2)
    lines = out.getvalue().splitlines()
    assert len(lines) == KIND_MOST + 2
    assert lines[0] == 'at=1.000000 level=info event="met a thing" process=v1 n=1'
    assert lines[-1].endswith("left_out=5")


def test_json_lines_hold_the_same():
    out = io.StringIO()
    make_log(lambda: 2_500_000, "json", out, process="v1").warning("x", term=3)
    line = json.loads(out.getvalue())
    assert line == {"at": "2.500000", "level": "warning", "event": "x", "process": "v1", "term": 3}
    assert moment(out.getvalue().strip()) == 2_500_000


def test_files_are_put_in_order_and_none_against_its_own():
    one = ["at=5.000000 event=a", "  more of a", "at=3.000000 event=b"]  # its clock stepped back
    two = ["n3 4.500 believes", "at=5.500000 event=c"]
    merged = [(name, line[-1]) for name, line in merge([("one", one), ("two", two)])]
    assert merged == [("two", "s"), ("one", "a"), ("one", "a"), ("one", "b"), ("two", "c")]
