"""The command `lichencleat` and its nouns; a noun's module, and what it needs, is imported only when it is
used.
"""

from __future__ import annotations

import importlib
import sys

import click

NOUNS = {
    "capacity": ("lichencleat.cli.capacity", "What a fleet costs, role by role, and what breaks first."),
    "config": ("lichencleat.cli.chosen", "The operators' file: check it, show what is in force."),
    "distribution": ("lichencleat.cli.distribution", "The fleet's configuration, carried to every node."),
    "fleet": ("lichencleat.cli.fleet", "All nodes: how far each is open; a return after a power loss."),
    "flows": ("lichencleat.cli.flows", "Flow export: a collector that adds up who sent what."),
    "keyed": ("lichencleat.cli.keyed", "Receipts and results of a node that outlive its restarts."),
    "logs": ("lichencleat.cli.logs", "Logs of many processes, in one order."),
    "members": ("lichencleat.cli.members", "Who is there, among many instances."),
    "owners": ("lichencleat.cli.owners", "Jobs of the fleet, each done by one process at a time."),
    "quorum": (
        "lichencleat.cli.quorum",
        "Voters that agree on small facts: make a group, run it, change it.",
    ),
    "router": ("lichencleat.cli.router", "Carries requests to nodes: near while that is safe."),
    "shares": ("lichencleat.cli.shares", "Parts of a dependency, dealt out to the fleet's nodes."),
    "store": ("lichencleat.cli.store", "Records that survive cuts: put, get, check, repair."),
    "zones": ("lichencleat.cli.zones", "Which zone serves what, drills, and why."),
}
EXTRAS = {
    "yaml": "file",
    "crc32c": "store",
    "msgspec": "store",
    "sortedcontainers": "store",
    "hdrh": "bench",
    "structlog": "fleet",
    "xxhash": "fleet",
}


class Nouns(click.Group):
    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(NOUNS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        return importlib.import_module(NOUNS[name][0]).group if name in NOUNS else None

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):  # without importing them
            formatter.write_dl([(name, help) for name, (_, help) in sorted(NOUNS.items())])


@click.command(cls=Nouns)
@click.version_option(package_name="lichencleat")
def lichencleat() -> None:
    """Admission and scheduling for servers behind others' balancers.

    Without a command it is the node that BALANCER_CONFIG describes.
    """


def run(arguments: list[str]) -> int:
    """The command's exit code; whatever goes wrong is one line."""
    try:
        code = lichencleat.main(arguments, prog_name="lichencleat", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as asked:
        click.echo(asked.format_message())
        return 2
    except click.ClickException as wrong:
        place = f"{wrong.ctx.command_path}: " if isinstance(wrong, click.UsageError) and wrong.ctx else ""
        click.echo(f"lichencleat: {place}{wrong.format_message()}", err=True)
        return wrong.exit_code
    except (click.Abort, KeyboardInterrupt):
        return 130
    except BrokenPipeError:  # who read the output has seen enough
        sys.stdout = None
        return 0
    except ModuleNotFoundError as missing:
        extra = EXTRAS.get(missing.name or "")
        if extra is None:
            raise
        click.echo(f"lichencleat: needs {missing.name}: pip install 'lichencleat[{extra}]'", err=True)
        return 2
    return code if isinstance(code, int) else 0  # what click.exceptions.Exit was raised with
