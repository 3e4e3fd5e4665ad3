"""Reasons why jobs wait: one per job, from the data of the planning pass that did not start it.

The reasons are logged and shown in the leader's status when a class, a team or the largest jobs of
a class wait for long.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from dapplewick.core.leader.capacity_requests import CapacityRequest
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.core.leader.observed_shard import ObservedShards
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, Seconds, ShardName

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 10.0  # interval between inspections of the waiting jobs
LONG_WAIT_S = 60.0  # groups whose oldest job has waited for less are not reported
MAX_LOGGED_GROUPS = 6  # per log line, longest wait first
MAX_LOGGED_SHARDS = 8  # per log line, oldest status first


class WaitReason(StrEnum):
    """Reason why a job has no task on a machine."""

    IN_SHARD_QUEUE = "in_shard_queue"  # assigned to a shard, queued behind other work
    RESERVED_SLOTS_BUSY = (
        "reserved_slots_busy"  # a gang waits until all its reserved slots are idle
    )
    SHARD_WITHOUT_CONTACT = "shard_not_heard"  # the capacity of some shard is unknown
    OVER_LIMIT = "over_limit"  # exceeds its team's limit, less the withheld part
    BEHIND_OTHERS = "behind_others"  # idle slots go to, or are reserved for, other work
    MACHINES_STARTING = "machines_coming"  # machines that fit the job are booting or requested
    NO_CAPACITY = "no_capacity"  # the cloud has no more machines that fit the job
    NO_SLOT = "no_slot"  # all slots that fit the job are in use


class WaitingGroup(NamedTuple):
    """Waiting jobs of a class or a team, or the largest waiting jobs of a class.

    Attributes:
        name: `class NAME`, `team NAME` or `largest NAME`.
        oldest_s: The wait of the oldest job, in seconds.
        jobs: The number of waiting jobs.
        reasons: The number of jobs by wait reason.
    """

    name: str
    oldest_s: Seconds
    jobs: int
    reasons: dict[str, int]


class _WaitingJob(NamedTuple):
    """One waiting job."""

    job: JobRecord
    waited_s: Seconds
    reason: WaitReason


class WaitReasonReporter:
    """Determines why jobs wait, and reports groups of jobs that have waited for long.

    Attributes:
        groups: The groups that had waited for long at the latest inspection.
    """

    def __init__(
        self,
        cache: WatchCache,
        drafts: JobDrafts,
        shards: ObservedShards,
        contacts: ShardContacts,
        quotas: TeamQuotas,
        now: Seconds,
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._shards = shards
        self._contacts = contacts
        self._quotas = quotas
        self._updated_at = now
        self.groups: list[WaitingGroup] = []

    def update(
        self,
        now: Seconds,
        wall_time: Seconds,
        shard_capacities: Sequence[ShardCapacity],
        provisioner: Provisioner,
        unmet: Sequence[CapacityRequest],
    ) -> None:
        """Inspect the waiting jobs, if the interval has elapsed, and log groups with long waits.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds, which is compared with submission times.
            shard_capacities: The capacity of all shards, less what this pass has reserved.
            provisioner: Lists the machines that are booting or requested.
            unmet: The capacity requests that could not be fully served.
        """
        if now - self._updated_at < REPORT_INTERVAL_S:
            return
        self._updated_at = now
        starting = provisioner.expected_machines(wall_time)
        waiting = [
            _WaitingJob(
                job,
                wall_time - job.submitted_at,
                self._reason(now, job, shard_capacities, starting, unmet),
            )
            for job_id, job in self._drafts.live_jobs()
            if self._waits(job_id, job)
        ]
        self.groups = _long_waits(waiting)
        if self.groups:
            self._log(now)

    def _waits(self, job_id: JobId, job: JobRecord) -> bool:
        """Return whether, by the shards' reports, no task of an open job is on a machine."""
        if not job.open:
            return False
        if not job.spec.is_gang:
            return not job.done and self._shards.placed_task_count(job_id) == 0
        if job.gang is None or job.gang.ending:
            return True
        return any(
            shard.reservation(job_id, job.gang.attempt) is not None
            for name in job.gang.shards()
            if (shard := self._shards.owned_by_name(ShardName(name))) is not None
        )

    def _reason(
        self,
        now: Seconds,
        job: JobRecord,
        shard_capacities: Sequence[ShardCapacity],
        starting: Sequence[MachineCapacity],
        unmet: Sequence[CapacityRequest],
    ) -> WaitReason:
        spec = job.spec
        if job.gang is not None and not job.gang.ending:
            return WaitReason.RESERVED_SLOTS_BUSY
        if any(job.assignments.values()):
            return WaitReason.IN_SHARD_QUEUE
        if not self._contacts.all_fresh(now):
            return WaitReason.SHARD_WITHOUT_CONTACT
        wanted = spec.task_count if spec.is_gang else 1
        if self._quotas.within_limit(spec) < wanted:
            return WaitReason.OVER_LIMIT
        if sum(shard.idle_slots(spec) for shard in shard_capacities) >= wanted:
            return WaitReason.BEHIND_OTHERS
        if any(machine.allows(spec) and machine.slot_count(spec) for machine in starting):
            return WaitReason.MACHINES_STARTING
        if any(request.spec.placement_key == spec.placement_key for request in unmet):
            return WaitReason.NO_CAPACITY
        return WaitReason.NO_SLOT

    def _log(self, now: Seconds) -> None:
        ages = sorted(
            ((self._contacts.contact_age_s(now, shard), shard) for shard in self._cache.shards),
            reverse=True,
        )
        log.info(
            "event=work_waiting groups=%s status_age_s=%s revision=%d",
            ",".join(_group_text(group) for group in self.groups[:MAX_LOGGED_GROUPS]),
            ",".join(f"{shard}:{age_s:.1f}" for age_s, shard in ages[:MAX_LOGGED_SHARDS]),
            self._cache.revision,
        )


def _group_text(group: WaitingGroup) -> str:
    """Format a group for the log, without spaces: name, oldest wait and counts by reason."""
    counts = "+".join(f"{reason}*{count}" for reason, count in group.reasons.items())
    return f"{group.name.replace(' ', '/')}:{group.oldest_s:.0f}s:{counts}"


def _long_waits(waiting: Sequence[_WaitingJob]) -> list[WaitingGroup]:
    """Return the groups whose oldest job has waited for long, longest wait first."""
    largest: dict[str, int] = {}
    for item in waiting:
        spec = item.job.spec
        largest[spec.job_class] = max(largest.get(spec.job_class, 0), spec.task_count)
    members: dict[str, list[_WaitingJob]] = {}
    for item in waiting:
        spec = item.job.spec
        members.setdefault(f"class {spec.job_class}", []).append(item)
        members.setdefault(f"team {spec.team}", []).append(item)
        if spec.task_count == largest[spec.job_class]:
            members.setdefault(f"largest {spec.job_class}", []).append(item)
    groups = [
        WaitingGroup(
            name,
            round(max(item.waited_s for item in items), 1),
            len(items),
            dict(Counter(str(item.reason) for item in items).most_common()),
        )
        for name, items in members.items()
    ]
    long_waits = [group for group in groups if group.oldest_s > LONG_WAIT_S]
    return sorted(long_waits, key=lambda group: (-group.oldest_s, group.name))
