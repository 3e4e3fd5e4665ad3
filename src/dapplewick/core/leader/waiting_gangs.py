"""The pass over the gangs that wait at the leader: the design's third point."""

from __future__ import annotations

import logging
from typing import NamedTuple

from dapplewick.core.demand import AcceleratorDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.gang_placement import LONG_RESERVATION_S, place_gang
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.limit_reservations import LimitReservations
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.shard_reservation import ShardReservation
from dapplewick.core.leader.slot_selection import ChosenSlots
from dapplewick.core.leader.term_ids import TermIds
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.write_priority import WritePriority
from dapplewick.tuning import Tuning
from dapplewick.types import JobId, Seconds, ShardName, Zone

log = logging.getLogger(__name__)

# Idle slots may be reserved for this fraction of a gang's run time, or of its wait so far.
RESERVATION_FRACTION = 0.25


class WaitingGang(NamedTuple):
    """An open gang that has no place."""

    job_id: JobId
    job: JobRecord


class WaitingGangs:
    """Places gangs: the largest that fits first, the oldest among equals, until none fits."""

    def __init__(
        self,
        drafts: JobDrafts,
        quotas: TeamQuotas,
        demand: AcceleratorDemand,
        provisioner: Provisioner,
        estimates: Estimates,
        tuning: Tuning,
        zones: list[str],
        ids: TermIds,
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._demand = demand
        self._provisioner = provisioner
        self._estimates = estimates
        self._patience_s = tuning.patience_s
        self._zones = zones
        self._ids = ids
        self._reservation = ShardReservation()
        self._limit_reservations = LimitReservations(quotas)

    def place(self, wall_time: Seconds, shard_capacities: list[ShardCapacity]) -> None:
        """Draft the placements of this pass."""
        self._reservation.begin()
        self._limit_reservations.begin()
        left = self._place_each(self._waiting(), wall_time, shard_capacities)
        above = [gang for gang in left if gang.job.spec.priority > self._demand.priority]
        if above and self._demand.wanted():
            above = self._not_awaited(wall_time, above)
        if above and self._demand.wanted():
            # Nothing without accelerators is to be had soon, and this work goes before theirs.
            for shard in shard_capacities:
                shard.set_demand(None)
            self._place_each(above, wall_time, shard_capacities)
            for shard in shard_capacities:
                shard.set_demand(self._demand)

    def _waiting(self) -> list[WaitingGang]:
        """Gangs without a place, in the order in which they are tried."""
        waiting = [
            WaitingGang(job_id, job)
            for job_id, job in self._drafts.live_jobs()
            if job.spec.is_gang and job.open and job.gang is None
        ]
        waiting.sort(
            key=lambda gang: (
                -gang.job.spec.priority,
                -gang.job.spec.task_count,
                gang.job.submitted_at,
                gang.job_id,
            )
        )
        return waiting

    def _place_each(
        self, waiting: list[WaitingGang], wall_time: Seconds, shard_capacities: list[ShardCapacity]
    ) -> list[WaitingGang]:
        """Place gangs in this order; gives those for which there were no slots."""
        left = []
        for gang in waiting:
            spec = gang.job.spec
            waited_s = wall_time - gang.job.submitted_at
            if self._quotas.within_limit(spec) < spec.task_count:
                self._limit_reservations.request(wall_time, spec, waited_s)
                continue
            limit_s = self._reservation_limit_s(spec, waited_s)
            open_shards = self._reservation.open_shards(shard_capacities)
            slots = place_gang(spec, open_shards, limit_s, self._patience_s)
            if slots is None:
                left.append(gang)
                self._reservation.request(wall_time, spec, waited_s, shard_capacities, limit_s)
            else:
                self._take(gang, slots, wall_time, shard_capacities)
        return left

    def _reservation_limit_s(self, spec: JobSpec, waited_s: Seconds) -> Seconds:
        """For how long slots may be reserved that are idle while others are still busy."""
        basis_s = max(waited_s, self._estimates.run_time(spec))
        return max(LONG_RESERVATION_S, RESERVATION_FRACTION * basis_s)

    def _take(
        self,
        gang: WaitingGang,
        slots: ChosenSlots,
        wall_time: Seconds,
        shard_capacities: list[ShardCapacity],
    ) -> None:
        """Take a gang's slots and draft its placement."""
        by_name = {shard.shard: shard for shard in shard_capacities}
        for capacity in slots.capacities:
            by_name[capacity.shard].reserve([capacity], gang.job.resources)
        self._reservation.record_placement(
            wall_time, {capacity.shard for capacity in slots.capacities}
        )
        self._quotas.spend(gang.job.spec, gang.job.spec.task_count)
        attempt = self._ids.next_attempt()
        placements = [(str(c.shard), str(c.id)) for c in slots.capacities]
        self._drafts.edit(gang.job_id, WritePriority.NORMAL).gang = GangPlacement(
            attempt, placements, preempt=slots.preempt
        )
        log.info(
            "event=gang_placed job=%s attempt=%d machines=%s preempt=%s",
            gang.job_id,
            attempt,
            ",".join(machine for _, machine in placements),
            slots.preempt,
        )

    def _not_awaited(self, wall_time: Seconds, gangs: list[WaitingGang]) -> list[WaitingGang]:
        """Gangs for which no machines without accelerators are about to come up.

        At the start of a day all come up together, and those that were there first kept gangs for
        minutes.
        """
        coming = {Zone(zone): ShardCapacity(ShardName(zone), []) for zone in self._zones}
        for capacity in self._provisioner.expected_machines(wall_time):
            if capacity.total.gpus == 0 and capacity.zone in coming:
                coming[capacity.zone].add(capacity)
        return [gang for gang in gangs if not _take_coming(gang.job.spec, list(coming.values()))]


def _take_coming(spec: JobSpec, zones: list[ShardCapacity]) -> bool:
    """Take slots for a gang on machines that come up; takes none where they are too few."""
    zones = sorted(zones, key=lambda zone: -zone.idle_slots(spec))
    slots = sum(zone.idle_slots(spec) for zone in zones)
    if not spec.same_zone and slots >= spec.task_count:
        left = spec.task_count
        for zone in zones:
            left -= zone.reserve_up_to(spec, left)
        return True
    if zones and zones[0].idle_slots(spec) >= spec.task_count:
        zones[0].reserve_up_to(spec, spec.task_count)
        return True
    return False
