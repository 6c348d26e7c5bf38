"""Errors of input that the simulator's wire does not allow.

All are subclasses of `InvalidInputError`, as are the errors of the start settings. On an `InvalidInputError`
the program prints one line and exits.
"""

from __future__ import annotations

from lichencleat.admission.node_spec import InvalidInputError


class InvalidBatchError(InvalidInputError):
    """A line of input that is not a batch."""


class NotJsonError(InvalidBatchError):
    """A line of input that is not JSON."""

    def __init__(self, cause: ValueError) -> None:
        super().__init__(f"not JSON: {cause}")


class NotAnObjectError(InvalidBatchError):
    """A line of input whose JSON is not an object."""

    def __init__(self) -> None:
        super().__init__("a batch must be an object")


class InvalidBatchFieldError(InvalidBatchError):
    """A batch with a field that is missing or of the wrong type."""

    def __init__(self, key: str, value: object) -> None:
        super().__init__(f"a batch needs {key!r}, got {value!r}")
        self.key = key
        self.value = value


class InvalidNodeEntryError(InvalidBatchError):
    """An entry of a batch that does not name its node or has no inbox."""

    def __init__(self, turn: int, entry: object) -> None:
        super().__init__(f"turn {turn}: a node needs 'who' and 'inbox', got {entry!r:.200}")
        self.turn = turn
        self.entry = entry


class InvalidInboxError(InvalidInputError):
    """An inbox with an invalid event; its text names the turn and the node."""

    def __init__(self, turn: int, node_id: object, cause: InvalidInputError) -> None:
        super().__init__(f"turn {turn}, node {node_id}: {cause}")
        self.turn = turn
        self.node_id = node_id


class InvalidEventError(InvalidInputError):
    """An event that cannot be handled."""


class UnnamedEventError(InvalidEventError):
    """An event that is not an array beginning with its name."""

    def __init__(self, event: object) -> None:
        super().__init__(f"an event must be an array that begins with its name, got {event!r:.200}")
        self.event = event


class UnknownEventError(InvalidEventError):
    """An event whose name is unknown."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown event {name!r}")
        self.name = name


class EventValuesError(InvalidEventError):
    """An event with too few or too many values."""

    def __init__(self, name: str, values: list[object]) -> None:
        super().__init__(f"{name}: too few or too many values: {values!r}")
        self.name = name
        self.values = values


class InvalidOpeningError(InvalidEventError):
    """An `openInstance` event without a seed or without settings."""

    def __init__(self) -> None:
        super().__init__("openInstance: needs a seed and the settings")


class UnknownInstanceError(InvalidEventError):
    """An event for a node that is not running."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: no such instance")
        self.name = name


class UnknownRequestClassError(InvalidEventError):
    """An arrival whose request class is missing in the node's settings."""

    def __init__(self, request_id: str, class_name: str) -> None:
        super().__init__(f"inbound {request_id!r}: unknown class {class_name!r}")
        self.request_id = request_id
        self.class_name = class_name
