"""Why work waits: one reason for each job, decided from the data of the pass that left it waiting.

Operators see it in the log once a class, a team or the largest jobs of a class wait for long, and
in the leader's status.
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

REPORT_INTERVAL_S = 10.0  # what waits is looked at this often
LONG_WAIT_S = 60.0  # groups whose oldest job waits for less are not worth a line
MOST_GROUPS = 6  # in a line, those that wait longest
MOST_SHARDS = 8


class WaitReason(StrEnum):
    """What keeps a job from having a task on a machine."""

    IN_SHARD_QUEUE = "in_shard_queue"  # assigned to a shard, behind other work there
    RESERVED_SLOTS_BUSY = "reserved_slots_busy"  # a gang that waits for the last of its slots
    SHARD_WITHOUT_CONTACT = "shard_not_heard"  # some shard's capacity is not known
    OVER_LIMIT = "over_limit"  # its team's limit, or what is withheld of it, leaves no room
    BEHIND_OTHERS = "behind_others"  # there are slots, which go or are kept for other work
    MACHINES_STARTING = "machines_coming"  # machines that it fits on are not up yet
    NO_CAPACITY = "no_capacity"  # the cloud had no more machines for it
    NO_SLOT = "no_slot"  # all slots of its size are taken


class WaitingGroup(NamedTuple):
    """Jobs of a class, a team, or the largest of a class, that wait.

    Attributes:
        name: `class NAME`, `team NAME` or `largest NAME`.
        oldest_s: how long the oldest has waited.
        jobs: how many wait.
        reasons: how many of them for which reason.
    """

    name: str
    oldest_s: Seconds
    jobs: int
    reasons: dict[str, int]


class _WaitingJob(NamedTuple):
    """One job that waits."""

    job: JobRecord
    waited_s: Seconds
    reason: WaitReason


class WaitReasons:
    """Decides why jobs wait, and reports those that wait for long.

    Attributes:
        groups: The groups that waited for long when they were looked at last.
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
        self._reported_at = now
        self.groups: list[WaitingGroup] = []

    def note(
        self,
        now: Seconds,
        wall_time: Seconds,
        shard_capacities: Sequence[ShardCapacity],
        provisioner: Provisioner,
        unmet: Sequence[CapacityRequest],
    ) -> None:
        """Look at what waits, if it is time for it, and log what waits for long.

        Args:
            now: The steady clock.
            wall_time: The wall clock, which is compared with times of submission.
            shard_capacities: What this pass has left free.
            provisioner: Knows the machines that are provisioned and not up yet.
            unmet: What nothing could be provisioned for.
        """
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        coming = provisioner.expected_machines(wall_time)
        waiting = [
            _WaitingJob(
                job,
                wall_time - job.submitted_at,
                self._reason(now, job, shard_capacities, coming, unmet),
            )
            for job_id, job in self._drafts.live_jobs()
            if self._waits(job_id, job)
        ]
        self.groups = _long_waits(waiting)
        if self.groups:
            self._log(now)

    def _waits(self, job_id: JobId, job: JobRecord) -> bool:
        """Whether no task of an open job is on a machine, as far as the shards have told."""
        if not job.open:
            return False
        if not job.spec.is_gang:
            return not job.done and self._shards.placed_task_count(job_id) == 0
        if job.gang is None or job.gang.over:
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
        coming: Sequence[MachineCapacity],
        unmet: Sequence[CapacityRequest],
    ) -> WaitReason:
        spec = job.spec
        if job.gang is not None and not job.gang.over:
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
        if any(machine.allows(spec) and machine.slot_count(spec) for machine in coming):
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
            ",".join(_group_text(group) for group in self.groups[:MOST_GROUPS]),
            ",".join(f"{shard}:{age_s:.1f}" for age_s, shard in ages[:MOST_SHARDS]),
            self._cache.revision,
        )


def _group_text(group: WaitingGroup) -> str:
    """A group without spaces, for the log: name, age of the oldest, and counts by reason."""
    counts = "+".join(f"{reason}*{count}" for reason, count in group.reasons.items())
    return f"{group.name.replace(' ', '/')}:{group.oldest_s:.0f}s:{counts}"


def _long_waits(waiting: Sequence[_WaitingJob]) -> list[WaitingGroup]:
    """The groups whose oldest job waits for long, the longest wait first."""
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
