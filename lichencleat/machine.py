"""Start settings, as the bench and the platform both hand them, made into the `Machine` of the decisions."""

from __future__ import annotations

from typing import Any

from lichencleat.terms import Below, Effect, Gauges, Halt, Machine, Tariff, Told

EFFECTS = {"free": Effect.PURE, "guarded": Effect.RECEIPTED, "single_shot": Effect.EFFECTFUL}
HALTS = {"none": Halt.NONE, "abort": Halt.DROP, "suspend": Halt.PAUSE}
TOLD = {"none": Told.NOTHING, "threshold": Told.LEVEL, "window": Told.WINDOW, "share_of": Told.CHANCE}
BELOW = {"none": Below.NOTHING, "shared": Below.SHARED, "tier": Below.TIER}
GAUGES = {
    "cpu_busy": "busy",
    "runnable": "wanting_core",
    "mem_used": "memory",
    "sockets": "connections",
}


class BadInputError(Exception):
    """A line that is not what the wire allows; its text says what and where."""


def micros(seconds: float | None) -> int:
    return round((seconds or 0) * 1_000_000)


def choose(table: dict[str, Any], name: Any, default: Any, where: str) -> Any:
    if name is None:
        return default
    if name not in table:
        raise BadInputError(f"{where}: unknown value {name!r}")
    return table[name]


def decode_machine(told: dict) -> Machine:
    """The machine as the settings tell it; keys that are not known here are passed over."""
    own = told.get("specifics") or {}
    rules = told.get("invariants") or {}
    allowed = told.get("allowed") or {}
    calls, without = own.get("classCalls") or [], own.get("classSkipWorth") or []
    tariffs = [
        Tariff(
            name=each["name"],
            effect=choose(EFFECTS, each.get("effect"), Effect.PURE, "classes[].effect"),
            soft_limit=micros(each.get("aim") or each.get("deadline")),
            hard_limit=micros(each.get("deadline")),
            payoff=each.get("worth") or 0.0,
            late_payoff=each.get("lateWorth") or 0.0,
            stretch=each.get("aimStretch") or 0.0,
            window=micros(each.get("window")),
            calls=bool(calls[at]) if at < len(calls) else False,
            payoff_without_call=(without[at] or 0.0) if at < len(without) else 0.0,
        )
        for at, each in enumerate(told.get("classes") or [])
    ]
    return Machine(
        cores=int(own.get("cores") or 1),
        memory_kb=own.get("memoryKb") or 0.0,
        run_factor=own.get("blowup") or 1.0,
        receipt_kb=own.get("entryKb") or 0.0,
        crowd=rules.get("tipMultiple") or 2.0,
        cold=bool(own.get("cold")),
        cold_share=rules.get("coldFrom") or 1.0,
        warm_after=micros(rules.get("cold")),
        halt=choose(HALTS, own.get("halt"), Halt.NONE, "specifics.halt"),
        told=choose(TOLD, own.get("advert"), Told.NOTHING, "specifics.advert"),
        callers=int(own.get("callers") or 1),
        advice_most=micros(allowed.get("maxRetryAfter")),
        below=choose(BELOW, own.get("below"), Below.NOTHING, "specifics.below"),
        calls_share=own.get("callsOut") or 0.0,
        calls_span=micros(own.get("depWindow")),
        connections_idle=micros(own.get("callerIdle")),
        fresh=micros(own.get("fresh")),
        full_checks=bool(own.get("fullChecks")),
        grace=micros(rules.get("stopSendingWithin")),
        resolution=micros(told.get("resolution")),
        time_told=bool(own.get("passesDeadline")),
        paid_by_work=told.get("worthBy") == "work",
        tariffs=tariffs,
    )


def decode_gauges(told: dict) -> list[str | None]:
    """The gauges in the order in which their readings come; None for one that is not known here."""
    return [GAUGES.get(name) for name in (told.get("specifics") or {}).get("gauges") or []]


def read_gauges(names: list[str | None], readings: list[float]) -> Gauges:
    return Gauges(**{name: value for name, value in zip(names, readings, strict=False) if name})
