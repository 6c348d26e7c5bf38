"""A few kills of the real node; the full test is `python -m tests.idempotency.kills`."""

import subprocess
import sys
from pathlib import Path

import pytest
from idempotency.kills import run

from lichencleat.testkit.cluster.nodes import RigNode, settings
from lichencleat.testkit.cluster.rig import Rig


@pytest.mark.parametrize("forgets", [False, True])
def test_node_killed_under_repeated_keys_runs_none_twice(forgets):
    result = run(2 if forgets else 1, kills=4, forgets=forgets)
    assert result.fault is None and result.kills == 4
    assert sum(result.answers.values()) >= 40 and 0 < result.runs <= 40


def test_node_rejects_a_directory_in_use_or_of_another_node_and_commands_inspect_it(tmp_path):
    rig = Rig(tmp_path, voters=0)
    nodes = []
    try:
        directory = str(tmp_path / "keyed")
        operator_file = {"keyed": {"directory": directory}}
        for name in ("n1", "n2"):
            nodes.append(RigNode(rig, name, operator_file, None, settings()))
        nodes[0].start()
        rig.until(lambda: "index loaded" in nodes[0].read_log(), "the index")
        nodes[1].start()
        assert nodes[1].wait_for_exit() == 2 and "can't start: keyed.directory" in nodes[1].read_log()
        nodes[0].signal(15)
        assert nodes[0].wait_for_exit() == 0
        nodes[1].start()
        assert nodes[1].wait_for_exit() == 2 and "belongs to the node 'n1'" in nodes[1].read_log()

        def command(*words):
            completed = subprocess.run(
                [sys.executable, "-m", "lichencleat", "keyed", *words],
                cwd=Path(__file__).resolve().parents[2],
                capture_output=True,
                text=True,
                timeout=20,
            )
            return completed.returncode, completed.stdout + completed.stderr

        assert command("check", directory)[0] == 0
        code, said = command("show", directory, "--json")
        assert code == 0 and '"node": "n1"' in said
        assert command("list", directory)[0] == 0
        assert command("list", str(tmp_path / "nothing"))[0] == 2
    finally:
        for each in nodes:
            each.close()
        rig.close()
