"""The command `lichencleat`: one noun for each subsystem.

The module of a noun, and the libraries that it needs, are imported only when the noun is used.
"""

from __future__ import annotations

import importlib
import sys
from dataclasses import dataclass

import click


@dataclass(frozen=True, slots=True)
class Noun:
    """One group of commands."""

    module: str
    """Where the group stands, as its attribute `group`."""
    summary: str
    """One line for `--help`, shown without an import of the module."""


NOUNS = {
    "capacity": Noun("lichencleat.cli.capacity", "What a fleet costs, role by role, and what breaks first."),
    "config": Noun("lichencleat.cli.config", "The operators' file: check it, show what is in force."),
    "consensus": Noun(
        "lichencleat.cli.consensus", "Voters with a replicated log: found a group, run a member, change it."
    ),
    "distribution": Noun("lichencleat.cli.distribution", "The fleet's configuration, carried to every node."),
    "failover": Noun("lichencleat.cli.failover", "Which zone serves what: overrides, drills, reasons."),
    "fleet": Noun("lichencleat.cli.fleet", "All nodes: how much each admits; recovery after a power loss."),
    "flows": Noun("lichencleat.cli.flows", "Flow export: a collector that adds up who sent what."),
    "idempotency": Noun(
        "lichencleat.cli.idempotency", "Idempotency records and results of a node that outlive its restarts."
    ),
    "leases": Noun("lichencleat.cli.leases", "Jobs of the fleet, each with one lease holder at a time."),
    "logs": Noun("lichencleat.cli.log", "Logs of many processes, in one order."),
    "membership": Noun("lichencleat.cli.membership", "Which instances are alive, by gossip."),
    "quotas": Noun("lichencleat.cli.quotas", "Capacity of a shared dependency, allocated to the nodes."),
    "router": Noun(
        "lichencleat.cli.router", "Carries requests to nodes, in the own zone while that is safe."
    ),
    "store": Noun("lichencleat.cli.store", "Records that survive power cuts: put, get, check, repair."),
}

FORMER_NOUNS = {
    "keyed": "idempotency",
    "members": "membership",
    "owners": "leases",
    "quorum": "consensus",
    "shares": "quotas",
    "zones": "failover",
}
"""Names of nouns before December 2026: hidden aliases that run the same code."""

EXTRAS = {
    "yaml": "file",
    "crc32c": "store",
    "msgspec": "store",
    "sortedcontainers": "store",
    "hdrh": "bench",
    "structlog": "fleet",
    "xxhash": "fleet",
}
"""The extra of `pyproject.toml` that brings a missing module."""


class NounGroup(click.Group):
    """Resolves nouns by name and imports their modules on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the current nouns; former ones are not listed."""
        return sorted(NOUNS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the group of a current or former noun, or None."""
        noun = NOUNS.get(FORMER_NOUNS.get(cmd_name, cmd_name))
        if noun is None:
            return None
        command: click.Command = importlib.import_module(noun.module).group
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the table of nouns without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, noun.summary) for name, noun in sorted(NOUNS.items())])


@click.command(cls=NounGroup)
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
