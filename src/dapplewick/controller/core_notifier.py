"""Tells the cores of this process, shards' schedulers and planner, of records that changed."""

from __future__ import annotations

from collections.abc import Collection

from dapplewick.controller.owned_shards import OwnedShards
from dapplewick.coordination.leadership import Leadership
from dapplewick.storage.keys import SHARDS, job_of
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, MachineId, Seconds


class CoreNotifier:
    """Brings the schedulers of the owned shards up to date, and wakes the planner."""

    def __init__(self, cache: WatchCache, owned_shards: OwnedShards, leadership: Leadership):
        self._cache = cache
        self._owned_shards = owned_shards
        self._leadership = leadership

    def is_active(self) -> bool:
        """Whether this process leads, owns a shard, or may have to lead soon."""
        return (
            bool(self._owned_shards.schedulers)
            or self._leadership.planner is not None
            or self._cache.leader is None
        )

    def notify(self, now: Seconds, keys: Collection[str], machines: Collection[MachineId]) -> None:
        """Tell of changed records; shards first: who owns them decides the rest."""
        if any(key.startswith(SHARDS) for key in keys):
            self._owned_shards.update(now)
        jobs = dict.fromkeys(job for key in keys if (job := job_of(key)) is not None)
        if self._leadership.planner is not None and any(map(self._is_unassigned_service, jobs)):
            self._leadership.urgent_wake.set()
        for scheduler in self._owned_shards.schedulers.values():
            for job_id in jobs:
                scheduler.job_changed(now, job_id)
            for machine in machines:
                scheduler.machine_changed(now, machine)
        self._leadership.pass_wake.set()

    def _is_unassigned_service(self, job_id: JobId) -> bool:
        """Users wait for its first replicas: the leader does not rest first."""
        job = self._cache.jobs.get(job_id)
        return job is not None and job.spec.is_service and job.open and not job.assignments
