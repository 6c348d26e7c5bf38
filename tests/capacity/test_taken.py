"""Results of other benchmarks are imported from their files; a file of no benchmark is rejected."""

import json
import sys
from pathlib import Path

import click
import pytest

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from benchmarks.capacity import Effort, taken  # noqa: E402


def fleet(nodes, worst):
    spans = {"p50_ms": 70, "p99_ms": 150, "all_ms": worst, "count": nodes}
    costs = {"node": {"bytes_a_second": 600, "peak_second": 10_000}}
    back = {"cold": {"p50_ms": 1_000, "p99_ms": 2_000, "all_ms": 3_000, "count": 5}}
    return {
        "size": {"nodes": nodes},
        "day": {"start_cold": 18_000_000, "day_cold": 1_900},
        "runs": [
            {"event": "rack cold", "in_force": spans, "back": back, "costs": costs},
            {"event": "drawn", "in_force": spans, "back": {}, "costs": costs},
        ],
    }


def hollow(nodes, core):
    relays = {f"z0-{at}": {"subscribers": nodes // 2, "cpu_percent": core, "rss_mb": 80.0} for at in range(2)}
    relays["r0"] = {"subscribers": 2, "cpu_percent": 50.0, "rss_mb": 200.0}  # a relay of a region
    part = {"node_cpu_percent": 0.1, "node_bytes_in_s": 100.0, "node_bytes_out_s": 50.0, "relays": relays}
    changed = {"changes": 20, "seconds": 20.0, "in_force_ms": {"all": 250.0}, "node_cpu_percent": 0.3}
    return {
        "nodes": nodes,
        "rest": part,
        "changes": part | changed,
        "burst": {"last_in_force_ms": {"all": 900.0}},
    }


def files(tmp_path, *found):
    paths = []
    for at, each in enumerate(found):
        path = tmp_path / f"{at}.json"
        path.write_text(json.dumps(each))
        paths.append(str(path))
    return Effort(take=tuple(paths))


def by_name(lines):
    return {each.name: each for each in lines}


def test_fleet_results_become_lines_by_size(tmp_path):
    effort = files(tmp_path, fleet(3_300, 4_000), fleet(200, 500))
    found = by_name(taken.fleet(effort))
    assert [(each.size, each.values) for each in found["rack_cold.in_force_all_s"].points] == [
        (200, [0.5]),
        (3_300, [4.0]),
    ]
    assert found["rack_cold.back_s"].value_at(3_300) == 3.0
    assert found["starts.cold_mb"].value_at(200) == 18.0
    assert not any(name.startswith("drawn") for name in found)
    assert all(each.simulated for each in found.values())


def test_a_single_size_makes_no_line(tmp_path):
    assert taken.fleet(files(tmp_path, fleet(3_300, 4_000))) == []


def test_results_of_zone_relays_and_hollow_nodes_become_lines(tmp_path):
    sizes = {"machine": {}, "fits": {}, "sizes": [hollow(100, 5.0), hollow(200, 10.0)]}
    found = by_name(taken.hollow(files(tmp_path, sizes)))
    assert [(each.size, each.values) for each in found["relay.core"].points] == [
        (50, [0.05, 0.05]),
        (100, [0.1, 0.1]),
    ]
    assert found["relay.memory_mb"].value_at(100) == 80.0
    assert [each.size for each in found["subscriber.core"].points] == [0.0, 1.0]
    assert found["subscriber.core"].points[1].values == [0.003, 0.003]
    assert found["subscriber.bytes_s"].value_at(0) == 150.0


def test_table_results_become_lines_by_records(tmp_path):
    figures = [
        {"size": size} | {name: size * of for name, of, _, _ in taken.TABLE.values()} for size in (10, 20)
    ]
    found = by_name(taken.table(files(tmp_path, {"machine": {}, "figures": figures})))
    assert set(found) == set(taken.TABLE)
    assert found["table.memory_mb"].value_at(20) == 20.0


def test_voter_results_without_and_with_records_become_lines(tmp_path):
    ran = {
        "empty": {"v1": {"rss_mb": 40}, "v2": {"rss_mb": 41}},
        "after_small": {"v1": {"rss_mb": 280}, "v2": {"rss_mb": 290}},
        "batches_of_1": {"ms_p50_p99_max": [2.0, 12.0, 50.0]},
        "batches_of_1_loaded": {"ms_p50_p99_max": [3.0, 15.0, 60.0]},
        "load": {"said": json.dumps({"records": 560_000})},
    }
    found = by_name(taken.source(files(tmp_path, {"how": "trials", "real_run_1": ran})))
    assert found["source.batch_p99_ms"].value_at(560_000) == 15.0
    assert [each.values for each in found["source.memory_mb"].points] == [[41.0], [290.0]]


def test_a_file_of_no_benchmark_is_rejected(tmp_path):
    with pytest.raises(click.ClickException, match="of no benchmark"):
        taken.fleet(files(tmp_path, {"sizes": 3}))
    path = tmp_path / "no.json"
    path.write_text("{")
    with pytest.raises(click.ClickException, match="no JSON"):
        taken.fleet(Effort(take=(str(path),)))
