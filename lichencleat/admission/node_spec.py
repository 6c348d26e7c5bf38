"""Decoding of a node's start settings into `NodeSpec`, for the bench adapter and the platform's node.

Unknown keys are ignored. A known key with an invalid value raises `InvalidInputError`.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from lichencleat.admission.types import (
    CapacitySignal,
    Downstream,
    Effect,
    NodeSpec,
    Preemption,
    RequestClass,
    ResourceUsage,
)

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.KEYED, "single_shot": Effect.NON_IDEMPOTENT}
PREEMPTIONS = {"none": Preemption.NONE, "abort": Preemption.ABORT, "suspend": Preemption.SUSPEND}
CAPACITY_SIGNALS = {
    "none": CapacitySignal.NONE,
    "threshold": CapacitySignal.PRIORITY_THRESHOLD,
    "window": CapacitySignal.WINDOW,
    "share_of": CapacitySignal.PROBABILITY,
}
DOWNSTREAMS = {"none": Downstream.NONE, "shared": Downstream.SHARED, "tier": Downstream.TIER}
GAUGES = {  # maps the names of gauges on the wire to fields of ResourceUsage
    "cpu_busy": "busy",
    "runnable": "runnable",
    "mem_used": "memory",
    "sockets": "connections",
}

# Maximum of a number in the settings: more than the seconds, kilobytes or calls of any machine, so larger
# values are mistakes.
MAX_AMOUNT = 1e12
MICROSECONDS_PER_SECOND = 1_000_000
ROOT = "settings"  # path of the outermost object in error texts

ValueT = TypeVar("ValueT")


class InvalidInputError(Exception):
    """Invalid input from the wire or the settings; its text says what is wrong and where."""


class InvalidAmountError(InvalidInputError):
    """A setting that is not a number, below 0 or above `MAX_AMOUNT`."""

    def __init__(self, path: str, value: object) -> None:
        super().__init__(f"{path}: expected a number from 0 to {MAX_AMOUNT:.0e}, got {value!r:.60}")
        self.path = path
        self.value = value


class InvalidTypeError(InvalidInputError):
    """A setting that is not an object where an object is expected, or not a list where a list is."""

    def __init__(self, path: str, expected: type, value: object) -> None:
        super().__init__(f"{path}: expected a {expected.__name__}, got {value!r:.60}")
        self.path = path
        self.expected = expected
        self.value = value


class UnknownValueError(InvalidInputError):
    """A value that is not one of the names allowed for its setting."""

    def __init__(self, path: str, value: object) -> None:
        super().__init__(f"{path}: unknown value {value!r:.60}")
        self.path = path
        self.value = value


class UnnamedEntryError(InvalidInputError):
    """A list entry (a class or a tenant) that is not an object with a name."""

    def __init__(self, path: str, entry_kind: str, value: object) -> None:
        super().__init__(f"{path}: expected a {entry_kind} with a name, got {value!r:.60}")
        self.path = path
        self.value = value


def to_microseconds(seconds: float | None) -> int:
    """Convert seconds to whole microseconds; None counts as 0."""
    return round((seconds or 0) * MICROSECONDS_PER_SECOND)


def look_up(table: Mapping[str, ValueT], name: object, default: ValueT, path: str) -> ValueT:
    """Return the value of a table for a name, or the default if the name is None.

    Raises:
        UnknownValueError: if the name is not in the table.
    """
    if name is None:
        return default
    if not isinstance(name, str) or name not in table:
        raise UnknownValueError(path, name)
    return table[name]


def check_amount(value: object, path: str) -> float:
    """Return a value of the settings as a number, 0 if the value is None.

    Raises:
        InvalidAmountError: if the value is not a number from 0 to `MAX_AMOUNT`.
    """
    if value is None:
        return 0
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= MAX_AMOUNT:
        raise InvalidAmountError(path, value)
    return value


@dataclass(frozen=True, slots=True)
class Section:
    """A JSON object of the settings, with the path that error texts name."""

    values: Mapping[str, object]
    path: str = ROOT

    def amount(self, key: str) -> float:
        """Return the number at a key, 0 if the key is missing.

        Raises:
            InvalidAmountError: if the value is not a number from 0 to `MAX_AMOUNT`.
        """
        return check_amount(self.values.get(key), f"{self.path}.{key}")

    def duration_us(self, key: str) -> int:
        """Return the duration at a key, converted from seconds to µs; 0 if the key is missing.

        Raises:
            InvalidAmountError: if the value is not a number from 0 to `MAX_AMOUNT`.
        """
        return to_microseconds(self.amount(key))

    def choice(self, key: str, table: Mapping[str, ValueT], default: ValueT) -> ValueT:
        """Return the value of a table for the name at a key, or the default if the key is missing.

        Raises:
            UnknownValueError: if the name is not in the table.
        """
        return look_up(table, self.values.get(key), default, f"{self.path}.{key}")

    def flag(self, key: str) -> bool:
        """Return whether a key has a true value."""
        return bool(self.values.get(key))

    def section(self, key: str) -> Section:
        """Return the object at a key, an empty one if the key is missing.

        Raises:
            InvalidTypeError: if the value is not an object.
        """
        return Section(self._container(key, dict), key)

    def list_entries(self, key: str) -> list[object]:
        """Return the list at a key, an empty one if the key is missing.

        Raises:
            InvalidTypeError: if the value is not a list.
        """
        return self._container(key, list)

    def iterate_named_entries(self, key: str, entry_kind: str) -> Iterator[tuple[str, Section]]:
        """Yield name and section of each object in the list at a key.

        Raises:
            InvalidTypeError: if the value is not a list.
            UnnamedEntryError: if an entry is not an object with a name.
        """
        for index, entry in enumerate(self.list_entries(key)):
            path = f"{key}[{index}]"
            name = entry.get("name") if isinstance(entry, dict) else None
            if not isinstance(entry, dict) or not isinstance(name, str):
                raise UnnamedEntryError(path, entry_kind, entry)
            yield name, Section(entry, path)

    def _container(self, key: str, kind: type[ValueT]) -> ValueT:
        value = self.values.get(key)
        if value is None:
            return kind()
        if not isinstance(value, kind):
            raise InvalidTypeError(key if self.path == ROOT else f"{self.path}.{key}", kind, value)
        return value


def decode_tenant_quotas(settings: Section) -> dict[str, float]:
    """Return each tenant's quota at this node, in requests per second.

    The settings have the quota for all servers, of which each server gets an equal part.
    """
    servers = max(1.0, settings.amount("servers"))
    quotas = {}
    for name, tenant in settings.iterate_named_entries("orgs", "tenant"):
        if quota := tenant.amount("quotaPerS"):
            quotas[name] = quota / servers
    return quotas


def decode_request_classes(settings: Section, specifics: Section) -> list[RequestClass]:
    """Return the request classes of the settings; `specifics` states which classes call downstream."""
    calls = specifics.list_entries("classCalls")
    values_without_call = specifics.list_entries("classSkipWorth")
    return [
        decode_request_class(name, section, index, calls, values_without_call)
        for index, (name, section) in enumerate(settings.iterate_named_entries("classes", "class"))
    ]


def decode_request_class(
    name: str, section: Section, index: int, calls: Sequence[object], values_without_call: Sequence[object]
) -> RequestClass:
    """Return the request class at `index` of the settings.

    `calls` and `values_without_call` hold one value for each class; missing values at the end mean none.
    """
    value_without_call = values_without_call[index] if index < len(values_without_call) else 0
    return RequestClass(
        name=name,
        effect=section.choice("effect", EFFECTS, Effect.IDEMPOTENT),
        latency_objective=to_microseconds(section.amount("aim") or section.amount("deadline")),
        deadline=section.duration_us("deadline"),
        value=section.amount("worth"),
        late_value_share=section.amount("lateWorth"),
        objective_stretch=section.amount("aimStretch"),
        window=section.duration_us("window"),
        calls_downstream=bool(calls[index]) if index < len(calls) else False,
        value_share_without_call=check_amount(value_without_call, f"specifics.classSkipWorth[{index}].worth"),
    )


def decode_node_spec(raw_settings: Mapping[str, object]) -> NodeSpec:
    """Return the `NodeSpec` that the settings describe.

    Raises:
        InvalidInputError: if a known setting has an invalid value.
    """
    settings = Section(raw_settings)
    specifics = settings.section("specifics")
    invariants = settings.section("invariants")
    allowed = settings.section("allowed")
    request_classes = decode_request_classes(settings, specifics)
    return NodeSpec(
        cores=int(specifics.amount("cores")) or 1,
        memory_kb=specifics.amount("memoryKb"),
        running_memory_factor=specifics.amount("blowup") or 1.0,
        record_kb=specifics.amount("entryKb"),
        max_concurrency_per_core=invariants.amount("tipMultiple") or 2.0,
        starts_cold=specifics.flag("cold"),
        cold_speed_share=invariants.amount("coldFrom") or 1.0,
        warmup_us=invariants.duration_us("cold"),
        preemption=specifics.choice("halt", PREEMPTIONS, Preemption.NONE),
        capacity_signal=specifics.choice("advert", CAPACITY_SIGNALS, CapacitySignal.NONE),
        callers=int(specifics.amount("callers")),
        max_retry_after_us=allowed.duration_us("maxRetryAfter"),
        downstream=specifics.choice("below", DOWNSTREAMS, Downstream.NONE),
        call_quota=specifics.amount("callsOut"),
        call_quota_window_us=specifics.duration_us("depWindow"),
        idle_timeout_us=specifics.duration_us("callerIdle"),
        freshness_us=specifics.duration_us("fresh"),
        health_checks_do_work=specifics.flag("fullChecks"),
        drain_grace_us=invariants.duration_us("stopSendingWithin"),
        resolution=settings.duration_us("resolution"),
        callers_send_deadline=specifics.flag("passesDeadline"),
        value_by_work=raw_settings.get("worthBy") == "work",
        tenant_quotas=decode_tenant_quotas(settings),
        over_quota_value_share=decode_over_quota_value_share(settings),
        request_classes=request_classes,
    )


def decode_over_quota_value_share(settings: Section) -> float:
    """Return which fraction of its value a request beyond its tenant's quota earns; 1 if it is not set."""
    if settings.values.get("overShareWorth") is None:
        return 1.0
    return settings.amount("overShareWorth")


def decode_gauges(raw_settings: Mapping[str, object]) -> list[str | None]:
    """Return for each gauge of the node the field of `ResourceUsage`, None for an unknown gauge.

    The order is the order of the readings that `read_gauges` gets.
    """
    names = Section(raw_settings).section("specifics").list_entries("gauges")
    return [GAUGES.get(name) if isinstance(name, str) else None for name in names]


def read_gauges(names: Sequence[str | None], readings: Sequence[float]) -> ResourceUsage:
    """Return the readings as `ResourceUsage`; readings of unknown gauges are ignored."""
    return ResourceUsage(**{name: value for name, value in zip(names, readings, strict=False) if name})
