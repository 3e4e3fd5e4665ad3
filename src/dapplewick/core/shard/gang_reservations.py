"""Slots that a shard reserves for gangs; a gang starts once all its slots are idle.

This implements the second and third points of the design (`docs/design.md`).
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import GangReservation, Machine
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, MachineId, Resources, Seconds, ShardName

log = logging.getLogger(__name__)

_NO_RESERVATIONS: Mapping[JobId, GangReservation] = MappingProxyType({})


class ReservedSlot(NamedTuple):
    """A reserved slot of a machine, for one task of a gang."""

    job_id: JobId
    reservation: GangReservation
    task_index: int


class ReservedSlots(NamedTuple):
    """The number of slots of a machine that are reserved for a gang."""

    job_id: JobId
    reservation: GangReservation
    slots: int


class GangReservationTable:
    """The gang reservations of a shard, indexed by gang and by machine."""

    def __init__(
        self,
        shard: ShardName,
        cache: WatchCache,
        machines: MachineTable,
        changes: ChangeLog,
    ) -> None:
        self.by_job: dict[JobId, GangReservation] = {}
        self._done_attempts: dict[JobId, int] = {}  # attempt that produced the result, by gang
        self._by_machine: dict[MachineId, dict[JobId, GangReservation]] = {}
        self._shard = shard
        self._cache = cache
        self._machines = machines
        self._changes = changes

    # Creation and removal

    def apply_record(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, failover: bool
    ) -> None:
        """Create, replace or remove a gang's reservation according to its job's record."""
        reservation = self.by_job.get(job_id)
        gang = job.gang if job is not None else None
        if gang is None or self._shard not in gang.shards():
            if reservation is not None:
                self._remove(job_id, reservation)
            self._done_attempts.pop(job_id, None)
            return
        if reservation is None or reservation.attempt != gang.attempt:
            placements = {
                i: MachineId(m)
                for i, (shard, m) in enumerate(gang.placements)
                if shard == self._shard
            }
            reservation = GangReservation(gang.attempt, placements, now)
            if failover:
                # The previous owner may have sent the start commands. An attempt must not be
                # started twice, so a task that is missing on its machine fails this attempt.
                reservation.inherit()
            self._replace(job_id, reservation)
        reservation.preempt = gang.preempt
        if not failover:
            self._update_readiness(job_id, reservation)

    def _replace(self, job_id: JobId, reservation: GangReservation) -> None:
        if job_id in self.by_job:
            self._remove(job_id, self.by_job[job_id])
        self.by_job[job_id] = reservation
        if any(m not in self._cache.machines for m in reservation.indices_on):
            # A machine was deleted before this shard received the reservation, so no later
            # change of the machine's record will fail the attempt.
            reservation.failure_reason = "machine gone"
        for machine_id in reservation.indices_on:
            self._by_machine.setdefault(machine_id, {})[job_id] = reservation
            self._changes.record_machine(machine_id)

    def _remove(self, job_id: JobId, reservation: GangReservation) -> None:
        del self.by_job[job_id]
        for machine_id in reservation.indices_on:
            reservations = self._by_machine.get(machine_id)
            if reservations is not None:
                reservations.pop(job_id, None)
                if not reservations:
                    del self._by_machine[machine_id]
            self._changes.record_machine(machine_id)

    def fail_attempts_on(self, machine_id: MachineId) -> None:
        """Fail the attempts of all gangs that have slots on a deleted machine."""
        for job_id, reservation in self.on_machine(machine_id).items():
            if not reservation.failure_reason:
                reservation.failure_reason = "machine gone"
                log.info("event=gang_failed job=%s reason=machine_gone", job_id)

    def is_done(self, job_id: JobId, reservation: GangReservation) -> bool:
        """Whether a task of this attempt has produced the result."""
        return self._done_attempts.get(job_id) == reservation.attempt

    def record_done(self, job_id: JobId, reservation: GangReservation) -> None:
        """Record that a task of this attempt has produced the result."""
        self._done_attempts[job_id] = reservation.attempt

    # Reserved slots by machine

    def on_machine(self, machine_id: MachineId) -> Mapping[JobId, GangReservation]:
        """The reservations with slots on a machine, oldest first."""
        return self._by_machine.get(machine_id, _NO_RESERVATIONS)

    def waiting_on(self, machine_id: MachineId) -> list[ReservedSlots]:
        """The gangs with reserved slots on a machine whose start command has not been sent.

        They are counted, because a gang may have any number of slots on one machine.
        """
        reservations = self._by_machine.get(machine_id)
        if not reservations:
            return []
        return [
            ReservedSlots(job_id, reservation, slots)
            for job_id, reservation in reservations.items()
            if (slots := reservation.unlaunched_on[machine_id])
            and not reservation.failure_reason
            and self.is_active(job_id)
        ]

    def ready_slots_on(self, machine_id: MachineId) -> list[ReservedSlot]:
        """The reserved slots of a machine whose gang is ready and whose start was not sent."""
        return [
            ReservedSlot(job_id, reservation, index)
            for job_id, reservation, _ in self.waiting_on(machine_id)
            if reservation.ready
            for index in reservation.indices_on[machine_id]
            if index not in reservation.launched_indices
        ]

    def reserved_resources(self, machine_id: MachineId) -> Resources:
        """The resources of a machine's reserved slots.

        Without reservations this is the object `NO_RESOURCES`, so callers may compare by identity.
        """
        if machine_id not in self._by_machine:
            return NO_RESOURCES
        resources = NO_RESOURCES
        for job_id, _, slots in self.waiting_on(machine_id):
            resources = resources.plus(self._cache.jobs[job_id].resources.times(slots))
        return resources

    def may_still_launch(self, machine_id: MachineId) -> bool:
        """Whether a gang with slots on this machine is still in its job's record and may start."""
        return any(
            (job := self._cache.jobs.get(job_id)) is not None and job.gang is not None
            for job_id in self._by_machine.get(machine_id, ())
        )

    def is_active(self, job_id: JobId) -> bool:
        """Whether a gang's attempt should continue: it is not over, and its job is open."""
        job = self._cache.jobs.get(job_id)
        return job is not None and job.open and job.gang is not None and not job.gang.ending

    # Start of all tasks of a gang together

    def update_readiness(self) -> None:
        """Update whether each gang can start now, later or no longer."""
        for job_id, reservation in self.by_job.items():
            self._update_readiness(job_id, reservation)

    def update_readiness_on(self, machine_id: MachineId) -> None:
        """Update whether the gangs with slots on a machine can start now, later or no longer."""
        for job_id, reservation in self.on_machine(machine_id).items():
            self._update_readiness(job_id, reservation)

    def _update_readiness(self, job_id: JobId, reservation: GangReservation) -> None:
        """Mark a gang as ready if all its slots are idle, or failed if a machine is leaving."""
        if reservation.ready or reservation.failure_reason or not self.is_active(job_id):
            return
        if any(self._is_leaving_shard(m) for m in reservation.indices_on):
            reservation.failure_reason = "machine leaves"
            self._changes.dirty = True
            return
        task_resources = self._cache.jobs[job_id].resources
        for machine_id, indices in reservation.indices_on.items():
            machine = self._machines.by_id.get(machine_id)
            if machine is None:
                return
            if not task_resources.times(len(indices)).fits_in(
                self._available_for(reservation, machine)
            ):
                return
        reservation.ready = True
        self._changes.dirty = True

    def _available_for(self, reservation: GangReservation, machine: Machine) -> Resources:
        """Free capacity of a machine minus the slots of older gangs and of gangs about to start."""
        available = machine.free()
        is_older = True
        for other_id, other in self._by_machine[machine.id].items():
            if other is reservation:
                is_older = False
            elif (
                (is_older or other.ready) and not other.failure_reason and self.is_active(other_id)
            ):
                resources = self._cache.jobs[other_id].resources
                available = available.minus(resources.times(other.unlaunched_on[machine.id]))
        return available

    def _is_leaving_shard(self, machine_id: MachineId) -> bool:
        record = self._cache.machines.get(machine_id)
        machine = self._machines.by_id.get(machine_id)
        return (
            record is None
            or record.terminating
            or record.shard != self._shard
            or self._cache.transfers.draining_transfer(machine_id) is not None
            or (machine is not None and machine.spot_notice_s is not None)
        )
