"""The period of decision rounds and the guard time before a deadline, derived from the latency objectives."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec

PERIOD = 100_000  # µs: a tenth of the shortest wait that matters; ten rounds a second cost little
REFERENCE_OBJECTIVE_US = 1_300_000  # objective that the time constants suit; a shorter one scales them down
MIN_SCALE = 0.2  # of the time constants; faster rounds would cost more than they gain
DEFAULT_LONGEST_OBJECTIVE_US = 700_000  # of a node without request classes


class Timing:
    """Time constants (µs) shared by all modules of one controller."""

    def __init__(self, spec: NodeSpec) -> None:
        objectives = [each.latency_objective for each in spec.request_classes]
        self.shortest_objective = min(objectives, default=REFERENCE_OBJECTIVE_US)
        self.longest_objective = max(objectives, default=DEFAULT_LONGEST_OBJECTIVE_US)
        # Prevents short requests from being judged by the time constants of long ones. Cost: more rounds,
        # down to 20 ms apart.
        self.scale = min(1.0, max(MIN_SCALE, self.shortest_objective / REFERENCE_OBJECTIVE_US))
        self.period = int(PERIOD * self.scale)
        self.resolution = spec.resolution
        self.guard = self.period + 2 * spec.resolution  # answers that are due sooner are sent now
