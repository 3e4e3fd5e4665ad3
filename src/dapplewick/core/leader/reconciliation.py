"""Reconciliation of job records with the progress that the shards report."""

from __future__ import annotations

import logging

import msgspec

from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.protocol.peers import GANG_DONE, GANG_FAILED, GANG_RESERVED, GANG_STOPPED
from dapplewick.storage.job_records import DONE, GangPlacement, JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId, Seconds, ShardName

log = logging.getLogger(__name__)


class JobReconciler:
    """Drafts changes of job records from the progress that the shards report.

    Progress is completed and released tasks, ended attempts of gangs, and reserved gang slots that
    are overdue.
    """

    def __init__(
        self,
        cache: WatchCache,
        drafts: JobDrafts,
        shards: ObservedShards,
        preemption_threshold_s: Seconds,
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._shards = shards
        self._preemption_threshold_s = preemption_threshold_s
        # When each gang was first found to hold reserved slots without preempting.
        self._reserved_since: dict[JobId, Seconds] = {}

    def reconcile(self, now: Seconds) -> None:
        """Draft the changes that follow from the shards' latest statuses."""
        owned = self._shards.owned()
        for shard in owned:
            self._reconcile_array_tasks(shard)
            self._clear_drained_jobs(shard)
        self._reconcile_gangs(now, {shard.shard: shard for shard in owned})

    def _clear_drained_jobs(self, shard: ObservedShard) -> None:
        """Remove the assignments of closed jobs to a shard that runs none of their tasks."""
        for job_id in shard.latest_status.drained_jobs:
            old = self._cache.jobs.get(job_id)
            if old is not None and not old.open and shard.shard in old.assignments:
                job = self._drafts.edit(job_id, WritePriority.LOW)
                job.assignments.pop(shard.shard, None)

    def _reconcile_array_tasks(self, shard: ObservedShard) -> None:
        name = shard.shard
        for job_id, status in shard.jobs.items():
            if not status.done and not status.released:
                continue
            old = self._cache.jobs.get(job_id)
            if old is None or not old.open:
                continue
            assigned = old.assigned(name)
            done = [i for i in status.done if i not in old.done and i in assigned]
            if old.spec.is_service:
                done = []  # a service never completes, even if a replica reports its end
            # Released tasks are valid only for the record version that the shard had read: a newer
            # version may have assigned the same tasks to it again.
            released = status.released if status.version == old.version else []
            if done or released:
                self._record_progress(job_id, name, done, released)

    def _record_progress(
        self, job_id: JobId, shard: ShardName, done: list[int], released: list[int]
    ) -> None:
        """Draft the completion and the release of tasks assigned to a shard."""
        priority = WritePriority.NORMAL if released else WritePriority.PROGRESS
        job = self._drafts.edit(job_id, priority)
        job.done.update(done)
        job.assignments[shard] = job.assigned(shard).difference(done, released)
        if not job.assignments[shard]:
            del job.assignments[shard]
        if len(job.done) == job.spec.task_count:
            self._drafts.edit(job_id, WritePriority.URGENT)
            job.stage = DONE
            job.assignments = {}
            log.info("event=job_done job=%s", job_id)

    def _reconcile_gangs(self, now: Seconds, owned: dict[ShardName, ObservedShard]) -> None:
        lowest_priority = self._lowest_array_priority()
        reserved_since: dict[JobId, Seconds] = {}
        for job_id, job in list(self._cache.iter_live_jobs()):
            gang = job.gang
            if gang is None:
                continue
            states = _gang_states(job_id, job, gang, owned)
            if self._end_attempt(job_id, job, gang, states):
                continue
            if GANG_RESERVED in states and not gang.preempt and job.spec.priority > lowest_priority:
                reserved_since[job_id] = self._reserved_since.get(job_id, now)
                if now - reserved_since[job_id] > self._preemption_threshold_s:
                    self._preempt(job_id, gang)
        self._reserved_since = reserved_since

    def _lowest_array_priority(self) -> int:
        return min(
            (
                job.spec.priority
                for _, job in self._cache.iter_live_jobs()
                if job.open and not (job.spec.is_gang or job.spec.is_service)
            ),
            default=NON_PREEMPTIBLE_PRIORITY,
        )

    def _end_attempt(
        self, job_id: JobId, job: JobRecord, gang: GangPlacement, states: list[str]
    ) -> bool:
        """Draft the end of a gang's attempt, or its removal from the record after the end.

        Returns:
            Whether a change was drafted.
        """
        if job.open and GANG_DONE in states:
            draft = self._drafts.edit(job_id, WritePriority.URGENT)
            draft.stage, draft.done, draft.gang, draft.assignments = DONE, set(), None, {}
            log.info("event=job_done job=%s", job_id)
        elif (gang.ending or not job.open) and all(state == GANG_STOPPED for state in states):
            self._drafts.edit(job_id, WritePriority.NORMAL).gang = None
        elif job.open and not gang.ending and GANG_FAILED in states:
            log.info("event=gang_ended job=%s attempt=%d", job_id, gang.attempt)
            ended = msgspec.structs.replace(gang, ending=True)
            self._drafts.edit(job_id, WritePriority.NORMAL).gang = ended
        else:
            return False
        return True

    def _preempt(self, job_id: JobId, gang: GangPlacement) -> None:
        """Draft that a gang preempts, because its slots are busy for longer than estimated."""
        log.info("event=gang_preempting job=%s attempt=%d", job_id, gang.attempt)
        preempting = msgspec.structs.replace(gang, preempt=True)
        self._drafts.edit(job_id, WritePriority.NORMAL).gang = preempting


def _gang_states(
    job_id: JobId, job: JobRecord, gang: GangPlacement, owned: dict[ShardName, ObservedShard]
) -> list[str]:
    """The state of an attempt in each of its shards.

    The state is "unknown" where the shard's owner has not read or not reported the attempt.
    """
    states = []
    for name in gang.shards():
        shard = owned.get(ShardName(name))
        state = "unknown"
        if shard is not None and shard.seen_revision >= job.version:
            status = shard.gangs.get(job_id)
            if status is not None and status.attempt == gang.attempt:
                state = status.state
        states.append(state)
    return states
