"""Plain types shared by the decisions and their hosts. Times are whole microseconds; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Effect(Enum):
    """What a second run of a request would do."""

    PURE = auto()  # no harm
    RECEIPTED = auto()  # must not happen; a mark tells the repeat
    EFFECTFUL = auto()  # must not happen; nothing tells the repeat


class Halt(Enum):
    """What a node can do to running work."""

    NONE = auto()
    DROP = auto()
    PAUSE = auto()


class Told(Enum):
    """What callers read in the free value that goes with every answer."""

    NOTHING = auto()
    LEVEL = auto()  # they send nothing of lower place
    WINDOW = auto()  # each has at most so many outstanding here
    CHANCE = auto()  # they skip this node but for this probability


class Below(Enum):
    """What the requests of this node call."""

    NOTHING = auto()
    SHARED = auto()  # one dependency, common to all nodes
    TIER = auto()  # further nodes that run the same decisions


class Outcome(Enum):
    """How a run or a call came to its end."""

    COMPLETED = auto()
    ERRED = auto()
    STOPPED = auto()
    OVERDUE = auto()
    CUT = auto()
    TURNED_AWAY = auto()  # proves that it never ran
    UNREACHED = auto()  # proves that it never ran
    VOID = auto()  # nothing was started


class State(Enum):
    """Where a request stands on this node."""

    HELD = auto()
    RUNNING = auto()
    ASKING = auto()  # at a call that has not been let out
    CALLING = auto()
    SHARING = auto()  # waits for the outcome of the one it repeats
    ENDED = auto()


class Act(Enum):
    """What the host is asked to do."""

    START = auto()
    STOP = auto()
    DEFER = auto()
    GIVE_UP = auto()
    CALL = auto()
    OMIT_CALL = auto()
    RECORD = auto()
    STRIKE = auto()
    SHARE = auto()
    HEALTH = auto()
    TELL = auto()
    CLOSE_IDLE = auto()
    WAKE = auto()
    NOTE = auto()


@dataclass(eq=False, slots=True)
class Tariff:
    name: str
    effect: Effect = Effect.PURE
    soft_limit: int = 0
    hard_limit: int = 0
    payoff: float = 1.0
    late_payoff: float = 0.0  # share of the payoff earned after the soft limit
    stretch: float = 0.0  # the soft limit grows by this multiple of the request's own work
    window: int = 0  # receipted: how long after its arrival it may come again
    calls: bool = False
    payoff_without_call: float = 0.0  # share of the payoff kept where a call was omitted


@dataclass(slots=True)
class Machine:
    """What a node is told when it starts."""

    cores: int = 1
    memory_kb: float = 0.0
    run_factor: float = 1.0  # memory of a running request, in that of a held one
    receipt_kb: float = 0.0
    crowd: float = 2.0  # running requests on the cores, for each core, that a warm node survives
    cold: bool = False
    cold_share: float = 1.0  # of its speed, at the least, at a cold start
    warm_after: int = 0
    halt: Halt = Halt.NONE
    told: Told = Told.NOTHING
    callers: int = 0  # that there are at its start, 0 where not told
    advice_most: int = 0  # 0 where advice goes unheard
    below: Below = Below.NOTHING
    calls_share: float = 0.0  # this node's part of the calls that the dependency survives
    calls_span: int = 0
    connections_idle: int = 0  # after which callers close them, 0 where not told
    fresh: int = 0  # how long the answer of a pure request may serve its repeats, 0 for never
    full_checks: bool = False  # health checks do real work unless answered from store
    grace: int = 0  # after the notice to leave, what arrives later is not run
    resolution: int = 0
    time_told: bool = False  # requests tell how long their caller waits
    paid_by_work: bool = False  # the payoff is for each unit of work, not for each request
    shares: dict[str, float] = field(default_factory=dict)  # of each tenant, requests a second here
    over_share_payoff: float = 1.0  # share of the payoff earned by a tenant's requests beyond its own
    tariffs: list[Tariff] = field(default_factory=list)


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    tariff: Tariff
    arrived: int  # at the machine, before it was read
    due: int  # by now it must have its answer
    place: float = 0.0
    caller: int = 0
    tenant: str = ""
    repeats: Request | None = None
    repeats_else: list[Request] = field(default_factory=list)  # other tries of its key whose windows it is in
    repeats_unknown: bool = False  # it repeats one that the host no longer has
    successor: Request | None = None  # the repeat that took its place, as it never ran
    has_subject: bool = False
    further_try: bool = False
    cost: int = 0  # core time expected, 0 where not told
    size_kb: float = 0.0
    state: State = State.HELD
    answered: bool = False
    started: int | None = None
    succeeded: bool = False
    called_at: int = 0
    call_after: int = 0
    calls_failed: int = 0
    number: int = -1  # the host's own, for hosts that keep requests in numbered slots


@dataclass(slots=True)
class Gauges:
    """The node's own readings; None where it has no such gauge."""

    busy: float | None = None
    wanting_core: float | None = None
    memory: float | None = None
    connections: float | None = None


@dataclass(slots=True)
class Decision:
    act: Act
    request: Request | None = None
    span: int = 0  # of an advice, a call, a record, idleness or a wake-up; 0 for none
    amount: float = 0.0  # the free value
    flag: bool = False  # DEFER: no try elsewhere; HEALTH: good
    text: str = ""
