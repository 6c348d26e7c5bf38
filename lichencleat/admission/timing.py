"""The period of decision rounds and the guard time before a deadline, derived from the latency objectives."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec

# µs between decision rounds: a tenth of the shortest wait that matters; ten rounds a second cost little.
PERIOD = 100_000
# Latency objective that the time constants of this package suit; a shorter objective scales them down.
REFERENCE_OBJECTIVE_US = 1_300_000
MIN_SCALE = 0.2  # least factor of the time constants; faster rounds would cost more than they gain
DEFAULT_LONGEST_OBJECTIVE_US = 700_000  # longest objective of a node without request classes


class Timing:
    """Time constants (µs) shared by all modules of one controller."""

    def __init__(self, spec: NodeSpec) -> None:
        objectives = [each.latency_objective for each in spec.request_classes]
        self.shortest_objective = min(objectives, default=REFERENCE_OBJECTIVE_US)
        self.longest_objective = max(objectives, default=DEFAULT_LONGEST_OBJECTIVE_US)
        # Prevents short requests from being judged by time constants that suit long requests. Cost: more
        # decision rounds, down to 20 ms apart.
        self.scale = min(1.0, max(MIN_SCALE, self.shortest_objective / REFERENCE_OBJECTIVE_US))
        self.period = int(PERIOD * self.scale)
        self.resolution = spec.resolution
        self.guard = self.period + 2 * spec.resolution  # requests due within this time are answered now
