"""Threads of a store: one that writes and some that read, behind the `Executor` that the store calls."""

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
    """Runs a function where it may wait for the disk; the Deferred fires with its result or error."""

    def __call__(self, call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> Deferred[R]:
        """Run the call."""


class Timer(Protocol):
    """What the store needs of Twisted's `IDelayedCall`."""

    def cancel(self) -> None:
        """Stop the timer."""


class ThreadedReactor(Protocol):
    """What the store needs of Twisted's reactor: timers and threads."""

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> Timer:  # noqa: N802
        """As `IReactorTime`."""

    def callFromThread(self, call: Callable[..., object], /, *args: object) -> None:  # noqa: N802
        """As `IReactorFromThreads`."""

    def callInThread(self, call: Callable[..., object], /, *args: object) -> None:  # noqa: N802
        """As `IReactorInThreads`."""


def pool_executor(reactor: ThreadedReactor, pool: ThreadPool) -> Executor:
    """An executor that runs its calls in that pool."""
    threads = cast(IReactorFromThreads, reactor)

    def run(call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> Deferred[R]:
        return deferToThreadPool(threads, pool, call, *args, **kwargs)

    return run


class StoreThreads:
    """The threads of one store; they run until `stop`."""

    def __init__(self, reactor: ThreadedReactor, reader_threads: int) -> None:
        self.reactor = reactor
        self.writers = ThreadPool(1, 1, "store-writer")
        self.readers = ThreadPool(0, reader_threads, "store-reader")
        self.writers.start()
        self.readers.start()
        self.run_in_writer = pool_executor(reactor, self.writers)
        self.run_in_reader = pool_executor(reactor, self.readers)

    def stop(self) -> None:
        """End the threads once they are idle."""
        # not in the thread that ends: a pool waits for its own threads
        self.reactor.callInThread(self.readers.stop)
        self.reactor.callInThread(self.writers.stop)
