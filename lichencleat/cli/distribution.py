"""`lichencleat distribution`: check, publish and show the fleet's configuration; run relays."""

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
from lichencleat.cli.consensus import (
    AS_JSON,
    CLI_REQUEST_TIMEOUT_S,
    FILE,
    read_group_settings,
    run_with_client,
)
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
UNCHANGED = "nothing would change"  # reason of the group for rejecting a batch that changes no record
MAX_CELL_LENGTH = 60  # characters of a value in a table
BATCH_FILE = click.argument("batch_file", metavar="BATCHFILE", type=click.Path(dir_okay=False))


@click.group("distribution", no_args_is_help=True)
def group() -> None:
    """The fleet's configuration: publish changes, run relays that deliver them to all nodes."""


group.add_command(relays.run)
group.add_command(relays.status)


def read_batch_file(path: str) -> Summary:
    """Check a file of changes, and return its summary. Raises WrongInput."""
    try:
        return check_file(path)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error


def no_distribution_error(file: str) -> output.WrongData:
    """Return the error for a group that does not distribute configuration."""
    return output.WrongData(
        f"distribution: the group of {file} does not distribute configuration; set "
        "'distribution: true' in the files of its voters"
    )


@group.command()
@BATCH_FILE
@AS_JSON
def check(batch_file: str, as_json: bool) -> None:
    """Check whether BATCHFILE can be published. If not, print line and place, and exit with code 2."""
    summary = read_batch_file(batch_file)
    kinds = dict(sorted(summary.kinds.items()))
    shown: Any = kinds if as_json else ", ".join(f"{kind} {count}" for kind, count in kinds.items())
    output.pairs(
        {
            "records": summary.records,
            "set": summary.set,
            "gone": summary.gone,
            "kinds": shown,
            "bytes": summary.bytes,
            "batches": summary.batches,
        },
        as_json,
    )


# -- publishing ----------------------------------------------------------------------------------------------


@group.command()
@FILE
@BATCH_FILE
@click.option("--only-if", type=int, help="Version that must be in force; 0: none yet.")
@click.option(
    "--in-batches", is_flag=True, help="Publish a large file in batches that take effect one by one."
)
@click.option(
    "--skip", type=click.IntRange(min=0), default=0, help="With --in-batches: number of records to skip."
)
@AS_JSON
def publish(
    file: str, batch_file: str, only_if: int | None, in_batches: bool, skip: int, as_json: bool
) -> None:
    """Publish the changes of BATCHFILE. Exit code 1 if the group rejects them, 2 if BATCHFILE is invalid."""
    quorum = read_group_settings(file)
    summary = read_batch_file(batch_file)
    if in_batches:
        if only_if is not None:
            raise output.WrongInput(
                "distribution publish: --only-if can't be combined with --in-batches; leave one out"
            )
        publish_in_batches(file, batch_file, summary, skip, as_json)
        return
    if skip or summary.batches > 1:
        problem = (
            "--skip can be used only with --in-batches"
            if skip
            else (
                f"{summary.records} records, {summary.bytes} bytes; a batch has at most "
                f"{MAX_BATCH_CHANGES} records and {MAX_BATCH_BYTES} bytes. With --in-batches, the file is "
                f"published in {summary.batches} batches that take effect one by one"
            )
        )
        raise output.WrongInput(f"{batch_file}: {problem}")
    command = PublishCommand(summary.changes, only_if)
    answer = decode_reply(
        file,
        run_with_client(lambda reactor, client: client.propose(PART, command, CLI_REQUEST_TIMEOUT_S), quorum),
        PublishResult,
    )
    if not answer.done:
        raise output.WrongData(
            f"distribution: nothing was published: {answer.why} (version in force: {answer.version})"
        )
    if as_json:
        click.echo(json.dumps({"version": answer.version, "changed": answer.changed}))
    else:
        click.echo(f"version {answer.version}, {answer.changed} of {summary.records} records changed")


def decode_reply(file: str, answer: Any, kind: type[Any]) -> Any:
    """Decode a reply of the group. Raises WrongData if the group does not distribute configuration."""
    if answer is None:  # the group's replicated state has no part `PART`
        raise no_distribution_error(file)
    return msgspec.convert(answer, kind)


class Progress:
    """Progress of publishing a file in batches."""

    def __init__(self, records: int, skip: int) -> None:
        self.records, self.done = records, skip
        self.batches = self.changed = self.version = 0
        self.failure = ""  # why publishing stopped; empty if no batch failed

    def show(self) -> None:
        """Print the progress if standard error is a terminal."""
        if sys.stderr.isatty():
            click.echo(f"\r{self.done:,} of {self.records:,} records\x1b[K", nl=False, err=True)


def publish_in_batches(file: str, batch_file: str, summary: Summary, skip: int, as_json: bool) -> None:
    """Publish a file batch by batch. Raises WrongData with the number of published records on a failure."""
    progress = Progress(summary.records, min(skip, summary.records))
    if not as_json:
        click.echo(f"{summary.records:,} records in batches, which take effect one by one", err=True)
    run_with_client(
        lambda reactor, client: propose_batches(client, batch_file, progress), read_group_settings(file)
    )
    if sys.stderr.isatty():
        click.echo(err=True)
    if progress.failure:
        raise output.WrongData(
            f"distribution: {progress.failure}; {progress.done} of {summary.records} records are published. "
            f"Continue with --in-batches --skip {progress.done}; records published twice change nothing"
        )
    shown = {
        "version": progress.version,
        "records": summary.records,
        "batches": progress.batches,
        "changed": progress.changed,
    }
    output.pairs(shown, as_json)


@inlineCallbacks
def propose_batches(client: GroupClient, batch_file: str, progress: Progress) -> Any:
    """Propose the batches of a file one after another, and record the progress or the failure."""
    try:
        for batch in split(read_remaining_changes(batch_file, progress.done)):
            answer = yield client.propose(PART, PublishCommand(batch), CLI_REQUEST_TIMEOUT_S)
            if answer is None:
                progress.failure = "the group does not distribute configuration"
                return
            reply = msgspec.convert(answer, PublishResult)
            if not reply.done and reply.why != UNCHANGED:
                progress.failure = f"the group rejected a batch: {reply.why}"
                return
            progress.version = reply.version
            progress.batches += reply.done
            progress.changed += reply.changed
            progress.done += len(batch)
            progress.show()
    except (RequestFailedError, InvalidConfigError) as error:  # InvalidConfigError: the file was changed
        progress.failure = str(error)


def read_remaining_changes(batch_file: str, skip: int) -> Iterator[Change]:
    """Return the changes of a file without the first `skip` records."""
    return (change for _, change in islice(read_changes(batch_file), skip, None))


# -- queries -------------------------------------------------------------------------------------------------


def decode_value(value: bytes | None) -> Any:
    """Decode a record's JSON value. Return the text of a value that is not JSON."""
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
@click.option("--at", type=click.IntRange(min=1), help="Show the record at this version.")
@AS_JSON
def show(file: str, kind: str, name: str, at: int | None, as_json: bool) -> None:
    """Show the record NAME of KIND, and the version of the value. Exit code 1 if there is no such record."""
    query = FindQuery(kind, name, at or 0)
    answer = run_with_client(
        lambda reactor, client: client.read(PART, query, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    found: FindResult = decode_reply(file, answer, FindResult)
    if not found.known:
        raise unknown_version_error(found, at or 0)
    if found.value is None:
        raise output.WrongData(f"distribution: no {kind} {name!r} at version {at or found.version}")
    value = decode_value(found.value)
    printed = value if as_json else found.value.decode(errors="replace")
    output.pairs({"value": printed, "version": at or found.version, "in_force": found.version}, as_json)


def unknown_version_error(found: FindResult | DiffResult, version: int) -> output.WrongData:
    """Return the error for a version that is too old or does not exist yet."""
    return output.WrongData(
        f"distribution: version {version} is not available; versions {found.since} to {found.version} are"
    )


@group.command()
@FILE
@click.argument("a", type=click.IntRange(min=0))
@click.argument("b", type=click.IntRange(min=0))
@AS_JSON
def diff(file: str, a: int, b: int, as_json: bool) -> None:
    """Show the records that differ between versions A and B."""
    quorum = read_group_settings(file)
    changes: list[RecordDifference] = []

    @inlineCallbacks
    def read_changes_between(reactor: Any, client: GroupClient) -> Any:
        query = DiffQuery(min(a, b), max(a, b))
        while True:
            answer = yield client.read(PART, query, CLI_REQUEST_TIMEOUT_S)
            found = answer and msgspec.convert(answer, DiffResult)
            if not found or not found.known:
                return found
            changes.extend(found.changes)
            if found.next_version == query.to_version:
                return found
            query = DiffQuery(found.next_version, query.to_version, found.skip_changes)

    found = run_with_client(read_changes_between, quorum)
    if not found:
        raise no_distribution_error(file)
    if not found.known:
        raise unknown_version_error(
            found, next(each for each in (a, b) if not found.since <= each <= found.version)
        )
    rows = net_changes(changes)
    if a > b:
        rows = [(kind, name, new, old) for kind, name, old, new in rows]
    if as_json:
        shown = [[kind, name, decode_value(old), decode_value(new)] for kind, name, old, new in rows]
    else:
        shown = [[kind, name, table_cell(old), table_cell(new)] for kind, name, old, new in rows]
    output.table(["kind", "name", "old", "new"], shown, as_json)


def table_cell(value: bytes | None) -> str:
    """Return a value as text for a table: shortened if it is long, `-` if the record does not exist."""
    text = "-" if value is None else value.decode(errors="replace")
    return text if len(text) <= MAX_CELL_LENGTH else text[: MAX_CELL_LENGTH - 3] + "..."
