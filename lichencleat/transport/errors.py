"""The errors of the transport."""

from __future__ import annotations


class TransportError(Exception):
    """Base of the errors of this package."""


class RequestFailedError(TransportError):
    """A request to a group failed.

    Attributes:
        reason: as the group or the client tells it.
        may_take_effect: whether the request may have been carried out, or may be yet.
    """

    def __init__(self, reason: str, may_take_effect: bool) -> None:
        super().__init__(reason + ("; it may have been done" if may_take_effect else "; it was not done"))
        self.reason = reason
        self.may_take_effect = may_take_effect
