"""Corrections of users' run time estimates, computed from tasks that have ended.

The paper "Job Scheduling in a Distributed System Using Backfilling with Inaccurate Runtime
Computations" assumes estimates within 30 %. Estimates of a job class with larger errors are
corrected by the run times observed for other jobs of the class.
"""

from __future__ import annotations

import math

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

MIN_WEIGHT = 0.1  # of a new observation in the running mean
MIN_RATIO, MAX_RATIO = 0.2, 5.0  # limits of the observed actual/estimated run time
UNBOUNDED_RUN_S = 1e9  # run time of service replicas, which are not expected to end

# The mean logarithm of actual over estimated run time, and the number of tasks observed. A plain
# tuple, because messages between controllers contain it in this form.
Bias = tuple[float, int]
NO_BIAS: Bias = (0.0, 0)


class Estimates:
    """The running mean of the logarithm of actual over estimated run time, by job class."""

    def __init__(self) -> None:
        self._biases: dict[str, Bias] = {}

    def learn(self, job_class: str, estimate_s: Seconds, actual_s: Seconds) -> None:
        """Update the corrections from an ended task; times that are not positive are ignored."""
        if estimate_s <= 0.0 or actual_s <= 0.0:
            return
        observed = math.log(min(MAX_RATIO, max(MIN_RATIO, actual_s / estimate_s)))
        mean, count = self._biases.get(job_class, NO_BIAS)
        # The first observations have more weight, so that wrong estimates are soon corrected. The
        # count includes one assumed observation of a correct estimate, which limits the effect of a
        # single outlier.
        weight = max(MIN_WEIGHT, 1.0 / (count + 2))
        self._biases[job_class] = (mean + weight * (observed - mean), count + 1)

    def run_time(self, spec: JobSpec) -> Seconds:
        """Return the expected run time of a task of this job, in seconds."""
        if spec.is_service:
            return UNBOUNDED_RUN_S
        mean, _ = self._biases.get(spec.job_class, NO_BIAS)
        return spec.estimated_run_s * math.exp(mean)

    def dump(self) -> dict[str, Bias]:
        """Return the learned corrections by class, for other controllers."""
        return dict(self._biases)

    def merge(self, other: dict[str, Bias]) -> None:
        """Adopt the corrections that another controller has learned from more tasks."""
        for job_class, bias in other.items():
            if bias[1] > self._biases.get(job_class, NO_BIAS)[1]:
                self._biases[job_class] = (bias[0], bias[1])
