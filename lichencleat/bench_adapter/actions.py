"""Encoding of decisions as actions of the simulator's wire."""

from __future__ import annotations

from lichencleat.admission.node_spec import MICROSECONDS_PER_SECOND
from lichencleat.admission.types import Action, Decision

ACTION_NAMES = {
    Action.START: "admit",
    Action.ABORT: "suspend",
    Action.REJECT: "bounce",
    Action.FAIL: "giveUp",
    Action.CALL: "askBelow",
    Action.SKIP_CALL: "fallBack",
    Action.ADD_RECORD: "pin",
    Action.DELETE_RECORD: "erase",
    Action.COALESCE: "join",
    Action.REPORT_HEALTH: "reportHealth",
    Action.ADVERTISE_CAPACITY: "publish",
    Action.SET_IDLE_TIMEOUT: "closeIdle",
    Action.SET_TIMER: "notifyMe",
    Action.LOG: "trace",
}
TIMER_TAG = "wake"  # tag of a node's only timer; the simulator returns it with the `fired` event


def to_seconds(duration_us: int) -> float:
    """Convert µs to seconds."""
    return duration_us / MICROSECONDS_PER_SECOND


def encode_request_action(decision: Decision, request_id: str) -> list[object]:
    """Return the array that encodes a decision about a request on the wire."""
    action = decision.action
    encoded: list[object] = [ACTION_NAMES[action], request_id]
    if action is Action.REJECT:
        encoded.append(to_seconds(decision.duration_us))
        encoded.append(decision.no_retry_elsewhere)
    elif action is Action.CALL or action is Action.ADD_RECORD:
        encoded.append(to_seconds(decision.duration_us))
    return encoded


def encode_node_action(decision: Decision) -> list[object]:
    """Return the array that encodes a decision about the node itself on the wire."""
    action = decision.action
    name = ACTION_NAMES[action]
    if action is Action.REPORT_HEALTH:
        return [name, decision.is_healthy, True]  # the report goes to health checks and to the endpoint list
    if action is Action.ADVERTISE_CAPACITY:
        return [name, decision.capacity]
    if action is Action.SET_IDLE_TIMEOUT:
        return [name, to_seconds(decision.duration_us)]
    if action is Action.SET_TIMER:
        return [name, to_seconds(decision.duration_us), TIMER_TAG]
    return [name, decision.text]


def encode_panic(failure: Exception) -> list[object]:
    """Return the array that reports an unexpected exception of a node on the wire."""
    return ["panic", f"{type(failure).__name__}: {failure}"]
