"""One simulated node: passes the wire's events to its admission controller."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import cast
from weakref import WeakKeyDictionary, WeakValueDictionary

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import (
    decode_gauges,
    decode_node_spec,
    look_up,
    read_gauges,
    to_microseconds,
)
from lichencleat.admission.types import Outcome, Request
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
COST_HINTED_FLAG = 1  # bit in the flags of an arrival: the event carries the request's cost
RETRY_FLAG = 2  # bit in the flags of an arrival: the request is a retry


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
            InvalidInputError: if the event is unknown or the wire does not allow its values.
        """
        if name not in self._event_handlers:
            raise UnknownEventError(name)
        try:
            self._event_handlers[name](now, *values)
        except TypeError as error:
            # If the traceback ends in this function, the handler's parameters don't fit the number of values.
            if error.__traceback__ is not None and error.__traceback__.tb_next is None:
                raise EventValuesError(name, values) from error
            raise

    def on_arrival(  # noqa: PLR0913 - the values of the event, in the wire's order
        self,
        now: int,
        request_id: str,
        class_name: str,
        rank: float | None = None,
        caller: int | None = None,
        original_id: str | None = None,
        tenant: str | None = None,
        idempotency_key: str | None = None,
        flags: int | None = None,
        cost: float | None = None,
        time_left: float | None = None,
        size_kb: float | None = None,
        backlog_delay: float | None = None,
        *_unknown: object,
    ) -> None:
        """Handle `inbound`: a request arrived.

        `cost`, `time_left` (until the caller gives up) and `backlog_delay` (since the request reached the
        machine) are in seconds.
        """
        if class_name not in self.request_classes:
            raise UnknownRequestClassError(request_id, class_name)
        request_class = self.request_classes[class_name]
        arrived = now - to_microseconds(backlog_delay)
        if self.callers_send_deadline and time_left:
            due = now + to_microseconds(time_left)
        else:
            due = arrived + request_class.deadline
        flags = flags or 0
        request = Request(
            request_class=request_class,
            arrived=arrived,
            due=max(due, now),
            rank=rank or 0.0,
            caller=caller or 0,
            tenant=tenant or "",
            original=self.requests.get(original_id) if original_id else None,
            original_unknown=bool(original_id) and original_id not in self.requests,
            has_key=bool(idempotency_key),
            is_retry=bool(flags & RETRY_FLAG),
            cost=to_microseconds(cost) if flags & COST_HINTED_FLAG else 0,
            size_kb=size_kb or 0.0,
        )
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self.controller.on_request(now, request)

    def on_run_completed(self, now: int, request_id: str, status: str, took: float | None = None) -> None:
        """Handle `settled`: a run ended after `took` seconds."""
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
        """Handle `called`: a downstream call ended after `took` seconds."""
        request = self.requests.get(request_id)
        if request is not None:
            outcome = decode_outcome(status, "called")
            self.controller.on_call_completed(now, request, outcome, to_microseconds(took))

    def on_caller_gone(self, now: int, request_id: str) -> None:
        """Handle `clientLeft`: the caller no longer waits for the request."""
        request = self.requests.get(request_id)
        if request is not None:
            self.controller.on_caller_gone(now, request)

    def on_stop_notice(self, now: int, time_left: float) -> None:
        """Handle `notice`: the node will be stopped in `time_left` seconds."""
        self.controller.start_draining(now, now + to_microseconds(time_left))

    def on_timer(self, now: int, _tag: str, readings: list[float] | None = None) -> None:
        """Handle `fired`: the timer fired; the event carries the gauges' readings."""
        self.controller.on_timer(now, read_gauges(self.gauges, readings or []))

    def take_actions(self, now: int) -> list[list[object]]:
        """Run a decision round and return its decisions, encoded as actions of the wire."""
        actions = []
        while (decision := self.controller.next_decision(now)) is not None:
            request = decision.request
            if request is None:
                actions.append(encode_node_action(decision))
            else:
                actions.append(encode_request_action(decision, self.request_ids[request]))
        return actions


def decode_outcome(status: str, event_name: str) -> Outcome:
    """Return the outcome that a status on the wire stands for.

    The wire always sends a status. If it sent null instead, the result would be None, which equals no
    outcome.

    Raises:
        UnknownValueError: if the status is unknown.
    """
    return cast(Outcome, look_up(OUTCOMES, status, None, event_name))
