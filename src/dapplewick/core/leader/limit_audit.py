"""Asserts that ended work stops counting against its team's limit.

Assignments and gang placements count until each shard reports that none of their tasks remain. An
assignment or placement that a shard never releases would reduce its team's limit permanently.
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

# Ended work that counts against a limit for longer than this is an invariant violation. Only time
# in which all shards and machines are in contact is counted.
RELEASE_TIMEOUT_S = 60.0


class LimitAudit:
    """Monitors ended jobs that still hold a part of their team's limit."""

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
        self._held_s: dict[JobId, Seconds] = {}  # while all shards and machines were in contact
        self._checked_at: Seconds | None = None

    def check(self, now: Seconds) -> None:
        """Update how long ended jobs have held limits; call once in each planning pass."""
        elapsed_s = now - self._checked_at if self._checked_at is not None else 0.0
        self._checked_at = now
        holders = {
            job_id: job
            for job_id, job in self._cache.iter_live_jobs()
            if not job.open and (job.assignments or job.gang is not None)
        }
        self._held_s = {job: held for job, held in self._held_s.items() if job in holders}
        if not holders or not self._all_in_contact(now):
            return
        for job_id, job in holders.items():
            previous_s = self._held_s.get(job_id, 0.0)
            self._held_s[job_id] = previous_s + elapsed_s
            if previous_s <= RELEASE_TIMEOUT_S < self._held_s[job_id]:
                self._report(job_id, job)

    def _all_in_contact(self, now: Seconds) -> bool:
        """Return whether all shards report to the leader and all machines to their shards."""
        return self._contacts.all_fresh(now) and all(
            not shard.latest_status.unreconciled and not shard.latest_status.machine_contact_gaps
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
