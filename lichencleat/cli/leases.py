"""`lichencleat leases`: who owns which job of the fleet, and why."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from lichencleat.cli import output
from lichencleat.cli.consensus import (
    AS_JSON,
    CLI_REQUEST_TIMEOUT_S,
    FILE,
    read_group_settings,
    run_with_client,
)
from lichencleat.leases.messages import MAX_CRASHES, Candidate, CommandReply, DefineJob, DropJob, Job, MoveJob
from lichencleat.leases.placement import choose_holder


@click.group("leases", no_args_is_help=True)
def group() -> None:
    """Jobs of the fleet, each done by one process at a time."""


def state(file: str) -> tuple[dict[str, Job], dict[str, Candidate]]:
    told = run_with_client(
        lambda reactor, client: client.read("owners", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    return (
        msgspec.convert(told["jobs"], dict[str, Job]),
        msgspec.convert(told["candidates"], dict[str, Candidate]),
    )


def propose(file: str, what: Any) -> None:
    told = run_with_client(
        lambda reactor, client: client.propose("owners", what, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    done = msgspec.convert(told, CommandReply)
    if not done.accepted:
        raise output.WrongData(f"owners: nothing was changed: {done.reason}")


@group.command("list")
@FILE
@AS_JSON
def list_jobs(file: str, as_json: bool) -> None:
    """Each job with its owner and token."""
    jobs, candidates = state(file)
    rows = [
        [
            name,
            job.holder,
            job.fencing_token,
            job.preferred_zone,
            job.next_holder,
            job.crash_count,
            "aside" if job.suspended else "",
        ]
        for name, job in sorted(jobs.items())
    ]
    output.table(["job", "owner", "token", "near", "goes_to", "crashes", "state"], rows, as_json)
    if not as_json:
        click.echo()
        rows = [
            [name, each.zone, "yes" if each.healthy else "no"] for name, each in sorted(candidates.items())
        ]
        output.table(["candidate", "zone", "healthy"], rows, False)


@group.command()
@FILE
@click.argument("job")
@click.option("--near", default="", help="The zone in which it is better done.")
def define(file: str, job: str, near: str) -> None:
    """Make JOB known, or put one that was aside on again."""
    propose(file, DefineJob(job, near))


@group.command()
@FILE
@click.argument("job")
def drop(file: str, job: str) -> None:
    """Nobody does JOB any more; one made anew under its name goes on with greater tokens."""
    propose(file, DropJob(job))


@group.command()
@FILE
@click.argument("job")
@click.argument("candidate")
def move(file: str, job: str, candidate: str) -> None:
    """Have CANDIDATE own JOB; its owner lets go first."""
    propose(file, MoveJob(job, candidate))


@group.command()
@FILE
@click.argument("job")
def explain(file: str, job: str) -> None:
    """Why JOB is where it is."""
    jobs, candidates = state(file)
    if job not in jobs:
        raise output.WrongInput(f"owners: {job!r} is no job; there are {', '.join(sorted(jobs)) or 'none'}")
    click.echo("\n".join(reasons(job, jobs, candidates)))


def reasons(name: str, jobs: dict[str, Job], candidates: dict[str, Candidate]) -> list[str]:
    job = jobs[name]
    said = [
        f"{name}: token {job.fencing_token}"
        + (f", better in zone {job.preferred_zone}" if job.preferred_zone else "")
    ]
    if job.suspended:
        said.append(
            f"it is aside: it crashed {job.crash_count} owners in a row "
            f"({MAX_CRASHES} put it aside), the last"
        )
        said.append(
            f"one {job.last_crashed_holder}; look at its log there, "
            f"then 'lichencleat owners define FILE {name}'"
        )
    elif job.holder:
        owner = candidates[job.holder]
        where = (
            "which is near"
            if owner.zone == job.preferred_zone
            else f"as no healthy candidate is in {job.preferred_zone}"
        )
        said.append(
            f"{job.holder} owns it, in zone {owner.zone or '-'}"
            + (f", {where}" if job.preferred_zone else "")
        )
        if job.next_holder:
            said.append(f"{job.holder} is asked to let go of it, and {job.next_holder} gets it then")
    else:
        nobody = (
            "nobody: there is no healthy candidate"
            if not choose_holder(name, jobs, candidates)
            else "about to be given"
        )
        said.append(f"it is {nobody}")
    return said
