"""`lichencleat capacity`: what a fleet of a given size costs, from slopes that were measured."""

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
    """What a fleet costs, role by role, and what breaks first."""


@group.command("plan")
@click.option("--slopes", required=True, help="JSON file of python -m benchmarks.capacity.")
@click.option("--target", required=True, help="YAML file with the fleet's figures: see deploy/target.yaml.")
@click.option("--json", "as_json", is_flag=True, help="The whole plan.")
@click.option("--markdown", is_flag=True, help="All tables of docs/CAPACITY.md.")
@click.option("--into", type=click.Path(path_type=Path), help="Put the tables into that page.")
def plan_(slopes: str, target: str, as_json: bool, markdown: bool, into: Path | None) -> None:
    """Each role at the target, beside its budget; what does not hold, in order."""
    try:
        known, wanted = read_slopes(slopes), read_target(target)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    made = plan.make_plan(known, wanted)
    if as_json:
        click.echo(msgspec.json.encode(made).decode())
    elif markdown:
        for name, text in page.tables(made, known, wanted).items():
            click.echo(f"<!-- capacity: {name} -->\n\n{text}\n<!-- end -->\n")
    elif into is not None:
        put(into, page.tables(made, known, wanted))
    else:
        show(made)


def put(into: Path, tables: dict[str, str]) -> None:
    try:
        text = page.insert_tables(into.read_text(encoding="utf-8"), tables)
        into.write_text(text, encoding="utf-8")
    except (OSError, UnicodeDecodeError, page.InvalidPageError) as wrong:
        raise output.WrongInput(f"{into}: {wrong}") from wrong


def show(made: plan.Plan) -> None:
    rows = []
    for each in made.rows:
        value = "not measured" if each.value is None else f"{page.figure(each.value)} {each.unit}"
        budget = "-" if each.budget is None else page.figure(each.budget)
        breaks = "-" if each.breaks_at is None else page.figure(each.breaks_at)
        holds = {True: "yes", False: "NO", None: "-"}[each.holds]
        beyond = f"{each.beyond:.3g}" if each.beyond > 1 else "-"
        rows.append([each.role, each.figure, page.figure(each.size), value, budget, holds, breaks, beyond])
    head = ["role", "figure", "size", "at the target", "budget", "holds", "breaks at", "times beyond"]
    output.table(head, rows, False)
    click.echo("\nWhat does not hold, what ends first before others:")
    failing = [
        [each.role, each.what, f"{each.share:.1%}", page.figure(each.at), each.why, each.answer or "NOTHING"]
        for each in made.failing
    ]
    output.table(["role", "what", "of the target", "at", "by", "carried instead by"], failing, False)
