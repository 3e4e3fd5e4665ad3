"""Periodic debug log of free capacity and waiting work, for fault diagnosis."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from dapplewick.core.leader.array_order import PendingArray
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.types import Seconds

log = logging.getLogger(__name__)

LOAD_LOG_INTERVAL_S = 10.0


class LoadLogger:
    """Logs the load at a fixed interval if debug logging is enabled."""

    def __init__(self, drafts: JobDrafts, provisioner: Provisioner, now: Seconds) -> None:
        self._drafts = drafts
        self._provisioner = provisioner
        self._logged_at = now

    def log_if_due(
        self,
        now: Seconds,
        wall_time: Seconds,
        shard_capacities: Iterable[ShardCapacity],
        pending: Iterable[PendingArray],
    ) -> None:
        """Log the load if debug logging is enabled and the interval has elapsed."""
        if not log.isEnabledFor(logging.DEBUG) or now - self._logged_at <= LOAD_LOG_INTERVAL_S:
            return
        self._logged_at = now
        unassigned: dict[str, int] = {}
        for _, job, count in pending:
            unassigned[job.spec.job_class] = unassigned.get(job.spec.job_class, 0) + count
        gangs = [job for _, job in self._drafts.live_jobs() if job.spec.is_gang and job.open]
        log.debug(
            "event=load_reported free=%s provisioning=%d unassigned=%s gangs_waiting=%d "
            "gangs_placed=%d",
            _free_by_type(shard_capacities),
            len(self._provisioner.expected_machines(wall_time)),
            unassigned,
            sum(job.gang is None for job in gangs),
            sum(job.gang is not None for job in gangs),
        )


def _free_by_type(shard_capacities: Iterable[ShardCapacity]) -> dict[str, list[float]]:
    """Return machine count, free CPUs and free accelerators by machine type."""
    free: dict[str, list[float]] = {}
    for shard in shard_capacities:
        for machine in shard.capacities:
            name = machine.machine_type + ("/spot" if machine.spot else "")
            row = free.setdefault(name, [0, 0.0, 0.0])
            row[0] += 1
            row[1] += machine.free.cpus
            row[2] += machine.free.gpus
    return free
