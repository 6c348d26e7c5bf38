"""Who is given a free job, and which job is better moved; no I/O, no chance: the same at each member of the
group.
"""

from __future__ import annotations

from collections.abc import Mapping

from lichencleat.leases.terms import Candidate, Job

# jobs more than the least loaded one has: from there on one is moved; one less would swing back and forth
UNEVEN = 2


def loads(jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> dict[str, int]:
    """Jobs that each candidate has or is to have."""
    found = dict.fromkeys(candidates, 0)
    for job in jobs.values():
        heir = job.wanted or job.owner
        if heir in found:
            found[heir] += 1
    return found


def can(name: str, candidate: Candidate) -> bool:
    """Is that a job that it can do? One of an older version, or with less in its file, knows fewer."""
    return not candidate.knows or any(name.startswith(each) for each in candidate.knows)


def heir(name: str, jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> str:
    """The candidate for a free job, empty where there is none: able, healthy, near, not crashed by it last,
    with few jobs.
    """
    job = jobs[name]
    if job.aside:
        return ""
    if job.wanted in candidates and candidates[job.wanted].healthy and can(name, candidates[job.wanted]):
        return job.wanted
    fit = [who for who, each in candidates.items() if each.healthy and can(name, each)]
    if not fit:
        return ""
    loaded = loads(jobs, candidates)
    far = {who: bool(job.near) and candidates[who].zone != job.near for who in fit}
    return min(fit, key=lambda who: (who == job.last, far[who], loaded[who], who))


def better(jobs: Mapping[str, Job], candidates: Mapping[str, Candidate]) -> tuple[str, str] | None:
    """One job that should go to another candidate, and to whom; None while anything is on its way, or all is
    well.

    What works is left alone, unless its owner is not healthy, or much more loaded than another that is as
    near.
    """
    if any(job.wanted for job in jobs.values()):
        return None
    fit = sorted(name for name, each in candidates.items() if each.healthy)
    if not fit:
        return None
    loaded = loads(jobs, candidates)
    for name, job in sorted(jobs.items()):
        owner = candidates.get(job.owner)
        if owner is None:
            continue
        others = [each for each in fit if each not in (job.owner, job.last) and can(name, candidates[each])]
        near = [each for each in others if candidates[each].zone == job.near]
        if not (owner.healthy and can(name, owner)) and others:
            return name, min(near or others, key=lambda each: (loaded[each], each))
        if job.near and owner.zone != job.near and near:
            return name, min(near, key=lambda each: (loaded[each], each))
        same = near if job.near and owner.zone == job.near else [] if job.near else others
        light = min(same, key=lambda each: (loaded[each], each), default=None)
        if light is not None and loaded[job.owner] - loaded[light] >= UNEVEN:
            return name, light
    return None
