"""Jobs, candidates, the commands on them and the replies.

All structs are encoded as msgpack arrays, which are sent or stored in the consensus log and in snapshots. The
order of the fields and the tags must not change.
"""

from __future__ import annotations

import msgspec

STATE_PART = "owners"  # name of the leases' part of the replicated state
LEASE_DURATION_US = 1_000_000  # validity of a renewal; after a holder dies, its jobs stall about as long
MAX_CLOCK_DRIFT = 0.1  # relative difference of two machines' clock rates; intact clocks differ far less
RENEWALS_PER_LEASE = 3  # renewals during one lease, so that two renewals in a row may be lost
MAX_JOBS = 256
MAX_CANDIDATES = 64  # each candidate writes RENEWALS_PER_LEASE log entries per lease duration
MAX_CRASHES = 3  # a job is suspended after it has crashed this many times on its holders


class Job(msgspec.Struct, array_like=True):
    """A piece of work that at most one process does at a time.

    Attributes:
        preferred_zone: Zone that the job should run in if a candidate there can run it; may be empty.
        holder: Name of the candidate that holds the lease; empty while the job is free.
        fencing_token: Index of the log entry that last granted the lease; it only grows.
        next_holder: Candidate that should get the lease once the holder has released it; may be empty.
        crash_count: Number of times that the job has crashed on a holder since it was last defined.
        last_crashed_holder: The holder on which the job crashed last; other candidates are preferred.
        suspended: Whether the job is no longer granted because it has crashed MAX_CRASHES times.
    """

    preferred_zone: str = ""
    holder: str = ""
    fencing_token: int = 0
    next_holder: str = ""
    crash_count: int = 0
    last_crashed_holder: str = ""
    suspended: bool = False


class Candidate(msgspec.Struct, array_like=True):
    """A process that can run jobs.

    Attributes:
        zone: Zone of the process.
        healthy: Whether jobs may be granted to the process.
        incarnation: Random number drawn when the process starts; distinguishes processes of the same name.
        renewal_index: Index of the log entry of the last renewal.
        job_prefixes: Prefixes of the names of the jobs that the process can run; empty if it can run all.
    """

    zone: str
    healthy: bool
    incarnation: int
    renewal_index: int
    job_prefixes: list[str] = []


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Register a candidate, or renew its lease.

    Attributes:
        held_tokens: The jobs that the candidate assumes to hold, with their fencing tokens; empty in the
            first renewal of an incarnation.
    """

    name: str
    zone: str
    incarnation: int
    healthy: bool
    held_tokens: dict[str, int]
    job_prefixes: list[str] = []


class CandidateExpired(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """The leader states that a candidate's lease is over; ignored if the candidate has renewed since."""

    name: str
    renewal_index: int


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A candidate has stopped acting on all its jobs and is shutting down."""

    name: str
    incarnation: int


class ReleaseJob(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """A holder has stopped acting on a job; `crashed` is set if the job failed on it."""

    name: str
    job: str
    fencing_token: int
    crashed: bool = False


class MoveJob(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    """Move a job to another candidate once its holder has released it."""

    job: str
    target: str


class DefineJob(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """Create a job or change its preferred zone; resume it if it is suspended."""

    job: str
    preferred_zone: str = ""


class DropJob(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Delete a job. If a job of the same name is created later, its fencing tokens keep growing."""

    job: str


Command = RenewLease | CandidateExpired | Leave | ReleaseJob | MoveJob | DefineJob | DropJob


class RenewalReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a renewal.

    Attributes:
        tokens: The jobs whose lease the candidate holds, with their fencing tokens.
        to_release: The held jobs that the candidate should release.
        rejection: Why the lease was not renewed; empty if it was renewed.
    """

    tokens: dict[str, int]
    to_release: list[str]
    rejection: str = ""


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to any other command: whether the command was accepted, and the reason if it was not."""

    accepted: bool
    reason: str = ""
