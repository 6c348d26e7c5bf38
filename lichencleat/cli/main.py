"""The command `lichencleat`, with one noun (group of commands) per subsystem.

A noun's module and the libraries that the module needs are imported only when the noun is used.
"""

from __future__ import annotations

import importlib
import sys
from dataclasses import dataclass

import click


@dataclass(frozen=True, slots=True)
class Noun:
    """A group of commands."""

    module: str
    """Name of the module that defines the click group, as its attribute `group`."""
    summary: str
    """Description for `--help` in one line, available without importing the module."""


NOUNS = {
    "capacity": Noun(
        "lichencleat.cli.capacity",
        "The load on each role of a fleet of a given size, and which limits are exceeded first.",
    ),
    "config": Noun(
        "lichencleat.cli.config", "A node's configuration file: check it, show the effective settings."
    ),
    "consensus": Noun(
        "lichencleat.cli.consensus",
        "Groups of voters with a replicated log: found a group, run members, change the membership.",
    ),
    "distribution": Noun(
        "lichencleat.cli.distribution",
        "The fleet's configuration: publish changes, run relays that deliver them to all nodes.",
    ),
    "failover": Noun(
        "lichencleat.cli.failover", "Routing of requests between zones: status, overrides, drills, reasons."
    ),
    "fleet": Noun(
        "lichencleat.cli.fleet",
        "All nodes: the fraction of requests that each admits; recovery after a power loss.",
    ),
    "flows": Noun(
        "lichencleat.cli.flows", "Flow export: a collector that adds up the traffic of each tenant."
    ),
    "idempotency": Noun(
        "lichencleat.cli.idempotency",
        "Idempotency records of a node, stored with the results: list, check, adopt a directory.",
    ),
    "leases": Noun("lichencleat.cli.leases", "Jobs of the fleet, each run by one lease holder at a time."),
    "logs": Noun("lichencleat.cli.log", "Logs of several processes, merged by time."),
    "membership": Noun(
        "lichencleat.cli.membership", "Which processes are alive, as gossip among them shows."
    ),
    "quotas": Noun("lichencleat.cli.quotas", "Capacity of shared dependencies, allocated to the nodes."),
    "router": Noun(
        "lichencleat.cli.router", "Sends requests to nodes, in its own zone while the zone is healthy."
    ),
    "store": Noun("lichencleat.cli.store", "Durable key-value store: put, get, check, repair."),
}

FORMER_NOUNS = {
    "keyed": "idempotency",
    "members": "membership",
    "owners": "leases",
    "quorum": "consensus",
    "shares": "quotas",
    "zones": "failover",
}
"""Current noun by former noun (before December 2026). Former nouns work as aliases that --help omits."""

EXTRAS = {
    "yaml": "file",
    "crc32c": "store",
    "msgspec": "store",
    "sortedcontainers": "store",
    "hdrh": "bench",
    "structlog": "fleet",
    "xxhash": "fleet",
}
"""By name of an optional module: the extra of `pyproject.toml` that installs the module."""


class NounGroup(click.Group):
    """The root group, which imports the module of a noun when the noun is first used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the current nouns, sorted, without the former ones."""
        return sorted(NOUNS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the click group of a current or former noun, or None for an unknown noun."""
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
    """Admission control, scheduling and fleet coordination for servers behind load balancers.

    Without a command, run the node that the environment variable BALANCER_CONFIG configures.
    """


def run(arguments: list[str]) -> int:
    """Run the command and return its exit code. Errors are printed in one line on standard error."""
    try:
        code = lichencleat.main(arguments, prog_name="lichencleat", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as help_request:
        click.echo(help_request.format_message())
        return 2
    except click.ClickException as error:
        command = f"{error.ctx.command_path}: " if isinstance(error, click.UsageError) and error.ctx else ""
        click.echo(f"lichencleat: {command}{error.format_message()}", err=True)
        return error.exit_code
    except (click.Abort, KeyboardInterrupt):
        return 130
    except BrokenPipeError:  # the reader closed standard output, as `head` does
        sys.stdout = None
        return 0
    except ModuleNotFoundError as missing:
        extra = EXTRAS.get(missing.name or "")
        if extra is None:
            raise
        click.echo(f"lichencleat: needs {missing.name}: pip install 'lichencleat[{extra}]'", err=True)
        return 2
    return code if isinstance(code, int) else 0  # the code of click.exceptions.Exit
