"""What the owner of the order proposes, at each look at the evidence; no I/O.

A zone is judged by what routers saw of it, those elsewhere as well as its own; by several looks, never by
one. It comes back by a trickle that grows while it stands, after a calm span that is longer with each
relapse. Before any traffic is moved, what the others carry is looked at; what nobody carries is deferred
where it comes in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lichencleat.failover.terms import JOB, Duty, Give, Learn, Order, Source, Unwish, Wished, Zone

__all__ = ["JOB", "Judge"]

LOOK = 300_000  # µs from one look to the next: as often as routers tell
SILENT = 1_500_000  # µs without a word of any router of a zone: five of them
BAD = 0.4  # share of tries lost, from elsewhere, from which on a zone is no place for guests
GREY = 0.12  # share lost: it stays, with half of the guests; one in eight nodes failing looks like that
LOOKS = 2  # bad looks in a row until it is taken out: one may be chance, three would be a second
FEW = 10  # tries in a look under which nothing is said
CALM, CALM_MOST = (
    3_000_000,
    120_000_000,
)  # µs without a bad look until a zone is let in again; doubled by relapses
FORGET = 600_000_000  # µs of standing after which a relapse is forgotten
TRICKLE, GROW = 0.1, 1.35  # of a zone's room for guests at first, and from look to look while it stands
SAFE = 0.95  # of what a zone is known to carry, own and guests: the rest is for its own bursts
LEARN = 0.02  # of the difference, a look: what a zone is known to carry follows what it was seen to do
CHANGE = 0.15  # of its room: smaller changes are no new order
SECOND = 1_000_000  # µs


@dataclass(slots=True)
class Known:
    """One zone, as this owner has seen it."""

    bad: int = 0  # bad looks in a row
    out: bool = False
    out_at: int = 0  # µs of the last bad look while out
    in_at: int = 0
    relapses: int = 0
    trickle: float = 1.0
    why: str = ""


def offered_in(zones: Mapping[str, Zone], sources: Mapping[str, Source]) -> dict[str, float]:
    """Requests a second that come in each zone, by these words."""
    offered = dict.fromkeys(zones, 0.0)
    for each in sources.values():
        if each.zone in offered:
            offered[each.zone] += each.offered
    return offered


@dataclass(slots=True)
class Judge:
    token: int
    known: dict[str, Known] = field(default_factory=dict)
    words: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # router -> entry, µs when this owner knew of it
    wishes: dict[str, tuple[int, int]] = field(default_factory=dict)  # zone -> entry, µs of it
    began: bool = False

    def looks(
        self,
        now: int,
        zones: dict[str, Zone],
        order: Order,
        sources: dict[str, Source],
        wishes: dict[str, Wished],
    ) -> list:
        """`now`: µs of the owner's monotonic clock. Gives commands, in this order."""
        if not self.began:
            self.takes_over(now, order)
        fresh = self.heard(now, sources)
        said: list = self.ended(now, wishes)
        offered = offered_in(zones, fresh)
        for name, zone in zones.items():
            known = self.known.setdefault(name, Known())
            self.judge(now, name, known, fresh, sources)
            carried = self.carried(name, zone, fresh)
            if carried is not None:
                said.append(Learn(self.token, name, carried))
        new = self.order(zones, offered, wishes, order)
        if self.differs(order, new, zones):
            said.append(Give(self.token, order.number, new))
        return said

    def takes_over(self, now: int, order: Order) -> None:
        """A new owner begins from the order that holds: who was out stays out for a calm span."""
        self.began = True
        for name, duty in order.duties.items():
            if duty == Duty.STANDS_BY:
                self.known[name] = Known(LOOKS, True, now, 0, 1, 0.0, "out by the owner before")

    def heard(self, now: int, sources: dict[str, Source]) -> dict[str, Source]:
        """Those that told lately; the count begins when this owner knew of their word."""
        fresh, words = {}, {}
        for name, each in sources.items():
            told, at = self.words.get(name, (-1, now))
            words[name] = (each.told, at if told == each.told else now)
            if now - words[name][1] < SILENT:
                fresh[name] = each
        self.words = words
        return fresh

    def ended(self, now: int, wishes: dict[str, Wished]) -> list:
        """Drills whose time is over, though the terminal that began them has died."""
        known = {}
        for zone, wish in wishes.items():
            given, at = self.wishes.get(zone, (-1, now))
            known[zone] = (wish.given, at if given == wish.given else now)
        self.wishes = known
        return [
            Unwish(zone, wish.given)
            for zone, wish in wishes.items()
            if wish.span and now - self.wishes[zone][1] >= wish.span
        ]

    # -- one zone --------------------------------------------------------------------------------------

    def judge(
        self, now: int, name: str, known: Known, fresh: dict[str, Source], sources: dict[str, Source]
    ) -> None:
        verdict = self.verdict(name, fresh, sources)
        if verdict is None:  # nothing is known: it stays as it is
            return
        bad, known.why = verdict
        if bad:
            known.bad += 1
            known.out_at = now
            if not known.out and known.bad >= LOOKS:
                known.relapses = 1 if now - known.in_at > FORGET else known.relapses + 1
                known.out, known.trickle = True, 0.0
            return
        known.bad = 0
        if known.out and now - known.out_at >= min(CALM_MOST, CALM * 2 ** (known.relapses - 1)):
            known.out, known.in_at, known.trickle = False, now, TRICKLE
        elif not known.out and known.trickle < 1.0:
            known.trickle = min(1.0, known.trickle * GROW)

    def verdict(
        self, name: str, fresh: dict[str, Source], sources: dict[str, Source]
    ) -> tuple[bool, str] | None:
        """Whether it is bad now, and why; by others' tries first, else by its own word."""
        tries, lost = self.tries(name, fresh, elsewhere=True)
        own = [each for each in fresh.values() if each.zone == name]
        silent = not own and any(each.zone == name for each in sources.values())
        if tries >= FEW and lost > BAD * tries:
            return True, f"{lost} of {tries} tries from elsewhere were lost"
        if silent:
            return True, "no router of it is heard"
        mine, gone = self.tries(name, fresh, elsewhere=False)
        if mine >= FEW and gone > BAD * mine:
            return True, f"{gone} of {mine} of its own tries were lost"
        return (False, "it stands") if own else None

    @staticmethod
    def tries(name: str, fresh: dict[str, Source], elsewhere: bool) -> tuple[int, int]:
        seen = [
            each.seen[name]
            for each in fresh.values()
            if name in each.seen and (each.zone != name) == elsewhere
        ]
        return sum(each.sent for each in seen), sum(each.lost for each in seen)

    def carried(self, name: str, zone: Zone, fresh: dict[str, Source]) -> float | None:
        """What it is known to carry, after this look: it follows what came back well where more was not.

        Guards against a figure of a file that is wrong by now. It never rises by what was not tried.
        """
        seen = [each.seen[name] for each in fresh.values() if name in each.seen]
        sent, well = sum(each.sent for each in seen), sum(each.well for each in seen)
        turned = sum(each.turned + each.lost for each in seen)
        if sent < FEW or self.known[name].out:
            return None
        rate = well * SECOND / LOOK
        limited = turned > GREY * sent
        if (limited and rate < zone.carries) or rate > zone.carries:
            return zone.carries + LEARN * (rate - zone.carries)
        return None

    # -- the order -------------------------------------------------------------------------------------

    def order(
        self, zones: dict[str, Zone], offered: dict[str, float], wishes: dict[str, Wished], old: Order
    ) -> Order:
        duties: dict[str, int] = {}
        whys = []
        for name, known in self.known.items():
            if name not in zones:
                continue
            if name in wishes:
                duties[name] = wishes[name].duty
                whys.append(f"{name}: an operator's word")
            elif known.out:
                duties[name] = Duty.STANDS_BY
                whys.append(f"{name} out: {known.why}")
        serving = [name for name in zones if duties.get(name, Duty.SERVES) == Duty.SERVES]
        room = {name: max(0.0, zones[name].carries * SAFE - offered[name]) for name in serving}
        guests = {name: round(room[name] * self.known[name].trickle, 1) for name in serving}
        moved = sum(offered[name] for name, duty in duties.items() if duty != Duty.SERVES)
        edge = {}
        if moved > sum(guests.values()):
            short = 1 - sum(guests.values()) / moved
            edge = {
                name: round(short, 2) for name, duty in duties.items() if duty in (Duty.DRAINS, Duty.FENCED)
            }
            whys.append(f"{short:.0%} of {moved:.0f} a second is more than the others carry")
        return Order(old.number, old.token, duties, guests, edge, "; ".join(whys) or "all serve")

    @staticmethod
    def differs(old: Order, new: Order, zones: dict[str, Zone]) -> bool:
        """Worth a new number: who serves, or a room that changed by more than a little."""
        if (old.duties, set(old.guests)) != (new.duties, set(new.guests)) or set(old.edge) != set(new.edge):
            return True
        rooms = any(
            abs(room - old.guests[name]) > CHANGE * zones[name].carries * SAFE
            or (room > old.guests[name] * GROW and old.guests[name] < TRICKLE * zones[name].carries)
            for name, room in new.guests.items()
        )
        return rooms or any(abs(share - old.edge[name]) > CHANGE for name, share in new.edge.items())
