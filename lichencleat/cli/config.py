"""`lichencleat config`: the operators' file looked at before a node is told of it."""

from __future__ import annotations

import click

from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.listing import list_settings
from lichencleat.config.loading import read_node_config


@click.group("config", no_args_is_help=True)
def group() -> None:
    """The operators' file: check it, show what is in force."""


file = click.argument("file", metavar="FILE")


@group.command()
@file
def check(file: str) -> None:
    """Exit 0 if a node would take FILE; else one line with the place and what would be right, exit 2."""
    try:
        read_node_config(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    click.echo(f"{file}: good")


@group.command("show")
@file
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def show_values(file: str, as_json: bool) -> None:
    """Every value in force, and whether it is FILE's or the default."""
    try:
        rows = list_settings(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    output.table(
        ["setting", "value", "from"], [[each.path, each.value, each.origin] for each in rows], as_json
    )
