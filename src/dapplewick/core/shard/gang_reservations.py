"""The slots that a shard reserves for gangs: the second and third points of the design."""

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
    """A reserved slot of a machine, for the gang's task of this index."""

    job_id: JobId
    reservation: GangReservation
    task_index: int


class GangReservations:
    """A shard's reservations, by gang and by machine."""

    def __init__(
        self,
        shard: ShardName,
        cache: WatchCache,
        machines: MachineTable,
        changes: ChangeLog,
    ) -> None:
        self.by_job: dict[JobId, GangReservation] = {}
        self._done_attempts: dict[JobId, int] = {}  # of gangs with a result here
        self._by_machine: dict[MachineId, dict[JobId, GangReservation]] = {}
        self._shard = shard
        self._cache = cache
        self._machines = machines
        self._changes = changes

    # Coming and going

    def follow_record(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, failover: bool
    ) -> None:
        """Take over what a job's record says of a gang's slots in this shard."""
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
                # Whether the old owner has sent the starts is unknown. An attempt is never
                # started twice, so what is not found on its machine ends this attempt.
                reservation.inherited = reservation.ready = True
                reservation.launched = set(placements)
            self._replace(job_id, reservation)
        reservation.preempt = gang.preempt
        if not failover:
            self._check(job_id, reservation)

    def _replace(self, job_id: JobId, reservation: GangReservation) -> None:
        if job_id in self.by_job:
            self._remove(job_id, self.by_job[job_id])
        self.by_job[job_id] = reservation
        if any(m not in self._cache.machines for m in reservation.indices_on):
            # Gone before this reservation was known here: no change of its record will tell.
            reservation.failure = "machine gone"
        for machine_id in reservation.indices_on:
            self._by_machine.setdefault(machine_id, {})[job_id] = reservation
            self._changes.machine(machine_id)

    def _remove(self, job_id: JobId, reservation: GangReservation) -> None:
        del self.by_job[job_id]
        for machine_id in reservation.indices_on:
            there = self._by_machine.get(machine_id)
            if there is not None:
                there.pop(job_id, None)
                if not there:
                    del self._by_machine[machine_id]
            self._changes.machine(machine_id)

    def machine_gone(self, machine_id: MachineId) -> None:
        """End the attempts of all gangs that have slots on a machine."""
        for job_id, reservation in self.on_machine(machine_id).items():
            if not reservation.failure:
                reservation.failure = "machine gone"
                log.info("event=gang_failed job=%s reason=machine_gone", job_id)

    def is_done(self, job_id: JobId, reservation: GangReservation) -> bool:
        """Whether a task of this attempt has the result."""
        return self._done_attempts.get(job_id) == reservation.attempt

    def note_done(self, job_id: JobId, reservation: GangReservation) -> None:
        """Note that a task of this attempt has the result."""
        self._done_attempts[job_id] = reservation.attempt

    # What is reserved where

    def on_machine(self, machine_id: MachineId) -> Mapping[JobId, GangReservation]:
        """The reservations of gangs with slots on a machine, the oldest first."""
        return self._by_machine.get(machine_id, _NO_RESERVATIONS)

    def slots_on(self, machine_id: MachineId) -> list[ReservedSlot]:
        """The reserved slots of a machine whose start has not gone out."""
        reservations = self._by_machine.get(machine_id)
        if not reservations:
            return []
        return [
            ReservedSlot(job_id, reservation, index)
            for job_id, reservation in reservations.items()
            if not reservation.failure and self.is_wanted(job_id)
            for index in reservation.indices_on[machine_id]
            if index not in reservation.launched
        ]

    def reserved_resources(self, machine_id: MachineId) -> Resources:
        """What the reserved slots of a machine take; the object NO_RESOURCES if there are none."""
        if machine_id not in self._by_machine:
            return NO_RESOURCES
        resources = NO_RESOURCES
        for slot in self.slots_on(machine_id):
            resources = resources.plus(self._cache.jobs[slot.job_id].resources)
        return resources

    def may_still_launch(self, machine_id: MachineId) -> bool:
        """Whether a gang that is not over names this machine: its start may still go out."""
        return any(
            (job := self._cache.jobs.get(job_id)) is not None and job.gang is not None
            for job_id in self._by_machine.get(machine_id, ())
        )

    def is_wanted(self, job_id: JobId) -> bool:
        """Whether a gang's attempt is to go on: it is not over, and its job is open."""
        job = self._cache.jobs.get(job_id)
        return job is not None and job.open and job.gang is not None and not job.gang.ending

    # The start of all tasks together, once all slots are idle

    def check_all(self) -> None:
        """Find all gangs that may start now, or can't any more."""
        for job_id, reservation in self.by_job.items():
            self._check(job_id, reservation)

    def check_on(self, machine_id: MachineId) -> None:
        """The same for the gangs with slots on one machine."""
        for job_id, reservation in self.on_machine(machine_id).items():
            self._check(job_id, reservation)

    def _check(self, job_id: JobId, reservation: GangReservation) -> None:
        """A gang whose reserved slots are all idle starts on all of them together."""
        if reservation.ready or reservation.failure or not self.is_wanted(job_id):
            return
        if any(self._is_leaving_shard(m) for m in reservation.indices_on):
            reservation.failure = "machine leaves"
            self._changes.dirty = True
            return
        each = self._cache.jobs[job_id].resources
        for machine_id, indices in reservation.indices_on.items():
            machine = self._machines.by_id.get(machine_id)
            if machine is None:
                return
            if not each.times(len(indices)).fits_in(self._room_for(reservation, machine)):
                return
        reservation.ready = True
        self._changes.dirty = True

    def _room_for(self, reservation: GangReservation, machine: Machine) -> Resources:
        """The room of a machine less that promised to gangs that start, and to older ones."""
        room = machine.free()
        is_older = True
        for other_id, other in self._by_machine[machine.id].items():
            if other is reservation:
                is_older = False
            elif (is_older or other.ready) and not other.failure and self.is_wanted(other_id):
                resources = self._cache.jobs[other_id].resources
                count = sum(i not in other.launched for i in other.indices_on[machine.id])
                room = room.minus(resources.times(count))
        return room

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
