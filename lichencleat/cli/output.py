"""What all commands show alike: tables, JSON, progress, and the one line of what is wrong."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click

WRONG_INPUT, WRONG_DATA = 2, 1  # exit codes


class WrongInput(click.ClickException):  # noqa: N818  (click's own naming)
    """What was asked for can't be: what, where, what to do."""

    exit_code = WRONG_INPUT


class WrongData(click.ClickException):  # noqa: N818
    """What was found is not as it should be."""

    exit_code = WRONG_DATA


def pairs(values: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(values))
        return
    wide = max(map(len, values), default=0)
    for name, value in values.items():
        click.echo(f"{name:<{wide}}  {value}")


def table(head: Sequence[str], rows: Iterable[Sequence[Any]], as_json: bool) -> None:
    """Numbers to the right, words to the left."""
    rows = [list(row) for row in rows]
    if as_json:
        click.echo(json.dumps([dict(zip(head, row, strict=True)) for row in rows]))
        return
    shown = [[f"{each:,.1f}" if isinstance(each, float) else str(each) for each in row] for row in rows]
    wide = [max(len(each) for each in column) for column in zip(head, *shown, strict=True)]
    right = [rows and isinstance(rows[0][at], int | float) for at in range(len(head))]
    for line in [list(head), *shown]:
        cells = [
            each.rjust(width) if to_right else each.ljust(width)
            for each, width, to_right in zip(line, wide, right, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def progress(what: str) -> Callable[[str, int, int], None]:
    """Shows file, share done on a terminal's standard error; nothing elsewhere."""
    if not sys.stderr.isatty():
        return lambda file, done, total: None

    def show(file: str, done: int, total: int) -> None:
        share = done * 100 // total if total else 100
        click.echo(f"\r{what} {file} {share:3d}%\x1b[K", nl=False, err=True)
        if done >= total:
            click.echo("\r\x1b[K", nl=False, err=True)

    return show
