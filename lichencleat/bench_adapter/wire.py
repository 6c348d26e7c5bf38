"""Decodes batches into calls of the decisions, and encodes what they decide."""

from __future__ import annotations

import json
import random
import sys
import traceback
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary, WeakValueDictionary

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import (
    InvalidInputError,
    decode_gauges,
    decode_node_spec,
    look_up,
    read_gauges,
    to_microseconds,
)
from lichencleat.admission.types import Action, Decision, Outcome, Request

OUTCOMES = {
    "completed": Outcome.COMPLETED,
    "errored": Outcome.FAILED,
    "saturated": Outcome.REJECTED,
    "overdue": Outcome.TIMED_OUT,
    "refused_conn": Outcome.UNREACHABLE,
    "severed": Outcome.INTERRUPTED,
    "recalled": Outcome.ABORTED,
    "superseded": Outcome.SUPERSEDED,
}
HINTED, RETRY = 1, 2  # bits of a request's marks


def seconds(span: int) -> float:
    return span / 1_000_000


class Instance:
    """One node: its decisions, and the names under which the wire knows what they speak of."""

    def __init__(self, seed: int, told: dict) -> None:
        machine = decode_node_spec(told)
        own = told.get("specifics") or {}
        self.request_classes = {each.name: each for each in machine.request_classes}
        self.passes_limit = bool(own.get("passesDeadline"))
        self.gauges = decode_gauges(told)
        self.requests: WeakValueDictionary[str, Request] = WeakValueDictionary()
        self.ids: WeakKeyDictionary[Request, str] = WeakKeyDictionary()
        self.node = AdmissionController(machine, random.Random(seed))
        self.inputs: dict[str, Callable] = {
            "inbound": self.inbound,
            "settled": self.settled,
            "blocked": self.blocked,
            "called": self.called,
            "clientLeft": self.client_left,
            "notice": lambda now, left: self.node.start_draining(now, now + to_microseconds(left)),
            "fired": self.fired,
        }

    def inbound(self, now: int, corr: str, qos: str, *rest: Any) -> None:
        rest += (None,) * (10 - len(rest))
        rank, who, repeat_of, org, subject, marks, cost, left, size, backlog = rest[:10]
        if qos not in self.request_classes:
            raise InvalidInputError(f"inbound {corr!r}: unknown class {qos!r}")
        request_class, arrived = self.request_classes[qos], now - to_microseconds(backlog)
        due = now + to_microseconds(left) if self.passes_limit and left else arrived + request_class.deadline
        request = Request(
            request_class=request_class,
            arrived=arrived,
            due=max(due, now),
            rank=rank or 0.0,
            caller=who or 0,
            tenant=org or "",
            original=self.requests.get(repeat_of) if repeat_of else None,
            original_unknown=bool(repeat_of) and repeat_of not in self.requests,
            has_key=bool(subject),
            is_retry=bool((marks or 0) & RETRY),
            cost=to_microseconds(cost) if (marks or 0) & HINTED else 0,
            size_kb=size or 0.0,
        )
        self.requests[corr] = request
        self.ids[request] = corr
        self.node.on_request(now, request)

    def settled(self, now: int, corr: str, status: str, lag: float | None = None) -> None:
        request = self.requests.get(corr)
        if request is not None:
            self.node.on_run_completed(
                now, request, look_up(OUTCOMES, status, None, "settled"), to_microseconds(lag)
            )

    def blocked(self, now: int, corr: str) -> None:
        request = self.requests.get(corr)
        if request is not None:
            self.node.on_call_needed(now, request)

    def called(self, now: int, corr: str, status: str, lag: float | None = None) -> None:
        request = self.requests.get(corr)
        if request is not None:
            self.node.on_call_completed(
                now, request, look_up(OUTCOMES, status, None, "called"), to_microseconds(lag)
            )

    def client_left(self, now: int, corr: str) -> None:
        request = self.requests.get(corr)
        if request is not None:
            self.node.on_caller_gone(now, request)

    def fired(self, now: int, _tag: str, row: list | None = None) -> None:
        self.node.on_timer(now, read_gauges(self.gauges, row or []))

    def take(self, now: int, event: list) -> None:
        name, *values = event
        if name not in self.inputs:
            raise InvalidInputError(f"unknown event {name!r}")
        try:
            self.inputs[name](now, *values)
        except TypeError as wrong:
            if wrong.__traceback__ is not None and wrong.__traceback__.tb_next is None:
                raise InvalidInputError(f"{name}: values missing or too many: {values!r}") from wrong
            raise

    def decisions(self, now: int) -> list[list]:
        outbox = []
        while (decision := self.node.next_decision(now)) is not None:
            outbox.append(self.encode(decision))
        return outbox

    def encode(self, decision: Decision) -> list:
        name = WORDS[decision.action]
        if decision.request is not None:
            values: list = [self.ids[decision.request]]
            if decision.action is Action.REJECT:
                values += [seconds(decision.duration_us), decision.is_last]
            elif decision.action in (Action.CALL, Action.ADD_RECORD):
                values.append(seconds(decision.duration_us))
        elif decision.action is Action.REPORT_HEALTH:
            values = [decision.is_healthy, True]
        elif decision.action is Action.ADVERTISE_CAPACITY:
            values = [decision.capacity]
        elif decision.action is Action.SET_IDLE_TIMEOUT:
            values = [seconds(decision.duration_us)]
        elif decision.action is Action.SET_TIMER:
            values = [seconds(decision.duration_us), "wake"]
        else:
            values = [decision.text]
        return [name, *values]


WORDS = {
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


class Wire:
    """All the instances of this process, by the numbers that the wire gives them."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def answer(self, line: str) -> str:
        try:
            batch = json.loads(line)
        except ValueError as wrong:
            raise InvalidInputError(f"not JSON: {wrong}") from wrong
        if not isinstance(batch, dict):
            raise InvalidInputError("a batch must be an object")
        for key, kind in (("clock", (int, float)), ("turn", int), ("nodes", list)):
            if not isinstance(batch.get(key), kind):
                raise InvalidInputError(f"a batch needs {key!r}, got {batch.get(key)!r}")
        now, nodes = to_microseconds(batch["clock"]), []
        for entry in batch["nodes"]:
            if not isinstance(entry, dict) or "who" not in entry or not isinstance(entry.get("inbox"), list):
                raise InvalidInputError(
                    f"turn {batch['turn']}: a node needs 'who' and 'inbox', got {entry!r:.200}"
                )
            try:
                outbox = self.inbox(now, entry["who"], entry["inbox"])
            except InvalidInputError as bad:
                raise InvalidInputError(f"turn {batch['turn']}, node {entry['who']}: {bad}") from bad
            except Exception as failure:
                traceback.print_exc(file=sys.stderr)
                outbox = [["panic", f"{type(failure).__name__}: {failure}"]]
            if outbox:
                nodes.append({"who": entry["who"], "outbox": outbox})
        return json.dumps({"turn": batch["turn"], "nodes": nodes}, separators=(",", ":")) + "\n"

    def inbox(self, now: int, who: int, events: list) -> list[list]:
        for event in events:
            if not isinstance(event, list) or not event or not isinstance(event[0], str):
                raise InvalidInputError(
                    f"an event must be an array that begins with its name, got {event!r:.200}"
                )
            if event[0] == "openInstance":
                if len(event) < 3 or not isinstance(event[2], dict):
                    raise InvalidInputError("openInstance: needs a seed and the settings")
                self.instances[who] = Instance(event[1], event[2])
            elif who not in self.instances:
                raise InvalidInputError(f"{event[0]}: no such instance")
            elif event[0] == "exit":
                del self.instances[who]
            else:
                self.instances[who].take(now, event)
        return self.instances[who].decisions(now) if who in self.instances else []
