"""`lichencleat distribution run` and `status`: a relay, and where in the fleet which version is in force."""

from __future__ import annotations

import json
from typing import Any

import click

from lichencleat.cli import output
from lichencleat.cli.consensus import ask_all, on_reactor
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config_distribution.counts import MAX_AGE_US, merge_counts
from lichencleat.config_distribution.terms import IN_FORCE, Count
from lichencleat.coordinator.settings import read_quorum_settings

ZONE_HEAD = ["zone", "nodes", "lowest", "late", "oldest_s", "by"]
ASKED_HEAD = ["name", "address", "version", "digest", "age_s", "subscribers", "late_below"]
SECOND = 1_000_000  # µs


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def run(file: str) -> None:
    """Run the relay of FILE until SIGTERM."""
    from lichencleat.config_distribution import program
    from lichencleat.config_distribution.file import read_relay_file

    try:
        chosen = read_relay_file(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    raise click.exceptions.Exit(program.run(chosen))


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--at", help="ADDRESS of a relay (or voter) to ask instead of the voters.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of tables.")
def status(file: str, at: str | None, as_json: bool) -> None:
    """Which version is in force where, by zone, as the voters of FILE know. Exit code 1: nobody answers."""
    try:
        quorum = read_quorum_settings(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    addresses = [at] if at else list(quorum.members)
    told: list[dict[str, Any]] = []

    def main(reactor: Any) -> Any:
        return ask_all(reactor, quorum, addresses, IN_FORCE).addCallback(told.append)

    on_reactor(main)
    found = told[0] if told else {}
    answered = {address: each for address, each in found.items() if isinstance(each, dict)}
    summed = in_force(answered)
    if as_json:
        click.echo(json.dumps({**summed, "members": found}))
    else:
        show(summed, found)
    if not answered:
        raise output.WrongData(f"distribution: nobody answers ({', '.join(addresses)})")


def in_force(answered: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """The newest version that any voter has, and the zones' sums over all of them."""
    counts = merge_counts(
        Count(
            each["zone"],
            each["nodes"],
            each["lowest"],
            each["oldest_us"] if each["oldest_us"] >= 0 else MAX_AGE_US,
            each["late"],
            each["by"],
        )
        for voter in answered.values()
        for each in voter["counts"]
    )
    return {
        "version": max((each["version"] for each in answered.values()), default=0),
        "nodes": sum(each.nodes for each in counts),
        "late": sum(each.late_nodes for each in counts),
        "zones": [
            {
                "zone": each.zone,
                "nodes": each.nodes,
                "lowest": each.lowest_version,
                "late": each.late_nodes,
                "oldest_us": each.max_age if each.max_age < MAX_AGE_US else -1,
                "by": each.lowest_relay,
            }
            for each in counts
        ],
    }


def seconds(us: int) -> float | str:
    return us / SECOND if us >= 0 else "unknown"


def show(summed: dict[str, Any], found: dict[str, Any]) -> None:
    version = summed["version"]
    click.echo(f"version {version}, {summed['nodes']} nodes, {summed['late']} late\n")
    rows = [
        [each["zone"], each["nodes"], each["lowest"], each["late"], seconds(each["oldest_us"]), each["by"]]
        for each in summed["zones"]
    ]
    output.table(ZONE_HEAD, rows, False)
    click.echo("")
    rows, silent = [], []
    for address, each in sorted(found.items()):
        if isinstance(each, dict):
            late = sum(one["late"] for one in each["counts"])
            age = seconds(each["age_us"])
            row = [each["version"], each["digest"][:12], age, each["subscribers"], late]
            rows.append([each["name"], address, *row])
        else:
            silent.append(f"{address} did not answer: {each}")
    output.table(ASKED_HEAD, rows, False)
    for line in silent:
        click.echo(line)
