"""Applies committed entries, takes snapshots and answers reads once their read index is applied."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lichencleat.consensus.messages import Action
from lichencleat.consensus.request_contexts import ProposalContext, ReadContext
from lichencleat.consensus.state_machine import ReplicatedState, StateMachine
from lichencleat.transport.frames import encode_raw

ENTRIES_PER_SNAPSHOT = 2_000  # entries between two snapshots: some MB of log
# Bytes of entries' data after which the next snapshot is taken; up to twice as many bytes are in memory.
MAX_BYTES_PER_SNAPSHOT = 32 << 20

StateFactory = Callable[[], dict[str, ReplicatedState]]


@dataclass(frozen=True, slots=True)
class StateDump:
    """The encoded state after the entry at `index`."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that may be answered once the entry at `index` is applied."""

    index: int
    context: ReadContext


class StateApplier:
    """Owns the state machine and the reads that wait for entries to be applied."""

    def __init__(self, make_states: StateFactory, compact: Callable[[int, bytes], None]) -> None:
        """`make_states` returns empty states; `compact` replaces the log up to an index by encoded state."""
        self.state_machine = StateMachine(make_states())
        self.make_states = make_states
        self._compact = compact
        self._pending_reads: list[PendingRead] = []
        self._last_dump: StateDump | None = None
        self._bytes_since_dump = 0

    def apply(self, action: Action) -> None:
        """Apply a committed entry and report its outcome to its proposer, if it was proposed here.

        Raises:
            UnknownStateError: the cluster has activated a state that this program does not support.
        """
        assert action.entry is not None
        result = self.state_machine.apply(action.index, action.entry)
        context: ProposalContext | None = action.context
        if context is not None:
            context.on_applied(result)
        self._bytes_since_dump += len(action.entry.data)
        is_due = action.index % ENTRIES_PER_SNAPSHOT == 0
        if is_due or self._bytes_since_dump >= MAX_BYTES_PER_SNAPSHOT:
            self._take_snapshot(action.index)

    def _take_snapshot(self, index: int) -> None:
        """Dump the state and compact the log up to the previous dump.

        The entries since the previous dump stay in the log, so that slow followers need no snapshot.
        """
        if self._last_dump is not None:
            self._compact(self._last_dump.index, self._last_dump.data)
        self._last_dump = StateDump(index, self.state_machine.dump())
        self._bytes_since_dump = 0

    def restore(self, action: Action) -> None:
        """Replace the state by a snapshot.

        Raises:
            msgspec.MsgspecError: the snapshot's data is not an encoded state machine.
            UnknownStateError: the cluster has activated a state that this program does not support.
        """
        assert action.snapshot is not None
        self.state_machine = StateMachine(self.make_states())
        self.state_machine.restore(action.snapshot)
        self._last_dump = None
        self._bytes_since_dump = 0

    def add_read(self, index: int, context: ReadContext) -> None:
        """Keep a read until the entry at `index` is applied."""
        self._pending_reads.append(PendingRead(index, context))

    def answer_reads(self) -> None:
        """Answer all reads whose read index is applied."""
        applied = self.state_machine.applied
        ready = [read for read in self._pending_reads if read.index <= applied]
        if not ready:
            return
        self._pending_reads = [read for read in self._pending_reads if read.index > applied]
        for read in ready:
            answer = self.state_machine.read(read.context.state_name, read.context.query)
            read.context.on_answer(encode_raw(answer))
