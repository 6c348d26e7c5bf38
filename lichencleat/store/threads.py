"""Threads of a store: one writer thread and several reader threads, which run calls for the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import ParamSpec, Protocol, TypeVar, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorFromThreads
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

P = ParamSpec("P")
R = TypeVar("R")


class Executor(Protocol):
    """Runs functions in threads that may block."""

    def __call__(self, call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> Deferred[R]:
        """Run `call` with the arguments; the Deferred fires with the result or fails with the error."""


class Timer(Protocol):
    """The part of Twisted's `IDelayedCall` that the store uses."""

    def cancel(self) -> None:
        """Cancel the timer."""


class ThreadedReactor(Protocol):
    """The part of Twisted's reactor that the store uses: timers and threads."""

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> Timer:  # noqa: N802
        """See `IReactorTime`."""

    def callFromThread(self, call: Callable[..., object], /, *args: object) -> None:  # noqa: N802
        """See `IReactorFromThreads`."""

    def callInThread(self, call: Callable[..., object], /, *args: object) -> None:  # noqa: N802
        """See `IReactorInThreads`."""


def pool_executor(reactor: ThreadedReactor, pool: ThreadPool) -> Executor:
    """Create an executor that runs its calls in a thread pool."""
    threads = cast(IReactorFromThreads, reactor)

    def run(call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> Deferred[R]:
        return deferToThreadPool(threads, pool, call, *args, **kwargs)

    return run


class StoreThreads:
    """The threads of one store, which run until `stop`."""

    def __init__(self, reactor: ThreadedReactor, reader_threads: int) -> None:
        self.reactor = reactor
        self.writers = ThreadPool(1, 1, "store-writer")
        self.readers = ThreadPool(0, reader_threads, "store-reader")
        self.writers.start()
        self.readers.start()
        self.run_in_writer = pool_executor(reactor, self.writers)
        self.run_in_reader = pool_executor(reactor, self.readers)

    def stop(self) -> None:
        """Stop the threads once they are idle."""
        # in another thread, because stopping a pool joins the pool's threads
        self.reactor.callInThread(self.readers.stop)
        self.reactor.callInThread(self.writers.stop)
