"""Placement of all gangs that wait at the leader (point 3 of `docs/design.md`)."""

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
from dapplewick.core.leader.term_ids import TermIdGenerator
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.write_priority import WritePriority
from dapplewick.tuning import Tuning
from dapplewick.types import JobId, Seconds, ShardName, Zone

log = logging.getLogger(__name__)

# Idle slots may be reserved for this fraction of a gang's run time or wait, whichever is longer.
RESERVATION_FRACTION = 0.25


class WaitingGang(NamedTuple):
    """An open gang that has not been placed."""

    job_id: JobId
    job: JobRecord


class GangPlacer:
    """Places waiting gangs until none fits, by priority, then size (largest first), then age."""

    def __init__(
        self,
        drafts: JobDrafts,
        quotas: TeamQuotas,
        demand: AcceleratorDemand,
        provisioner: Provisioner,
        estimates: Estimates,
        tuning: Tuning,
        zones: list[str],
        ids: TermIdGenerator,
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._accelerator_demand = demand
        self._provisioner = provisioner
        self._estimates = estimates
        self._preemption_threshold_s = tuning.patience_s
        self._zones = zones
        self._ids = ids
        self._shard_reservation = ShardReservation()
        self._limit_reservations = LimitReservations(quotas)

    def place(self, wall_time: Seconds, shard_capacities: list[ShardCapacity]) -> None:
        """Draft the gang placements of this pass."""
        self._shard_reservation.begin()
        self._limit_reservations.begin()
        unplaced = self._place_each(self._waiting(), wall_time, shard_capacities)
        higher_priority = [
            gang for gang in unplaced if gang.job.spec.priority > self._accelerator_demand.priority
        ]
        if higher_priority and self._accelerator_demand.needs_reservation():
            higher_priority = self._without_starting_machines(wall_time, higher_priority)
        if higher_priority and self._accelerator_demand.needs_reservation():
            # No machines without accelerators will be available soon, and these gangs have a higher
            # priority than accelerator work, so they may use the resources reserved for it.
            for shard in shard_capacities:
                shard.set_demand(None)
            self._place_each(higher_priority, wall_time, shard_capacities)
            for shard in shard_capacities:
                shard.set_demand(self._accelerator_demand)

    def _waiting(self) -> list[WaitingGang]:
        """Return the gangs without a placement, in the order in which they are tried."""
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
        """Place gangs in this order, and return the gangs for which there were no slots."""
        unplaced = []
        for gang in waiting:
            spec = gang.job.spec
            waited_s = wall_time - gang.job.submitted_at
            if self._quotas.within_limit(spec) < spec.task_count:
                self._limit_reservations.request(wall_time, spec, waited_s)
                continue
            limit_s = self._reservation_limit_s(spec, waited_s)
            open_shards = self._shard_reservation.open_shards(shard_capacities)
            slots = place_gang(spec, open_shards, limit_s, self._preemption_threshold_s)
            if slots is None:
                unplaced.append(gang)
                self._shard_reservation.request(
                    wall_time, spec, waited_s, shard_capacities, limit_s
                )
            else:
                self._assign(gang, slots, wall_time, shard_capacities)
        return unplaced

    def _reservation_limit_s(self, spec: JobSpec, waited_s: Seconds) -> Seconds:
        """Return how long idle slots may be reserved for a gang while its other slots are busy."""
        basis_s = max(waited_s, self._estimates.run_time(spec))
        return max(LONG_RESERVATION_S, RESERVATION_FRACTION * basis_s)

    def _assign(
        self,
        gang: WaitingGang,
        slots: ChosenSlots,
        wall_time: Seconds,
        shard_capacities: list[ShardCapacity],
    ) -> None:
        """Assign slots to a gang and draft its placement."""
        by_name = {shard.shard: shard for shard in shard_capacities}
        for capacity in slots.capacities:
            by_name[capacity.shard].reserve([capacity], gang.job.resources)
        self._shard_reservation.record_placement(
            wall_time, {capacity.shard for capacity in slots.capacities}
        )
        self._quotas.charge(gang.job.spec, gang.job.spec.task_count)
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

    def _without_starting_machines(
        self, wall_time: Seconds, gangs: list[WaitingGang]
    ) -> list[WaitingGang]:
        """Return the gangs that will not fit on machines without accelerators that are starting.

        When a cluster starts, machines of all types boot together. Gangs that were placed on the
        accelerator machines that started first occupied them for minutes.
        """
        starting = {Zone(zone): ShardCapacity(ShardName(zone), []) for zone in self._zones}
        for capacity in self._provisioner.expected_machines(wall_time):
            if capacity.total.gpus == 0 and capacity.zone in starting:
                starting[capacity.zone].add(capacity)
        return [
            gang
            for gang in gangs
            if not _reserve_starting_slots(gang.job.spec, list(starting.values()))
        ]


def _reserve_starting_slots(spec: JobSpec, zones: list[ShardCapacity]) -> bool:
    """Reserve slots for a gang on starting machines, all or none; return whether it succeeded."""
    zones = sorted(zones, key=lambda zone: -zone.idle_slots(spec))
    slots = sum(zone.idle_slots(spec) for zone in zones)
    if not spec.same_zone and slots >= spec.task_count:
        remaining = spec.task_count
        for zone in zones:
            remaining -= zone.reserve_up_to(spec, remaining)
        return True
    if zones and zones[0].idle_slots(spec) >= spec.task_count:
        zones[0].reserve_up_to(spec, spec.task_count)
        return True
    return False
