"""`lichencleat leases`: who owns which job of the fleet, and why."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from lichencleat.cli import output
from lichencleat.cli.consensus import AS_JSON, FILE, PATIENCE, chosen, talk
from lichencleat.leases.choice import heir
from lichencleat.leases.terms import CRASHES_MOST, Candidate, Define, Done, Drop, Job, Move


@click.group("leases", no_args_is_help=True)
def group() -> None:
    """Jobs of the fleet, each done by one process at a time."""


def state(file: str) -> tuple[dict[str, Job], dict[str, Candidate]]:
    told = talk(lambda reactor, client: client.read("owners", None, PATIENCE), chosen(file))
    return (
        msgspec.convert(told["jobs"], dict[str, Job]),
        msgspec.convert(told["candidates"], dict[str, Candidate]),
    )


def propose(file: str, what: Any) -> None:
    told = talk(lambda reactor, client: client.propose("owners", what, PATIENCE), chosen(file))
    done = msgspec.convert(told, Done)
    if not done.done:
        raise output.WrongData(f"owners: nothing was changed: {done.why}")


@group.command("list")
@FILE
@AS_JSON
def list_jobs(file: str, as_json: bool) -> None:
    """Each job with its owner and token."""
    jobs, candidates = state(file)
    rows = [
        [name, job.owner, job.token, job.near, job.wanted, job.crashes, "aside" if job.aside else ""]
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
    propose(file, Define(job, near))


@group.command()
@FILE
@click.argument("job")
def drop(file: str, job: str) -> None:
    """Nobody does JOB any more; one made anew under its name goes on with greater tokens."""
    propose(file, Drop(job))


@group.command()
@FILE
@click.argument("job")
@click.argument("candidate")
def move(file: str, job: str, candidate: str) -> None:
    """Have CANDIDATE own JOB; its owner lets go first."""
    propose(file, Move(job, candidate))


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
    said = [f"{name}: token {job.token}" + (f", better in zone {job.near}" if job.near else "")]
    if job.aside:
        said.append(
            f"it is aside: it crashed {job.crashes} owners in a row ({CRASHES_MOST} put it aside), the last"
        )
        said.append(f"one {job.last}; look at its log there, then 'lichencleat owners define FILE {name}'")
    elif job.owner:
        owner = candidates[job.owner]
        where = "which is near" if owner.zone == job.near else f"as no healthy candidate is in {job.near}"
        said.append(f"{job.owner} owns it, in zone {owner.zone or '-'}" + (f", {where}" if job.near else ""))
        if job.wanted:
            said.append(f"{job.owner} is asked to let go of it, and {job.wanted} gets it then")
    else:
        nobody = (
            "nobody: there is no healthy candidate"
            if not heir(name, jobs, candidates)
            else "about to be given"
        )
        said.append(f"it is {nobody}")
    return said
