"""Three voters of the real program, with faults between them; each test waits for an event, and ends its
children.
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


def more(rig, writers, count=15):
    """Each writer is answered so many more times."""
    before = [each.count() for each in writers]
    rig.until(
        lambda: all(each.count() >= had + count for each, had in zip(writers, before, strict=True)), "answers"
    )


def judged(rig, writers):
    for each in writers:
        each.on = False
    rig.until(lambda: all(each.client.is_idle for each in writers), "the last calls")
    assert check_key_value_history([call for each in writers for call in each.history]) is None


def test_a_leader_that_is_cut_off_loses_nothing_and_another_leads(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    more(rig, writers)
    old = rig.leader()
    rig.apart([old])
    others = [each for each in rig.voters.values() if each is not old]
    rig.until(lambda: rig.leader(others), "another leader")
    more(rig, writers)
    rig.until(lambda: (old.status() or {}).get("role") != "leader", "the old leader to notice")
    rig.heal(set(rig.relays.held))
    more(rig, writers)
    judged(rig, writers)


def test_power_cuts_of_one_of_most_and_of_all_keep_what_was_confirmed(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    for count in (1, 2, 3):
        more(rig, writers)
        cut = [rig.leader(), *[each for each in rig.voters.values() if each is not rig.leader()]][:count]
        for each in cut:
            each.signal(signal.SIGKILL)
        for each in cut:
            each.ended()
            each.start()
    more(rig, writers)
    judged(rig, writers)
    assert all(each.status()["start"] > 1 for each in rig.voters.values() if each.status())


def test_a_leader_stopped_for_many_elections_wakes_and_answers_nothing_old(rig):
    writers = [Writer(rig, f"w{n}") for n in range(3)]
    more(rig, writers)
    old = rig.leader()
    old.stop()
    others = [each for each in rig.voters.values() if each is not old]
    rig.until(lambda: rig.leader(others), "another leader")
    more(rig, writers)
    old.go_on()
    more(rig, writers)
    judged(rig, writers)


def test_a_directory_put_back_from_a_copy_leaves_and_says_why(rig, tmp_path):
    import shutil

    voter = next(each for each in rig.voters.values() if each is not rig.leader())
    voter.signal(signal.SIGTERM)
    assert voter.ended() == 0
    shutil.copytree(voter.directory, tmp_path / "copy")
    voter.start()
    rig.until(lambda: (voter.status() or {}).get("role") == "follower", "it to take part")
    voter.kill()
    shutil.rmtree(voter.directory)
    shutil.copytree(tmp_path / "copy", voter.directory)
    voter.start()
    assert voter.ended() == 3
    assert "restored from a copy" in voter.log.read_text()


def test_an_empty_directory_is_another_member_until_it_is_added(rig):
    import shutil

    voter = next(each for each in rig.voters.values() if each is not rig.leader())
    seat = voter.status()["seat"]
    voter.kill()
    shutil.rmtree(voter.directory)
    voter.start()
    rig.until(lambda: voter.status(), "it to answer")
    status = voter.status()
    assert status["seat"] != seat and status["last"] == 0 and status["members"] == []
    code, said = rig.command("quorum", "remove", str(voter.file), voter.name)
    assert code == 0, said
    rig.add(voter)
    rig.until(lambda: len(voter.status()["members"]) == 3 and voter.status()["commit"], "it to follow")


def test_commands_show_set_transfer_and_refuse(rig):
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
    assert heir.ended() == 0
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
def test_a_wrong_file_is_one_line_and_exit_code_2(tmp_path, text, said):
    from click.testing import CliRunner

    from lichencleat.cli.consensus import group

    file = tmp_path / "f.yaml"
    file.write_text(text)
    told = CliRunner().invoke(group, ["run", str(file)])
    assert told.exit_code == 2 and said in told.output and "Traceback" not in told.output
    assert list(tmp_path.iterdir()) == [file]
