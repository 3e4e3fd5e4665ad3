"""Corrections of owners' estimates of run times, learned from tasks that have ended.

The paper assumes estimates within 30 %; those that are further off are corrected here by what was
seen of other jobs of the same class.
"""

from __future__ import annotations

import math

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

LEAST_WEIGHT = 0.1  # of each new observation in the running mean
LEAST_RATIO, GREATEST_RATIO = 0.2, 5.0  # of actual over estimated run time, as it is believed
UNBOUNDED_RUN_S = 1e9  # seconds; a replica is not expected to end

# The mean logarithm of actual over estimated run time, and the number of tasks that it was learned
# from. A bare pair, because it goes into messages between controllers as it is.
Bias = tuple[float, int]
NO_BIAS: Bias = (0.0, 0)


class Estimates:
    """A running mean, by class, of the logarithm of actual over estimated run time."""

    def __init__(self) -> None:
        self._biases: dict[str, Bias] = {}

    def learn(self, job_class: str, estimate_s: Seconds, actual_s: Seconds) -> None:
        """Learn from a task that has ended; times that are not positive say nothing."""
        if estimate_s <= 0.0 or actual_s <= 0.0:
            return
        observed = math.log(min(GREATEST_RATIO, max(LEAST_RATIO, actual_s / estimate_s)))
        mean, count = self._biases.get(job_class, NO_BIAS)
        # The first few count for more, so that a day of wrong estimates is soon noticed; the
        # one assumed observation of "right" keeps a single outlier from ruling.
        weight = max(LEAST_WEIGHT, 1.0 / (count + 2))
        self._biases[job_class] = (mean + weight * (observed - mean), count + 1)

    def run_time(self, spec: JobSpec) -> Seconds:
        """How long a task of this job is expected to run, in seconds."""
        if spec.is_service:
            return UNBOUNDED_RUN_S
        mean, _ = self._biases.get(spec.job_class, NO_BIAS)
        return spec.estimated_run_s * math.exp(mean)

    def dump(self) -> dict[str, Bias]:
        """All that was learned, by class, for other controllers."""
        return dict(self._biases)

    def merge(self, other: dict[str, Bias]) -> None:
        """Take over what another controller has seen more tasks of."""
        for job_class, bias in other.items():
            if bias[1] > self._biases.get(job_class, NO_BIAS)[1]:
                self._biases[job_class] = (bias[0], bias[1])
