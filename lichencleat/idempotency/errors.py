"""Errors of durable idempotency."""

from __future__ import annotations


class IdempotencyError(Exception):
    """Base of this package's errors; the message is one line with the problem and its remedy."""


class ForeignDirectoryError(IdempotencyError):
    """The directory belongs to another node, was copied, or has another format."""


class ServiceStartError(IdempotencyError):
    """The service can't start with its directory.

    Attributes:
        directory: Path of the directory.
        reason: The error that occurred.
    """

    def __init__(self, directory: str, reason: Exception) -> None:
        super().__init__(f"keyed.directory: {directory}: {reason}")
        self.directory = directory
        self.reason = reason
