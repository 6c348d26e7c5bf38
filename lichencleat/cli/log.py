"""`lichencleat logs`: logs of several processes, merged by time."""

from __future__ import annotations

import os
from contextlib import ExitStack

import click

from lichencleat.cli import output
from lichencleat.log.merge import merge


@click.group("logs", no_args_is_help=True)
def group() -> None:
    """Logs of several processes, merged by time."""


@group.command("merge")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--names/--no-names", default=True, help="Print the file's name before each line.")
def merge_files(files: tuple[str, ...], names: bool) -> None:
    """Merge the lines of FILES by time. Lines of the same file keep their order."""
    with ExitStack() as stack:
        try:
            files_with_lines = [
                (path, stack.enter_context(open(path, encoding="utf-8", errors="replace"))) for path in files
            ]
        except OSError as error:
            raise output.WrongInput(
                f"logs merge: {error.filename}: {error.strerror}; name a file that can be read"
            ) from error
        width = max(len(os.path.basename(path)) for path in files)
        for path, line in merge(files_with_lines):
            click.echo(f"{os.path.basename(path):<{width}}  {line}" if names else line)
