"""`lichencleat capacity`: the load on each role of a fleet of a given size, from benchmark results."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from lichencleat.capacity import page, plan
from lichencleat.capacity.target import read_slopes, read_target
from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError


@click.group("capacity", no_args_is_help=True)
def group() -> None:
    """The load on each role of a fleet of a given size, and which limits are exceeded first."""


@group.command("plan")
@click.option("--slopes", required=True, help="JSON file written by python -m benchmarks.capacity.")
@click.option(
    "--target", required=True, help="YAML file with the size of the fleet; deploy/target.yaml is an example."
)
@click.option("--json", "as_json", is_flag=True, help="Print the whole plan as JSON.")
@click.option("--markdown", is_flag=True, help="Print all tables of docs/CAPACITY.md.")
@click.option("--into", type=click.Path(path_type=Path), help="Insert the tables into this page.")
def plan_(slopes: str, target: str, as_json: bool, markdown: bool, into: Path | None) -> None:
    """Show each role's figures at the target size with their budgets, then the limits that are exceeded."""
    try:
        measured, target_size = read_slopes(slopes), read_target(target)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    capacity_plan = plan.make_plan(measured, target_size)
    if as_json:
        click.echo(msgspec.json.encode(capacity_plan).decode())
    elif markdown:
        for name, text in page.tables(capacity_plan, measured, target_size).items():
            click.echo(f"<!-- capacity: {name} -->\n\n{text}\n<!-- end -->\n")
    elif into is not None:
        insert_tables(into, page.tables(capacity_plan, measured, target_size))
    else:
        print_plan(capacity_plan)


def insert_tables(into: Path, tables: dict[str, str]) -> None:
    """Insert the tables into a page, in place of the page's earlier tables."""
    try:
        text = page.insert_tables(into.read_text(encoding="utf-8"), tables)
        into.write_text(text, encoding="utf-8")
    except (OSError, UnicodeDecodeError, page.InvalidPageError) as error:
        raise output.WrongInput(f"{into}: {error}") from error


def print_plan(capacity_plan: plan.Plan) -> None:
    """Print the figures at the target size, then the figures over their budget and the exceeded bounds."""
    rows = []
    for each in capacity_plan.rows:
        value = "not measured" if each.value is None else f"{page.figure(each.value)} {each.unit}"
        budget = "-" if each.budget is None else page.figure(each.budget)
        breaks_at = "-" if each.breaks_at is None else page.figure(each.breaks_at)
        holds = {True: "yes", False: "NO", None: "-"}[each.holds]
        beyond = f"{each.beyond:.3g}" if each.beyond > 1 else "-"
        rows.append([each.role, each.figure, page.figure(each.size), value, budget, holds, breaks_at, beyond])
    head = ["role", "figure", "size", "at the target", "budget", "holds", "breaks at", "times beyond"]
    output.table(head, rows, False)
    click.echo(
        "\nBudgets and bounds that the target exceeds; the one exceeded at the smallest size comes first:"
    )
    failing = [
        [each.role, each.what, f"{each.share:.1%}", page.figure(each.at), each.why, each.answer or "NOTHING"]
        for each in capacity_plan.failing
    ]
    output.table(["role", "what", "of the target", "at", "by", "carried instead by"], failing, False)
