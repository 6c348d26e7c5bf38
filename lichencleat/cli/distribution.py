"""`lichencleat distribution`: configuration for every node checked, published, looked at; relays."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from itertools import islice
from typing import Any

import click
import msgspec
from twisted.internet.defer import inlineCallbacks

from lichencleat.cli import output, relays
from lichencleat.cli.consensus import AS_JSON, FILE, PATIENCE, chosen, talk
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config_distribution.published import Summary, check_file, read_changes, split
from lichencleat.config_distribution.source import (
    DiffQuery,
    DiffResult,
    FindQuery,
    FindResult,
    PublishCommand,
    PublishResult,
    RecordDifference,
    net_changes,
)
from lichencleat.config_distribution.terms import MAX_BATCH_BYTES, MAX_BATCH_CHANGES, Change
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

PART = "distribution"
UNCHANGED = "nothing would change"
CELL = 60  # characters of a value in a table
BATCH_FILE = click.argument("batch_file", metavar="BATCHFILE", type=click.Path(dir_okay=False))


@click.group("distribution", no_args_is_help=True)
def group() -> None:
    """The fleet's configuration, carried to every node."""


group.add_command(relays.run)
group.add_command(relays.status)


def read(path: str) -> Summary:
    try:
        return check_file(path)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong


def none_of_it(file: str) -> output.WrongData:
    return output.WrongData(
        f"distribution: the group of {file} is not one for configuration; its voters need "
        "'distribution: true' in their files"
    )


@group.command()
@BATCH_FILE
@AS_JSON
def check(batch_file: str, as_json: bool) -> None:
    """Is BATCHFILE one to publish? Exit code 2, with line and place, where not."""
    found = read(batch_file)
    kinds = dict(sorted(found.kinds.items()))
    shown: Any = kinds if as_json else ", ".join(f"{kind} {count}" for kind, count in kinds.items())
    output.pairs(
        {
            "records": found.records,
            "set": found.set,
            "gone": found.gone,
            "kinds": shown,
            "bytes": found.bytes,
            "batches": found.batches,
        },
        as_json,
    )


# -- publishing ----------------------------------------------------------------------------------------------


@group.command()
@FILE
@BATCH_FILE
@click.option("--only-if", type=int, help="The version that must be in force; 0: nothing yet.")
@click.option("--in-batches", is_flag=True, help="A large file goes batch by batch; each holds by itself.")
@click.option("--skip", type=click.IntRange(min=0), default=0, help="Records published before; --in-batches.")
@AS_JSON
def publish(
    file: str, batch_file: str, only_if: int | None, in_batches: bool, skip: int, as_json: bool
) -> None:
    """Publish the changes of BATCHFILE. Exit code 1 where the group refuses, 2 for a wrong file."""
    quorum = chosen(file)
    found = read(batch_file)
    if in_batches:
        if only_if is not None:
            raise output.WrongInput("distribution publish: --only-if is for one batch")
        publish_all(file, batch_file, found, skip, as_json)
        return
    if skip or found.batches > 1:
        why = (
            "--skip needs --in-batches"
            if skip
            else (
                f"{found.records} records, {found.bytes} bytes; one batch has at most {MAX_BATCH_CHANGES} "
                f"and {MAX_BATCH_BYTES}. With --in-batches it goes in {found.batches}, which hold each "
                "by itself"
            )
        )
        raise output.WrongInput(f"{batch_file}: {why}")
    wanted = PublishCommand(found.changes, only_if)
    answer = told(
        file, talk(lambda reactor, client: client.propose(PART, wanted, PATIENCE), quorum), PublishResult
    )
    if not answer.done:
        raise output.WrongData(
            f"distribution: nothing was published: {answer.why} (in force: {answer.version})"
        )
    if as_json:
        click.echo(json.dumps({"version": answer.version, "changed": answer.changed}))
    else:
        click.echo(f"version {answer.version}, {answer.changed} of {found.records} records changed")


def told(file: str, answer: Any, kind: type[Any]) -> Any:
    if answer is None:  # no part of that name
        raise none_of_it(file)
    return msgspec.convert(answer, kind)


class Progress:
    """How far a large file is."""

    def __init__(self, records: int, skip: int) -> None:
        self.records, self.done = records, skip
        self.batches = self.changed = self.version = 0
        self.why = ""  # it did not go on

    def show(self) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{self.done:,} of {self.records:,} records\x1b[K", nl=False, err=True)


def publish_all(file: str, batch_file: str, found: Summary, skip: int, as_json: bool) -> None:
    progress = Progress(found.records, min(skip, found.records))
    if not as_json:
        click.echo(f"{found.records:,} records in batches: each holds by itself, not all at once", err=True)
    talk(lambda reactor, client: propose_all(client, batch_file, progress), chosen(file))
    if sys.stderr.isatty():
        click.echo(err=True)
    if progress.why:
        raise output.WrongData(
            f"distribution: {progress.why}; {progress.done} of {found.records} records are published. "
            f"Go on with --in-batches --skip {progress.done}; what is there already changes nothing"
        )
    shown = {
        "version": progress.version,
        "records": found.records,
        "batches": progress.batches,
        "changed": progress.changed,
    }
    output.pairs(shown, as_json)


@inlineCallbacks
def propose_all(client: GroupClient, batch_file: str, progress: Progress) -> Any:
    try:
        for batch in split(changes_of(batch_file, progress.done)):
            answer = yield client.propose(PART, PublishCommand(batch), PATIENCE)
            if answer is None:
                progress.why = "the group is not one for configuration"
                return
            said = msgspec.convert(answer, PublishResult)
            if not said.done and said.why != UNCHANGED:
                progress.why = f"refused: {said.why}"
                return
            progress.version = said.version
            progress.batches += said.done
            progress.changed += said.changed
            progress.done += len(batch)
            progress.show()
    except (RequestFailedError, InvalidConfigError) as wrong:  # a file that was changed meanwhile
        progress.why = str(wrong)


def changes_of(batch_file: str, skip: int) -> Iterator[Change]:
    return (change for _, change in islice(read_changes(batch_file), skip, None))


# -- looking -------------------------------------------------------------------------------------------------


def plain(value: bytes | None) -> Any:
    """A value as JSON has it; its text, where it is none."""
    if value is None:
        return None
    try:
        return json.loads(value)
    except ValueError:
        return value.decode(errors="replace")


@group.command()
@FILE
@click.argument("kind")
@click.argument("name")
@click.option("--at", type=click.IntRange(min=1), help="As it was at that version.")
@AS_JSON
def show(file: str, kind: str, name: str, at: int | None, as_json: bool) -> None:
    """The record NAME of KIND, and the version at which it is that. Exit code 1 where there is none."""
    query = FindQuery(kind, name, at or 0)
    answer = talk(lambda reactor, client: client.read(PART, query, PATIENCE), chosen(file))
    found: FindResult = told(file, answer, FindResult)
    if not found.known:
        raise not_known(found, at or 0)
    if found.value is None:
        raise output.WrongData(f"distribution: no {kind} {name!r} at version {at or found.version}")
    value = plain(found.value)
    shown = value if as_json else found.value.decode(errors="replace")
    output.pairs({"value": shown, "version": at or found.version, "in_force": found.version}, as_json)


def not_known(found: FindResult | DiffResult, version: int) -> output.WrongData:
    return output.WrongData(
        f"distribution: version {version} is not known; {found.since} to {found.version} are"
    )


@group.command()
@FILE
@click.argument("a", type=click.IntRange(min=0))
@click.argument("b", type=click.IntRange(min=0))
@AS_JSON
def diff(file: str, a: int, b: int, as_json: bool) -> None:
    """The records that are others at version B than at version A."""
    quorum = chosen(file)
    changes: list[RecordDifference] = []

    @inlineCallbacks
    def ask(reactor: Any, client: GroupClient) -> Any:
        query = DiffQuery(min(a, b), max(a, b))
        while True:
            answer = yield client.read(PART, query, PATIENCE)
            found = answer and msgspec.convert(answer, DiffResult)
            if not found or not found.known:
                return found
            changes.extend(found.changes)
            if found.next_version == query.to_version:
                return found
            query = DiffQuery(found.next_version, query.to_version, found.skip_changes)

    found = talk(ask, quorum)
    if not found:
        raise none_of_it(file)
    if not found.known:
        raise not_known(found, next(each for each in (a, b) if not found.since <= each <= found.version))
    rows = net_changes(changes)
    if a > b:
        rows = [(kind, name, new, old) for kind, name, old, new in rows]
    if as_json:
        shown = [[kind, name, plain(old), plain(new)] for kind, name, old, new in rows]
    else:
        shown = [[kind, name, cell(old), cell(new)] for kind, name, old, new in rows]
    output.table(["kind", "name", "old", "new"], shown, as_json)


def cell(value: bytes | None) -> str:
    text = "-" if value is None else value.decode(errors="replace")
    return text if len(text) <= CELL else text[: CELL - 3] + "..."
