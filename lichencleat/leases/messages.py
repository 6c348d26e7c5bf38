"""Jobs, candidates, the commands on them and the replies.

All structs are stored in the consensus log and snapshots or sent as msgpack arrays: the order of the fields
and the tags must not change.
"""

from __future__ import annotations

import msgspec

STATE_PART = "owners"  # the name of this part of the replicated state
LEASE_DURATION_US = 1_000_000  # how long a holder may act on one renewal, so how long a dead one is missed
MAX_CLOCK_DRIFT = 0.1  # relative difference of two machines' clock rates; 10% is far beyond any that works
RENEWALS_PER_LEASE = 3  # two renewals in a row may be lost
MAX_JOBS = 256
MAX_CANDIDATES = 64  # each renews through the log, three times a lease
MAX_CRASHES = 3  # holders that a job may crash before it is suspended


class Job(msgspec.Struct, array_like=True):
    """A piece of work that exactly one process does.

    Attributes:
        preferred_zone: Zone that the job should run in if a candidate there can run it; may be empty.
        holder: Name of the candidate that holds the lease; empty while nobody does.
        fencing_token: Index of the log entry that granted the lease last; it only grows.
        next_holder: Candidate that the lease is to go to once its holder has released it; may be empty.
        crash_count: Holders that the job has crashed since it was last defined.
        last_crashed_holder: The holder that it crashed last, which is the last choice for it.
        suspended: Whether it has crashed too many holders to be granted again.
    """

    preferred_zone: str = ""
    holder: str = ""
    fencing_token: int = 0
    next_holder: str = ""
    crash_count: int = 0
    last_crashed_holder: str = ""
    suspended: bool = False


class Candidate(msgspec.Struct, array_like=True):
    """A process that takes on jobs.

    Attributes:
        zone: Zone that it runs in.
        healthy: Whether it should be given jobs.
        incarnation: Drawn at its start; tells it from another process of the same name.
        renewal_index: Index of the log entry of its last renewal.
        job_prefixes: Prefixes of the names of the jobs that it can run; empty: it can run all.
    """

    zone: str
    healthy: bool
    incarnation: int
    renewal_index: int
    job_prefixes: list[str] = []


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Register a candidate, or renew its lease.

    Attributes:
        held_tokens: The jobs that it believes to hold, with their fencing tokens; empty at first.
    """

    name: str
    zone: str
    incarnation: int
    healthy: bool
    held_tokens: dict[str, int]
    job_prefixes: list[str] = []


class CandidateExpired(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """The leader has waited long enough after that renewal; without effect if there was a later one."""

    name: str
    renewal_index: int


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A candidate has stopped acting on all its jobs and takes on no more."""

    name: str
    incarnation: int


class ReleaseJob(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """A holder has stopped acting on a job; `crashed`: the job has made it fail."""

    name: str
    job: str
    fencing_token: int
    crashed: bool = False


class MoveJob(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    """Move a job to another candidate; its holder releases it first."""

    job: str
    target: str


class DefineJob(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """Create a job, change its preferred zone, or resume one that is suspended."""

    job: str
    preferred_zone: str = ""


class DropJob(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Delete a job. One that is created anew under its name continues with greater fencing tokens."""

    job: str


Command = RenewLease | CandidateExpired | Leave | ReleaseJob | MoveJob | DefineJob | DropJob


class RenewalReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a renewal.

    Attributes:
        tokens: The jobs whose lease the candidate holds, with their fencing tokens.
        to_release: Those among them that it should release.
        rejection: Why it was not renewed; empty if it was.
    """

    tokens: dict[str, int]
    to_release: list[str]
    rejection: str = ""


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to any other command: whether it took effect, and if not, the reason."""

    accepted: bool
    reason: str = ""
