"""Exceptions that the transport package raises."""

from __future__ import annotations


class TransportError(Exception):
    """Base class of the exceptions of the transport package."""


class RequestFailedError(TransportError):
    """A request to a group failed.

    Attributes:
        reason: Reason that the group or the client gave.
        may_take_effect: Whether the request may have been carried out, or may still be carried out.
    """

    def __init__(self, reason: str, may_take_effect: bool) -> None:
        super().__init__(
            reason + ("; the request may take effect" if may_take_effect else "; the request has no effect")
        )
        self.reason = reason
        self.may_take_effect = may_take_effect
