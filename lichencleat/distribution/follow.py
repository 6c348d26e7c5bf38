"""Which relay is followed, what it is asked, and what of its answers is taken over; no I/O.

Inputs only update what is known; the host then pulls decisions. One question is open at a time, and the next
one is asked only when what the last one brought is in force: so it acknowledges nothing else.

What is taken: a batch on top of the version in force alone, whole, when its digest is the one that it came
with; a snapshot of a higher version alone. So the version in force never goes back, whichever relay speaks.

Age: "nothing newer" is said when the hold is over, so the answer was made no earlier than that; news may have
been made at any time after the question. From that moment the age counts, never from when it was heard: who
was stopped with an answer in its buffer is as old as it is. What nobody has told yet is `OLDEST`.

A relay whose word is stale is kept until another one was asked and is fresher by a margin; looks for one get
rarer with each round of all. So a place that is cut off as a whole stays where it is.

Two histories: a relay that says OTHER, or whose batch has another digest, is left, and either side may be the
one that is wrong. Only where relays of several tiers say so (where there is one tier: two relays) is it this
one, which is told loudly; it then fetches a snapshot, of a higher version than the one in force, so that
nobody ever sees two contents under one version. Until there is such a version it goes on with what it has.
Pages that a change touched differ in that snapshot, so a page that went wrong in memory is fetched whole.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lichencleat.distribution.choice import Choice, Span, Times
from lichencleat.distribution.copy import Copy
from lichencleat.distribution.counts import OLDEST, aged
from lichencleat.distribution.errors import TableError
from lichencleat.distribution.terms import (
    DIGESTS,
    FOLLOW,
    HOLD,
    PAGES_OF,
    Batch,
    Count,
    Digests,
    Fed,
    Follow,
    Pages,
    Say,
    Wanted,
)

WANT = 8  # pages asked for at once: each is a slice of some 150 µs when it came
AHEAD = 2 * WANT  # pages that came and are not looked at yet, while more are asked for
HEADS_MOST = 8  # snapshots in a row that the relay gave up while they were fetched, before it is left
BUSY_MOST = 4  # times told to come again for a snapshot, before another relay of the tier is asked
IDLE = 60_000_000  # µs between looks where nothing is waited for
TEXT = 200  # characters of a reason that is told


class Act(Enum):
    OPEN = 1  # a link to `relay`
    CLOSE = 2  # it is not wanted any more, also while it is being opened
    ASK = 3  # `what` with `content`, at `relay`
    STEP = 4  # call copy.step() in a later turn, then `stepped`
    TAKEN = 5  # `batches` are in force; none: a snapshot is
    TELL = 6  # a line for the log


@dataclass(frozen=True, slots=True)
class Decision:
    act: Act
    relay: str = ""
    what: str = ""
    content: Any = None
    batches: tuple[Batch, ...] = ()
    text: str = ""


@dataclass(slots=True)
class Question:
    """The open one."""

    what: str
    at: int  # µs when it was asked
    until: int  # µs: then its relay counts as silent
    hold: int = 0
    slept: bool = False  # it was given more time, as this process overslept


@dataclass(slots=True)
class Probe:
    """A look at another relay while one is followed."""

    relay: str
    until: int
    home: bool  # it is an earlier choice; else: perhaps a fresher one
    asked: int = -1  # µs; -1: its link is not open yet
    mark: bytes = b""


class Follower:
    def __init__(
        self,
        tiers: Sequence[Sequence[str]],
        copy: Copy,
        rng: random.Random,
        now: int,
        is_node: bool,
        zone: str,
        times: Times | None = None,
    ) -> None:
        """`tiers`: addresses, nearest first; `now`: µs on the monotonic clock, as in all calls."""
        self.copy, self.is_node, self.zone = copy, is_node, zone
        self.times = times or Times()
        self.choice = Choice(tiers, rng, self.times)
        self.relay: str | None = None  # that is followed: its link is open
        self.mark = b""  # told by it
        self.below: tuple[Count, ...] = ()  # of all that hangs on this one
        self.out: deque[Decision] = deque()  # a few for each input
        self.opening: tuple[str, int] | None = None  # and until when
        self.rest_until: int | None = None  # then `upcoming` is opened
        self.upcoming: str | None = None
        self.question: Question | None = None
        self.pause_until: int | None = None  # then the relay is asked again
        self.probe: Probe | None = None
        self.look_at: int | None = None
        self.home_at: int | None = None
        self.staging = ""  # "batches", "snapshot" under way
        self.staged_by, self.staged_mark = "", b""  # the relay that it is from, and its group
        self.stepping = False  # the host owes a `stepped`
        self.due = 0  # slices that pages which came need
        self.head: Digests | None = None  # of the snapshot that is fetched
        self.wanted: frozenset[int] = frozenset()
        self.heads = self.busy = 0  # in a row
        self.behind_since: int | None = None
        self.known_at: int | None = None  # the source had nothing newer than what is in force, µs
        self.will_know: int | None = None  # the same, of what is staged
        self.others: set[str] = set()  # relays with another history
        self.spoilts: set[str] = set()  # relays whose batch had another digest here
        self.anew = False  # a snapshot is wanted, whatever digests say
        self.seen = now
        self.counters: dict[str, int] = {}
        self.plan(now)

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    def tell(self, text: str) -> None:
        self.out.append(Decision(Act.TELL, text=text[:TEXT]))

    # -- what is known ---------------------------------------------------------------------------------

    def age(self, now: int) -> int:
        """µs since the source was known to have nothing newer; `OLDEST` where that never was."""
        return OLDEST if self.known_at is None else aged(0, now - self.known_at)

    def knows(self, moment: int | None) -> None:
        if moment is not None and (self.known_at is None or moment > self.known_at):
            self.known_at = moment

    def next_decision(self, now: int) -> Decision | None:
        self.seen = now
        return self.out.popleft() if self.out else None

    def deadline(self) -> int:
        """µs: when `wakes` is to be called at the latest."""
        moments = [self.rest_until, self.pause_until]
        if self.opening is not None:
            moments.append(self.opening[1])
        if self.question is not None:
            moments.append(self.question.until)
        if self.probe is not None:
            moments.append(self.probe.until)
        elif self.relay is not None:
            moments += [self.look_at, self.home_at]
        return min((each for each in moments if each is not None), default=self.seen + IDLE)

    def wakes(self, now: int) -> None:
        """Whatever was to happen by now."""
        if self.rest_until is not None and now >= self.rest_until:
            self.opens(now)
        if self.opening is not None and now >= self.opening[1]:
            self.fails(now, self.opening[0], "its link does not open", self.times.failed)
        question = self.question
        if question is not None and now >= question.until:
            if now - question.until > self.times.overslept and not question.slept:
                question.until, question.slept = now + self.times.patience, True
            elif self.relay is not None:
                self.fails(now, self.relay, "it is silent", self.times.failed)
        if self.pause_until is not None and now >= self.pause_until:
            self.ask(now)
        if self.probe is not None:
            if now >= self.probe.until:
                self.probe_fails(now, "it is silent")
        elif self.relay is not None:
            self.looks(now, self.relay)

    # -- links -----------------------------------------------------------------------------------------

    def plan(self, now: int) -> None:
        """Another relay, after a drawn span."""
        self.upcoming, span = self.choice.next(now, self.relay)
        self.rest_until = now + span

    def opens(self, now: int) -> None:
        self.rest_until = None
        if self.upcoming is None:
            self.plan(now)
            return
        self.opening = (self.upcoming, now + self.times.opening)
        self.out.append(Decision(Act.OPEN, self.upcoming))

    def opened(self, now: int, relay: str, mark: bytes) -> None:
        """`mark`: of its group; b"" where it does not know it yet."""
        foreign = bool(mark and self.copy.mark and mark != self.copy.mark)
        if self.probe is not None and relay == self.probe.relay and self.probe.asked < 0:
            if foreign:
                self.foreign(now, relay)
                self.probe_ends(now)
                return
            self.probe.asked, self.probe.mark = now, mark
            self.probe.until = now + self.times.patience
            has = Follow(self.copy.version, self.copy.digest, (), 0)
            self.out.append(Decision(Act.ASK, relay, FOLLOW, has))
        elif self.opening is not None and relay == self.opening[0]:
            if foreign:
                self.foreign(now, relay)
                self.fails(now, relay, "it is of another group", self.times.wrong)
                return
            self.opening = None
            self.follows(now, relay, mark)
        else:
            self.out.append(Decision(Act.CLOSE, relay))

    def foreign(self, now: int, relay: str) -> None:
        self.count("of another group")
        self.choice.bad(now, relay, self.times.wrong)
        self.tell(f"{relay} is of another group and not followed")

    def follows(self, now: int, relay: str, mark: bytes) -> None:
        self.relay, self.mark = relay, mark
        self.question = self.pause_until = self.behind_since = self.look_at = None
        self.busy = self.heads = 0
        self.home_at = None if self.choice.first(relay) else now + self.choice.draw(self.times.home)
        self.count("followed")
        if not self.staging:
            self.ask_if_ours(now, relay)

    def ask_if_ours(self, now: int, relay: str) -> None:
        """Its link may have been opened before the group's mark was known here."""
        if self.mark and self.copy.mark and self.mark != self.copy.mark:
            self.foreign(now, relay)
            self.leaves(now, relay, "it is of another group")
        else:
            self.ask(now)

    def lost(self, now: int, relay: str, why: str) -> None:
        """Its link has ended, or did not open."""
        if self.probe is not None and relay == self.probe.relay:
            self.probe_fails(now, why, closed=True)
        elif relay == self.relay or (self.opening is not None and relay == self.opening[0]):
            self.fails(now, relay, why, self.times.failed, closed=True)

    def fails(self, now: int, relay: str, why: str, span: Span, closed: bool = False) -> None:
        """It is left out for a while, and another one is opened."""
        self.choice.bad(now, relay, span)
        self.leaves(now, relay, why, closed)

    def leaves(self, now: int, relay: str, why: str, closed: bool = False) -> None:
        self.count("left")
        self.tell(f"leaves {relay}: {why}")
        if not closed:
            self.out.append(Decision(Act.CLOSE, relay))
        if self.probe is not None:
            self.out.append(Decision(Act.CLOSE, self.probe.relay))
            self.probe = None
        self.opening = self.question = self.pause_until = None
        self.stops_fetching()
        self.plan(now)
        self.relay = None

    def stops_fetching(self) -> None:
        """Pages that came stay; a snapshot that is whole goes on being looked at."""
        if self.staging == "snapshot" and self.copy.missing(1):
            self.copy.drop()
            self.staging, self.due = "", 0
        self.head = None

    # -- questions -------------------------------------------------------------------------------------

    def ask(self, now: int) -> None:
        """What is newer than what is in force?"""
        self.pause_until = None
        hold = self.times.hold if self.is_node else self.times.relay_hold
        counts = self.below
        if self.is_node:
            counts = (Count(self.zone, 1, self.copy.version, self.age(now), 0, ""), *counts)
        self.puts(now, FOLLOW, Follow(self.copy.version, self.copy.digest, counts, hold), min(hold, HOLD))

    def puts(self, now: int, what: str, content: Any, hold: int = 0) -> None:
        assert self.relay is not None
        patience = self.times.patience + (hold if what == FOLLOW else HOLD)
        self.question = Question(what, now, now + patience, hold)
        self.out.append(Decision(Act.ASK, self.relay, what, content))

    def told(self, now: int, relay: str, what: str, content: Any, why: str = "") -> None:
        """An answer; None: declined, `why` where that is known. What fits no question counts for nothing."""
        if self.probe is not None and relay == self.probe.relay:
            if what == FOLLOW and self.probe.asked >= 0:
                self.probe_told(now, self.probe, content)
            return
        question = self.question
        if relay != self.relay or question is None or question.what != what:
            return
        self.question = None
        if content is None:
            self.declined(now, relay, what, why)
        elif what == FOLLOW and isinstance(content, Fed):
            self.fed(now, relay, question, content)
        elif what == DIGESTS and isinstance(content, Digests):
            self.begins(now, relay, question, content)
        elif what == PAGES_OF and isinstance(content, Pages):
            self.piece(now, relay, content)
        else:
            self.unfit(now, relay, "an answer of another kind")

    def declined(self, now: int, relay: str, what: str, why: str) -> None:
        self.count("declined")
        if what == FOLLOW or why in ("nothing here", "unfit"):
            self.fails(now, relay, why or "it declines", self.times.failed)
            return
        self.busy += 1
        self.stops_fetching()
        if self.busy >= BUSY_MOST and self.choice.beside(now, relay) is not None:
            self.leaves(now, relay, "it has no turn for a snapshot")
            self.upcoming = self.choice.beside(now, relay)
            return
        self.pause_until = now + self.choice.draw(self.times.busy)

    def unfit(self, now: int, relay: str, why: str) -> None:
        self.count("unfit answers")
        self.fails(now, relay, why, self.times.wrong)

    # -- news ------------------------------------------------------------------------------------------

    def fed(self, now: int, relay: str, question: Question, fed: Fed) -> None:
        if fed.version and not self.mark:
            self.leaves(now, relay, "its group was not known when its link was opened")
            return
        said = fed.say
        if said == Say.BEHIND:
            self.behind(now, relay, fed)
            return
        self.behind_since = None
        if said == Say.OTHER:
            self.other(now, relay)
            return
        if self.anew and said in (Say.NEWS, Say.SNAPSHOT):
            self.asks_head(now)
            return
        self.stale(now, fed)
        if said == Say.SAME:
            self.same(now, relay, question, fed)
        elif said == Say.NEWS:
            self.news(now, relay, question, fed)
        elif said == Say.SNAPSHOT:
            self.asks_head(now)
        else:
            self.unfit(now, relay, "an answer that is none")

    def same(self, now: int, relay: str, question: Question, fed: Fed) -> None:
        if (fed.version, fed.digest) != (self.copy.version, self.copy.digest):
            self.unfit(now, relay, "it says the same of another version or digest")
            return
        self.choice.good(relay)
        self.others.clear()
        if fed.age < OLDEST:
            made = question.at + question.hold  # at the earliest, where the hold was kept
            self.knows((made if made <= now else question.at) - max(0, fed.age))
        early = question.hold and now < question.at + question.hold // 2
        if early or not question.hold:
            self.pause_until = now + self.times.again  # whatever it does, it is not asked without end
        else:
            self.ask(now)

    def news(self, now: int, relay: str, question: Question, fed: Fed) -> None:
        version = self.copy.version
        for batch in fed.batches:
            if batch.past != version or batch.version <= version:
                self.unfit(now, relay, f"batch {batch.version} follows {batch.past}, not {version}")
                return
            version = batch.version
        if not fed.batches or version > fed.version:
            self.unfit(now, relay, "news without any, or newer than itself")
            return
        try:
            self.copy.stage(fed.batches)
        except TableError as wrong:
            self.unfit(now, relay, str(wrong))
            return
        self.will_know = None
        if version == fed.version and fed.age < OLDEST:
            self.will_know = question.at - max(0, fed.age)
        self.stages("batches", relay)

    def behind(self, now: int, relay: str, fed: Fed) -> None:
        """It may be catching up: it is given some time."""
        if fed.version >= self.copy.version:
            self.unfit(now, relay, "it says that it has less, and has not")
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since >= self.times.behind:
            self.count("relays behind")
            self.fails(now, relay, f"it has {fed.version}, less than {self.copy.version}", self.times.failed)
            return
        self.pause_until = now + self.times.again

    def other(self, now: int, relay: str) -> None:
        self.count("another history")
        if self.anew:
            self.asks_head(now)
            return
        self.tell(f"{relay} has another history at version {self.copy.version}")
        self.others.add(relay)
        self.fails(now, relay, "another history", self.times.wrong)
        self.doubts()

    def doubts(self) -> None:
        """Do several places say that it is this one that is wrong?"""
        if not self.anew and (self.choice.several(self.others) or self.choice.several(self.spoilts)):
            self.anew = True
            self.count("own history given up")
            named = ", ".join(sorted(self.others | self.spoilts))
            self.tell(f"OWN COPY IN DOUBT at version {self.copy.version}, by {named}: wants a snapshot")

    # -- snapshots -------------------------------------------------------------------------------------

    def asks_head(self, now: int) -> None:
        self.puts(now, DIGESTS, None)

    def begins(self, now: int, relay: str, question: Question, head: Digests) -> None:
        if not self.mark:
            self.unfit(now, relay, "a snapshot of no known group")
            return
        if head.version <= self.copy.version:
            if self.anew:
                self.pause_until = now + self.choice.draw(self.times.busy)
                return
            self.count("older snapshots")
            self.fails(now, relay, f"its snapshot has {head.version}", self.times.failed)
            return
        self.will_know = question.at - max(0, head.age) if head.age < OLDEST else None
        self.head = head
        self.busy = 0
        try:
            self.copy.begin(head)
        except TableError as wrong:
            self.unfit(now, relay, str(wrong))
            return
        self.stages("snapshot", relay)
        self.asks_pages(now)

    def asks_pages(self, now: int) -> None:
        """The next ones, unless enough wait to be looked at."""
        if self.head is None or self.relay is None or self.question is not None or self.due > AHEAD:
            return
        numbers = self.copy.missing(WANT)
        if numbers:
            self.wanted = frozenset(numbers)
            self.puts(now, PAGES_OF, Wanted(self.head.version, tuple(numbers)))

    def piece(self, now: int, relay: str, pages: Pages) -> None:
        if self.head is None:
            return
        if not pages.pages:  # that snapshot is kept no more: a newer one, and what is here stays
            self.heads += 1
            if self.heads > HEADS_MOST:
                self.fails(now, relay, "it gives up its snapshots", self.times.failed)
            else:
                self.asks_head(now)
            return
        numbers = [number for number, _ in pages.pages]
        fit = pages.version == self.head.version and len(set(numbers)) == len(numbers)
        if not fit or not self.wanted.issuperset(numbers):
            self.unfit(now, relay, "pages that were not asked for")
            return
        if not self.copy.put(pages):
            self.spoilt(now, relay)
            return
        self.heads = 0
        self.due += len(numbers)
        self.step()
        self.asks_pages(now)

    # -- staging ---------------------------------------------------------------------------------------

    def stages(self, what: str, relay: str) -> None:
        self.staging, self.staged_by, self.staged_mark = what, relay, self.mark
        self.due = 1
        self.step()

    def step(self) -> None:
        if not self.stepping:
            self.stepping = True
            self.out.append(Decision(Act.STEP))

    def stepped(self, now: int, ready: bool | None) -> None:
        """What copy.step() gave; None: what was staged is spoilt."""
        self.stepping = False
        if not self.staging:
            return
        if ready is None:
            self.spoilt(now, self.staged_by)
        elif ready:
            self.takes(now)
        elif self.staging == "batches":
            self.step()
        else:
            self.due = max(0, self.due - 1)
            self.asks_pages(now)
            if self.due or self.question is None:
                self.step()

    def spoilt(self, now: int, relay: str) -> None:
        self.count("spoilt")
        self.tell(f"{self.staging} from {relay} do not fit their digest: not taken")
        if self.staging == "batches":
            self.spoilts.add(relay)
            self.doubts()
        self.drops(now, relay)

    def drops(self, now: int, relay: str) -> None:
        self.copy.drop()
        self.staging, self.head, self.due = "", None, 0
        self.choice.bad(now, relay, self.times.wrong)
        if relay == self.relay:
            self.leaves(now, relay, "what it sent was spoilt")
        elif self.relay is not None and self.question is None:
            self.ask(now)

    def takes(self, now: int) -> None:
        try:
            batches = self.copy.take()
        except TableError as wrong:
            self.count("not taken")
            self.tell(f"not taken: {wrong}")
            self.drops(now, self.staged_by)
            return
        snapshot = self.staging == "snapshot"
        self.staging, self.head, self.due = "", None, 0
        self.count("snapshots" if snapshot else "batches")
        if not self.copy.mark:
            self.copy.mark = self.staged_mark
        if snapshot:
            self.anew = False
        self.others.clear()
        self.spoilts.clear()
        self.knows(self.will_know)
        self.out.append(Decision(Act.TAKEN, batches=batches))
        self.choice.good(self.staged_by)
        if self.relay is not None and self.question is None:
            self.ask_if_ours(now, self.relay)

    # -- other relays ----------------------------------------------------------------------------------

    def stale(self, now: int, fed: Fed) -> None:
        """Looks for a fresher one begin, or end."""
        if fed.age <= self.times.stale:
            self.look_at = None
            self.choice.fresh()
        elif self.look_at is None:
            self.look_at = now + self.choice.look_span()

    def looks(self, now: int, relay: str) -> None:
        """Has the time come to look at another one? Not while something is fetched or staged."""
        for home, at in ((False, self.look_at), (True, self.home_at)):
            if at is None or now < at:
                continue
            other = self.choice.better(now, relay) if home else self.choice.looks(now, relay)
            self.looks_later(now, home)
            if other is not None and not self.staging and self.head is None:
                self.probe = Probe(other, now + self.times.opening, home)
                self.out.append(Decision(Act.OPEN, other))
                return

    def looks_later(self, now: int, home: bool) -> None:
        if home:
            self.home_at = now + self.choice.draw(self.times.home)
        else:
            self.look_at = now + self.choice.look_span()

    def probe_ends(self, now: int, closed: bool = False) -> None:
        assert self.probe is not None
        if not closed:
            self.out.append(Decision(Act.CLOSE, self.probe.relay))
        self.probe = None

    def probe_fails(self, now: int, why: str, closed: bool = False) -> None:
        assert self.probe is not None
        self.choice.bad(now, self.probe.relay, self.times.failed)
        self.probe_ends(now, closed)

    def probe_told(self, now: int, probe: Probe, fed: Any) -> None:
        if not isinstance(fed, Fed):
            self.probe_fails(now, "it declines")
            return
        if fed.say == Say.OTHER and self.relay is not None and probe.mark:
            self.count("another history")
            self.others.add(probe.relay)
            self.choice.bad(now, probe.relay, self.times.wrong)
        if not self.worth(now, probe, fed) or self.staging or self.head is not None:
            self.probe_ends(now)
            return
        self.count("home again" if probe.home else "moved to a fresher one")
        self.tell(f"moves from {self.relay} to {probe.relay}")
        self.out.append(Decision(Act.CLOSE, self.relay or ""))
        self.probe = None
        self.choice.good(probe.relay)
        self.follows(now, probe.relay, probe.mark)

    def worth(self, now: int, probe: Probe, fed: Fed) -> bool:
        """Is it better than the one that is followed? It has to say so itself, and by a margin."""
        if fed.say not in (Say.NEWS, Say.SAME, Say.SNAPSHOT) or fed.version < self.copy.version:
            return False
        if fed.version and not probe.mark:
            return False
        age = aged(max(0, fed.age), now - probe.asked)
        if probe.home:
            return age <= max(self.times.stale, self.age(now))
        return age + self.times.fresher < self.age(now)
