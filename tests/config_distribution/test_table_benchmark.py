"""The table's benchmark runs at a small size and writes the input of a capacity page."""

import json

from click.testing import CliRunner

from benchmarks.distribution_table import main

FIGURES = [
    "memory bytes",
    "page bytes a record",
    "find p50 us",
    "find p99 us",
    "batch of 1 cpu us",
    "batch of 50 cpu us",
    "batch of 512 cpu us",
    "batch slice longest cpu us",
    "rebuild slice longest cpu us",
    "snapshot bytes",
    "pack s",
    "rebuild s",
    "load s",
    "change bytes written",
]


def test_figures_of_a_small_table(tmp_path):
    told = CliRunner().invoke(
        main,
        ["--sizes", "2000", "--changes", "5", "--json", str(tmp_path / "f.json")],
        catch_exceptions=False,
    )
    assert told.exit_code == 0, told.output
    said = json.loads((tmp_path / "f.json").read_text())
    (figures,) = said["figures"]
    assert figures["size"] == figures["records"] == 2000
    assert all(figures[name] > 0 for name in FIGURES)
    assert 70 < figures["page bytes a record"] < 130
    assert "2000 records" in told.output
