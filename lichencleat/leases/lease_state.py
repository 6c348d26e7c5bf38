"""The replicated state of leases: which candidate holds which job, and under which fencing token.

This is a part of the consensus group's state. The part uses no I/O and no clock, so it is the same on each
member and after any restart. The commands are described in `messages`.
"""

from __future__ import annotations

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.leases.messages import (
    MAX_CANDIDATES,
    MAX_CRASHES,
    MAX_JOBS,
    Candidate,
    CandidateExpired,
    Command,
    CommandReply,
    DefineJob,
    DropJob,
    Job,
    Leave,
    MoveJob,
    ReleaseJob,
    RenewalReply,
    RenewLease,
)
from lichencleat.leases.placement import choose_holder, find_relocation

decode_command = msgspec.msgpack.Decoder(Command).decode


class Snapshot(msgspec.Struct, array_like=True):
    """The whole state, as it is stored in the group's snapshots."""

    jobs: dict[str, Job]
    candidates: dict[str, Candidate]
    last_tokens: dict[str, int]


decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class LeaseState:
    """Jobs and candidates. Only `grant` and `revoke` change a job's holder."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.candidates: dict[str, Candidate] = {}
        # The last token of each job, dropped jobs included: a job that is created again continues from it.
        self.last_tokens: dict[str, int] = {}

    def apply(self, index: int, command: msgspec.Raw) -> CommandReply | RenewalReply:
        """Apply the encoded command of the log entry at `index`, then grant free jobs.

        Returns:
            The reply to the proposer; a command that cannot be decoded is rejected.
        """
        try:
            decoded = decode_command(command)
        except UNDECODABLE:
            return CommandReply(False, "no command")
        if isinstance(decoded, RenewLease):
            rejection = self.renew(index, decoded)
            self.place_jobs(index)
            return RenewalReply({}, [], rejection) if rejection else self.renewal_reply(decoded.name)
        reply = self.execute(decoded)
        self.place_jobs(index)
        return reply

    def execute(self, command: Command) -> CommandReply:
        """Carry out a command that is not a renewal, and return the reply."""
        match command:
            case CandidateExpired():
                return self.expire(command)
            case Leave():
                return self.leave(command)
            case ReleaseJob():
                return self.release(command)
            case MoveJob():
                return self.move(command)
            case DefineJob():
                return self.define(command)
            case DropJob():
                return self.drop(command)
            case RenewLease():
                raise AssertionError(command)

    # -- candidates --------------------------------------------------------------------------------------

    def renew(self, index: int, command: RenewLease) -> str:
        """Register a candidate or renew its lease; return why the command is rejected, "" if accepted."""
        known = self.candidates.get(command.name)
        if known is not None and known.incarnation != command.incarnation:
            # An earlier process of that name may still act; the new process must wait until the earlier one
            # has expired.
            return "another one of that name has not gone yet"
        if known is None and len(self.candidates) >= MAX_CANDIDATES:
            return "too many candidates"
        if known is None and command.held_tokens:
            return "it was gone"  # the candidate has expired: it must stop all its jobs and register again
        self.candidates[command.name] = Candidate(
            command.zone, command.healthy, command.incarnation, index, command.job_prefixes
        )
        return ""

    def renewal_reply(self, name: str) -> RenewalReply:
        """Return the jobs that a candidate holds, and those that it should release."""
        held = {job: each.fencing_token for job, each in self.jobs.items() if each.holder == name}
        to_release = [job for job in held if self.jobs[job].next_holder not in ("", name)]
        return RenewalReply(held, to_release)

    def expire(self, command: CandidateExpired) -> CommandReply:
        """Remove a candidate, unless it has renewed since the renewal that the command names."""
        known = self.candidates.get(command.name)
        if known is None or known.renewal_index != command.renewal_index:
            return CommandReply(False, "it has renewed since")
        self.remove_candidate(command.name)
        return CommandReply(True)

    def leave(self, command: Leave) -> CommandReply:
        """Remove a candidate at its own request."""
        known = self.candidates.get(command.name)
        if known is None or known.incarnation != command.incarnation:
            return CommandReply(False, "no such candidate")
        self.remove_candidate(command.name)
        return CommandReply(True)

    def remove_candidate(self, name: str) -> None:
        """Remove a candidate, free its jobs, and cancel the moves to it."""
        del self.candidates[name]
        for job in self.jobs.values():
            if job.holder == name:
                self.revoke(job)
            if job.next_holder == name:
                job.next_holder = ""

    # -- jobs --------------------------------------------------------------------------------------------

    def is_current_token(self, job: str, token: int) -> bool:
        """Whether a candidate holds the lease on `job` under the fencing token `token`."""
        known = self.jobs.get(job)
        return known is not None and bool(known.holder) and known.fencing_token == token

    def release(self, command: ReleaseJob) -> CommandReply:
        """Free a job that its holder has stopped acting on."""
        job = self.jobs.get(command.job)
        if job is None or (job.holder, job.fencing_token) != (command.name, command.fencing_token):
            return CommandReply(False, "it is not its owner")
        if command.crashed:
            job.crash_count += 1
            job.last_crashed_holder = command.name
            job.suspended = job.crash_count >= MAX_CRASHES
        self.revoke(job)
        return CommandReply(True)

    def move(self, command: MoveJob) -> CommandReply:
        """Record the candidate that gets a job once the job's holder has released it."""
        job = self.jobs.get(command.job)
        if job is None:
            return CommandReply(False, "no such job")
        if command.target not in self.candidates:
            return CommandReply(False, "no such candidate")
        if job.holder != command.target:
            job.next_holder = command.target
        return CommandReply(True)

    def define(self, command: DefineJob) -> CommandReply:
        """Create a job or change an existing job; a suspended job is resumed."""
        job = self.jobs.get(command.job)
        if job is None:
            if len(self.jobs) >= MAX_JOBS:
                return CommandReply(False, "too many jobs")
            job = Job(fencing_token=self.last_tokens.get(command.job, 0))
            self.jobs[command.job] = job
        job.preferred_zone = command.preferred_zone
        job.suspended = False
        job.crash_count = 0
        job.last_crashed_holder = ""
        return CommandReply(True)

    def drop(self, command: DropJob) -> CommandReply:
        """Delete a job."""
        if self.jobs.pop(command.job, None) is None:
            return CommandReply(False, "no such job")
        return CommandReply(True)

    # -- placement ---------------------------------------------------------------------------------------

    def place_jobs(self, index: int) -> None:
        """Grant the free jobs, and choose a new holder for at most one job that should move."""
        for name in sorted(self.jobs):
            job = self.jobs[name]
            if not job.holder:
                holder = choose_holder(name, self.jobs, self.candidates)
                if holder:
                    self.grant(name, job, holder, index)
        relocation = find_relocation(self.jobs, self.candidates)
        if relocation is not None:
            self.jobs[relocation.job].next_holder = relocation.target

    def grant(self, name: str, job: Job, holder: str, index: int) -> None:
        """Grant a free job to the candidate `holder`.

        The fencing token is the log index, so it is greater than all earlier tokens, whichever member was
        leader and even if the job was dropped and created again.
        """
        job.holder = holder
        job.fencing_token = index
        job.next_holder = ""
        self.last_tokens[name] = index

    def revoke(self, job: Job) -> None:
        """Take a job from its holder."""
        job.holder = ""

    # -- the state as a whole ----------------------------------------------------------------------------

    def read(self, query: object) -> dict[str, object]:
        """Return all jobs and candidates; the query is ignored."""
        return {"jobs": self.jobs, "candidates": self.candidates}

    def dump(self) -> Snapshot:
        """Return the state to encode into a snapshot."""
        return Snapshot(self.jobs, self.candidates, self.last_tokens)

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace the state by the state in an encoded snapshot."""
        snapshot = decode_snapshot(dumped)
        self.jobs = snapshot.jobs
        self.candidates = snapshot.candidates
        self.last_tokens = snapshot.last_tokens
