"""`lichencleat leases`: the jobs of the fleet and the lease holder of each job."""

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
    """Jobs of the fleet, each run by one lease holder at a time."""


def read_leases(file: str) -> tuple[dict[str, Job], dict[str, Candidate]]:
    """Return the jobs and the candidates by name, from the group that `file` names."""
    leases = run_with_client(
        lambda reactor, client: client.read("owners", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    return (
        msgspec.convert(leases["jobs"], dict[str, Job]),
        msgspec.convert(leases["candidates"], dict[str, Candidate]),
    )


def propose(file: str, command: Any) -> None:
    """Have the group apply a command. Raises WrongData if the group rejects the command."""
    reply = run_with_client(
        lambda reactor, client: client.propose("owners", command, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    command_reply = msgspec.convert(reply, CommandReply)
    if not command_reply.accepted:
        raise output.WrongData(f"leases: the group rejected the change: {command_reply.reason}")


@group.command("list")
@FILE
@AS_JSON
def list_jobs(file: str, as_json: bool) -> None:
    """List the jobs with their lease holders.

    Columns: lease holder (owner), fencing token, preferred zone (near), next lease holder (goes_to), crashes,
    state; the state `aside` means that the job is suspended after crashes.
    """
    jobs, candidates = read_leases(file)
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
@click.option("--near", default="", help="Zone that the job should preferably run in.")
def define(file: str, job: str, near: str) -> None:
    """Define JOB, or resume JOB if it is suspended."""
    propose(file, DefineJob(job, near))


@group.command()
@FILE
@click.argument("job")
def drop(file: str, job: str) -> None:
    """Remove JOB, so that no process runs it. Fencing tokens still increase if JOB is defined again."""
    propose(file, DropJob(job))


@group.command()
@FILE
@click.argument("job")
@click.argument("candidate")
def move(file: str, job: str, candidate: str) -> None:
    """Move the lease of JOB to CANDIDATE, after the current holder has released the lease."""
    propose(file, MoveJob(job, candidate))


@group.command()
@FILE
@click.argument("job")
def explain(file: str, job: str) -> None:
    """Show which candidate holds the lease of JOB, and why."""
    jobs, candidates = read_leases(file)
    if job not in jobs:
        raise output.WrongInput(
            f"leases: no job {job!r} is defined; defined jobs: {', '.join(sorted(jobs)) or 'none'}"
        )
    click.echo("\n".join(explain_holder(job, jobs, candidates)))


def explain_holder(name: str, jobs: dict[str, Job], candidates: dict[str, Candidate]) -> list[str]:
    """Return lines that say which candidate holds a job's lease, and why."""
    job = jobs[name]
    lines = [
        f"{name}: token {job.fencing_token}"
        + (f", preferred zone {job.preferred_zone}" if job.preferred_zone else "")
    ]
    if job.suspended:
        lines.append(
            f"the job is suspended: it crashed {job.crash_count} times on its holders "
            f"({MAX_CRASHES} crashes suspend a job)"
        )
        lines.append(
            f"the last crash was on {job.last_crashed_holder}: find the cause in the log there, "
            f"then resume the job with 'lichencleat leases define FILE {name}'"
        )
    elif job.holder:
        holder = candidates[job.holder]
        zone_reason = (
            "which is the preferred zone"
            if holder.zone == job.preferred_zone
            else f"because no healthy candidate is in {job.preferred_zone}"
        )
        lines.append(
            f"{job.holder} holds the lease, in zone {holder.zone or '-'}"
            + (f", {zone_reason}" if job.preferred_zone else "")
        )
        if job.next_holder:
            lines.append(f"{job.holder} is asked to release the lease; {job.next_holder} gets the lease next")
    else:
        cause = (
            "there is no healthy candidate"
            if not choose_holder(name, jobs, candidates)
            else "a candidate is about to get the lease"
        )
        lines.append(f"no process holds the lease: {cause}")
    return lines
