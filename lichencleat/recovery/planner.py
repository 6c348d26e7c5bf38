"""What the owner of a return proposes, at each look at the fleet; no I/O.

Service returns in waves. How many nodes may be open is a cap that the design's own controller moves: it grows
by a share of itself for each look at which the open ones stand with strength to spare, and falls when they
don't. All that it has learned lies in the plan, so that the next owner goes on where this one ended.
"""

from __future__ import annotations

from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery.terms import Door, Lost, NewEpoch, Node, Plan, Wave

MISSED = 5_000_000  # µs without a report from a node that is called gone: an open one reports each 2 s
WAIT = (
    2_000_000  # µs after the first that woke before a loss of power is told from single restarts: most are up
)
MANY = 0.5  # of the nodes known, woken or gone at once: then it was the power, and all begin anew
FEW = 2  # nodes: of so few nobody can tell that
FIRST = 1 / 3  # of the nodes known, open in the first wave: enough to see how what they share below stands
PART_FIRST = 0.3  # of what nodes share below, dealt at first: cold, it may fall over at a third of its load
PART_GAIN = (
    0.1  # of the part, for each look: 7% a second in strength, less than is heard of too late to matter
)
PART_STRAIN = 0.7  # the strain that the part is moved by: well under the one at which calls fail in numbers
GAIN = 0.5  # of the cap, for each look at full strength
REFERENCE = 1.0  # the strain that the open ones should have: all their work, none turned away
FALL = 0.5  # of the cap, when the open ones fall: the wave is taken back
STEP = 0.34  # of a node's arrivals, for each look since it was opened: three steps
SETTLE = 2  # looks that a wave must stand before the next one
SAID = "every node that came back is open"


def strain_of(nodes: list[Node]) -> float:
    """How the open ones stand together; those without interpreter count as fallen."""
    return sum(each.strain if each.ready else 2.0 for each in nodes) / len(nodes) if nodes else 0.0


def turns(nodes: dict[str, Node]) -> list[str]:
    """In which order the shut ones come in: zones in turn, those with proofs first, quick before slow."""
    shut = [name for name, each in nodes.items() if each.door == Door.SHUT and each.ready]
    taken: dict[str, int] = {}
    for each in nodes.values():
        if each.door == Door.OPEN:
            taken[each.zone] = taken.get(each.zone, 0) + 1
    by_zone: dict[str, list[str]] = {}
    for name in sorted(shut, key=lambda name: (not nodes[name].proof, -nodes[name].speed, name)):
        by_zone.setdefault(nodes[name].zone, []).append(name)
    order = []
    while by_zone:
        zone = min(by_zone, key=lambda each: (taken.get(each, 0), each))
        order.append(by_zone[zone].pop(0))
        taken[zone] = taken.get(zone, 0) + 1
        if not by_zone[zone]:
            del by_zone[zone]
    return order


class Planner:
    """Of one owner under one token. `looks` is asked some times a second with what the group holds."""

    def __init__(self, token: int) -> None:
        self.token = token
        self.beats: dict[
            str, tuple[int, int]
        ] = {}  # node -> its last report, µs at which this owner knew of it
        self.woke_at: int | None = None  # µs: since when somebody waits
        self.first: dict[str, int] = {}  # node -> its report that this owner knew of first
        self.stands = 0  # looks since the last wave at which the open ones stood

    def looks(self, now: int, epoch: int, nodes: dict[str, Node], plan: Plan | None) -> list:
        """`now`: µs of the owner's monotonic clock. Gives commands, to be proposed in this order."""
        said: list = [Lost(self.token, name, beat) for name, beat in self.missing(now, nodes)]
        shut = [each for each in nodes.values() if each.door == Door.SHUT]
        if plan is None:
            return said + self.at_rest(now, epoch, nodes, shut)
        if not plan.held:
            said += self.under_way(nodes, plan, shut)
        return said

    def missing(self, now: int, nodes: dict[str, Node]) -> list[tuple[str, int]]:
        """Guards against an owner that was just made: it counts from its own first look."""
        known, gone = {}, []
        for name, each in nodes.items():
            self.first.setdefault(name, each.beat)
            beat, at = self.beats.get(name, (-1, now))
            known[name] = (each.beat, at if beat == each.beat else now)
            if each.door != Door.GONE and now - known[name][1] >= MISSED:
                gone.append((name, each.beat))
        self.beats = known
        return gone

    def at_rest(self, now: int, epoch: int, nodes: dict[str, Node], shut: list[Node]) -> list:
        """Single restarts open by steps, at once; so many that it was the power begin a new epoch."""
        opening = self.steps(nodes)
        if not shut:
            self.woke_at = None
            return [Wave(self.token, opening, None)] if opening else []
        self.woke_at = now if self.woke_at is None else self.woke_at
        heard = [each.door == Door.OPEN and each.beat > self.first[name] for name, each in nodes.items()]
        away = len(nodes) - sum(heard)
        if len(nodes) > FEW and away >= MANY * len(nodes):
            if now - self.woke_at < WAIT and len(shut) < len(nodes):
                return []  # more may be heard
            return [
                NewEpoch(self.token, epoch, f"{away} of {len(nodes)} nodes lost their power or their way")
            ]
        opening |= dict.fromkeys(turns(nodes), STEP)
        return [Wave(self.token, opening, None)] if opening else []

    def steps(self, nodes: dict[str, Node]) -> dict[str, float]:
        """Who is open in part opens further while it stands."""
        return {
            name: round(min(1.0, each.share + STEP), 3)
            for name, each in nodes.items()
            if each.door == Door.OPEN and each.share < 1.0 and each.ready and each.strain <= REFERENCE
        }

    def under_way(self, nodes: dict[str, Node], plan: Plan, shut: list[Node]) -> list:
        open_ = {name: each for name, each in nodes.items() if each.door == Door.OPEN}
        if not plan.cap:
            first = max(1.0, len(nodes) * FIRST)
            why = f"wave 1: {first:.0f} nodes first, the others after them"
            plan = Plan(first, 1, plan.held, plan.relapses, PART_FIRST, why)
            return [
                SetAllocatableShare(self.token, plan.part),
                Wave(self.token, self.fill(nodes, plan, len(open_)), plan),
            ]
        fallen = [name for name, each in open_.items() if not each.ready]
        strain = strain_of(list(open_.values()))
        if len(fallen) * 2 > len(open_) > 0:
            return [self.take_back(open_, plan)]
        moving = self.steps(nodes)
        whole = not shut and not moving
        part = self.part(plan, strain, bool(open_))
        if whole and all(each.share >= 1.0 for each in open_.values()) and open_ and part >= 1.0:
            return [SetAllocatableShare(self.token, 1.0), Wave(self.token, {}, None)]
        self.stands = self.stands + 1 if strain <= REFERENCE and not fallen else 0
        cap = plan.cap * (1 + GAIN * max(-1.0, min(1.0, REFERENCE - strain)))
        why = f"wave {plan.wave}: {len(open_)} open at strain {strain:.2f}, {cap:.0f} may be; part {part:.2f}"
        new = Plan(max(1.0, min(cap, float(len(nodes)))), plan.wave, plan.held, plan.relapses, part, why)
        if self.stands >= SETTLE and not moving and (more := self.fill(nodes, new, len(open_))):
            new.wave += 1
            self.stands = 0
            moving |= more
        return [SetAllocatableShare(self.token, part), Wave(self.token, moving, new)]

    def part(self, plan: Plan, strain: float, known: bool) -> float:
        """Of what is shared below: up while calls come back, down as soon as some don't."""
        if not known:
            return plan.part
        moved = plan.part * (1 + PART_GAIN * max(-0.5, min(1.0, PART_STRAIN - strain)))
        return min(1.0, max(PART_FIRST / 2, moved))

    def fill(self, nodes: dict[str, Node], plan: Plan, open_: int) -> dict[str, float]:
        return dict.fromkeys(turns(nodes)[: max(0, int(plan.cap) - open_)], STEP)

    def take_back(self, open_: dict[str, Node], plan: Plan) -> Wave:
        """More than half of the open ones fell: the last wave shuts, and the cap falls with it."""
        self.stands = 0
        last = [name for name, each in open_.items() if each.wave == plan.wave]
        cap = max(1.0, plan.cap * FALL)
        why = f"wave {plan.wave} fell: {len(last)} nodes shut again, up to {cap:.0f} may be open"
        new = Plan(cap, max(1, plan.wave - 1), plan.held, plan.relapses + 1, plan.part / 2, why)
        return Wave(self.token, dict.fromkeys(last, 0.0), new)
