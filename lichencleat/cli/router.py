"""`lichencleat router`: the process that sends requests to the nodes of its own zone or of another zone."""

from __future__ import annotations

import click

from lichencleat.admission.types import NodeSpec
from lichencleat.cli import output
from lichencleat.config.errors import InvalidConfigError
from lichencleat.router.file import RouterFile, read_router

FILE = click.argument("file", type=click.Path(dir_okay=False))


@click.group("router", no_args_is_help=True)
def group() -> None:
    """Sends requests to nodes, in its own zone while the zone is healthy, by the newest routing plan."""


def read(file: str) -> tuple[RouterFile, NodeSpec, frozenset[bytes]]:
    """Read the router's file and the settings that the file names. Raises WrongInput if either is invalid."""
    try:
        return read_router(file)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error


@group.command()
@FILE
def run(file: str) -> None:
    """Run the router that FILE configures until SIGTERM. SIGHUP reads the list of nodes again."""
    from lichencleat.router import program

    raise click.exceptions.Exit(program.run(file, *read(file)))


@group.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def check(file: str, as_json: bool) -> None:
    """Check FILE and show its main settings. If FILE is invalid, print the error and exit with code 2."""
    router_file, node_spec, _ = read(file)
    router = router_file.router
    output.pairs(
        {
            "name": router.name,
            "zone": router.zone,
            "listen": router.listen,
            "nodes": sum(len(each.nodes) for each in router.zones.values()),
            "zones": ", ".join(sorted(router.zones)),
            "classes": ", ".join(each.name for each in node_spec.request_classes),
            "group": router.group or "",
            "sends_elsewhere": router.group is not None and len(router.zones) > 1,
        },
        as_json,
    )
