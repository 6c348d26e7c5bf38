"""Structured log lines, their rate limit, and the merge of many logs."""

import io
import json

from lichencleat.log.merge import merge, timestamp_of
from lichencleat.log.structured import MAX_LINES_PER_EVENT, create_logger


def test_logger_writes_fields_and_counts_lines_over_the_rate_limit():
    now, out = [1_000_000], io.StringIO()
    log = create_logger(lambda: now[0], file=out, process="v1")
    for _ in range(MAX_LINES_PER_EVENT + 5):
        log.info("met a thing", n=1)
    log.info("other")
    now[0] += 1_000_000
    log.info("met a thing", n=2)
    lines = out.getvalue().splitlines()
    assert len(lines) == MAX_LINES_PER_EVENT + 2
    assert lines[0] == 'at=1.000000 level=info event="met a thing" process=v1 n=1'
    assert lines[-1].endswith("left_out=5")


def test_logger_writes_json_with_the_same_fields():
    out = io.StringIO()
    create_logger(lambda: 2_500_000, "json", out, process="v1").warning("x", term=3)
    line = json.loads(out.getvalue())
    assert line == {"at": "2.500000", "level": "warning", "event": "x", "process": "v1", "term": 3}
    assert timestamp_of(out.getvalue().strip()) == 2_500_000


def test_merge_orders_lines_by_time_and_keeps_the_order_of_each_file():
    # The clock of this process stepped back.
    one = ["at=5.000000 event=a", "  more of a", "at=3.000000 event=b"]
    two = ["n3 4.500 believes", "at=5.500000 event=c"]
    merged = [(name, line[-1]) for name, line in merge([("one", one), ("two", two)])]
    assert merged == [("two", "s"), ("one", "a"), ("one", "a"), ("one", "b"), ("two", "c")]
