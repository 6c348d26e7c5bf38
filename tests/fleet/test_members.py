"""Membership by gossip among five real processes: one is killed, one is paused and resumed, one leaves."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from lichencleat.testkit.cluster.rig import free_port, wait_until


@pytest.fixture
def fleet(tmp_path):
    ports = {f"n{number}": free_port() for number in range(5)}
    seeds = [f"127.0.0.1:{ports['n0']}", f"127.0.0.1:{ports['n1']}"]
    children = {}
    try:
        for name, port in ports.items():
            file = tmp_path / f"{name}.yaml"
            chosen = {"group": "g", "name": name, "listen": f"127.0.0.1:{port}", "seeds": seeds}
            file.write_text(yaml.safe_dump({"members": chosen | {"period_ms": 60, "answer_ms": 25}}))
            with open(tmp_path / f"{name}.log", "w") as log:
                words = [sys.executable, "-m", "lichencleat", "members", "run", str(file)]
                root = Path(__file__).resolve().parents[2]
                children[name] = subprocess.Popen(words, cwd=root, stderr=log)
        yield children, lambda name: (tmp_path / f"{name}.log").read_text()
    finally:
        for child in children.values():
            if child.poll() is None:
                os.kill(child.pid, signal.SIGKILL)
            child.wait(10)


def test_all_members_learn_of_a_kill_a_pause_and_a_leave(fleet):
    children, log = fleet

    def all_say(what, of, but=()):
        rest = set(children) - {of, *but}
        wait_until(
            lambda: all(f"event={what} " in line_of(log(each), of, what) for each in rest), f"{what} {of}"
        )

    def line_of(text, of, what):
        return next(
            (line for line in text.splitlines() if f"member={of} " in line and f"={what} " in line), ""
        )

    for each in children:
        all_say("alive", each)
    children["n4"].kill()
    all_say("dead", "n4")
    os.kill(children["n3"].pid, signal.SIGSTOP)
    all_say("dead", "n3", but=["n4"])
    os.kill(children["n3"].pid, signal.SIGCONT)
    wait_until(
        lambda: all(
            log(each).rfind("event=alive") > log(each).rfind("event=dead") for each in ("n0", "n1", "n2")
        ),
        "n3 to be alive again at all members",
    )
    children["n2"].send_signal(signal.SIGTERM)
    all_say("left", "n2", but=["n4"])
    assert children["n2"].wait(10) == 0
