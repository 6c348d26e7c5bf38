"""The status of a member and its cluster for operators. Programs read the keys, so they never change."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lichencleat.consensus.identity import Identity
from lichencleat.consensus.messages import Member
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.units import MICROSECONDS_PER_MILLISECOND

Status = dict[str, Any]


def make_status(
    identity: Identity,
    zone: str,
    node: RaftNode,
    state_machine: StateMachine,
    is_participating: bool,
    counts: Mapping[str, int],
    now: int,
) -> Status:
    """Return the status of a member; `now` is the time in µs of the member's monotonic clock."""
    return {
        "member": identity.member_name,
        "seat": identity.member_id,
        "group": identity.cluster_id.hex(),
        "start": identity.start_count,
        "zone": zone,
        "parts": sorted(state_machine.states),
        "used": sorted(state_machine.active_states),
        "role": node.role.value if is_participating else "waits",
        "term": node.term,
        "leader": node.leader_id,
        "last": node.log.last_index,
        "commit": node.commit_index,
        "applied": state_machine.applied,
        "snapshot": node.log.snapshot_index,
        "members": [_make_member_status(node, member, now) for member in node.log.configuration.members],
        "counts": counts,
    }


def _make_member_status(node: RaftNode, member: Member, now: int) -> Status:
    progress = node.leader_state.progress.get(member.member_id) if node.leader_state else None
    return {
        "seat": member.member_id,
        "name": member.name,
        "address": f"{member.host}:{member.port}",
        "zone": member.zone,
        "votes": member.is_voter,
        "has": progress.match_index if progress else None,
        "heard_ms": (now - progress.last_response_at) // MICROSECONDS_PER_MILLISECOND if progress else None,
    }
