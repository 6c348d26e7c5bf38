"""`lichencleat router`: the process that carries requests to the nodes of its zone, or another one."""

from __future__ import annotations

import click

from lichencleat.admission.types import NodeSpec
from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.router.file import RouterFile, read_router

FILE = click.argument("file", type=click.Path(dir_okay=False))


@click.group("router", no_args_is_help=True)
def group() -> None:
    """Carries requests near while that is safe, by the newest order of zones."""


def read(file: str) -> tuple[RouterFile, NodeSpec, frozenset[bytes]]:
    try:
        return read_router(file)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong


@group.command()
@FILE
def run(file: str) -> None:
    """Run the router of FILE until SIGTERM; SIGHUP reads again which nodes there are."""
    from lichencleat.router import program

    raise click.exceptions.Exit(program.run(file, *read(file)))


@group.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def check(file: str, as_json: bool) -> None:
    """What FILE says, or what is wrong with it (exit code 2)."""
    chosen, machine, _ = read(file)
    router = chosen.router
    output.pairs(
        {
            "name": router.name,
            "zone": router.zone,
            "listen": router.listen,
            "nodes": sum(len(each.nodes) for each in router.zones.values()),
            "zones": ", ".join(sorted(router.zones)),
            "classes": ", ".join(each.name for each in machine.request_classes),
            "group": router.group or "",
            "sends_elsewhere": router.group is not None and len(router.zones) > 1,
        },
        as_json,
    )
