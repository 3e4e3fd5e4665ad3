"""Which machines run their tasks much slower than the others of their shard."""

from __future__ import annotations

import logging
import math
import statistics
from collections.abc import Collection

from dapplewick.core.shard.state import SLOWDOWN_SAMPLES, Machine
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

SLOW_LOG_RATIO_MARGIN = 0.6  # above the other machines' mean logarithm of run time over expected
MIN_COMPARED_MACHINES = 3  # to compare with
MIN_JOB_TASKS = 2  # of a job, before the others are compared with their mean
MAX_LOG_RATIO = 1.5  # of one task's logarithm: one outlier says little
MAX_JOBS = 500


class SpeedComparison:
    """Compares tasks with others of the same job, whose owner's estimate is as wrong."""

    def __init__(self) -> None:
        self._means: dict[JobId, tuple[float, int]] = {}  # of the logarithms, and their count

    def record_run_time(
        self, machine: Machine, job_id: JobId, run_s: Seconds, estimate_s: Seconds
    ) -> None:
        """Note how long a task of this job ran on a machine; both times are above zero."""
        ratio = math.log(run_s / estimate_s)
        mean, count = self._means.get(job_id, (0.0, 0))
        if count >= MIN_JOB_TASKS:
            machine.slowdown_samples.append(max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio - mean)))
        self._means[job_id] = (mean + (ratio - mean) / (count + 1), count + 1)
        while len(self._means) > MAX_JOBS:
            del self._means[next(iter(self._means))]

    def update(self, machines: Collection[Machine]) -> None:
        """Mark each machine as slow or not.

        Tasks that end first are the short ones, so later ones look late on any machine: a machine
        is slow only beside the others, and not for good.
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
