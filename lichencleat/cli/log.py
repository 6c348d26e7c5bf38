"""`lichencleat logs`: what many processes wrote, in one order."""

from __future__ import annotations

import os
from contextlib import ExitStack

import click

from lichencleat.cli import output
from lichencleat.log.merge import merge


@click.group("logs", no_args_is_help=True)
def group() -> None:
    """Logs of many processes."""


@group.command("merge")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--names/--no-names", default=True, help="Each line after its file's name.")
def merge_files(files: tuple[str, ...], names: bool) -> None:
    """The lines of FILES by their time; within a file in its own order."""
    with ExitStack() as opened:
        try:
            read = [
                (path, opened.enter_context(open(path, encoding="utf-8", errors="replace"))) for path in files
            ]
        except OSError as wrong:
            raise output.WrongInput(f"logs merge: {wrong.filename}: {wrong.strerror}; name a log") from wrong
        wide = max(len(os.path.basename(path)) for path in files)
        for path, line in merge(read):
            click.echo(f"{os.path.basename(path):<{wide}}  {line}" if names else line)
