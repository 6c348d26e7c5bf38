"""`lichencleat membership`: which processes are alive, as gossip among them shows."""

from __future__ import annotations

import click

from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.membership import program


@click.group("membership", no_args_is_help=True)
def group() -> None:
    """Which processes are alive, as gossip among them shows."""


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
def run(file: str) -> None:
    """Run the member that FILE configures until SIGTERM. Each change of the membership is logged."""
    try:
        config = program.read_membership_config(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error
    raise click.exceptions.Exit(program.run(config))
