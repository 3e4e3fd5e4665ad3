"""Asserts that work which is over stops counting against its team's limit.

Assignments and gang placements count until every shard says that nothing of them is left. One that
no shard ever gives back would keep its team from its limit for ever.
"""

from __future__ import annotations

import logging

from dapplewick.core.invariants import Invariant, InvariantCounts
from dapplewick.core.leader.observed_shard import ObservedShards
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

RELEASE_TIMEOUT_S = 60.0  # of time in which all shards were heard and no machine was waited for


class LimitAudit:
    """Watches jobs that are over and still hold a part of their team's limit."""

    def __init__(
        self,
        cache: WatchCache,
        shards: ObservedShards,
        contacts: ShardContacts,
        invariants: InvariantCounts,
    ) -> None:
        self._cache = cache
        self._shards = shards
        self._contacts = contacts
        self._invariants = invariants
        self._held_s: dict[JobId, Seconds] = {}  # for how long, while nothing excused it
        self._checked_at: Seconds | None = None

    def check(self, now: Seconds) -> None:
        """Note what still holds a part of a limit; to be called once in each pass."""
        elapsed_s = now - self._checked_at if self._checked_at is not None else 0.0
        self._checked_at = now
        holders = {
            job_id: job
            for job_id, job in self._cache.each_live()
            if not job.open and (job.assignments or job.gang is not None)
        }
        self._held_s = {job: held for job, held in self._held_s.items() if job in holders}
        if not holders or not self._nothing_is_awaited(now):
            return
        for job_id, job in holders.items():
            before_s = self._held_s.get(job_id, 0.0)
            self._held_s[job_id] = before_s + elapsed_s
            if before_s <= RELEASE_TIMEOUT_S < self._held_s[job_id]:
                self._report(job_id, job)

    def _nothing_is_awaited(self, now: Seconds) -> bool:
        """Whether every shard is heard, and every machine was heard by its shard."""
        return self._contacts.all_fresh(now) and all(
            not shard.latest_status.unreconciled and not shard.latest_status.silent
            for shard in self._shards.owned()
        )

    def _report(self, job_id: JobId, job: JobRecord) -> None:
        self._invariants.record_violation(Invariant.LIMITS_ARE_RELEASED)
        shards = sorted(job.assignments) if job.gang is None else sorted(set(job.gang.shards()))
        log.error(
            "event=limit_not_given_back job=%s team=%s shards=%s held_s=%.0f",
            job_id,
            job.spec.team,
            ",".join(shards),
            self._held_s[job_id],
        )
