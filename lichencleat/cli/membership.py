"""`lichencleat membership`: who is there, by gossip."""

from __future__ import annotations

import click

from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.membership import program


@click.group("membership", no_args_is_help=True)
def group() -> None:
    """Who is there, among many instances."""


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
def run(file: str) -> None:
    """Take part as FILE says until SIGTERM; each change is a line of the log."""
    try:
        chosen = program.read_membership_config(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong
    raise click.exceptions.Exit(program.run(chosen))
