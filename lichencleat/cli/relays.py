"""`lichencleat distribution run` and `status`: run a relay, show the configuration's version by zone."""

from __future__ import annotations

import json
from typing import Any

import click

from lichencleat.cli import output
from lichencleat.cli.consensus import call_members, run_on_reactor
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
    """Run the relay that FILE configures until SIGTERM."""
    from lichencleat.config_distribution import program
    from lichencleat.config_distribution.file import read_relay_file

    try:
        relay_file = read_relay_file(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    raise click.exceptions.Exit(program.run(relay_file))


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--at", help="Address of a relay or voter to ask instead of all voters.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of tables.")
def status(file: str, at: str | None, as_json: bool) -> None:
    """Show which version of the configuration is in force in each zone.

    FILE names the voters, which are asked unless --at is given. Exit code 1 if there is no answer.
    """
    try:
        quorum = read_quorum_settings(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    addresses = [at] if at else list(quorum.members)
    results: list[dict[str, Any]] = []

    def main(reactor: Any) -> Any:
        return call_members(reactor, quorum, addresses, IN_FORCE).addCallback(results.append)

    run_on_reactor(main)
    replies = results[0] if results else {}
    answered = {address: each for address, each in replies.items() if isinstance(each, dict)}
    summary = summarize_status(answered)
    if as_json:
        click.echo(json.dumps({**summary, "members": replies}))
    else:
        print_status(summary, replies)
    if not answered:
        raise output.WrongData(f"distribution: no answer from {', '.join(addresses)}")


def summarize_status(answered: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the newest version that any voter has, and the counts of nodes, added up over all voters."""
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
    """Convert µs to seconds; a negative number means unknown."""
    return us / SECOND if us >= 0 else "unknown"


def print_status(summary: dict[str, Any], replies: dict[str, Any]) -> None:
    """Print the counts by zone, the members that answered, and the members that did not answer."""
    version = summary["version"]
    click.echo(f"version {version}, {summary['nodes']} nodes, {summary['late']} late\n")
    rows = [
        [each["zone"], each["nodes"], each["lowest"], each["late"], seconds(each["oldest_us"]), each["by"]]
        for each in summary["zones"]
    ]
    output.table(ZONE_HEAD, rows, False)
    click.echo("")
    rows, unanswered = [], []
    for address, each in sorted(replies.items()):
        if isinstance(each, dict):
            late = sum(count["late"] for count in each["counts"])
            age = seconds(each["age_us"])
            row = [each["version"], each["digest"][:12], age, each["subscribers"], late]
            rows.append([each["name"], address, *row])
        else:
            unanswered.append(f"{address} did not answer: {each}")
    output.table(ASKED_HEAD, rows, False)
    for line in unanswered:
        click.echo(line)
