"""Invalid, incomplete, huge and repeated input from every peer is counted and affects no other peer."""

import pytest
from standins import TIMEOUT, Program, array, request

FIRST_ID, SECOND_ID = "00000000000000a1", "00000000000000b2"
CHECK = array(b"HEALTH", b"9", b"")


@pytest.fixture
def program(tmp_path):
    started = Program(tmp_path)
    yield started
    started.close()


def check_served(program, peer, ident, corrupt_reply=None):
    """Check that a request with a call is served, from its array to its answer."""
    peer.send(request(7, b"look", ident, b"x"))
    assert program.interpreter.next()[0][:2] == [b"APPLY", ident.encode()]
    program.interpreter.notice(b"AWAIT %s" % ident.encode(), b"ask")
    answering, words, _ = program.catalogue.next()
    if corrupt_reply is not None:
        answering.send(corrupt_reply)
        answering, words, _ = program.catalogue.next()  # the call is retried on another connection
    answering.send(b"%s DATA 2\r\nok\r\n" % words[1])
    assert program.interpreter.next() == ([b"RESOLVE", ident.encode(), b"2"], b"ok")
    program.interpreter.notice(b"VALUE %s PASS 5" % ident.encode(), b"made")
    answer = peer.array()
    assert answer[:2] == [b"7", b"200"] and answer[3] == b"made"


def stop_and_check(program):
    program.leave()
    code, counters, err = program.end()
    assert code == 0 and "Traceback" not in err and "error in" not in err
    assert "node errors" not in counters and "drain ended with 0 unanswered requests" in err
    return counters


@pytest.mark.parametrize(
    "invalid",
    [
        b"\x00" * 5_000,
        b"*0\r\n",
        b"*99999999999999\r\n",
        b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\nlook\r\n$9",
        b"*8\r\n" + b"$4096\r\n%s\r\n" % (b"x" * 4_096) * 8,
        b"*2\r\n$3\r\nREQ\r\n$1\r\n7\r\n" * 50,
        array(b"REQ", b"7", b"look", b"i=%s" % FIRST_ID.encode(), b"x") * 2,
        array(b"ABORT", b"1") * 1_000,
        CHECK + CHECK[:-1],
        array(b"REQ", b"0", b"", b"", b""),
    ],
    ids=range(10),
)
def test_invalid_client_input_does_not_affect_other_clients(program, invalid):
    peer, caller = program.ready(), program.dispatcher()
    caller.send(invalid)
    check_served(program, peer, FIRST_ID)
    other = program.dispatcher()
    other.send(CHECK)
    assert other.array()[1] == b"serving"
    for each in (peer, caller, other):
        each.close()
    stop_and_check(program)


@pytest.mark.parametrize(
    ("invalid", "replaced"),
    [
        (b"\xff\xfe\x00\r\n", False),
        (b"\r\n\r\n", False),
        (b"VALUE\r\n", False),
        (b"VALUE x y z\r\n", False),
        (b"VALUE 99999999999999 %s PASS 5 1\r\nx\r\n" % FIRST_ID.encode(), False),
        (b"AWAIT 1 %s 999999999999\r\n" % FIRST_ID.encode(), True),
        (b"x" * 3_000, True),
        (b"TOPS\r\nTOPS g1\r\nTOPS g1 nan nan\r\n", False),
        (b"ERROR\r\nERROR APPLY\r\nERROR APPLY %s\r\n" % SECOND_ID.encode(), False),
        (b"BANNER LOADED 5\r\n", False),
        (b"BANNER\r\n", True),
    ],
    ids=range(11),
)
def test_invalid_interpreter_input_is_skipped_or_the_link_replaced(program, invalid, replaced):
    peer = program.ready()
    program.interpreter.peer.send(invalid)
    if replaced:  # further commands use the new link
        assert program.interpreter.connects.get(timeout=TIMEOUT) == 0
    peer.send(CHECK)
    assert peer.array()[1] == b"serving"
    check_served(program, peer, FIRST_ID)
    peer.close()
    stop_and_check(program)


@pytest.mark.parametrize(
    "invalid",
    [
        b"\xff\xfe\r\n",
        b"x" * 3_000,
        b"%s DATA 99999999\r\n" % FIRST_ID.encode(),
        b"%s ODD\r\n" % FIRST_ID.encode(),
        b"%s DATA 2\r\nokay\r\n" % FIRST_ID.encode(),
    ],
    ids=range(5),
)
def test_corrupt_reply_ends_one_call_which_is_retried(program, invalid):
    peer = program.ready()
    check_served(program, peer, FIRST_ID, corrupt_reply=invalid)
    peer.close()
    assert stop_and_check(program)["catalogue connections given up"] == 1
