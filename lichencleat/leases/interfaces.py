"""The interface of the consensus group that leases, and the packages built on them, depend on."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.defer import Deferred


class GroupClient(Protocol):
    """A client of the consensus group. Each command or query names the part of the state that handles it."""

    def propose(self, part: str, command: object, timeout: float, /) -> Deferred[Any]:
        """Have `command` applied once; fires with the decoded reply, or fails after `timeout` seconds."""
        ...

    def read(self, part: str, query: object, timeout: float, /) -> Deferred[Any]:
        """Run a linearizable read; fires with the decoded answer, or fails after `timeout` seconds."""
        ...
