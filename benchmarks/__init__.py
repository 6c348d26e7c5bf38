"""Measurements on this machine, no part of CI: python -m benchmarks.store, python -m benchmarks.flows."""

import os
from collections.abc import Callable

import click


def command(measures: dict[str, Callable[[int], None]]) -> click.Command:
    """The command that runs these in their order, or one of them; each is handed the number of pairs."""

    @click.command()
    @click.option("--pairs", type=click.IntRange(min=1), default=5)
    @click.option("--only", type=click.Choice(list(measures)))
    def main(pairs: int, only: str | None) -> None:
        total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 30
        click.echo(f"{os.cpu_count()} cores, {total} GiB")
        for name, measure in measures.items():
            if only in (None, name):
                click.echo(f"\n{name}")
                measure(pairs)

    return main
