"""Start settings, as the bench and the platform both hand them, made into the `NodeSpec` of the decisions."""

from __future__ import annotations

from typing import Any

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
HALTS = {"none": Preemption.NONE, "abort": Preemption.ABORT, "suspend": Preemption.SUSPEND}
TOLD = {
    "none": CapacitySignal.NONE,
    "threshold": CapacitySignal.PRIORITY_THRESHOLD,
    "window": CapacitySignal.WINDOW,
    "share_of": CapacitySignal.PROBABILITY,
}
BELOW = {"none": Downstream.NONE, "shared": Downstream.SHARED, "tier": Downstream.TIER}
GAUGES = {
    "cpu_busy": "busy",
    "runnable": "runnable",
    "mem_used": "memory",
    "sockets": "connections",
}


MAX_AMOUNT = 1e12  # of any figure: more than the seconds, kilobytes or calls of any machine


class InvalidInputError(Exception):
    """A line that is not what the wire allows; its text says what and where."""


def micros(seconds: float | None) -> int:
    return round((seconds or 0) * 1_000_000)


def amount(told: dict, key: str, where: str) -> float:
    """A figure of the settings, 0 where it is not told. Guards the decisions against what is no figure.

    Raises InvalidInputError for one that is no number, below 0, or beyond any machine.
    """
    value = told.get(key)
    if value is None:
        return 0
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= MAX_AMOUNT:
        raise InvalidInputError(f"{where}.{key}: no figure from 0 to {MAX_AMOUNT:.0e}: {value!r:.60}")
    return value


def part(told: dict, key: str, kind: type, where: str) -> Any:
    """Return a part of the settings, empty where it is missing.

    Raises:
        InvalidInputError: if it is of another type.
    """
    value = told.get(key)
    if value is not None and not isinstance(value, kind):
        raise InvalidInputError(f"{where}{key}: no {kind.__name__}: {value!r:.60}")
    return kind() if value is None else value


def choose(table: dict[str, Any], name: Any, default: Any, where: str) -> Any:
    if name is None:
        return default
    if not isinstance(name, str) or name not in table:
        raise InvalidInputError(f"{where}: unknown value {name!r:.60}")
    return table[name]


def decode_shares(told: dict) -> dict[str, float]:
    """Each tenant's share, in requests a second at one of the nodes that there are at this start."""
    nodes, shares = max(1.0, amount(told, "servers", "settings")), {}
    for at, each in enumerate(part(told, "orgs", list, "")):
        where = f"orgs[{at}]"
        if not isinstance(each, dict) or not isinstance(each.get("name"), str):
            raise InvalidInputError(f"{where}: no tenant with its name: {each!r:.60}")
        if quota := amount(each, "quotaPerS", where):
            shares[each["name"]] = quota / nodes
    return shares


def decode_node_spec(told: dict) -> NodeSpec:
    """The machine as the settings tell it; keys that are not known here are passed over."""
    own, rules = part(told, "specifics", dict, ""), part(told, "invariants", dict, "")
    allowed = part(told, "allowed", dict, "")
    calls, without = (
        part(own, "classCalls", list, "specifics."),
        part(own, "classSkipWorth", list, "specifics."),
    )

    def number(key: str, of: dict = own, where: str = "specifics") -> float:
        return amount(of, key, where)

    over = told.get("overShareWorth")
    request_classes = []
    for at, each in enumerate(part(told, "classes", list, "")):
        where = f"classes[{at}]"
        if not isinstance(each, dict) or not isinstance(each.get("name"), str):
            raise InvalidInputError(f"{where}: no class with its name: {each!r:.60}")
        skip = {"worth": without[at] if at < len(without) else 0}
        request_classes.append(
            RequestClass(
                name=each["name"],
                effect=choose(EFFECTS, each.get("effect"), Effect.IDEMPOTENT, f"{where}.effect"),
                latency_objective=micros(number("aim", each, where) or number("deadline", each, where)),
                deadline=micros(number("deadline", each, where)),
                value=number("worth", each, where),
                late_value_share=number("lateWorth", each, where),
                objective_stretch=number("aimStretch", each, where),
                window=micros(number("window", each, where)),
                calls_downstream=bool(calls[at]) if at < len(calls) else False,
                value_share_without_call=amount(skip, "worth", f"specifics.classSkipWorth[{at}]"),
            )
        )
    return NodeSpec(
        cores=int(number("cores")) or 1,
        memory_kb=number("memoryKb"),
        running_memory_factor=number("blowup") or 1.0,
        record_kb=number("entryKb"),
        max_concurrency_per_core=number("tipMultiple", rules, "invariants") or 2.0,
        starts_cold=bool(own.get("cold")),
        cold_speed_share=number("coldFrom", rules, "invariants") or 1.0,
        warmup_us=micros(number("cold", rules, "invariants")),
        preemption=choose(HALTS, own.get("halt"), Preemption.NONE, "specifics.halt"),
        capacity_signal=choose(TOLD, own.get("advert"), CapacitySignal.NONE, "specifics.advert"),
        callers=int(number("callers")),
        max_retry_after_us=micros(number("maxRetryAfter", allowed, "allowed")),
        downstream=choose(BELOW, own.get("below"), Downstream.NONE, "specifics.below"),
        call_quota=number("callsOut"),
        call_quota_window_us=micros(number("depWindow")),
        idle_timeout_us=micros(number("callerIdle")),
        freshness_us=micros(number("fresh")),
        health_checks_do_work=bool(own.get("fullChecks")),
        drain_grace_us=micros(number("stopSendingWithin", rules, "invariants")),
        resolution=micros(number("resolution", told, "settings")),
        callers_send_deadline=bool(own.get("passesDeadline")),
        value_by_work=told.get("worthBy") == "work",
        tenant_quotas=decode_shares(told),
        over_quota_value_share=1.0 if over is None else amount(told, "overShareWorth", "settings"),
        request_classes=request_classes,
    )


def decode_gauges(told: dict) -> list[str | None]:
    """The gauges in the order in which their readings come; None for one that is not known here."""
    names = part(part(told, "specifics", dict, ""), "gauges", list, "specifics.")
    return [GAUGES.get(name) if isinstance(name, str) else None for name in names]


def read_gauges(names: list[str | None], readings: list[float]) -> ResourceUsage:
    return ResourceUsage(**{name: value for name, value in zip(names, readings, strict=False) if name})
