"""Notifies the shard schedulers and the planner of this process about changed records."""

from __future__ import annotations

from collections.abc import Collection

from dapplewick.controller.owned_shards import OwnedShards
from dapplewick.coordination.leadership import Leadership
from dapplewick.storage.keys import SHARDS, job_of
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, MachineId, Seconds


class RecordChangeNotifier:
    """Passes changed records to the schedulers of the owned shards and wakes the planner."""

    def __init__(self, cache: WatchCache, owned_shards: OwnedShards, leadership: Leadership):
        self._cache = cache
        self._owned_shards = owned_shards
        self._leadership = leadership

    def is_active(self) -> bool:
        """Whether this process leads, owns a shard, or may become leader since no leader exists."""
        return (
            bool(self._owned_shards.schedulers)
            or self._leadership.planner is not None
            or self._cache.leader is None
        )

    def notify(self, now: Seconds, keys: Collection[str], machines: Collection[MachineId]) -> None:
        """Pass on changed records.

        Shard records are applied first, since they decide which schedulers get the other changes.
        """
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
        """Whether a job is an open service without assignments.

        Users wait for its first replicas, so the leader skips the delay before its next pass.
        """
        job = self._cache.jobs.get(job_id)
        return job is not None and job.spec.is_service and job.open and not job.assignments
