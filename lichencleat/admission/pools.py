"""The requests on this node, by their state."""

from __future__ import annotations

from lichencleat.admission.types import Request, RequestState


class RequestPools:
    """Holds each request in one pool, in the order in which the requests entered it."""

    def __init__(self) -> None:
        self.new: dict[Request, None] = {}
        self.queued: dict[Request, None] = {}
        self.running: dict[Request, None] = {}
        self.awaiting_call: dict[Request, None] = {}
        self.calling: dict[Request, None] = {}
        self.coalesced: dict[Request, None] = {}
        # Whether a request has ended without a run since the idempotency records were last checked.
        self.has_ended_unstarted = False

    def started(self) -> tuple[Request, ...]:
        """Return the requests whose run has begun, including those that wait for a downstream call."""
        return (*self.running, *self.awaiting_call, *self.calling)

    def count_started(self) -> int:
        """Return the number of requests whose run has begun."""
        return len(self.running) + len(self.awaiting_call) + len(self.calling)

    def move(self, request: Request, pool: dict[Request, None], state: RequestState) -> None:
        """Move a request from its pool to the end of `pool`."""
        self._remove(request)
        pool[request] = None
        request.state = state

    def end(self, request: Request) -> None:
        """Remove a request that has ended from its pool."""
        self._remove(request)
        request.state = RequestState.ENDED
        self.has_ended_unstarted = self.has_ended_unstarted or request.started is None

    def _remove(self, request: Request) -> None:
        for pool in (
            self.new,
            self.queued,
            self.running,
            self.awaiting_call,
            self.calling,
            self.coalesced,
        ):
            pool.pop(request, None)
