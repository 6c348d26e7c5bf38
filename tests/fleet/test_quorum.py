"""Three voters as real processes, under faults.

Each test waits for events instead of fixed times, and its fixture ends all processes.
"""

import signal

import pytest

from lichencleat.testkit.checkers.linear import check_key_value_history
from lichencleat.testkit.cluster.rig import Rig, Writer


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path)
    try:
        made.form()
        yield made
    finally:
        made.close()


def wait_for_answers(rig, writers, count=15):
    """Wait until each writer has `count` more answers."""
    before = [each.count() for each in writers]
    rig.until(
        lambda: all(each.count() >= had + count for each, had in zip(writers, before, strict=True)), "answers"
    )


def check_history(rig, writers):
    for each in writers:
        each.on = False
    rig.until(lambda: all(each.client.is_idle for each in writers), "the last calls")
    assert check_key_value_history([call for each in writers for call in each.history]) is None


def test_isolated_leader_is_replaced_and_no_write_is_lost(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    wait_for_answers(rig, writers)
    old = rig.leader()
    rig.isolate([old])
    others = [each for each in rig.voters.values() if each is not old]
    rig.until(lambda: rig.leader(others), "another leader")
    wait_for_answers(rig, writers)
    rig.until(lambda: (old.status() or {}).get("role") != "leader", "the old leader to step down")
    rig.heal(set(rig.relays.blocked))
    wait_for_answers(rig, writers)
    check_history(rig, writers)


def test_power_losses_of_one_of_two_and_of_all_voters_keep_confirmed_writes(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    for count in (1, 2, 3):
        wait_for_answers(rig, writers)
        cut = [rig.leader(), *[each for each in rig.voters.values() if each is not rig.leader()]][:count]
        for each in cut:
            each.signal(signal.SIGKILL)
        for each in cut:
            each.wait_for_exit()
            each.start()
    wait_for_answers(rig, writers)
    check_history(rig, writers)
    assert all(each.status()["start"] > 1 for each in rig.voters.values() if each.status())


def test_leader_resumed_after_many_election_timeouts_serves_no_stale_reads(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    wait_for_answers(rig, writers)
    old = rig.leader()
    old.stop()
    others = [each for each in rig.voters.values() if each is not old]
    rig.until(lambda: rig.leader(others), "another leader")
    wait_for_answers(rig, writers)
    old.resume()
    wait_for_answers(rig, writers)
    check_history(rig, writers)


def test_voter_with_a_directory_restored_from_a_copy_exits_with_the_reason(rig, tmp_path):
    import shutil

    voter = next(each for each in rig.voters.values() if each is not rig.leader())
    voter.signal(signal.SIGTERM)
    assert voter.wait_for_exit() == 0
    shutil.copytree(voter.directory, tmp_path / "copy")
    voter.start()
    rig.until(lambda: (voter.status() or {}).get("role") == "follower", "the restarted voter to follow")
    voter.kill()
    shutil.rmtree(voter.directory)
    shutil.copytree(tmp_path / "copy", voter.directory)
    voter.start()
    assert voter.wait_for_exit() == 3
    assert "restored from a copy" in voter.log.read_text()


def test_voter_with_an_empty_directory_is_a_new_member_that_must_be_added(rig):
    import shutil

    voter = next(each for each in rig.voters.values() if each is not rig.leader())
    seat = voter.status()["seat"]
    voter.kill()
    shutil.rmtree(voter.directory)
    voter.start()
    rig.until(lambda: voter.status(), "the voter to answer")
    status = voter.status()
    assert status["seat"] != seat and status["last"] == 0 and status["members"] == []
    code, said = rig.command("quorum", "remove", str(voter.file), voter.name)
    assert code == 0, said
    rig.add(voter)
    rig.until(
        lambda: len(voter.status()["members"]) == 3 and voter.status()["commit"], "the added voter to follow"
    )


def test_commands_read_and_set_keys_transfer_leadership_and_reject_errors(rig):
    file = str(rig.voters["v1"].file)
    assert rig.command("quorum", "set", file, "a", "x", "--only-if", "0")[0] == 0
    assert rig.command("quorum", "set", file, "a", "y", "--only-if", "0")[0] == 1
    assert "x" in rig.command("quorum", "get", file, "a")[1]
    heir = next(each for each in rig.voters.values() if each is not rig.leader())
    code, said = rig.command("quorum", "transfer", file, heir.name)
    assert code == 0 and rig.leader() is heir, said
    code, said = rig.command("quorum", "status", file)
    assert code == 0 and said.count("follower") == 2 and "leader" in said
    code, said = rig.command("quorum", "found", file)
    assert code == 2 and said.count("\n") == 1
    assert rig.command("quorum", "remove", file, "v9")[0] == 2
    heir.signal(signal.SIGTERM)
    assert heir.wait_for_exit() == 0
    rig.until(lambda: rig.leader(), "another leader")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("quorum: {group: g, members: ['1.2.3.4:5'], listn: x}", "unknown key 'listn'"),
        ("quorum: {group: g, members: []}", "members"),
        ("quorum: {group: g, members: ['1.2.3.4:5']}", "quorum.name: is missing"),
        (
            "quorum:\n  group: g\n  members: ['1.2.3.4:5']\n  times: {beat_ms: 200}",
            "three heartbeat intervals",
        ),
    ],
)
def test_invalid_file_prints_one_error_and_exits_with_2(tmp_path, text, said):
    from click.testing import CliRunner

    from lichencleat.cli.consensus import group

    file = tmp_path / "f.yaml"
    file.write_text(text)
    told = CliRunner().invoke(group, ["run", str(file)])
    assert told.exit_code == 2 and said in told.output and "Traceback" not in told.output
    assert list(tmp_path.iterdir()) == [file]
