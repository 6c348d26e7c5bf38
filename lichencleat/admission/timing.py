"""The length of a round, and the guard time before a deadline, derived from the latency objectives."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec

PERIOD = 100_000  # µs: a tenth of the shortest wait that matters, and ten wake-ups a second cost little
SOFT_USUAL = 1_300_000  # µs: the shortest objective that these spans suit; shorter ones shorten them alike
PACE_LEAST = 0.2  # of those spans: quicker rounds would cost more than they gain
NO_OBJECTIVE = 700_000  # µs, for the longest objective of a node without classes


class Timing:
    """Spans in µs that all concerns of one controller share."""

    def __init__(self, spec: NodeSpec) -> None:
        objectives = [each.latency_objective for each in spec.request_classes]
        self.shortest_objective = min(objectives, default=SOFT_USUAL)
        self.longest_objective = max(objectives, default=NO_OBJECTIVE)
        # Guards against judging quick work by slow work's spans. Harm: more wake-ups, down to 20 ms apart.
        self.scale = min(1.0, max(PACE_LEAST, self.shortest_objective / SOFT_USUAL))
        self.period = int(PERIOD * self.scale)
        self.resolution = spec.resolution
        self.guard = self.period + 2 * spec.resolution  # an answer due sooner than this goes out now
