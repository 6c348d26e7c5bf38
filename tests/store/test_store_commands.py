"""`lichencleat store` as a command: output, exit codes, kills and damaged stores."""

import json
import os
import pty
import subprocess
import sys
from pathlib import Path

import pytest

from tests.store.kill import COMMAND, run


def call(*arguments, stdin=b"", **options):
    return subprocess.run([*COMMAND, *arguments], input=stdin, capture_output=True, timeout=60, **options)


def lines(*rows):
    return b"".join(json.dumps(row).encode() + b"\n" for row in rows)


@pytest.fixture
def directory(tmp_path):
    return str(tmp_path / "store")


@pytest.fixture
def filled(directory):
    rows = [{"key": f"k{n}", "value": f"v{n}"} for n in range(5)]
    assert call("put", directory, stdin=lines(*rows)).stdout.split() == [b"k%d" % n for n in range(5)]
    return directory


def test_dump_prints_entries_in_order_of_keys(directory):
    rows = [
        {"key": "b", "value": ""},
        {"key": "a\n", "value": "é"},
        {"key": "t", "value": "x", "ttl_s": 1e-6},
    ]
    rows.append({"key_base64": "/w==", "value_base64": "AP8="})
    put = call("put", directory, stdin=lines(*rows))
    assert (put.returncode, put.stdout.decode().split("\n")) == (0, ["b", '"a\\n"', "t", "base64:/w==", ""])
    dump = call("dump", directory)
    assert [json.loads(each) for each in dump.stdout.splitlines()] == [rows[1], rows[0], rows[3]]
    assert call("dump", directory, "--prefix", "b").stdout == b'{"key": "b", "value": ""}\n'


def test_get_and_delete(filled):
    assert call("get", filled, "k1").stdout == b"v1"
    assert call("delete", filled, "k1").returncode == 0
    for verb in ("get", "delete"):
        missing = call(verb, filled, "k1")
        assert (missing.returncode, missing.stdout) == (1, b"") and b"no entry of key k1" in missing.stderr


@pytest.mark.parametrize(
    ("line", "message"),
    [
        (b"{", b"line 2"),
        (b'{"key": 1, "value": ""}', b"$.key"),
        (b'{"key": "a", "value": "b", "tll_s": 1}', b"tll_s"),
        (b'{"key": "", "value": "b"}', b"1 to 65536 bytes"),
        (b'{"key": "a", "value": "b", "ttl_s": -1}', b"ttl_s"),
        (b'{"key": "a"}', b"value"),
        (b'{"key_base64": "?", "value": ""}', b"key_base64"),
    ],
)
def test_put_reports_wrong_input_in_one_line_and_writes_nothing(directory, line, message):
    put = call("put", directory, stdin=lines({"key": "good", "value": ""}) + line + b"\n")
    assert (put.returncode, put.stdout, put.stderr.count(b"\n")) == (2, b"", 1)
    assert message in put.stderr and b"line 2" in put.stderr and not os.path.exists(directory)


@pytest.mark.parametrize("verb", ["get", "dump", "check", "stat", "compact", "delete"])
def test_commands_refuse_other_directories_unchanged(tmp_path, verb):
    (tmp_path / "notes").write_text("hello")
    arguments = ["key"] if verb in ("get", "delete") else []
    for path in (str(tmp_path), str(tmp_path / "missing")):
        refused = call(verb, path, *arguments)
        assert (refused.returncode, refused.stderr.count(b"\n")) == (
            2,
            1,
        ) and path.encode() in refused.stderr
    assert os.listdir(tmp_path) == ["notes"]


def test_commands_refuse_a_store_in_use(filled):
    with subprocess.Popen([*COMMAND, "put", filled], stdin=subprocess.PIPE, stdout=subprocess.PIPE) as first:
        first.stdin.write(lines({"key": "x", "value": "y"}))
        first.stdin.flush()
        assert first.stdout.readline() == b"x\n"
        second = call("get", filled, "x")
        assert second.returncode == 2 and b"in use by another process" in second.stderr
        first.stdin.close()
    assert call("get", filled, "x").stdout == b"y"


def test_corruption_is_reported_and_salvaged(filled, tmp_path):
    call("put", filled, stdin=lines(*[{"key": f"m{n}", "value": "v"} for n in range(3)]))
    logs = [each for each in Path(filled).iterdir() if each.suffix == ".log"]
    (damaged,) = [each for each in logs if b"k2" in each.read_bytes()]
    name, data = damaged.name, damaged.read_bytes()
    at = data.index(b"k2")
    damaged.write_bytes(data[:at] + b"K" + data[at + 1 :])
    refused = call("dump", filled)
    assert refused.returncode == 1 and name.encode() in refused.stderr and b"salvage" in refused.stderr
    check = call("check", filled, "--json")
    found = json.loads(check.stdout)
    assert check.returncode == 1 and [each["file"] for each in found["findings"]] == [name]
    assert found["findings"][0]["offset"] <= at
    assert call("check", filled).stdout.count(b"\n") == 1
    new = str(tmp_path / "new")
    saved = call("salvage", filled, new, "--json")
    assert saved.returncode == 1 and json.loads(saved.stdout)["records lost"] == 1
    keys = [json.loads(each)["key"] for each in call("dump", new).stdout.splitlines()]
    assert keys == ["k0", "k1", "k3", "k4", "m0", "m1", "m2"]
    assert call("check", new).returncode == 0
    again = call("salvage", filled, new)
    assert again.returncode == 2 and b"not empty" in again.stderr


def test_check_accepts_a_torn_tail(filled):
    name = max(each for each in os.listdir(filled) if each.endswith(".log"))
    with open(os.path.join(filled, name), "ab") as file:
        file.write(b"\xa7\xc5 the rest of this never came")
    check = call("check", filled, "--json")
    assert check.returncode == 0 and json.loads(check.stdout)["torn bytes at the end"] > 0
    assert json.loads(call("stat", filled, "--json").stdout)["torn bytes"] > 0
    assert call("get", filled, "k4").stdout == b"v4"


def test_compact_frees_disk_space(filled):
    for _ in range(3):
        call("put", filled, stdin=lines(*[{"key": f"k{n % 5}", "value": "x" * 500} for n in range(60)]))
    done = call("compact", filled, "--all", "--json")
    rows = {row[""]: row for row in json.loads(done.stdout)}
    assert rows["bytes on disk"]["after"] < rows["bytes on disk"]["before"] / 3
    assert call("get", filled, "k4").stdout == b"x" * 500


def test_bench_measures_this_disk(directory):
    rows = json.loads(call("bench", directory, "--seconds", "0.1", "--json").stdout)
    assert [row["callers"] for row in rows] == [1, 1, 16, 256] and all(row["puts_per_s"] > 0 for row in rows)
    assert os.listdir(directory) == []


def test_progress_is_shown_on_a_terminal_only(filled):
    assert call("check", filled).stderr == b""
    main, side = pty.openpty()
    subprocess.run(
        [*COMMAND, "check", filled], stdout=subprocess.DEVNULL, stderr=side, timeout=60, check=True
    )
    os.close(side)
    assert b"check" in os.read(main, 1_000)
    os.close(main)


def test_kills_lose_nothing_that_was_printed():
    """Five kills; `python -m tests.store.kill` makes a hundred."""
    assert run(times=5, seed=3) == []


def test_node_imports_no_command_libraries_and_exits_with_its_code():
    listed = subprocess.run(
        [sys.executable, "-c", "import lichencleat.node.program, sys; print(*sys.modules)"],
        capture_output=True,
        text=True,
    )
    command_libraries = {
        "click",
        "msgspec",
        "crc32c",
        "sortedcontainers",
        "lichencleat.store",
        "lichencleat.cli",
    }
    assert "lichencleat.node.program" in listed.stdout.split() and not command_libraries & set(
        listed.stdout.split()
    )
    environment = {key: value for key, value in os.environ.items() if key != "BALANCER_CONFIG"}
    node = subprocess.run(
        [sys.executable, "-m", "lichencleat"], capture_output=True, text=True, env=environment
    )
    assert (node.returncode, node.stderr) == (2, "lichencleat: BALANCER_CONFIG is not set\n")


def test_missing_library_is_reported_in_one_line(tmp_path):
    (tmp_path / "crc32c.py").write_text("raise ModuleNotFoundError('none', name='crc32c')")
    missing = call("dump", "x", env=os.environ | {"PYTHONPATH": str(tmp_path)})
    assert missing.returncode == 2
    assert missing.stderr == b"lichencleat: needs crc32c: pip install 'lichencleat[store]'\n"
