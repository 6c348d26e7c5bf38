"""Output shared by all commands: tables, JSON, progress and errors."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click

WRONG_INPUT, WRONG_DATA = 2, 1  # exit codes of the errors below


class WrongInput(click.ClickException):  # noqa: N818  (click's own naming)
    """The input is wrong. The message says what is wrong, where, and what to do."""

    exit_code = WRONG_INPUT


class WrongData(click.ClickException):  # noqa: N818
    """The input is valid, but the data is faulty or missing, or the group refused the request."""

    exit_code = WRONG_DATA


def pairs(values: dict[str, Any], as_json: bool) -> None:
    """Print names and values, one pair per line, or as one JSON object."""
    if as_json:
        click.echo(json.dumps(values))
        return
    width = max(map(len, values), default=0)
    for name, value in values.items():
        click.echo(f"{name:<{width}}  {value}")


def table(header: Sequence[str], rows: Iterable[Sequence[Any]], as_json: bool) -> None:
    """Print rows below a header, or as a JSON list of objects. Numbers are aligned to the right."""
    rows = [list(row) for row in rows]
    if as_json:
        click.echo(json.dumps([dict(zip(header, row, strict=True)) for row in rows]))
        return
    text_rows = [[f"{each:,.1f}" if isinstance(each, float) else str(each) for each in row] for row in rows]
    widths = [max(len(each) for each in column) for column in zip(header, *text_rows, strict=True)]
    right_aligned = [rows and isinstance(rows[0][index], int | float) for index in range(len(header))]
    for line in [list(header), *text_rows]:
        cells = [
            each.rjust(width) if align_right else each.ljust(width)
            for each, width, align_right in zip(line, widths, right_aligned, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def progress(action: str) -> Callable[[str, int, int], None]:
    """Return a callback for progress: file, amount done, total amount.

    The callback prints one line with the percentage if standard error is a terminal, otherwise nothing.
    """
    if not sys.stderr.isatty():
        return lambda file, done, total: None

    def show(file: str, done: int, total: int) -> None:
        percent = done * 100 // total if total else 100
        click.echo(f"\r{action} {file} {percent:3d}%\x1b[K", nl=False, err=True)
        if done >= total:
            click.echo("\r\x1b[K", nl=False, err=True)

    return show
