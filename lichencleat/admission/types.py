"""Types of the interface between an admission controller and its host.

Times are whole microseconds. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Effect(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = auto()  # no harm
    KEYED = auto()  # must not happen; a mark tells the repeat
    NON_IDEMPOTENT = auto()  # must not happen; nothing tells the repeat


class Preemption(Enum):
    """What a node can do to running work."""

    NONE = auto()
    ABORT = auto()
    SUSPEND = auto()


class CapacitySignal(Enum):
    """What callers read in the advertised capacity that goes with every answer."""

    NONE = auto()
    PRIORITY_THRESHOLD = auto()  # they send nothing of lower rank
    WINDOW = auto()  # each has at most so many outstanding here
    PROBABILITY = auto()  # they skip this node but for this probability


class Downstream(Enum):
    """What the requests of this node call."""

    NONE = auto()
    SHARED = auto()  # one dependency, common to all nodes
    TIER = auto()  # further nodes with the same admission control


class Outcome(Enum):
    """How a run or a call came to its end."""

    COMPLETED = auto()
    FAILED = auto()
    ABORTED = auto()
    TIMED_OUT = auto()
    INTERRUPTED = auto()
    REJECTED = auto()  # proves that it never ran
    UNREACHABLE = auto()  # proves that it never ran
    SUPERSEDED = auto()  # nothing was started


class RequestState(Enum):
    """Where a request stands on this node; the values are the words of status lines."""

    QUEUED = "held"
    RUNNING = "running"
    AWAITING_CALL = "asking"  # at a call that has not gone out
    CALLING = "calling"
    COALESCED = "sharing"  # waits for the outcome of the one it repeats
    ENDED = "ended"


class Action(Enum):
    """What the host is asked to do."""

    START = auto()
    ABORT = auto()
    REJECT = auto()
    FAIL = auto()
    CALL = auto()
    SKIP_CALL = auto()
    ADD_RECORD = auto()
    DELETE_RECORD = auto()
    COALESCE = auto()
    REPORT_HEALTH = auto()
    ADVERTISE_CAPACITY = auto()
    SET_IDLE_TIMEOUT = auto()
    SET_TIMER = auto()
    LOG = auto()


@dataclass(eq=False, slots=True)
class RequestClass:
    """What all requests of one kind have in common; times are in µs."""

    name: str
    effect: Effect = Effect.IDEMPOTENT
    latency_objective: int = 0  # an answer after it is worth less, or nothing
    deadline: int = 0
    value: float = 1.0
    late_value_share: float = 0.0  # share of the value earned after the objective
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    window: int = 0  # keyed: how long after its arrival it may come again
    calls_downstream: bool = False
    value_share_without_call: float = 0.0  # share of the value kept where a call was skipped


@dataclass(slots=True)
class NodeSpec:
    """What a node is told when it starts."""

    cores: int = 1
    memory_kb: float = 0.0
    running_memory_factor: float = 1.0  # memory of a running request, in that of a queued one
    record_kb: float = 0.0
    max_concurrency_per_core: float = 2.0  # running requests on the cores that a warm node survives
    starts_cold: bool = False
    cold_speed_share: float = 1.0  # of its speed, at the least, at a cold start
    warmup_us: int = 0
    preemption: Preemption = Preemption.NONE
    capacity_signal: CapacitySignal = CapacitySignal.NONE
    callers: int = 0  # that there are at its start, 0 where not known
    max_retry_after_us: int = 0  # 0 where callers do not heed it
    downstream: Downstream = Downstream.NONE
    call_quota: float = 0.0  # this node's part of the calls that the dependency survives
    call_quota_window_us: int = 0
    idle_timeout_us: int = 0  # after which callers close connections, 0 where not known
    freshness_us: int = 0  # how long the answer of an idempotent request may serve its repeats, 0 for never
    health_checks_do_work: bool = False  # health checks do real work unless answered from store
    drain_grace_us: int = 0  # after the notice to stop, what arrives later is not run
    resolution: int = 0  # µs, at the least, between two lots of events
    callers_send_deadline: bool = False  # requests say how long their caller waits
    value_by_work: bool = False  # the value is for each unit of work, not for each request
    tenant_quotas: dict[str, float] = field(default_factory=dict)  # requests a second here
    over_quota_value_share: float = 1.0  # share of the value earned by a tenant's requests beyond its quota
    request_classes: list[RequestClass] = field(default_factory=list)


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One attempt of a request on this node; times are in µs of the host's clock."""

    request_class: RequestClass
    arrived: int  # at the machine, before it was read
    due: int  # by now it must have its answer
    rank: float = 0.0  # by value, from 0 to under 1; see CapacitySignal.PRIORITY_THRESHOLD
    caller: int = 0
    tenant: str = ""
    original: Request | None = None  # the attempt that it repeats
    other_originals: list[Request] = field(default_factory=list)  # of its key, whose windows it is in
    original_unknown: bool = False  # it repeats one that the host no longer has
    replacement: Request | None = None  # the repeat that took its place, as it never ran
    has_key: bool = False
    is_retry: bool = False
    cost: int = 0  # core time expected, 0 where not known
    size_kb: float = 0.0
    state: RequestState = RequestState.QUEUED
    answered: bool = False
    started: int | None = None
    succeeded: bool = False
    called_at: int = 0
    call_not_before: int = 0
    failed_calls: int = 0
    number: int = -1  # the host's own, for hosts that keep requests in numbered slots


@dataclass(slots=True)
class ResourceUsage:
    """The node's own measurements; None where it has no such gauge."""

    busy: float | None = None  # share of the cores
    runnable: float | None = None  # everything that wants a core: runs, reading, connections
    memory: float | None = None
    connections: float | None = None


@dataclass(slots=True)
class Decision:
    """One thing that the host is to do."""

    action: Action
    request: Request | None = None
    duration_us: int = 0  # of a retry-after, a call, a record, an idle timeout or a timer; 0 for none
    capacity: float = 0.0  # ADVERTISE_CAPACITY: in the form of the node's CapacitySignal
    is_last: bool = False  # REJECT: the caller must not try elsewhere
    is_healthy: bool = False  # REPORT_HEALTH
    text: str = ""  # LOG
