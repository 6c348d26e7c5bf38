"""Elections: pre-votes, votes and the start of leadership (Raft 5.2, 5.4.1; thesis 3.10, 4.2.2, 9.6).

No I/O.
"""

from __future__ import annotations

from msgspec.structs import replace

from lichencleat.consensus.configuration import has_majority
from lichencleat.consensus.leader import LeaderState
from lichencleat.consensus.messages import NO_MEMBER, Entry, EntryType, Message, MessageType
from lichencleat.consensus.replicator import Replicator
from lichencleat.consensus.role import Role


class Elector(Replicator):
    """Campaigns for leadership and votes for other candidates."""

    def can_campaign(self) -> bool:
        """Return whether this member may become leader.

        A member that is being removed may still campaign until it knows that its removal is committed. It may
        be the only member that can commit the removal: members whose log has the entry of the removal elect
        no candidate whose log lacks that entry (thesis 4.2.2). A member that is being removed does not count
        its own vote.
        """
        if self.member_id in self.voters:
            return True
        configurations = self.log.configurations
        if len(configurations) < 2 or configurations[-1].index <= self.commit_index:
            return False
        return self.member_id in configurations[-2].configuration.voter_ids()

    # -- candidate -----------------------------------------------------------------------------------

    def start_pre_vote(self, now: int) -> None:
        """Ask the other voters whether they would elect this member, without a new term (thesis 9.6)."""
        self.failed_campaigns += 1
        self.reset_election_timer(now)
        if not self.can_campaign() or self.role is Role.HALTED:
            return
        self.role = Role.PRE_CANDIDATE
        self.leader_id = NO_MEMBER
        self.votes_received = frozenset([self.member_id])
        if has_majority(self.voters, self.votes_received):
            self.start_election(now, False)
            return
        for member_id in self._other_voters():
            request = self._make_vote_request(MessageType.PRE_VOTE, member_id)
            self.enqueue_message(replace(request, term=self.term + 1))

    def on_pre_vote_response(self, now: int, message: Message) -> None:
        """Count a granted pre-vote; start the election once a majority of the voters has granted theirs."""
        if self.role is Role.PRE_CANDIDATE and message.granted and message.term == self.term + 1:
            self.votes_received |= {message.sender}
            if has_majority(self.voters, self.votes_received):
                self.start_election(now, False)

    def start_election(self, now: int, is_transfer: bool) -> None:
        """Campaign in a new term; `is_transfer`: the leader transfers its leadership to this member."""
        self.role = Role.CANDIDATE
        self.leader_id = NO_MEMBER
        self.term += 1
        self.vote = self.member_id
        self.writes.mark_term_changed()
        self.votes_received = frozenset([self.member_id])
        self.reset_election_timer(now)
        if has_majority(self.voters, self.votes_received):
            self.become_leader(now)
            return
        for member_id in self._other_voters():
            request = self._make_vote_request(MessageType.VOTE, member_id)
            self.enqueue_message(replace(request, is_transfer=is_transfer))

    def on_vote_response(self, now: int, message: Message) -> None:
        """Count a granted vote; become leader once a majority of the voters has granted theirs."""
        if self.role is Role.CANDIDATE and message.granted:
            self.votes_received |= {message.sender}
            if has_majority(self.voters, self.votes_received):
                self.become_leader(now)

    def on_timeout_now(self, now: int, message: Message) -> None:
        """Start an election, because the leader transfers its leadership to this member."""
        is_from_leader = self.role is Role.FOLLOWER and message.sender == self.leader_id
        if is_from_leader and self.member_id in self.voters:
            self.start_election(now, True)

    def become_leader(self, now: int) -> None:
        """Become leader and replicate the term's first entry, which commits the entries of earlier terms."""
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self.failed_campaigns = 0
        next_index = self.log.last_index + 1
        self.leader_state = LeaderState(self.member_id, next_index)
        self.leader_state.update_members(self.log.configuration.member_ids(), next_index, now)
        self.append_entry(now, Entry(self.term, EntryType.NO_OP), None)
        self.broadcast_heartbeats(now)

    def _other_voters(self) -> list[int]:
        return sorted(self.voters - {self.member_id})

    def _make_vote_request(self, message_type: MessageType, member_id: int) -> Message:
        request = self.make_message(message_type, member_id)
        return replace(request, index=self.log.last_index, log_term=self.log.last_term)

    # -- voter ---------------------------------------------------------------------------------------

    def is_log_up_to_date(self, message: Message) -> bool:
        """Return whether the candidate's log contains all entries that may be committed (Raft 5.4.1)."""
        return (message.log_term, message.index) >= (self.log.last_term, self.log.last_index)

    def on_pre_vote(self, now: int, message: Message) -> None:
        """Answer whether this member would vote for the sender; do not answer while a leader is alive."""
        if self.has_live_leader(now):
            return
        granted = message.term > self.term and self.is_log_up_to_date(message)
        response = self.make_message(MessageType.PRE_VOTE_RESPONSE, message.sender)
        term = message.term if granted else self.term
        self.enqueue_message(replace(response, term=term, granted=granted))

    def on_vote(self, now: int, message: Message) -> None:
        """Vote for the sender if its log is up to date and this member has not voted for another one."""
        can_vote = self.vote in (NO_MEMBER, message.sender) and self.role in (
            Role.FOLLOWER,
            Role.PRE_CANDIDATE,
        )
        granted = can_vote and self.is_log_up_to_date(message)
        if granted:
            if self.vote == NO_MEMBER:
                self.vote = message.sender
                self.writes.mark_term_changed()
            self.reset_election_timer(now)
        response = self.make_message(MessageType.VOTE_RESPONSE, message.sender)
        self.enqueue_message(replace(response, granted=granted))
