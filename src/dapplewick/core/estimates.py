"""What was seen of a class of jobs corrects its owners' estimates."""

from __future__ import annotations

import math

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

WEIGHT = 0.1
LOW, HIGH = 0.2, 5.0
NEVER = 1e9  # a replica is not expected to end


class Estimates:
    """A running mean, by class, of the logarithm of actual over estimated run time."""

    def __init__(self) -> None:
        self._bias: dict[str, tuple[float, int]] = {}

    def learn(self, job_class: str, estimate: Seconds, actual: Seconds) -> None:
        if estimate <= 0.0 or actual <= 0.0:
            return
        seen = math.log(min(HIGH, max(LOW, actual / estimate)))
        mean, count = self._bias.get(job_class, (0.0, 0))
        # The first few count for more, so that a day of wrong estimates is soon noticed; the
        # one assumed observation of "right" keeps a single outlier from ruling.
        weight = max(WEIGHT, 1.0 / (count + 2))
        self._bias[job_class] = (mean + weight * (seen - mean), count + 1)

    def run_time(self, spec: JobSpec) -> Seconds:
        if spec.is_service:
            return NEVER
        mean, _ = self._bias.get(spec.job_class, (0.0, 0))
        return spec.estimated_run_s * math.exp(mean)

    def dump(self) -> dict[str, tuple[float, int]]:
        return dict(self._bias)

    def adopt(self, other: dict[str, tuple[float, int]]) -> None:
        """Take over what another node has seen more of."""
        for job_class, (mean, count) in other.items():
            if count > self._bias.get(job_class, (0.0, 0))[1]:
                self._bias[job_class] = (mean, count)
