"""`lichencleat config`: check and show a node's configuration file before a node uses it."""

from __future__ import annotations

import click

from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.listing import list_settings
from lichencleat.config.loading import read_node_config


@click.group("config", no_args_is_help=True)
def group() -> None:
    """A node's configuration file: check it, show the effective settings."""


file = click.argument("file", metavar="FILE")


@group.command()
@file
def check(file: str) -> None:
    """Check FILE. If a node would reject it, print the line and what is expected, and exit with code 2."""
    try:
        read_node_config(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    click.echo(f"{file}: good")


@group.command("show")
@file
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def show_values(file: str, as_json: bool) -> None:
    """Show every effective setting, and whether its value is from a line of FILE or the default."""
    try:
        rows = list_settings(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    output.table(
        ["setting", "value", "from"], [[each.path, each.value, each.origin] for each in rows], as_json
    )
