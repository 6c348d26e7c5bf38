"""Decides which relay a process follows and which requests it sends to that relay; no I/O.

The rules for what may be applied are in `taking.py`. A process follows one relay: it sends `follow` requests
to that relay and applies the updates in the answers.

Inputs only update the state; the host then pulls decisions. One request is open at a time. The next `follow`
request is sent only after the update from the previous answer is applied or discarded, so the version in a
`follow` request is always the version in force.

Age: the time since the source was known to have nothing newer than the version in force. A relay answers
"nothing newer" only when the hold of the request is over, so that answer is made no earlier than the end of
the hold; an answer with news may be made at any time after the request. The age counts from the earliest
moment at which the answer can have been made, not from the moment when the answer was read. Otherwise a
process that was stopped with an old answer in its receive buffer would take that answer for a recent one. An
age that is not known yet is `MAX_AGE_US`.

Diverging histories: if a relay answers OTHER, or sends a batch whose digest differs from the digest computed
here, either the relay or this process has wrong data. The process leaves that relay. If relays of several
tiers (two relays, if there is only one tier) disagree with this process, its own copy is in doubt, which is
logged in capital letters. The process then fetches a snapshot of a version higher than the version in force,
so that no version ever has two contents, and keeps its copy until that snapshot is complete. A page corrupted
in memory is fetched as a whole with that snapshot if a change has touched the page since.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lichencleat.config_distribution.acts import Action, Decision
from lichencleat.config_distribution.choice import DelayRange, RelaySelector, Timing
from lichencleat.config_distribution.copy import Copy
from lichencleat.config_distribution.counts import MAX_AGE_US, age_after
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.looks import Probe, RelayProber
from lichencleat.config_distribution.taking import PendingUpdate
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FOLLOW,
    MAX_HOLD_US,
    PAGES_OF,
    Count,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
    PagesAnswer,
    SnapshotHead,
)

__all__ = ["Action", "Decision", "RelayFollower", "Timing"]

MAX_DROPPED_SNAPSHOTS = 8  # a relay that drops more snapshots in a row during a fetch is left
# snapshot requests declined in a row, after which another relay of the same tier is asked
MAX_BUSY_ANSWERS = 4
IDLE_WAKE_US = 60_000_000  # µs between wake-ups when nothing is pending
MAX_LOG_CHARS = 200  # maximum length of a log line, in characters


@dataclass(slots=True)
class SentRequest:
    """The open request to the followed relay."""

    what: str  # operation: FOLLOW, DIGESTS or PAGES_OF
    sent_at: int  # µs: when the request was sent
    deadline: int  # µs: without an answer by then the relay is left
    hold: int = 0  # µs that the relay may hold the answer while there is no news
    extended: bool = False  # the deadline was extended once, because this process had been stopped


class RelayFollower:
    """Decides which relay this process (a node or a relay) follows, what to request and what to apply."""

    def __init__(
        self,
        tiers: Sequence[Sequence[str]],
        copy: Copy,
        rng: random.Random,
        now: int,
        is_node: bool,
        zone: str,
        times: Timing | None = None,
    ) -> None:
        """`tiers`: relay addresses by tier, nearest first; `now`: µs on the monotonic clock, in all calls."""
        self.copy, self.is_node, self.zone = copy, is_node, zone
        self.times = times or Timing()
        self.selector = RelaySelector(tiers, rng, self.times)
        self.prober = RelayProber(self.selector, self.times)
        self.pending = PendingUpdate(copy)
        self.relay: str | None = None  # the followed relay, whose link is open
        self.mark = b""  # the group's identifier as the followed relay reported it; b"": not known yet
        self.counts_below: tuple[Count, ...] = ()  # counts of all nodes below this process
        self.decisions: deque[Decision] = deque()  # decisions that the host has not pulled yet
        # the relay whose link is being opened, and the deadline for opening the link, in µs
        self.opening: tuple[str, int] | None = None
        self.open_at: int | None = None  # µs: when to open the link to `next_relay`
        self.next_relay: str | None = None
        self.request: SentRequest | None = None
        self.pause_until: int | None = None  # µs: when to send the next request to the relay
        self.stepping = False  # the host is processing a slice and has to call `on_stepped`
        self.dropped_snapshots = self.busy_answers = 0  # numbers in a row
        self.behind_since: int | None = None  # µs: since when the relay has a lower version than the copy
        self.known_at: int | None = None  # µs: last moment when the source is known to have had nothing newer
        self.diverging_relays: set[str] = set()  # relays with another digest at the version in force
        self.corrupt_relays: set[str] = set()  # relays whose batch led to a wrong digest here
        # the own copy is in doubt: a snapshot of a higher version has to replace it
        self.needs_snapshot = False
        self.last_seen_at = now
        self.counters: dict[str, int] = {}
        self.schedule_next_relay(now)

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    def decide(self, act: Action, relay: str = "", what: str = "", content: Any = None) -> None:
        """Queues a decision for the host."""
        self.decisions.append(Decision(act, relay, what, content))

    def log(self, text: str) -> None:
        """Logs a line."""
        self.decisions.append(Decision(Action.LOG, text=text[:MAX_LOG_CHARS]))

    # -- state -------------------------------------------------------------------------------------------

    def age(self, now: int) -> int:
        """µs since the source was known to have nothing newer; `MAX_AGE_US` if that was never known."""
        return MAX_AGE_US if self.known_at is None else age_after(0, now - self.known_at)

    def advance_known_at(self, moment: int | None) -> None:
        """Sets `known_at`, from which the age counts, to a later moment; ignores None and earlier moments."""
        if moment is not None and (self.known_at is None or moment > self.known_at):
            self.known_at = moment

    def next_decision(self, now: int) -> Decision | None:
        """The next decision for the host, or None."""
        self.last_seen_at = now
        return self.decisions.popleft() if self.decisions else None

    def deadline(self) -> int:
        """µs on the monotonic clock: the latest time at which `on_timer` has to be called."""
        moments = [self.open_at, self.pause_until]
        if self.opening is not None:
            moments.append(self.opening[1])
        if self.request is not None:
            moments.append(self.request.deadline)
        if self.relay is not None:
            moments.append(self.prober.deadline())
        return min((each for each in moments if each is not None), default=self.last_seen_at + IDLE_WAKE_US)

    def on_timer(self, now: int) -> None:
        """Handles all deadlines that have passed."""
        if self.open_at is not None and now >= self.open_at:
            self.open_next_relay(now)
        if self.opening is not None and now >= self.opening[1]:
            self.exclude_and_leave(
                now, self.opening[0], "its link was not opened in time", self.times.failed_exclusion
            )
        request = self.request
        if request is not None and now >= request.deadline:
            if now - request.deadline > self.times.max_timer_delay and not request.extended:
                request.deadline, request.extended = now + self.times.answer_timeout, True
            elif self.relay is not None:
                self.exclude_and_leave(
                    now, self.relay, "it did not answer in time", self.times.failed_exclusion
                )
        if self.pause_until is not None and now >= self.pause_until:
            self.ask(now)
        probe = self.prober.probe
        if probe is not None and now >= probe.deadline:
            self.fail_probe(now, probe)
        if self.relay is not None:
            other = self.prober.begin_probe(now, self.relay, not self.pending.what)
            if other is not None:
                self.decide(Action.OPEN, other)

    # -- links -------------------------------------------------------------------------------------------

    def schedule_next_relay(self, now: int) -> None:
        """Schedules the opening of another relay after a random delay."""
        self.next_relay, span = self.selector.choose_next(now, self.relay)
        self.open_at = now + span

    def open_next_relay(self, now: int) -> None:
        """Opens the link to the scheduled relay."""
        self.open_at = None
        if self.next_relay is None:
            self.schedule_next_relay(now)
            return
        self.opening = (self.next_relay, now + self.times.connect_timeout)
        self.decide(Action.OPEN, self.next_relay)

    def on_link_opened(self, now: int, relay: str, mark: bytes) -> None:
        """The link to a relay is open. `mark`: identifier of the relay's group; b"": not known yet."""
        probe = self.prober.probe
        if probe is not None and relay == probe.relay and probe.asked_at < 0:
            if self.is_foreign(now, relay, mark):
                self.end_probe(probe)
                return
            self.prober.on_opened(now, probe, mark)
            self.decide(Action.ASK, relay, FOLLOW, FollowRequest(self.copy.version, self.copy.digest, (), 0))
        elif self.opening is not None and relay == self.opening[0]:
            self.opening = None
            self.start_following(now, relay, mark)
        else:
            self.decide(Action.CLOSE, relay)

    def is_foreign(self, now: int, relay: str, mark: bytes) -> bool:
        """Whether the relay belongs to another group. If so, the relay is excluded, which is logged."""
        if not mark or not self.copy.mark or mark == self.copy.mark:
            return False
        self.count("of another group")
        self.selector.exclude(now, relay, self.times.wrong_exclusion)
        self.log(f"relay {relay} belongs to another group and is not followed")
        return True

    def start_following(self, now: int, relay: str, mark: bytes) -> None:
        """Starts to follow a relay whose link is open."""
        self.relay, self.mark = relay, mark
        self.request = self.pause_until = self.behind_since = None
        self.busy_answers = self.dropped_snapshots = 0
        self.prober.on_following(now, relay)
        self.count("followed")
        if not self.pending.what:
            self.ask(now)

    def on_link_lost(self, now: int, relay: str, why: str) -> None:
        """The link to a relay has ended, or could not be opened."""
        probe = self.prober.probe
        if probe is not None and relay == probe.relay:
            self.fail_probe(now, probe, closed=True)
        elif relay == self.relay or (self.opening is not None and relay == self.opening[0]):
            self.exclude_and_leave(now, relay, why, self.times.failed_exclusion, closed=True)

    def exclude_and_leave(
        self, now: int, relay: str, why: str, span: DelayRange, closed: bool = False
    ) -> None:
        """Excludes the relay for a random time within `span`, leaves it and schedules another relay."""
        self.selector.exclude(now, relay, span)
        self.leave(now, relay, why, closed)

    def leave(self, now: int, relay: str, why: str, closed: bool = False) -> None:
        """Closes the link to the relay, unless it is `closed` already, and schedules another relay."""
        self.count("left")
        self.log(f"leaving relay {relay}: {why}")
        if not closed:
            self.decide(Action.CLOSE, relay)
        if self.prober.probe is not None:
            self.end_probe(self.prober.probe)
        self.opening = self.request = self.pause_until = None
        self.pending.on_relay_left()
        self.schedule_next_relay(now)
        self.relay = None

    # -- requests ----------------------------------------------------------------------------------------

    def ask(self, now: int) -> None:
        """Sends a `follow` request: asks the relay for batches after the version in force."""
        relay, self.pause_until = self.relay, None
        if relay is None or self.request is not None:
            return
        if self.is_foreign(now, relay, self.mark):  # the link was opened before the copy had a mark
            self.leave(now, relay, "it belongs to another group")
            return
        hold = self.times.hold if self.is_node else self.times.relay_hold
        counts = self.counts_below
        if self.is_node:
            counts = (Count(self.zone, 1, self.copy.version, self.age(now), 0, ""), *counts)
        self.send_request(
            now,
            FOLLOW,
            FollowRequest(self.copy.version, self.copy.digest, counts, hold),
            min(hold, MAX_HOLD_US),
        )

    def send_request(self, now: int, what: str, content: Any, hold: int = 0) -> None:
        """Sends a request to the followed relay and sets the deadline for the answer."""
        assert self.relay is not None
        timeout = self.times.answer_timeout + (hold if what == FOLLOW else MAX_HOLD_US)
        self.request = SentRequest(what, now, now + timeout, hold)
        self.decide(Action.ASK, self.relay, what, content)

    def on_answer(self, now: int, relay: str, what: str, content: Any, why: str = "") -> None:
        """Handles an answer from a relay. `content` None: the relay declined the request; `why`: the reason.

        An answer without an open request is ignored.
        """
        probe = self.prober.probe
        if probe is not None and relay == probe.relay:
            if what == FOLLOW and probe.asked_at >= 0:
                self.on_probe_answer(now, probe, content)
            return
        request = self.request
        if relay != self.relay or request is None or request.what != what:
            return
        self.request = None
        if content is None:
            self.on_declined(now, relay, what, why)
        elif what == FOLLOW and isinstance(content, FollowAnswer):
            self.on_follow_answer(now, relay, request, content)
        elif what == DIGESTS and isinstance(content, SnapshotHead):
            self.begin_snapshot(now, relay, request, content)
        elif what == PAGES_OF and isinstance(content, PagesAnswer):
            self.on_pages(now, relay, content)
        else:
            self.on_invalid_answer(now, relay, "its answer does not match the request")

    def on_declined(self, now: int, relay: str, what: str, why: str) -> None:
        """Leaves a relay that declined a request, or waits and retries if no snapshot slot is free."""
        self.count("declined")
        if what == FOLLOW or why in ("nothing here", "unfit"):
            self.exclude_and_leave(now, relay, why or "it declined the request", self.times.failed_exclusion)
            return
        self.busy_answers += 1
        self.pending.on_relay_left()
        other = (
            self.selector.same_tier_alternative(now, relay) if self.busy_answers >= MAX_BUSY_ANSWERS else None
        )
        if other is not None:
            self.leave(now, relay, "it has no free slot for a snapshot")
            self.next_relay = other
        else:
            self.pause_until = now + self.selector.draw(self.times.busy_retry_delay)

    def on_invalid_answer(self, now: int, relay: str, why: str) -> None:
        """Leaves the relay after an invalid answer."""
        self.count("unfit answers")
        self.exclude_and_leave(now, relay, why, self.times.wrong_exclusion)

    # -- news --------------------------------------------------------------------------------------------

    def on_follow_answer(self, now: int, relay: str, request: SentRequest, answer: FollowAnswer) -> None:
        """Handles a relay's answer to a `follow` request."""
        if answer.version and not self.mark:
            self.leave(now, relay, "it did not report its group when the link was opened")
        elif answer.outcome == FollowOutcome.BEHIND:
            self.on_behind(now, relay, answer)
        elif answer.outcome == FollowOutcome.OTHER:
            self.on_other(now, relay)
        elif answer.outcome == FollowOutcome.SAME:
            self.on_same(now, relay, request, answer)
        elif answer.outcome == FollowOutcome.SNAPSHOT or (
            answer.outcome == FollowOutcome.NEWS and self.needs_snapshot
        ):
            self.behind_since = None
            self.prober.on_age(now, answer.age)
            self.send_request(now, DIGESTS, None)
        elif answer.outcome == FollowOutcome.NEWS:
            self.on_news(now, relay, request, answer)
        else:
            self.on_invalid_answer(now, relay, "its answer has an unknown outcome")

    def on_same(self, now: int, relay: str, request: SentRequest, answer: FollowAnswer) -> None:
        """The relay answered that it has nothing newer."""
        if answer.version != self.copy.version or (answer.version and answer.digest != self.copy.digest):
            self.on_invalid_answer(now, relay, "it reported no news for another version or digest")
            return
        self.behind_since = None
        self.selector.on_success(relay)
        self.prober.on_age(now, answer.age)
        self.diverging_relays.clear()
        self.needs_snapshot = self.needs_snapshot and bool(self.corrupt_relays)
        held = now >= request.sent_at + request.hold
        if answer.age < MAX_AGE_US:
            self.advance_known_at(request.sent_at + (request.hold if held else 0) - max(0, answer.age))
        if held and request.hold:
            self.ask(now)
        else:
            # the pause limits the rate of requests to a relay that doesn't hold its answers
            self.pause_until = now + self.times.retry_delay

    def on_news(self, now: int, relay: str, request: SentRequest, answer: FollowAnswer) -> None:
        """Stages the batches of an answer with news."""
        self.behind_since = None
        self.prober.on_age(now, answer.age)
        known = request.sent_at - max(0, answer.age) if answer.age < MAX_AGE_US else None
        fault = self.pending.stage(answer, relay, self.mark, known)
        if fault:
            self.on_invalid_answer(now, relay, fault)
        else:
            self.step()

    def on_behind(self, now: int, relay: str, answer: FollowAnswer) -> None:
        """The relay has a lower version than this process. After `max_behind` the relay is left."""
        if answer.version >= self.copy.version:
            self.on_invalid_answer(now, relay, "it reported a lower version, but its version is not lower")
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since >= self.times.max_behind:
            self.count("relays behind")
            self.exclude_and_leave(
                now,
                relay,
                f"its version {answer.version} is lower than {self.copy.version}",
                self.times.failed_exclusion,
            )
            return
        self.pause_until = now + self.times.retry_delay

    def on_other(self, now: int, relay: str) -> None:
        """The relay has another digest at the version in force."""
        if self.needs_snapshot:
            self.send_request(now, DIGESTS, None)
            return
        self.record_other_history(now, relay)
        self.leave(now, relay, "its history differs")
        self.check_own_copy()

    def record_other_history(self, now: int, relay: str) -> None:
        """Records that the relay has another digest at the version in force, and excludes the relay."""
        self.count("another history")
        self.log(f"relay {relay} has another history at version {self.copy.version}")
        self.diverging_relays.add(relay)
        self.selector.exclude(now, relay, self.times.wrong_exclusion)

    def check_own_copy(self) -> None:
        """Marks this process's copy as in doubt if several independent relays disagree with the copy."""
        if not self.needs_snapshot and (
            self.selector.are_independent(self.diverging_relays)
            or self.selector.are_independent(self.corrupt_relays)
        ):
            self.needs_snapshot = True
            self.count("own history given up")
            named = ", ".join(sorted(self.diverging_relays | self.corrupt_relays))
            self.log(
                f"OWN COPY IN DOUBT at version {self.copy.version}, differs at {named}: needs a snapshot"
            )

    # -- snapshots ---------------------------------------------------------------------------------------

    def begin_snapshot(self, now: int, relay: str, request: SentRequest, head: SnapshotHead) -> None:
        """Starts to fetch the snapshot whose head was received."""
        if head.version <= self.copy.version and self.needs_snapshot:
            self.pause_until = now + self.selector.draw(self.times.busy_retry_delay)
            return
        known = request.sent_at - max(0, head.age) if head.age < MAX_AGE_US else None
        fault = self.pending.begin(head, relay, self.mark, known) if self.mark else "its group is not known"
        if fault:
            self.on_invalid_answer(now, relay, fault)
            return
        self.busy_answers = 0
        self.step()
        self.request_pages(now)

    def request_pages(self, now: int) -> None:
        """Requests the next missing pages of the snapshot, unless a request is open."""
        if self.relay is not None and self.request is None:
            wanted = self.pending.pages()
            if wanted is not None:
                self.send_request(now, PAGES_OF, wanted)

    def on_pages(self, now: int, relay: str, pages: PagesAnswer) -> None:
        """Handles a relay's answer to a request for pages of the snapshot."""
        if not pages.pages and self.pending.head is not None:
            # the relay dropped that snapshot: a newer snapshot continues the fetch, and fetched pages stay
            self.dropped_snapshots += 1
            if self.dropped_snapshots > MAX_DROPPED_SNAPSHOTS:
                self.exclude_and_leave(
                    now, relay, "it dropped its snapshots during the fetch", self.times.failed_exclusion
                )
            else:
                self.send_request(now, DIGESTS, None)
        elif not self.pending.is_requested(pages):
            self.on_invalid_answer(now, relay, "it sent pages that were not requested")
        elif not self.pending.put(pages):
            self.on_corrupt(now, relay)
        else:
            self.dropped_snapshots = 0
            self.step()
            self.request_pages(now)

    # -- staging -----------------------------------------------------------------------------------------

    def step(self) -> None:
        """Has the host process the next slice of the staged update."""
        if not self.stepping:
            self.stepping = True
            self.decide(Action.STEP)

    def on_stepped(self, now: int, ready: bool | None) -> None:
        """Handles the result of `copy.step()`. `ready`: the update can be applied; None: corrupt data."""
        self.stepping = False
        pending = self.pending
        if not pending.what:
            return
        if ready is None:
            self.on_corrupt(now, pending.relay)
        elif ready:
            self.apply_update(now)
        elif pending.what == "batches":
            self.step()
        else:
            pending.slices_due = max(0, pending.slices_due - 1)
            self.request_pages(now)
            if pending.slices_due or self.request is None:
                self.step()

    def on_corrupt(self, now: int, relay: str) -> None:
        """Discards corrupt data and notes the relay that sent it."""
        self.count("spoilt")
        self.log(f"{self.pending.what} from relay {relay} does not match its digest and is not applied")
        if self.pending.what == "batches":
            self.corrupt_relays.add(relay)
            self.check_own_copy()
        self.discard_update(now, relay)

    def discard_update(self, now: int, relay: str) -> None:
        """Discards the staged update and excludes the relay that sent it; leaves that relay if followed."""
        self.pending.drop()
        self.selector.exclude(now, relay, self.times.wrong_exclusion)
        if relay == self.relay:
            self.leave(now, relay, "its data was not applied")
        else:
            self.ask(now)

    def apply_update(self, now: int) -> None:
        """Applies the staged update and sends the next request."""
        pending = self.pending
        snapshot, known = pending.what == "snapshot", pending.known_at
        try:
            batches = pending.take()
        except TableError as error:
            self.count("not taken")
            self.log(f"the staged update was not applied: {error}")
            self.discard_update(now, pending.relay)
            return
        self.count("snapshots" if snapshot else "batches")
        self.needs_snapshot = self.needs_snapshot and not snapshot
        self.diverging_relays.clear()
        self.corrupt_relays.clear()
        self.advance_known_at(known)
        self.decisions.append(Decision(Action.APPLIED, batches=batches))
        self.selector.on_success(pending.relay)
        self.ask(now)

    # -- probes of other relays --------------------------------------------------------------------------

    def end_probe(self, probe: Probe, closed: bool = False) -> None:
        """Ends the probe and closes its link, unless the link is `closed` already."""
        if not closed:
            self.decide(Action.CLOSE, probe.relay)
        self.prober.probe = None

    def fail_probe(self, now: int, probe: Probe, closed: bool = False) -> None:
        """Ends the probe and excludes the probed relay for a random time."""
        self.selector.exclude(now, probe.relay, self.times.failed_exclusion)
        self.end_probe(probe, closed)

    def on_probe_answer(self, now: int, probe: Probe, answer: Any) -> None:
        """Handles the answer to a probe: starts to follow the probed relay if that is justified."""
        if not isinstance(answer, FollowAnswer):
            self.fail_probe(now, probe)
            return
        if (
            answer.outcome == FollowOutcome.OTHER
            and probe.mark
            and not self.is_foreign(now, probe.relay, probe.mark)
        ):
            self.record_other_history(now, probe.relay)
            self.check_own_copy()
        worth = self.prober.is_better(now, probe, answer, self.copy.version, self.age(now))
        if not worth or self.pending.what or self.is_foreign(now, probe.relay, probe.mark):
            self.end_probe(probe)
            return
        self.count("home again" if probe.is_first_choice else "moved to a fresher one")
        self.log(f"moving from relay {self.relay} to relay {probe.relay}")
        self.decide(Action.CLOSE, self.relay or "")
        self.selector.on_success(probe.relay)
        self.start_following(now, probe.relay, probe.mark)
