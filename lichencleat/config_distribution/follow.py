"""Which relay is followed and what it is asked; no I/O. What may be applied: `taking.py`.

Inputs only update the state; the host then pulls decisions. One request is open at a time, and the next one
is sent only when the update from the last one is applied, so a request acknowledges nothing else.

Age: "nothing newer" is answered when the hold is over, so the answer was made no earlier than that; news may
have been made at any time after the request. The age counts from that moment, not from when the answer was
read: a process that was stopped with an answer in its receive buffer doesn't take the answer for a recent
one. An age that is not known yet is `MAX_AGE_US`.

Diverging histories: a relay that answers OTHER, or whose batch has another digest, is left; either side may
be the one that is wrong. Only if relays of several tiers disagree with this process (with one tier: two
relays), its own copy is in doubt, which is logged in capital letters. It then fetches a snapshot of a higher
version than the one in force, so that nobody ever sees two contents under one version, and keeps its copy
until there is one. Pages that a change touched differ in that snapshot, so a page corrupted in memory is
fetched as a whole.
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

MAX_DROPPED_SNAPSHOTS = 8  # snapshots in a row that the relay dropped during the fetch, before it is left
MAX_BUSY_ANSWERS = 4  # times in a row that a snapshot is declined, before another relay of the tier is asked
IDLE_WAKE_US = 60_000_000  # µs between wake-ups when nothing is pending
MAX_LOG_CHARS = 200  # characters of a log line


@dataclass(slots=True)
class SentRequest:
    """The open request."""

    what: str
    at: int  # µs: when it was sent
    until: int  # µs: its relay counts as silent after that
    hold: int = 0
    slept: bool = False  # its deadline was extended, as this process was stopped


class RelayFollower:
    """Decides which relay a node or relay follows, what it asks and which updates it applies."""

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
        """`tiers`: addresses, nearest first; `now`: µs on the monotonic clock, as in all calls."""
        self.copy, self.is_node, self.zone = copy, is_node, zone
        self.times = times or Timing()
        self.choice = RelaySelector(tiers, rng, self.times)
        self.looks = RelayProber(self.choice, self.times)
        self.taking = PendingUpdate(copy)
        self.relay: str | None = None  # the relay that is followed: its link is open
        self.mark = b""  # the group's mark, as that relay reported it
        self.below: tuple[Count, ...] = ()  # counts of all nodes below this process
        self.out: deque[Decision] = deque()  # a few per input
        # the relay whose link is being opened, and the deadline for it
        self.opening: tuple[str, int] | None = None
        self.rest_until: int | None = None  # µs: `upcoming` is opened then
        self.upcoming: str | None = None
        self.question: SentRequest | None = None
        self.pause_until: int | None = None  # µs: the relay is asked again then
        self.stepping = False  # the host has to call `stepped`
        self.heads = self.busy = 0  # counted in a row
        self.behind_since: int | None = None
        self.known_at: int | None = None  # µs: the source had nothing newer than the version in force then
        self.others: set[str] = set()  # relays with another history
        self.spoilts: set[str] = set()  # relays whose batch led to another digest here
        self.anew = False  # the own copy is in doubt: a snapshot is needed even if the digests match
        self.seen = now
        self.counters: dict[str, int] = {}
        self.plan(now)

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    def decide(self, act: Action, relay: str = "", what: str = "", content: Any = None) -> None:
        self.out.append(Decision(act, relay, what, content))

    def tell(self, text: str) -> None:
        """Logs a line."""
        self.out.append(Decision(Action.TELL, text=text[:MAX_LOG_CHARS]))

    # -- state --------------------------------------------------------------------------------

    def age(self, now: int) -> int:
        """µs since the source was known to have nothing newer; `MAX_AGE_US` if it never was."""
        return MAX_AGE_US if self.known_at is None else age_after(0, now - self.known_at)

    def knows(self, moment: int | None) -> None:
        """Moves the start of the age forward."""
        if moment is not None and (self.known_at is None or moment > self.known_at):
            self.known_at = moment

    def next_decision(self, now: int) -> Decision | None:
        """The next decision for the host, or None."""
        self.seen = now
        return self.out.popleft() if self.out else None

    def deadline(self) -> int:
        """µs: `wakes` has to be called at that time at the latest."""
        moments = [self.rest_until, self.pause_until]
        if self.opening is not None:
            moments.append(self.opening[1])
        if self.question is not None:
            moments.append(self.question.until)
        if self.relay is not None:
            moments.append(self.looks.deadline())
        return min((each for each in moments if each is not None), default=self.seen + IDLE_WAKE_US)

    def wakes(self, now: int) -> None:
        """Handles all deadlines that have passed."""
        if self.rest_until is not None and now >= self.rest_until:
            self.opens(now)
        if self.opening is not None and now >= self.opening[1]:
            self.fails(now, self.opening[0], "its link was not opened in time", self.times.failed)
        question = self.question
        if question is not None and now >= question.until:
            if now - question.until > self.times.overslept and not question.slept:
                question.until, question.slept = now + self.times.patience, True
            elif self.relay is not None:
                self.fails(now, self.relay, "it did not answer in time", self.times.failed)
        if self.pause_until is not None and now >= self.pause_until:
            self.ask(now)
        probe = self.looks.probe
        if probe is not None and now >= probe.until:
            self.probe_fails(now, probe)
        if self.relay is not None:
            other = self.looks.begins(now, self.relay, not self.taking.what)
            if other is not None:
                self.decide(Action.OPEN, other)

    # -- links -----------------------------------------------------------------------------------------

    def plan(self, now: int) -> None:
        """Schedules the opening of another relay after a random delay."""
        self.upcoming, span = self.choice.next(now, self.relay)
        self.rest_until = now + span

    def opens(self, now: int) -> None:
        """Opens the scheduled relay."""
        self.rest_until = None
        if self.upcoming is None:
            self.plan(now)
            return
        self.opening = (self.upcoming, now + self.times.opening)
        self.decide(Action.OPEN, self.upcoming)

    def opened(self, now: int, relay: str, mark: bytes) -> None:
        """The link to a relay is open. `mark`: of its group; b"" if the relay doesn't know it yet."""
        probe = self.looks.probe
        if probe is not None and relay == probe.relay and probe.asked < 0:
            if self.foreign(now, relay, mark):
                self.probe_ends(probe)
                return
            self.looks.opened(now, probe, mark)
            self.decide(Action.ASK, relay, FOLLOW, FollowRequest(self.copy.version, self.copy.digest, (), 0))
        elif self.opening is not None and relay == self.opening[0]:
            self.opening = None
            self.follows(now, relay, mark)
        else:
            self.decide(Action.CLOSE, relay)

    def foreign(self, now: int, relay: str, mark: bytes) -> bool:
        """Whether the relay belongs to another group; it is then excluded, which is logged."""
        if not mark or not self.copy.mark or mark == self.copy.mark:
            return False
        self.count("of another group")
        self.choice.bad(now, relay, self.times.wrong)
        self.tell(f"relay {relay} belongs to another group and is not followed")
        return True

    def follows(self, now: int, relay: str, mark: bytes) -> None:
        """Follows the relay, whose link is open."""
        self.relay, self.mark = relay, mark
        self.question = self.pause_until = self.behind_since = None
        self.busy = self.heads = 0
        self.looks.follows(now, relay)
        self.count("followed")
        if not self.taking.what:
            self.ask(now)

    def lost(self, now: int, relay: str, why: str) -> None:
        """The relay's link has ended, or could not be opened."""
        probe = self.looks.probe
        if probe is not None and relay == probe.relay:
            self.probe_fails(now, probe, closed=True)
        elif relay == self.relay or (self.opening is not None and relay == self.opening[0]):
            self.fails(now, relay, why, self.times.failed, closed=True)

    def fails(self, now: int, relay: str, why: str, span: DelayRange, closed: bool = False) -> None:
        """Excludes the relay for a while and moves on to another one."""
        self.choice.bad(now, relay, span)
        self.leaves(now, relay, why, closed)

    def leaves(self, now: int, relay: str, why: str, closed: bool = False) -> None:
        """Closes the relay's link and schedules another relay."""
        self.count("left")
        self.tell(f"leaving relay {relay}: {why}")
        if not closed:
            self.decide(Action.CLOSE, relay)
        if self.looks.probe is not None:
            self.probe_ends(self.looks.probe)
        self.opening = self.question = self.pause_until = None
        self.taking.halt()
        self.plan(now)
        self.relay = None

    # -- questions -------------------------------------------------------------------------------------

    def ask(self, now: int) -> None:
        """Asks the relay for what is newer than the version in force."""
        relay, self.pause_until = self.relay, None
        if relay is None or self.question is not None:
            return
        if self.foreign(now, relay, self.mark):  # the link was opened before the copy had a mark
            self.leaves(now, relay, "it belongs to another group")
            return
        hold = self.times.hold if self.is_node else self.times.relay_hold
        counts = self.below
        if self.is_node:
            counts = (Count(self.zone, 1, self.copy.version, self.age(now), 0, ""), *counts)
        self.puts(
            now,
            FOLLOW,
            FollowRequest(self.copy.version, self.copy.digest, counts, hold),
            min(hold, MAX_HOLD_US),
        )

    def puts(self, now: int, what: str, content: Any, hold: int = 0) -> None:
        """Sends a request, with the deadline for its answer."""
        assert self.relay is not None
        patience = self.times.patience + (hold if what == FOLLOW else MAX_HOLD_US)
        self.question = SentRequest(what, now, now + patience, hold)
        self.decide(Action.ASK, self.relay, what, content)

    def told(self, now: int, relay: str, what: str, content: Any, why: str = "") -> None:
        """An answer from a relay. `content` None: declined, `why` if known.

        Without a request it is ignored.
        """
        probe = self.looks.probe
        if probe is not None and relay == probe.relay:
            if what == FOLLOW and probe.asked >= 0:
                self.probe_told(now, probe, content)
            return
        question = self.question
        if relay != self.relay or question is None or question.what != what:
            return
        self.question = None
        if content is None:
            self.declined(now, relay, what, why)
        elif what == FOLLOW and isinstance(content, FollowAnswer):
            self.fed(now, relay, question, content)
        elif what == DIGESTS and isinstance(content, SnapshotHead):
            self.begins(now, relay, question, content)
        elif what == PAGES_OF and isinstance(content, PagesAnswer):
            self.piece(now, relay, content)
        else:
            self.unfit(now, relay, "its answer does not match the request")

    def declined(self, now: int, relay: str, what: str, why: str) -> None:
        """Leaves a relay that declines, or waits for a slot where only the snapshot is declined."""
        self.count("declined")
        if what == FOLLOW or why in ("nothing here", "unfit"):
            self.fails(now, relay, why or "it declined the request", self.times.failed)
            return
        self.busy += 1
        self.taking.halt()
        other = self.choice.beside(now, relay) if self.busy >= MAX_BUSY_ANSWERS else None
        if other is not None:
            self.leaves(now, relay, "it has no free slot for a snapshot")
            self.upcoming = other
        else:
            self.pause_until = now + self.choice.draw(self.times.busy)

    def unfit(self, now: int, relay: str, why: str) -> None:
        """Leaves the relay after an invalid answer."""
        self.count("unfit answers")
        self.fails(now, relay, why, self.times.wrong)

    # -- news ------------------------------------------------------------------------------------------

    def fed(self, now: int, relay: str, question: SentRequest, fed: FollowAnswer) -> None:
        """Handles the answer to a `follow`."""
        if fed.version and not self.mark:
            self.leaves(now, relay, "it did not report its group when the link was opened")
        elif fed.say == FollowOutcome.BEHIND:
            self.behind(now, relay, fed)
        elif fed.say == FollowOutcome.OTHER:
            self.other(now, relay)
        elif fed.say == FollowOutcome.SAME:
            self.same(now, relay, question, fed)
        elif fed.say == FollowOutcome.SNAPSHOT or (fed.say == FollowOutcome.NEWS and self.anew):
            self.behind_since = None
            self.looks.heard(now, fed.age)
            self.puts(now, DIGESTS, None)
        elif fed.say == FollowOutcome.NEWS:
            self.news(now, relay, question, fed)
        else:
            self.unfit(now, relay, "its answer has an unknown outcome")

    def same(self, now: int, relay: str, question: SentRequest, fed: FollowAnswer) -> None:
        """The relay has nothing newer."""
        if fed.version != self.copy.version or (fed.version and fed.digest != self.copy.digest):
            self.unfit(now, relay, "it reported no news for another version or digest")
            return
        self.behind_since = None
        self.choice.good(relay)
        self.looks.heard(now, fed.age)
        self.others.clear()
        self.anew = self.anew and bool(self.spoilts)
        held = now >= question.at + question.hold
        if fed.age < MAX_AGE_US:
            self.knows(question.at + (question.hold if held else 0) - max(0, fed.age))
        if held and question.hold:
            self.ask(now)
        else:
            # limits the rate of requests to a relay that doesn't hold them
            self.pause_until = now + self.times.again

    def news(self, now: int, relay: str, question: SentRequest, fed: FollowAnswer) -> None:
        """Stages the batches of the answer."""
        self.behind_since = None
        self.looks.heard(now, fed.age)
        known = question.at - max(0, fed.age) if fed.age < MAX_AGE_US else None
        wrong = self.taking.stage(fed, relay, self.mark, known)
        if wrong:
            self.unfit(now, relay, wrong)
        else:
            self.step()

    def behind(self, now: int, relay: str, fed: FollowAnswer) -> None:
        """The relay has less than this process. It may be catching up, so it gets some time."""
        if fed.version >= self.copy.version:
            self.unfit(now, relay, "it reported a lower version, but its version is not lower")
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since >= self.times.behind:
            self.count("relays behind")
            self.fails(
                now, relay, f"its version {fed.version} is lower than {self.copy.version}", self.times.failed
            )
            return
        self.pause_until = now + self.times.again

    def other(self, now: int, relay: str) -> None:
        """The relay has another digest at the version in force."""
        if self.anew:
            self.puts(now, DIGESTS, None)
            return
        self.another_history(now, relay)
        self.leaves(now, relay, "its history differs")
        self.doubts()

    def another_history(self, now: int, relay: str) -> None:
        """Records that the relay's history differs, and excludes it."""
        self.count("another history")
        self.tell(f"relay {relay} has another history at version {self.copy.version}")
        self.others.add(relay)
        self.choice.bad(now, relay, self.times.wrong)

    def doubts(self) -> None:
        """Puts the own copy in doubt if independent relays disagree with it."""
        if not self.anew and (self.choice.several(self.others) or self.choice.several(self.spoilts)):
            self.anew = True
            self.count("own history given up")
            named = ", ".join(sorted(self.others | self.spoilts))
            self.tell(
                f"OWN COPY IN DOUBT at version {self.copy.version}, differs at {named}: needs a snapshot"
            )

    # -- snapshots -------------------------------------------------------------------------------------

    def begins(self, now: int, relay: str, question: SentRequest, head: SnapshotHead) -> None:
        """Starts the snapshot whose head was received."""
        if head.version <= self.copy.version and self.anew:
            self.pause_until = now + self.choice.draw(self.times.busy)
            return
        known = question.at - max(0, head.age) if head.age < MAX_AGE_US else None
        wrong = self.taking.begin(head, relay, self.mark, known) if self.mark else "its group is not known"
        if wrong:
            self.unfit(now, relay, wrong)
            return
        self.busy = 0
        self.step()
        self.asks_pages(now)

    def asks_pages(self, now: int) -> None:
        """Requests the next pages of the snapshot."""
        if self.relay is not None and self.question is None:
            wanted = self.taking.pages()
            if wanted is not None:
                self.puts(now, PAGES_OF, wanted)

    def piece(self, now: int, relay: str, pages: PagesAnswer) -> None:
        """Handles pages of the snapshot."""
        if not pages.pages and self.taking.head is not None:
            self.heads += 1  # the relay dropped that snapshot: a newer one is requested, fetched pages stay
            if self.heads > MAX_DROPPED_SNAPSHOTS:
                self.fails(now, relay, "it dropped its snapshots during the fetch", self.times.failed)
            else:
                self.puts(now, DIGESTS, None)
        elif not self.taking.asked_for(pages):
            self.unfit(now, relay, "it sent pages that were not requested")
        elif not self.taking.put(pages):
            self.spoilt(now, relay)
        else:
            self.heads = 0
            self.step()
            self.asks_pages(now)

    # -- staging ---------------------------------------------------------------------------------------

    def step(self) -> None:
        """Has the host process the next slice."""
        if not self.stepping:
            self.stepping = True
            self.decide(Action.STEP)

    def stepped(self, now: int, ready: bool | None) -> None:
        """The result of copy.step(); None: what was staged is corrupt."""
        self.stepping = False
        taking = self.taking
        if not taking.what:
            return
        if ready is None:
            self.spoilt(now, taking.by)
        elif ready:
            self.takes(now)
        elif taking.what == "batches":
            self.step()
        else:
            taking.due = max(0, taking.due - 1)
            self.asks_pages(now)
            if taking.due or self.question is None:
                self.step()

    def spoilt(self, now: int, relay: str) -> None:
        """Discards corrupt data and notes the relay that sent it."""
        self.count("spoilt")
        self.tell(f"{self.taking.what} from relay {relay} does not match its digest and is not applied")
        if self.taking.what == "batches":
            self.spoilts.add(relay)
            self.doubts()
        self.drops(now, relay)

    def drops(self, now: int, relay: str) -> None:
        """Discards what is staged and leaves the relay that sent it."""
        self.taking.drop()
        self.choice.bad(now, relay, self.times.wrong)
        if relay == self.relay:
            self.leaves(now, relay, "its data was not applied")
        else:
            self.ask(now)

    def takes(self, now: int) -> None:
        """Applies what is staged."""
        taking = self.taking
        snapshot, known = taking.what == "snapshot", taking.knows
        try:
            batches = taking.take()
        except TableError as wrong:
            self.count("not taken")
            self.tell(f"the staged update was not applied: {wrong}")
            self.drops(now, taking.by)
            return
        self.count("snapshots" if snapshot else "batches")
        self.anew = self.anew and not snapshot
        self.others.clear()
        self.spoilts.clear()
        self.knows(known)
        self.out.append(Decision(Action.TAKEN, batches=batches))
        self.choice.good(taking.by)
        self.ask(now)

    # -- probes of other relays --------------------------------------------------------------------------

    def probe_ends(self, probe: Probe, closed: bool = False) -> None:
        """Ends the probe."""
        if not closed:
            self.decide(Action.CLOSE, probe.relay)
        self.looks.probe = None

    def probe_fails(self, now: int, probe: Probe, closed: bool = False) -> None:
        """Ends the probe and excludes its relay for a while."""
        self.choice.bad(now, probe.relay, self.times.failed)
        self.probe_ends(probe, closed)

    def probe_told(self, now: int, probe: Probe, fed: Any) -> None:
        """Handles the answer to the probe: moves to its relay if that is justified."""
        if not isinstance(fed, FollowAnswer):
            self.probe_fails(now, probe)
            return
        if fed.say == FollowOutcome.OTHER and probe.mark and not self.foreign(now, probe.relay, probe.mark):
            self.another_history(now, probe.relay)
            self.doubts()
        worth = self.looks.worth(now, probe, fed, self.copy.version, self.age(now))
        if not worth or self.taking.what or self.foreign(now, probe.relay, probe.mark):
            self.probe_ends(probe)
            return
        self.count("home again" if probe.home else "moved to a fresher one")
        self.tell(f"moving from relay {self.relay} to relay {probe.relay}")
        self.decide(Action.CLOSE, self.relay or "")
        self.choice.good(probe.relay)
        self.follows(now, probe.relay, probe.mark)
