"""Detection of machines that run tasks much slower than the others of their shard."""

from __future__ import annotations

import logging
import math
import statistics
from collections.abc import Collection

from dapplewick.core.shard.state import SLOWDOWN_SAMPLES, Machine
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

# A log ratio is ln(run time / estimated run time). Samples are log ratios minus the job's mean.
SLOW_LOG_RATIO_MARGIN = 0.6  # a machine is slow if its mean exceeds the median by this much
MIN_COMPARED_MACHINES = 3  # more machines than this must have enough samples
MIN_JOB_TASKS = 2  # tasks of a job that must have ended before its later tasks are compared
MAX_LOG_RATIO = 1.5  # bound of the absolute value of a sample, to limit the effect of outliers
MAX_JOBS = 500  # jobs whose mean is stored


class SlowMachineDetector:
    """Marks slow machines.

    It compares tasks of the same job, so that errors in the job's run-time estimate cancel out.
    """

    def __init__(self) -> None:
        self._means: dict[JobId, tuple[float, int]] = {}  # mean log ratio and task count by job

    def record_run_time(
        self, machine: Machine, job_id: JobId, run_s: Seconds, estimate_s: Seconds
    ) -> None:
        """Record the run time of a task on a machine; both times must be above zero."""
        ratio = math.log(run_s / estimate_s)
        mean, count = self._means.get(job_id, (0.0, 0))
        if count >= MIN_JOB_TASKS:
            machine.slowdown_samples.append(max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio - mean)))
        self._means[job_id] = (mean + (ratio - mean) / (count + 1), count + 1)
        while len(self._means) > MAX_JOBS:
            del self._means[next(iter(self._means))]

    def update(self, machines: Collection[Machine]) -> None:
        """Update which machines are marked as slow.

        The short tasks of a job end first, so its later tasks appear slow on every machine. A
        machine is therefore compared with the others, and the mark is removed once its mean is
        no longer above theirs by the margin.
        """
        compared = {
            machine.id: sum(machine.slowdown_samples) / SLOWDOWN_SAMPLES
            for machine in machines
            if len(machine.slowdown_samples) == SLOWDOWN_SAMPLES
        }
        if len(compared) <= MIN_COMPARED_MACHINES:
            return
        median = statistics.median(compared.values())
        for machine in machines:
            mean = compared.get(machine.id)
            if mean is None:
                continue
            slow = mean > median + SLOW_LOG_RATIO_MARGIN
            if slow and not machine.slow:
                log.info("event=machine_slow machine=%s", machine.id)
            machine.slow = slow
