"""What the golden names stand for in the current tree: the one place to edit when a class moves.

The keys name module, class or constant as they were at commit 3273848 and never change; the values are the
current ones.
"""

from __future__ import annotations

from enum import Enum
from types import UnionType
from typing import Any

import msgspec

from lichencleat import daemon
from lichencleat.config_distribution import kept as distribution_kept
from lichencleat.config_distribution import source as distribution_source
from lichencleat.config_distribution import terms as distribution_terms
from lichencleat.config_distribution import voting as distribution_voting
from lichencleat.consensus import (
    greetings,
    identity,
    key_value,
    log_storage,
    process,
    requests,
    sessions,
    state_machine,
    supported_states,
)
from lichencleat.consensus import messages as consensus_messages
from lichencleat.coordinator import states as coordinator_states
from lichencleat.failover import messages as failover_messages
from lichencleat.failover import state as failover_state
from lichencleat.idempotency import records
from lichencleat.leases import lease_state
from lichencleat.leases import messages as leases_messages
from lichencleat.membership import messages as membership_messages
from lichencleat.quotas import messages as quotas_messages
from lichencleat.recovery import boot_record, boot_record_store, service_time_store, service_times
from lichencleat.recovery import messages as recovery_messages
from lichencleat.recovery import state as recovery_state
from lichencleat.store import file_names, framing
from lichencleat.transport import frames as transport_frames
from lichencleat.transport import identity as transport_identity
from lichencleat.transport import outcomes

MESSAGES: dict[str, type[msgspec.Struct]] = {
    "distribution.kept.Head": distribution_kept.StoredHead,
    "distribution.source.Diff": distribution_source.DiffQuery,
    "distribution.source.Difference": distribution_source.DiffResult,
    "distribution.source.Dumped": distribution_source.SourceDump,
    "distribution.source.Find": distribution_source.FindQuery,
    "distribution.source.Found": distribution_source.FindResult,
    "distribution.source.Publish": distribution_source.PublishCommand,
    "distribution.source.Published": distribution_source.PublishResult,
    "distribution.source.Standing": distribution_source.StatusResult,
    "distribution.source.Stands": distribution_source.StatusQuery,
    "distribution.terms.Batch": distribution_terms.Batch,
    "distribution.terms.Change": distribution_terms.Change,
    "distribution.terms.Count": distribution_terms.Count,
    "distribution.terms.Digests": distribution_terms.SnapshotHead,
    "distribution.terms.Fed": distribution_terms.FollowAnswer,
    "distribution.terms.Follow": distribution_terms.FollowRequest,
    "distribution.terms.Pages": distribution_terms.PagesAnswer,
    "distribution.terms.Wanted": distribution_terms.PagesRequest,
    "distribution.terms.Wanting": distribution_terms.RecordRequest,
    "keyed.records.Entry": records.IdempotencyRecord,
    "keyed.records.Seen": records.Heartbeat,
    "keyed.records.Whose": records.Ownership,
    "members.terms.Datagram": membership_messages.GossipMessage,
    "members.terms.Word": membership_messages.MemberUpdate,
    "owners.jobs.Dumped": lease_state.Snapshot,
    "owners.terms.Candidate": leases_messages.Candidate,
    "owners.terms.Define": leases_messages.DefineJob,
    "owners.terms.Done": leases_messages.CommandReply,
    "owners.terms.Drop": leases_messages.DropJob,
    "owners.terms.Gone": leases_messages.CandidateExpired,
    "owners.terms.Job": leases_messages.Job,
    "owners.terms.Leave": leases_messages.Leave,
    "owners.terms.Move": leases_messages.MoveJob,
    "owners.terms.Owned": leases_messages.RenewalReply,
    "owners.terms.Release": leases_messages.ReleaseJob,
    "owners.terms.Renew": leases_messages.RenewLease,
    "quorum.facts.Changed": key_value.SetResult,
    "quorum.facts.Fact": key_value.KeyValueEntry,
    "quorum.facts.Set": key_value.SetCommand,
    "quorum.journal.Head": log_storage.SnapshotHeader,
    "quorum.seats.Identity": identity.Identity,
    "quorum.seats.Life": transport_identity.Incarnation,
    "quorum.sessions.Held": sessions.SessionRecord,
    "quorum.state.Dumped": state_machine.StateMachineDump,
    "quorum.terms.Entry": consensus_messages.Entry,
    "quorum.terms.Group": consensus_messages.Configuration,
    "quorum.terms.Member": consensus_messages.Member,
    "quorum.terms.Message": consensus_messages.Message,
    "quorum.terms.Snapshot": consensus_messages.Snapshot,
    "quorum.wire.Carried": requests.RaftMessageFrame,
    "quorum.wire.Greeted": transport_frames.GreetingResponse,
    "quorum.wire.Greeting": transport_frames.Greeting,
    "quorum.wire.Proposal": requests.Proposal,
    "quorum.wire.Reply": transport_frames.ClientResponse,
    "quorum.wire.Request": transport_frames.ClientRequest,
    "quorum.wire.WhoItIs": requests.AddMemberRequest,
    "revive.boot.Boot": boot_record.BootRecord,
    "revive.figures.Figures": service_times.ServiceTimes,
    "revive.state.Dumped": recovery_state.FleetSnapshot,
    "revive.terms.Done": recovery_messages.CommandReply,
    "revive.terms.Forget": recovery_messages.ForgetNode,
    "revive.terms.Hold": recovery_messages.PauseRollout,
    "revive.terms.Leave": recovery_messages.NodeLeaving,
    "revive.terms.Lost": recovery_messages.NodeLost,
    "revive.terms.NewEpoch": recovery_messages.NewEpoch,
    "revive.terms.Node": recovery_messages.NodeState,
    "revive.terms.Plan": recovery_messages.RolloutPlan,
    "revive.terms.Report": recovery_messages.NodeReport,
    "revive.terms.Skip": recovery_messages.SkipNode,
    "revive.terms.Wave": recovery_messages.RolloutBatch,
    "revive.terms.Word": recovery_messages.ReportReply,
    "shares.terms.Ask": quotas_messages.QuotaRequest,
    "shares.terms.Deal": quotas_messages.Allocate,
    "shares.terms.Define": quotas_messages.DefinePool,
    "shares.terms.Done": quotas_messages.CommandReply,
    "shares.terms.Drop": quotas_messages.DropPool,
    "shares.terms.Forget": quotas_messages.ForgetNode,
    "shares.terms.Granted": quotas_messages.QuotaReply,
    "shares.terms.Over": quotas_messages.GrantExpired,
    "shares.terms.Part": quotas_messages.SetAllocatableShare,
    "shares.terms.Pool": quotas_messages.Pool,
    "shares.terms.Seat": quotas_messages.NodeQuota,
    "zones.state.Dumped": failover_state.FailoverSnapshot,
    "zones.terms.Define": failover_messages.DefineZone,
    "zones.terms.Done": failover_messages.CommandReply,
    "zones.terms.Drop": failover_messages.DropZone,
    "zones.terms.Give": failover_messages.PublishPlan,
    "zones.terms.Learn": failover_messages.UpdateCapacity,
    "zones.terms.Order": failover_messages.RoutingPlan,
    "zones.terms.Seen": failover_messages.ZoneObservation,
    "zones.terms.Source": failover_messages.RouterHealth,
    "zones.terms.Tell": failover_messages.HealthReport,
    "zones.terms.Unwish": failover_messages.ClearOverride,
    "zones.terms.Wish": failover_messages.OperatorOverride,
    "zones.terms.Wished": failover_messages.ActiveOverride,
    "zones.terms.Zone": failover_messages.Zone,
}

UNIONS: dict[str, UnionType] = {
    "owners.terms.Command": leases_messages.Command,
    "shares.terms.Command": quotas_messages.Command,
    "quorum.wire.Frame": requests.MemberFrame,
    "revive.terms.Command": recovery_messages.Command,
    "zones.terms.Command": failover_messages.Command,
    "distribution.source.Query": distribution_source.Query,
}

ENUMS: dict[str, type[Enum]] = {
    "distribution.terms.Say": distribution_terms.FollowOutcome,
    "keyed.records.State": records.RecordState,
    "members.terms.Kind": membership_messages.MessageKind,
    "members.terms.State": membership_messages.MemberState,
    "quorum.seats.Welcome": transport_identity.GreetingResult,
    "quorum.sessions.Verdict": outcomes.SessionOutcome,
    "quorum.terms.Kind": consensus_messages.MessageType,
    "quorum.terms.Reason": outcomes.RejectReason,
    "quorum.terms.What": consensus_messages.EntryType,
    "revive.terms.Door": recovery_messages.NodeStatus,
    "zones.terms.Duty": failover_messages.ZoneRole,
}

CONSTANTS: dict[str, Any] = {
    "distribution.kept.BATCH": distribution_kept.BATCH_KEY_PREFIX,
    "distribution.kept.FORMAT": distribution_kept.FORMAT,
    "distribution.kept.HEAD": distribution_kept.HEAD_KEY,
    "distribution.kept.PAGE": distribution_kept.PAGE_KEY_PREFIX,
    "distribution.kept.RECENT_MOST": distribution_kept.MAX_RECENT_BATCHES,
    "distribution.program.STOPPED": daemon.EXIT_STOPPED,
    "distribution.program.WRONG": daemon.EXIT_CANNOT_START,
    "distribution.terms.DIGEST": distribution_terms.DIGEST_BYTES,
    "distribution.terms.DIGESTS": distribution_terms.DIGESTS,
    "distribution.terms.FIND": distribution_terms.FIND,
    "distribution.terms.FOLLOW": distribution_terms.FOLLOW,
    "distribution.terms.IN_FORCE": distribution_terms.IN_FORCE,
    "distribution.terms.PAGES": distribution_terms.PAGE_COUNT,
    "distribution.terms.PAGES_OF": distribution_terms.PAGES_OF,
    "distribution.voting.PART": distribution_voting.STATE_PART,
    "keyed.records.ENTRY": records.RECORD_PREFIX,
    "keyed.records.FORMAT": records.FORMAT_VERSION,
    "keyed.records.MARK": records.DIGEST_BYTES,
    "keyed.records.SEEN": records.HEARTBEAT_KEY,
    "keyed.records.WHOSE": records.OWNERSHIP_KEY,
    "quorum.journal.ENTRY": log_storage.ENTRY_KEY_PREFIX,
    "quorum.journal.NO_PIECES": log_storage.NO_CHUNKS,
    "quorum.journal.PIECE": log_storage.CHUNK_KEY_PREFIX,
    "quorum.journal.SNAPSHOT": log_storage.SNAPSHOT_KEY,
    "quorum.journal.TOP": log_storage.HARD_STATE_KEY,
    "quorum.journal.UNDER_WAY": log_storage.PENDING_CHUNKS_KEY,
    "quorum.parts.BEFORE": supported_states.LEGACY_STATES,
    "quorum.parts.USES": supported_states.ACTIVATION_COMMAND,
    "quorum.process.LIFE": greetings.INCARNATION_KEY_PREFIX,
    "quorum.program.LEFT": process.EXIT_HALTED,
    "quorum.program.STOPPED": daemon.EXIT_STOPPED,
    "quorum.program.WRONG": daemon.EXIT_CANNOT_START,
    "quorum.program.distribution_parts": list(coordinator_states.make_config_distribution_states()),
    "quorum.program.parts": list(coordinator_states.make_control_plane_states()),
    "quorum.seats.IDENTITY": identity.IDENTITY_KEY,
    "quorum.terms.NOBODY": consensus_messages.NO_MEMBER,
    "quorum.wire.FORMAT": transport_frames.FORMAT_VERSION,
    "quorum.wire.FRAME_MOST": transport_frames.MAX_FRAME_BYTES,
    "revive.boot.FORMAT": boot_record.FORMAT,
    "revive.figures.FORMAT": service_times.FORMAT,
    "revive.seat.BOOT": boot_record_store.BOOT_RECORD_KEY,
    "revive.seat.FIGURES": service_time_store.SERVICE_TIMES_KEY,
    "revive.terms.JOB": recovery_messages.JOB,
    "shares.terms.RETURN": quotas_messages.RECOVERY_JOB,
    "shares.terms.job_of": quotas_messages.allocator_job("a pool"),
    "store.checkpoint.NAME": file_names.CHECKPOINT,
    "store.checkpoint.NEW": file_names.NEW_CHECKPOINT,
    "store.frames.BODY_BEGINS": framing.BODY_FIRST_BYTE,
    "store.frames.FORMAT": framing.FORMAT,
    "store.frames.LOG_MAGIC": framing.LOG_MAGIC,
    "store.frames.MARKER": framing.MARKER,
    "store.frames.POINT_MAGIC": framing.CHECKPOINT_MAGIC,
    "store.frames.STORE_MAGIC": framing.STORE_MAGIC,
    "store.recovery.RESERVE": file_names.RESERVE,
    "store.recovery.STORE": file_names.STORE_MARKER,
    "store.recovery.STORE_NEW": file_names.NEW_STORE_MARKER,
    "store.segments.NAME": file_names.SEGMENT,
    "store.segments.NEW": file_names.NEW_SEGMENT,
    "zones.terms.JOB": failover_messages.JOB,
}
