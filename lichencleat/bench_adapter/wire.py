"""Batches of the simulator's wire: a JSON line with the events of all nodes in, one with the actions out."""

from __future__ import annotations

import json
import sys
import traceback
from typing import NamedTuple, cast

from lichencleat.admission.node_spec import InvalidInputError, to_microseconds
from lichencleat.bench_adapter.actions import encode_panic
from lichencleat.bench_adapter.errors import (
    InvalidBatchFieldError,
    InvalidInboxError,
    InvalidNodeEntryError,
    InvalidOpeningError,
    NotAnObjectError,
    NotJsonError,
    UnknownInstanceError,
    UnnamedEventError,
)
from lichencleat.bench_adapter.instance import Instance

BATCH_FIELDS: tuple[tuple[str, type | tuple[type, ...]], ...] = (
    ("clock", (int, float)),
    ("turn", int),
    ("nodes", list),
)


class Batch(NamedTuple):
    """The events of all nodes in one turn of the simulation."""

    clock: float  # seconds of simulated time
    turn: int  # number of the turn
    nodes: list[object]  # an inbox for each node


class NodeInbox(NamedTuple):
    """The events of one node in a batch."""

    node_id: int
    events: list[object]


def decode_batch(line: str) -> Batch:
    """Decode a line of input as a batch.

    Raises:
        InvalidBatchError: if the line is not a batch.
    """
    try:
        fields = json.loads(line)
    except ValueError as error:
        raise NotJsonError(error) from error
    if not isinstance(fields, dict):
        raise NotAnObjectError
    for key, kind in BATCH_FIELDS:
        if not isinstance(fields.get(key), kind):
            raise InvalidBatchFieldError(key, fields.get(key))
    return Batch(fields["clock"], fields["turn"], fields["nodes"])


def decode_node_inbox(turn: int, entry: object) -> NodeInbox:
    """Decode the entry of one node in a batch.

    Raises:
        InvalidNodeEntryError: if the entry does not name its node or has no inbox.
    """
    if not isinstance(entry, dict) or "who" not in entry or not isinstance(entry.get("inbox"), list):
        raise InvalidNodeEntryError(turn, entry)
    return NodeInbox(entry["who"], entry["inbox"])


class Wire:
    """Answers batches; owns the instances of this process, by the node ids of the wire."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def answer(self, line: str) -> str:
        """Handle a batch and return the line that answers it.

        An unexpected exception in a node is printed with its traceback and reported as the node's only
        action.

        Raises:
            InvalidInputError: if the wire does not allow the batch or one of its events.
        """
        batch = decode_batch(line)
        now = to_microseconds(batch.clock)
        nodes = []
        for entry in batch.nodes:
            inbox = decode_node_inbox(batch.turn, entry)
            actions = self._handle_inbox(now, batch.turn, inbox)
            if actions:
                nodes.append({"who": inbox.node_id, "outbox": actions})
        return json.dumps({"turn": batch.turn, "nodes": nodes}, separators=(",", ":")) + "\n"

    def _handle_inbox(self, now: int, turn: int, inbox: NodeInbox) -> list[list[object]]:
        try:
            self._handle_events(now, inbox.node_id, inbox.events)
            if inbox.node_id not in self.instances:
                return []
            return self.instances[inbox.node_id].take_actions(now)
        except InvalidInputError as error:
            raise InvalidInboxError(turn, inbox.node_id, error) from error
        except Exception as failure:  # noqa: BLE001 - a node's crash is reported to the simulator
            traceback.print_exc(file=sys.stderr)
            return [encode_panic(failure)]

    def _handle_events(self, now: int, node_id: int, events: list[object]) -> None:
        for event in events:
            if not isinstance(event, list) or not event or not isinstance(event[0], str):
                raise UnnamedEventError(event)
            name, *values = event
            if name == "openInstance":
                self.instances[node_id] = open_instance(values)
            elif node_id not in self.instances:
                raise UnknownInstanceError(name)
            elif name == "exit":
                del self.instances[node_id]
            else:
                self.instances[node_id].handle_event(now, name, values)


def open_instance(values: list[object]) -> Instance:
    """Create the instance that an `openInstance` event describes.

    Raises:
        InvalidInputError: if the event has no seed or no settings, or if a setting is invalid.
    """
    match values:
        case [seed, dict(settings), *_]:
            # A seed that `Random` rejects is reported as a panic of the node.
            return Instance(cast(int, seed), settings)
        case _:
            raise InvalidOpeningError
