"""One simulated node: its admission controller, fed with events of the wire."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, cast
from weakref import WeakKeyDictionary, WeakValueDictionary

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import (
    decode_gauges,
    decode_node_spec,
    look_up,
    read_gauges,
    to_microseconds,
)
from lichencleat.admission.types import Decision, Outcome, Request, RequestClass
from lichencleat.bench_adapter.actions import encode_node_action, encode_request_action
from lichencleat.bench_adapter.errors import EventValuesError, UnknownEventError, UnknownRequestClassError

OUTCOMES: dict[str, Outcome | None] = {
    "completed": Outcome.COMPLETED,
    "errored": Outcome.FAILED,
    "saturated": Outcome.REJECTED,
    "overdue": Outcome.TIMED_OUT,
    "refused_conn": Outcome.UNREACHABLE,
    "severed": Outcome.INTERRUPTED,
    "recalled": Outcome.ABORTED,
    "superseded": Outcome.SUPERSEDED,
}
COST_HINTED_FLAG = 1  # flags of an arrival: its cost is known
RETRY_FLAG = 2


class ArrivalDetails(NamedTuple):
    """The optional values of an `inbound` event, in the wire's order; times are in seconds."""

    rank: float | None
    caller: int | None
    original_id: str | None
    tenant: str | None
    idempotency_key: str | None
    flags: int | None
    cost: float | None
    time_left: float | None  # until its caller gives up
    size_kb: float | None
    backlog_delay: float | None  # since it reached the machine


MISSING_DETAILS = (None,) * len(ArrivalDetails._fields)


def decode_arrival_details(values: Sequence[object]) -> ArrivalDetails:
    """Name the optional values of an arrival; missing ones become None, further ones are ignored."""
    return ArrivalDetails._make((*values, *MISSING_DETAILS)[: len(MISSING_DETAILS)])


class Instance:
    """One node: its admission controller, and the wire's ids of its requests."""

    def __init__(self, seed: int, settings: Mapping[str, object]) -> None:
        spec = decode_node_spec(settings)
        self.callers_send_deadline = spec.callers_send_deadline
        self.request_classes = {request_class.name: request_class for request_class in spec.request_classes}
        self.gauges = decode_gauges(settings)
        self.requests: WeakValueDictionary[str, Request] = WeakValueDictionary()
        self.request_ids: WeakKeyDictionary[Request, str] = WeakKeyDictionary()
        self.controller = AdmissionController(spec, random.Random(seed))
        self._event_handlers: dict[str, Callable[..., None]] = {
            "inbound": self.on_arrival,
            "settled": self.on_run_completed,
            "blocked": self.on_call_needed,
            "called": self.on_call_completed,
            "clientLeft": self.on_caller_gone,
            "notice": self.on_stop_notice,
            "fired": self.on_timer,
        }

    def handle_event(self, now: int, name: str, values: list[object]) -> None:
        """Pass an event on to its handler.

        Raises:
            InvalidInputError: if the event is unknown or its values are not what the wire allows.
        """
        handler = self._event_handlers.get(name)
        if handler is None:
            raise UnknownEventError(name)
        try:
            handler(now, *values)
        except TypeError as error:
            # Without a further frame the call itself failed: the values do not fit the handler's parameters.
            if error.__traceback__ is not None and error.__traceback__.tb_next is None:
                raise EventValuesError(name, values) from error
            raise

    def on_arrival(self, now: int, request_id: str, class_name: str, *optional_values: object) -> None:
        """Handle `inbound`: a request arrived."""
        details = decode_arrival_details(optional_values)
        if class_name not in self.request_classes:
            raise UnknownRequestClassError(request_id, class_name)
        request = self._create_request(now, self.request_classes[class_name], details)
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self.controller.on_request(now, request)

    def _create_request(self, now: int, request_class: RequestClass, details: ArrivalDetails) -> Request:
        arrived = now - to_microseconds(details.backlog_delay)
        if self.callers_send_deadline and details.time_left:
            due = now + to_microseconds(details.time_left)
        else:
            due = arrived + request_class.deadline
        original_id = details.original_id
        flags = details.flags or 0
        return Request(
            request_class=request_class,
            arrived=arrived,
            due=max(due, now),
            rank=details.rank or 0.0,
            caller=details.caller or 0,
            tenant=details.tenant or "",
            original=self.requests.get(original_id) if original_id else None,
            original_unknown=bool(original_id) and original_id not in self.requests,
            has_key=bool(details.idempotency_key),
            is_retry=bool(flags & RETRY_FLAG),
            cost=to_microseconds(details.cost) if flags & COST_HINTED_FLAG else 0,
            size_kb=details.size_kb or 0.0,
        )

    def on_run_completed(self, now: int, request_id: str, status: str, took: float | None = None) -> None:
        """Handle `settled`: a run ended, after so many seconds."""
        request = self.requests.get(request_id)
        if request is not None:
            outcome = decode_outcome(status, "settled")
            self.controller.on_run_completed(now, request, outcome, to_microseconds(took))

    def on_call_needed(self, now: int, request_id: str) -> None:
        """Handle `blocked`: a run waits for its downstream call."""
        request = self.requests.get(request_id)
        if request is not None:
            self.controller.on_call_needed(now, request)

    def on_call_completed(self, now: int, request_id: str, status: str, took: float | None = None) -> None:
        """Handle `called`: a downstream call ended, after so many seconds."""
        request = self.requests.get(request_id)
        if request is not None:
            outcome = decode_outcome(status, "called")
            self.controller.on_call_completed(now, request, outcome, to_microseconds(took))

    def on_caller_gone(self, now: int, request_id: str) -> None:
        """Handle `clientLeft`: nobody waits for the request any more."""
        request = self.requests.get(request_id)
        if request is not None:
            self.controller.on_caller_gone(now, request)

    def on_stop_notice(self, now: int, time_left: float) -> None:
        """Handle `notice`: the node is stopped in so many seconds."""
        self.controller.start_draining(now, now + to_microseconds(time_left))

    def on_timer(self, now: int, _tag: str, readings: list[float] | None = None) -> None:
        """Handle `fired`: the timer fired; the gauges' readings come with it."""
        self.controller.on_timer(now, read_gauges(self.gauges, readings or []))

    def take_actions(self, now: int) -> list[list[object]]:
        """Run a decision round and return its actions as the wire's arrays."""
        actions = []
        while (decision := self.controller.next_decision(now)) is not None:
            actions.append(self._encode(decision))
        return actions

    def _encode(self, decision: Decision) -> list[object]:
        if decision.request is None:
            return encode_node_action(decision)
        return encode_request_action(decision, self.request_ids[decision.request])


def decode_outcome(status: str, event_name: str) -> Outcome:
    """Return the outcome for a status; raises UnknownValueError.

    The wire always sends a status. A null in its place is passed on as None, which equals no outcome.
    """
    return cast(Outcome, look_up(OUTCOMES, status, None, event_name))
