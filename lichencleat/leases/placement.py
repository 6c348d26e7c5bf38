"""Placement of jobs: which candidate gets a free job, and which job should move.

All functions are pure and use no randomness, so all members of the group make the same decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from lichencleat.leases.messages import Candidate, Job

# A job moves if its holder has at least this many jobs more than another candidate. With 1, a job would move
# back and forth between two candidates.
MIN_LOAD_DIFFERENCE = 2


class Relocation(NamedTuple):
    """A job that should move, and the candidate that it should move to."""

    job: str
    target: str


def count_jobs(jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> dict[str, int]:
    """Return how many jobs each candidate has; a job that is about to move counts for its next holder."""
    counts = dict.fromkeys(candidates, 0)
    for job in jobs.values():
        holder = job.next_holder or job.holder
        if holder in counts:
            counts[holder] += 1
    return counts


def can_run(job_name: str, candidate: Candidate) -> bool:
    """Whether the candidate's version and configuration support the job."""
    prefixes = candidate.job_prefixes
    return not prefixes or any(job_name.startswith(prefix) for prefix in prefixes)


def choose_holder(job_name: str, jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> str:
    """Return the candidate that a free job should go to; an empty string if there is none.

    The candidate must be healthy and able to run the job. The job's `next_holder` is preferred to all others.
    The others are compared by three criteria, in this order: the job has not crashed there last, the job's
    preferred zone, fewest jobs.
    """
    job = jobs[job_name]
    if job.suspended:
        return ""
    eligible = [name for name, each in candidates.items() if each.healthy and can_run(job_name, each)]
    if job.next_holder in eligible:
        return job.next_holder
    counts = count_jobs(jobs, candidates)

    def rank(name: str) -> tuple[bool, bool, int, str]:
        in_other_zone = bool(job.preferred_zone) and candidates[name].zone != job.preferred_zone
        return name == job.last_crashed_holder, in_other_zone, counts[name], name

    return min(eligible, key=rank, default="")


def find_relocation(jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> Relocation | None:
    """Return one job that should move; None if no job should, or while another move is in progress.

    A job moves only if its holder is unhealthy, cannot run the job, is outside the preferred zone, or has at
    least MIN_LOAD_DIFFERENCE more jobs than an equally suitable candidate.
    """
    if any(job.next_holder for job in jobs.values()):
        return None
    counts = count_jobs(jobs, candidates)
    for name, job in sorted(jobs.items()):
        if job.holder in candidates:
            target = find_better_holder(name, job, candidates, counts)
            if target is not None:
                return Relocation(name, target)
    return None


def find_better_holder(
    job_name: str, job: Job, candidates: Mapping[str, Candidate], counts: Mapping[str, int]
) -> str | None:
    """Return the candidate that the job should move to, None if the job should stay with its holder.

    Args:
        job_name: Name of the job.
        job: The job; its holder must be one of the candidates.
        candidates: All candidates, by name.
        counts: How many jobs each candidate has.
    """

    def least_loaded(names: list[str]) -> str | None:
        return min(names, key=lambda name: (counts[name], name), default=None)

    holder = candidates[job.holder]
    others = [
        name
        for name, each in candidates.items()
        if each.healthy and name not in (job.holder, job.last_crashed_holder) and can_run(job_name, each)
    ]
    in_zone = [name for name in others if candidates[name].zone == job.preferred_zone]
    if others and not (holder.healthy and can_run(job_name, holder)):
        return least_loaded(in_zone or others)
    if job.preferred_zone and holder.zone != job.preferred_zone:
        return least_loaded(in_zone)
    target = least_loaded(in_zone if job.preferred_zone else others)
    if target is not None and counts[job.holder] - counts[target] >= MIN_LOAD_DIFFERENCE:
        return target
    return None
