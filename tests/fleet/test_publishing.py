"""Configuration published by the commands to three real voters, with power losses."""

import json

import pytest

from lichencleat.testkit.cluster.rig import Rig, Voter
from lichencleat.transport.errors import RequestFailedError


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path)
    for each in made.voters.values():
        each.settings["distribution"] = True
    try:
        made.form()
        yield made
    finally:
        made.close()


def run(rig, command, *arguments):
    file = next(iter(rig.voters.values())).file
    return rig.command("distribution", command, *([str(file)] if command != "check" else []), *arguments)


def ages(rig):
    """Return version and age in µs by voter, for each voter that answers."""
    code, output = run(rig, "status", "--json")
    return {
        each["name"]: (each["version"], each["age_us"])
        for each in json.loads(output.splitlines()[0])["members"].values()
        if isinstance(each, dict)
    }


def test_published_configuration_is_shown_and_served_by_every_voter_after_power_losses(rig, tmp_path):
    small, large, wrong = (str(tmp_path / name) for name in ("a.yaml", "b.jsonl", "c.jsonl"))
    with open(small, "w") as file:
        file.write("records:\n- {kind: tenant, name: t1, value: {rate: 5}}\n")
    with open(large, "w") as file:
        file.writelines(
            json.dumps({"kind": "route", "name": f"r{number}", "value": {"to": number}}) + "\n"
            for number in range(1_500)
        )
    with open(wrong, "w") as file:
        file.write('{"kind": "tenant", "name": "t2", "value": 1}\n{"kind": "tenant"}\n')
    assert run(rig, "check", small)[0] == 0
    code, output = run(rig, "publish", small, "--json", "--only-if", "0")
    first = json.loads(output)["version"]
    assert code == 0 and first
    code, output = run(rig, "publish", large, "--in-batches", "--json")
    assert code == 0 and json.loads(output.splitlines()[-1])["batches"] == 3, output
    code, output = run(rig, "publish", wrong)
    assert code == 2 and f"{wrong}, line 2: " in output
    with open(small, "w") as file:
        file.write("records:\n- {kind: tenant, name: t1, gone: true}\n")
    rig.leader().kill()
    code, output = run(rig, "publish", small, "--json")
    assert code == 0, output
    last = json.loads(output)["version"]
    for each in rig.voters.values():
        each.kill()
    for each in rig.voters.values():
        each.start()
    rig.until(lambda: rig.leader(), "a leader after the restart")
    code, output = run(rig, "show", "tenant", "t1", "--at", str(first), "--json")
    assert (code, json.loads(output)["value"]) == (0, {"rate": 5})
    assert run(rig, "show", "tenant", "t1")[0] == 1 and run(rig, "show", "tenant", "t2")[0] == 1
    code, output = run(rig, "diff", str(first), str(last), "--json")
    assert code == 0 and len(json.loads(output)) == 1_501
    rig.until(
        lambda: (
            len(found := ages(rig)) == 3
            and all(version == last and 0 <= age < 2_000_000 for version, age in found.values())
        ),
        "all voters to serve the newest version",
    )
    client = rig.client()  # the configuration group has no replicated state for leases
    assert rig.ask(client.read, "owners", None, 10.0) is None
    with pytest.raises(RequestFailedError, match="does not know 'owners'"):
        rig.ask(client.propose, "owners", ["define", "job", ""], 1.0)
    rig.voters["v1"].signal(15)
    assert rig.voters["v1"].wait_for_exit() == 0


def test_a_voter_with_a_different_distribution_setting_is_not_added_and_does_not_start(rig):
    other = Voter(rig, "v4", "real")
    rig.voters["v4"] = other  # a voter without the setting quorum.distribution
    other.start()
    rig.until(other.status, "the fourth voter to answer")
    code, output = rig.command("quorum", "add", str(rig.voters["v1"].file), other.address)
    assert code == 2 and "set quorum.distribution to the same value" in output
    other.kill()
    changed = rig.voters["v2"]
    changed.kill()
    changed.settings["distribution"] = False
    changed.start()
    assert changed.wait_for_exit() == 2 and "set quorum.distribution as it was" in changed.log.read_text()
