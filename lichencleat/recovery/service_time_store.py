"""Loads and stores learned service times, in the same store as the node's idempotency records."""

from __future__ import annotations

from lichencleat.admission.service_times import MIN_RUN_SAMPLES
from lichencleat.log.interfaces import EventLogger
from lichencleat.recovery.interfaces import RecoveringHost, StoreReader
from lichencleat.recovery.service_times import encode_merged, load_service_times
from lichencleat.units import MICROSECONDS_PER_MILLISECOND

SERVICE_TIMES_KEY = b"f"  # key of the service times in the node's store


class ServiceTimeStore:
    """Passes the service times of the previous process to the host, and encodes those of this process.

    Args:
        host: The request engine of the node.
        log: Logger of the process.
    """

    def __init__(self, host: RecoveringHost, log: EventLogger) -> None:
        self.host = host
        self.log = log
        self.previous: dict[str, int] = {}  # by request class: usual run time in µs of the previous process
        self.is_pending = False  # whether `previous` is loaded but not yet passed to the host

    def on_store_opened(self, read: StoreReader) -> None:
        """Load the service times of the previous process."""
        machine = self.host.machine
        max_run_times = {each.name: each.deadline for each in machine.request_classes}
        loaded = load_service_times(read(SERVICE_TIMES_KEY), machine.cores, max_run_times)
        self.previous = loaded.run_times
        self.is_pending = bool(self.previous)
        if self.previous or loaded.problem:
            self.log_loaded(loaded.problem)

    def log_loaded(self, problem: str) -> None:
        """Log the loaded service times, or why none were loaded."""
        run_times = ", ".join(
            f"{name} {duration / MICROSECONDS_PER_MILLISECOND:.1f} ms"
            for name, duration in self.previous.items()
        )
        self.log.info(
            "service times loaded", runs=run_times or "nothing", reason=problem or "of its life before"
        )

    def to_entry(self, is_last: bool) -> tuple[bytes, bytes]:
        """Return the key and the encoded service times to store with a heartbeat."""
        node = self.host.node
        run_times = node.service_times.samples if node is not None else {}
        current = {
            each.name: int(node.service_times.usual(each))
            for each, times in run_times.items()
            if node is not None and len(times) >= MIN_RUN_SAMPLES
        }
        return SERVICE_TIMES_KEY, encode_merged(self.host.machine.cores, self.previous, current)

    def apply_pending(self) -> None:
        """Pass the service times of the previous process to the host, as soon as the interpreter is up."""
        node = self.host.node
        if self.is_pending and node is not None:
            self.is_pending = False
            for name, duration in self.previous.items():
                node.seed_run_time(self.host.clock(), self.host.request_classes[name.encode()], duration)
