"""Tests of the program, started as in production, over sockets."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import tomllib

import pytest
from standins import ROOT, TIMEOUT, Program, array, request

FIRST_ID, SECOND_ID, THIRD_ID = "00000000000000a1", "00000000000000b2", "00000000000000c3"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def program(tmp_path):
    started = Program(tmp_path)
    yield started
    started.close()


@pytest.fixture
def peer(program):
    opened = program.ready()
    yield opened
    opened.close()


def is_balanced(counters):
    answered = sum(
        counters.get(f"host {how}", 0) for how in ("honoured", "deferred", "given up", "abandoned")
    )
    return counters["host requests"] == answered and not counters.get("node errors")


def test_request_with_a_call_is_served_and_counters_balance(program, peer):
    peer.send(request(7, b"look", FIRST_ID, b"what\r\n is"))
    assert program.interpreter.next() == ([b"APPLY", FIRST_ID.encode(), b"look", b"9"], b"what\r\n is")
    program.interpreter.notice(b"AWAIT " + FIRST_ID.encode(), b"a call\r\n")
    caller, words, body = program.catalogue.next()
    assert words[:2] == [b"FETCH", FIRST_ID.encode()] and 0 < int(words[2]) <= 6000 and body == b"a call\r\n"
    caller.send(b"%s DATA 5\r\nre\r\nx\r\n" % FIRST_ID.encode())
    assert program.interpreter.next() == ([b"RESOLVE", FIRST_ID.encode(), b"5"], b"re\r\nx")
    program.interpreter.notice(b"VALUE %s PASS 12" % FIRST_ID.encode(), b"done")
    tag, word, fields, result = peer.array()
    assert (tag, word, result) == (b"7", b"200", b"done") and fields.startswith(b"v=")
    program.leave()
    assert peer.array() == [b"0", b"goaway"]
    peer.close()
    code, counters, _ = program.end()
    assert code == 0 and is_balanced(counters)
    assert counters["host honoured"] == counters["dispatchers got requests"] == 1
    assert counters["catalogue sent FETCH"] == counters["interpreter got AWAIT"] == 1


def test_repeats_of_a_keyed_request_share_one_run(program, peer):
    peer.send(request(1, b"save", FIRST_ID, b"x", k=KEY) + request(2, b"save", SECOND_ID, b"x", k=KEY))
    assert program.interpreter.next()[0][:2] == [b"APPLY", FIRST_ID.encode()]
    program.interpreter.notice(b"VALUE %s PASS 5" % FIRST_ID.encode(), b"saved")
    answers = sorted(peer.array() for _ in range(2))
    peer.send(request(3, b"save", THIRD_ID, b"x", k=KEY))
    answers.append(peer.array())
    assert [(each[0], each[1], each[3]) for each in answers] == [
        (tag, b"200", b"saved") for tag in (b"1", b"2", b"3")
    ]
    assert program.interpreter.commands.empty()


def test_result_is_kept_for_a_repeat_after_its_caller_left(program, peer):
    peer.send(request(1, b"save", FIRST_ID, b"x", k=KEY))
    program.interpreter.next()
    peer.send(array(b"ABORT", b"1") + array(b"HEALTH", b"3", b""))
    assert peer.array()[0] == b"3"  # so the abort was read before
    program.interpreter.notice(b"VALUE %s PASS 5" % FIRST_ID.encode(), b"saved")
    peer.send(request(2, b"save", SECOND_ID, b"x", k=KEY))
    assert peer.array()[:2] == [b"2", b"200"]


def test_request_past_its_deadline_is_rejected_with_fields(program, peer):
    peer.send(request(4, b"look", FIRST_ID, b"x", s=time.time_ns() // 1_000_000 - 7_000))
    tag, word, fields, _ = peer.array()
    assert (tag, word) == (b"4", b"503") and b"w=" in fields and b"v=" in fields
    assert program.interpreter.commands.empty()


def test_abort_stops_the_run_without_an_answer(program, peer):
    peer.send(request(1, b"look", FIRST_ID, b"x"))
    program.interpreter.next()
    peer.send(array(b"ABORT", b"1"))
    assert program.interpreter.next()[0] == [b"BREAK", FIRST_ID.encode()]
    program.interpreter.notice(b"VALUE %s KILLED 5" % FIRST_ID.encode(), b"")
    peer.send(array(b"HEALTH", b"2", b""))
    assert peer.array()[:2] == [b"2", b"serving"]
    program.leave()
    assert peer.array() == [b"0", b"goaway"]
    peer.close()
    code, counters, _ = program.end()
    assert code == 0 and is_balanced(counters) and counters["host abandoned"] == 1


def test_lost_connection_abandons_its_open_requests(program, peer):
    other = program.dispatcher()
    other.send(request(1, b"look", FIRST_ID, b"x"))
    program.interpreter.next()
    other.close()
    assert program.interpreter.next()[0] == [b"BREAK", FIRST_ID.encode()]
    peer.send(array(b"HEALTH", b"1", b""))
    assert peer.array()[1] == b"serving"


def test_lost_link_is_replaced_without_losing_or_repeating_a_notice_or_run(program, peer):
    peer.send(request(1, b"save", FIRST_ID, b"x", k=KEY) + request(2, b"look", SECOND_ID, b"y"))
    program.interpreter.next(), program.interpreter.next()
    program.interpreter.cut()
    program.interpreter.notice(b"VALUE %s PASS 5" % FIRST_ID.encode(), b"saved")
    assert peer.array()[:2] == [b"1", b"200"]
    assert program.interpreter.connects.get(timeout=TIMEOUT) == 0
    assert program.interpreter.next() == ([b"APPLY", SECOND_ID.encode(), b"look", b"1"], b"y")
    program.interpreter.notice(b"VALUE %s PASS 5" % SECOND_ID.encode(), b"seen")
    assert peer.array()[:2] == [b"2", b"200"]


def test_sigterm_with_pending_requests_answers_all_and_exits_in_time(program, peer):
    peer.send(request(1, b"save", FIRST_ID, b"x", k=KEY) + request(2, b"look", SECOND_ID, b"y"))
    program.interpreter.next(), program.interpreter.next()
    program.leave()
    while program.members.recv(100) != b"HB n1 OUT":
        pass
    program.leave()
    program.interpreter.notice(b"VALUE %s PASS 5" % SECOND_ID.encode(), b"seen")
    assert peer.array()[:2] == [b"2", b"200"]
    last = sorted(peer.array()[:2] for _ in range(2))
    assert last == [[b"0", b"goaway"], [b"1", b"500"]]  # the keyed run does not end before the stop
    peer.close()
    code, counters, _ = program.end()
    assert code == 0 and is_balanced(counters) and counters["membership sent OUT"] == 1


def test_counters_are_printed_on_sigusr1(program, peer):
    peer.send(array(b"HEALTH", b"1", b""))
    peer.array()
    program.process.send_signal(signal.SIGUSR1)
    while "dispatchers got checks: 1" not in program.process.stderr.readline():
        assert program.process.poll() is None


@pytest.mark.parametrize(
    "invalid",
    [
        array(b"NONSENSE", b"9", b"x"),
        request(9, b"unheard-of", FIRST_ID, b"x"),
        request(9, b"look", "short", b"x"),
        request(9, b"look", FIRST_ID, b"x", m="nan"),
        request(9, b"look", FIRST_ID, b"x", s="soon"),
        request(9, b"save", FIRST_ID, b"x"),
        request(9, b"look", FIRST_ID, b"x" * 2049),
        array(b"REQ", b"9", b"look"),
    ],
)
def test_invalid_array_with_a_tag_fails_and_the_connection_continues(program, peer, invalid):
    peer.send(invalid + array(b"HEALTH", b"10", b""))
    assert peer.array()[:2] == [b"9", b"500"]
    assert peer.array()[:2] == [b"10", b"serving"]


@pytest.mark.parametrize(
    "broken", [b"GET / HTTP/1.1\r\n\r\n", b"*-1\r\n", b"*2\r\n$99999999\r\n", array(b"REQ"), b"x" * 100]
)
def test_broken_framing_closes_its_connection_after_its_answers_and_no_other(program, peer, broken):
    other = program.dispatcher()
    other.send(request(1, b"look", FIRST_ID, b"x"))
    program.interpreter.next()
    other.send(broken)
    peer.send(array(b"HEALTH", b"1", b""))
    assert peer.array()[1] == b"serving"
    program.interpreter.notice(b"VALUE %s PASS 5" % FIRST_ID.encode(), b"seen")
    assert other.array()[:2] == [b"1", b"200"]
    assert other.array() is None


def test_unknown_notices_are_skipped(program, peer):
    peer.send(request(1, b"look", FIRST_ID, b"x"))
    program.interpreter.next()
    program.interpreter.peer.send(
        b"NOVELTY 1 2\r\n\r\nVALUE x\r\nVALUE 1 %s ODD 5 0\r\n\r\n" % FIRST_ID.encode()
    )
    program.interpreter.notices.append(b"")
    program.interpreter.notice(b"AWAIT " + FIRST_ID.encode(), b"a call")
    assert program.catalogue.next()[2] == b"a call"


def test_new_addresses_take_effect_without_losing_requests(program, peer):
    peer.send(request(1, b"save", FIRST_ID, b"x", k=KEY) + request(2, b"look", SECOND_ID, b"y"))
    program.interpreter.next(), program.interpreter.next()
    old, old_catalogue, old_members = program.interpreter, program.catalogue, program.members
    old.notice(b"AWAIT " + FIRST_ID.encode(), b"a call")
    caller, _, _ = old_catalogue.next()
    program.move()
    assert program.members.recv(100) == b"HB n1 UP"
    new = program.interpreter
    assert new.connects.get(timeout=TIMEOUT) == 1
    caller.send(b"%s DATA 2\r\nok\r\n" % FIRST_ID.encode())
    # the start of the idempotent run again, and the reply to the other run's call
    commands = sorted(new.next()[0][:2] for _ in range(2))
    assert commands == [[b"APPLY", SECOND_ID.encode()], [b"RESOLVE", FIRST_ID.encode()]]
    new.notice(b"VALUE %s PASS 5" % FIRST_ID.encode(), b"saved")
    assert peer.array()[:2] == [b"1", b"200"]
    new.notice(b"AWAIT " + SECOND_ID.encode(), b"a call")
    assert program.catalogue.next()[1][1] == SECOND_ID.encode()
    for each in (old.listener, old_catalogue.listener, old_members):
        each.close()


def test_invalid_configuration_on_sighup_is_logged_and_the_old_one_stays(program, peer):
    program.config.write_text("{")
    program.process.send_signal(signal.SIGHUP)
    while "stays in force" not in program.process.stderr.readline():
        assert program.process.poll() is None
    peer.send(array(b"HEALTH", b"1", b""))
    assert peer.array()[:2] == [b"1", b"serving"]


@pytest.mark.parametrize(
    ("changes", "says"),
    [({"vm": "nowhere"}, "vm"), ({"settings": {}}, "settings"), ({"stop_ms": "x"}, "stop_ms")],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path, changes, says):
    started = Program(tmp_path, **changes)
    code, _, err = started.end()
    started.close()
    assert code == 2 and len(err.splitlines()) == 1 and says in err


def test_address_in_use_is_reported_in_one_line(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        started = Program(tmp_path, listen="{}:{}".format(*taken.getsockname()))
        code, _, err = started.end()
        started.close()
    assert code == 2 and len(err.splitlines()) == 1 and "listen" in err


def test_build_leaves_bytecode_that_a_start_uses_and_that_follows_the_source(tmp_path):
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    command = deployment["build"].rsplit("&&", 1)[1].strip()
    shutil.copytree(
        ROOT / "lichencleat", tmp_path / "lichencleat", ignore=shutil.ignore_patterns("__pycache__")
    )
    assert command.startswith(".venv/bin/python ")
    subprocess.run([sys.executable, *command.split()[1:]], cwd=tmp_path, check=True)
    start = [sys.executable, "-B", "-v", "-c", "import lichencleat.node.program"]
    output = subprocess.run(start, cwd=tmp_path, capture_output=True, text=True, check=True).stderr
    found = [line for line in output.splitlines() if " matches " in line and str(tmp_path) in line]
    assert any("node/program.py" in line for line in found)
    assert any("admission/controller.py" in line for line in found)
    changed = tmp_path / "lichencleat" / "node" / "program.py"
    changed.write_text(changed.read_text() + "\nprint('changed')\n")
    os.utime(changed, (1, 1))  # regardless of the file's modification time
    assert subprocess.run(start, cwd=tmp_path, capture_output=True, text=True).stdout == "changed\n"
