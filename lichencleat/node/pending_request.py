"""A request in flight on this node, and the kinds of answers that it can get."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from lichencleat.admission.types import Request
from lichencleat.node.catalogue import Call
from lichencleat.node.interpreter import Run


class Answer(Enum):
    """The kinds of answers to a request; the values are names of counters."""

    SERVED = "honoured"
    REJECTED = "deferred"
    FAILED = "given up"


class PendingRequest:
    """A request in flight, with the state that the engine needs to carry out decisions on it."""

    __slots__ = (
        "request",
        "ident",
        "body",
        "key",
        "reply",
        "open",
        "run",
        "awaiting_storage",
        "call",
        "call_body",
        "used_links",
    )

    def __init__(
        self, request: Request, ident: bytes, body: bytes, key: bytes, reply: Callable[..., None]
    ) -> None:
        self.request, self.ident, self.body, self.key = request, ident, body, key
        # called with the Answer, the result, the delay before a retry (µs), and whether to retry nowhere else
        self.reply = reply
        self.open = True  # the request is not answered yet, and its caller still waits
        self.run: Run | None = None
        self.awaiting_storage = False  # the start or the outcome of the run waits for a write to disk
        self.call: Call | None = None
        self.call_body = b""
        # Catalogue connections that carried a call of this request; its next call uses another connection.
        self.used_links: list[Any] = []
