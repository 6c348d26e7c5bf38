"""Types of the interface between an admission controller and its host.

Times are whole microseconds. The module contains no decision logic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Effect(Enum):
    """Whether a request may run twice, and whether its repeats can be recognized."""

    IDEMPOTENT = auto()  # a second run does no harm
    KEYED = auto()  # must not run twice; a key identifies repeats
    NON_IDEMPOTENT = auto()  # must not run twice; nothing identifies repeats


class Preemption(Enum):
    """What a node can do to a running request."""

    NONE = auto()
    ABORT = auto()
    SUSPEND = auto()


class CapacitySignal(Enum):
    """How callers interpret the advertised capacity that accompanies every answer."""

    NONE = auto()
    PRIORITY_THRESHOLD = auto()  # callers send no request whose rank is below the advertised value
    WINDOW = auto()  # each caller has at most the advertised number of outstanding requests at this node
    PROBABILITY = auto()  # callers send each request to this node with the advertised probability


class Downstream(Enum):
    """What the requests of this node call while they run."""

    NONE = auto()
    SHARED = auto()  # one dependency, shared by all nodes
    TIER = auto()  # further nodes with the same admission control


class Outcome(Enum):
    """How a run or a downstream call ended."""

    COMPLETED = auto()
    FAILED = auto()
    ABORTED = auto()
    TIMED_OUT = auto()
    INTERRUPTED = auto()
    REJECTED = auto()  # proves that the request never ran
    UNREACHABLE = auto()  # proves that the request never ran
    SUPERSEDED = auto()  # no run was started


class RequestState(Enum):
    """The state of a request on this node; the values appear in status lines."""

    QUEUED = "held"
    RUNNING = "running"
    AWAITING_CALL = "asking"  # needs a downstream call that has not been sent
    CALLING = "calling"
    COALESCED = "sharing"  # waits for the outcome of an earlier attempt of the same request
    ENDED = "ended"


class Action(Enum):
    """The kinds of decisions that a host carries out."""

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
    """Properties shared by all requests of one class; times are in µs."""

    name: str
    effect: Effect = Effect.IDEMPOTENT
    latency_objective: int = 0  # an answer after this time is worth less, or nothing
    deadline: int = 0
    value: float = 1.0
    late_value_share: float = 0.0  # fraction of the value that an answer after the objective earns
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's cost
    window: int = 0  # keyed requests: time after its arrival in which callers may repeat a request
    calls_downstream: bool = False
    value_share_without_call: float = 0.0  # fraction of the value earned if the call is skipped


@dataclass(slots=True)
class NodeSpec:
    """The start settings of a node."""

    cores: int = 1
    memory_kb: float = 0.0
    running_memory_factor: float = 1.0  # memory of a running request, as a multiple of that of a queued one
    record_kb: float = 0.0
    max_concurrency_per_core: float = 2.0  # running requests per core that a warm node can sustain
    starts_cold: bool = False
    cold_speed_share: float = 1.0  # minimum speed at a cold start, as a fraction of full speed
    warmup_us: int = 0
    preemption: Preemption = Preemption.NONE
    capacity_signal: CapacitySignal = CapacitySignal.NONE
    callers: int = 0  # number of callers at the start, 0 if unknown
    max_retry_after_us: int = 0  # 0 if callers ignore retry-after times
    downstream: Downstream = Downstream.NONE
    call_quota: float = 0.0  # this node's part of the concurrent calls that the dependency can sustain
    call_quota_window_us: int = 0
    idle_timeout_us: int = 0  # time after which callers close idle connections, 0 if unknown
    freshness_us: int = 0  # time in which repeats of an idempotent request may get its answer, 0 for none
    # Whether health checks cost work on this node as long as the host has no health report to answer from.
    health_checks_do_work: bool = False
    drain_grace_us: int = 0  # time after the stop notice in which arriving requests are still run
    resolution: int = 0  # µs, minimum time between two batches of events
    callers_send_deadline: bool = False  # whether requests state how long their caller waits
    value_by_work: bool = False  # whether a class's value is earned per unit of work, not per request
    tenant_quotas: dict[str, float] = field(default_factory=dict)  # requests per second at this node
    over_quota_value_share: float = 1.0  # fraction of its value that a request beyond the quota earns
    request_classes: list[RequestClass] = field(default_factory=list)


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One attempt of a request on this node; times are in µs of the host's clock."""

    request_class: RequestClass
    arrived: int  # time at which the request reached the machine, before the node read it
    due: int  # time by which the request must be answered
    rank: float = 0.0  # rank by value, from 0 to below 1; see CapacitySignal.PRIORITY_THRESHOLD
    caller: int = 0
    tenant: str = ""
    original: Request | None = None  # an earlier attempt of the same request; None for a first attempt
    # Further earlier attempts with the same idempotency key whose windows have not passed.
    other_originals: list[Request] = field(default_factory=list)
    original_unknown: bool = False  # whether there was an earlier attempt that the host no longer has
    replacement: Request | None = None  # the repeat that took the place of this attempt, which never ran
    has_key: bool = False
    is_retry: bool = False
    cost: int = 0  # expected core time, 0 if unknown
    size_kb: float = 0.0
    state: RequestState = RequestState.QUEUED
    answered: bool = False
    started: int | None = None
    succeeded: bool = False
    called_at: int = 0
    call_not_before: int = 0
    failed_calls: int = 0
    number: int = -1  # slot number, for hosts that keep requests in numbered slots


@dataclass(slots=True)
class ResourceUsage:
    """The node's own measurements; None if the node lacks the gauge."""

    busy: float | None = None  # fraction of the cores in use
    runnable: float | None = None  # tasks that want a core: running requests, reading, connections
    memory: float | None = None
    connections: float | None = None


@dataclass(slots=True)
class Decision:
    """One decision for the host to carry out."""

    action: Action
    request: Request | None = None
    # By action: the retry-after time, time limit of the call, retention of the record, idle timeout or timer.
    duration_us: int = 0
    capacity: float = 0.0  # ADVERTISE_CAPACITY: as the node's CapacitySignal defines it
    no_retry_elsewhere: bool = False  # REJECT: the caller must not retry at another node
    is_healthy: bool = False  # REPORT_HEALTH: whether the node is healthy
    text: str = ""  # LOG: the text of the line
