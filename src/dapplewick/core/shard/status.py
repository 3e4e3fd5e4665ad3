"""Status reports to the leader: the changes since the last status that the leader has."""

from __future__ import annotations

from collections.abc import Container, Iterator, Set
from typing import NamedTuple, TypeVar

from msgspec import UNSET

from dapplewick.core.estimates import Estimates
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.backfill import BackfillPolicy
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.machine_health import MachineHealth
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import (
    ASSIGNED,
    EXITED,
    FINISHED,
    ON_MACHINE,
    RELEASED,
    RUNNING,
    GangReservation,
    Machine,
)
from dapplewick.protocol.peers import (
    GANG_DONE,
    GANG_FAILED,
    GANG_RESERVED,
    GANG_STARTED,
    GANG_STOPPED,
    GANG_STOPPING,
    GangState,
    GangStatus,
    JobStatus,
    MachineContactGap,
    MachineStatus,
    ShardStatus,
    TaskEnd,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, JobId, MachineId, Seconds, ShardName

CONTACT_TIMEOUT_S = 4.0  # a machine without contact for longer is listed in each status
WAIT_REFRESH_INTERVAL_S = 1.0  # maximum age of a reservation's remaining wait in a status
MIN_IDLE_S = 1.0  # a machine that was idle for longer is listed in each status

K = TypeVar("K", MachineId, JobId)


class _MachineActivity(NamedTuple):
    """Machines without contact, idle machines, and the age of the newest contact."""

    without_contact: dict[MachineId, MachineContactGap]
    idle: dict[MachineId, Seconds]
    last_contact_age_s: Seconds  # age of the newest contact with any machine; -1 without machines


class StatusReporter:
    """Reports the state of a shard's machines, jobs and gangs to the leader."""

    def __init__(
        self,
        shard: ShardName,
        token: FencingToken,
        cache: WatchCache,
        estimates: Estimates,
        machines: MachineTable,
        tasks: ArrayTaskTable,
        reservations: GangReservationTable,
        health: MachineHealth,
        backfill: BackfillPolicy,
        changes: ChangeLog,
        unreconciled: Set[MachineId],
    ) -> None:
        self._shard = shard
        self._token = token
        self._cache = cache
        self._estimates = estimates
        self._machines = machines
        self._tasks = tasks
        self._reservations = reservations
        self._health = health
        self._backfill = backfill
        self._changes = changes
        self._unreconciled = unreconciled

    def status(self, now: Seconds, base: int) -> ShardStatus:
        """The changes after the status with number `base`; the complete state if that is 0."""
        changes = self._changes
        changes.dirty = False
        self._record_gang_changes(now)
        machines = {
            m: self._machine_status_if_present(now, m)
            for m in _changed_since(changes.machines, base)
        }
        jobs = {
            j: self._job_status(j) if j in self._tasks.by_job else None
            for j in _changed_since(changes.jobs, base)
        }
        gangs = {j: changes.gang_statuses.get(j) for j in _changed_since(changes.gangs, base)}
        _prune(changes.machines, self._machines.by_id, base)
        _prune(changes.jobs, self._tasks.by_job, base)
        _prune(changes.gangs, self._reservations.by_job, base)
        number = changes.status_number
        changes.status_number += 1
        activity = self._machine_activity(now)
        return ShardStatus(
            shard=self._shard,
            token=self._token,
            number=number,
            base=base,
            at=now,
            seen_revision=self._cache.revision,
            machines=machines,
            jobs=jobs,
            gangs=gangs,
            machine_contact_gaps=activity.without_contact,
            idle=activity.idle,
            last_contact_age_s=activity.last_contact_age_s,
            drained_jobs=self._drained_jobs(),
            unreconciled=len(self._unreconciled),
            estimates=self._estimates.dump(),
            drained=self._drained_machines() if self._cache.transfers else UNSET,
        )

    # Machines

    def _machine_status_if_present(
        self, now: Seconds, machine_id: MachineId
    ) -> MachineStatus | None:
        machine = self._machines.by_id.get(machine_id)
        if machine is None or machine_id not in self._cache.machines:
            return None
        return self._machine_status(now, machine)

    def _machine_status(self, now: Seconds, machine: Machine) -> MachineStatus:
        ends = [
            (
                round(now + self._backfill.expected_remaining(now, task_attempt), 1),
                *task_attempt.resources,
                NON_PREEMPTIBLE_PRIORITY
                if task_attempt.spec.is_gang or task_attempt.spec.is_service
                else task_attempt.spec.priority,
                task.job if task_attempt.spec.is_gang else "",
            )
            for task, task_attempt in machine.task_attempts.items()
            if task_attempt.stage != EXITED and task_attempt.spec is not None
        ]
        ends.sort()
        return MachineStatus(
            free=machine.free().minus(self._reservations.reserved_resources(machine.id)),
            ends=[TaskEnd(*end) for end in ends],
            images=list(machine.images),
            queued=sum(len(s.queue) for s in machine.slots),
            usable=machine.was_usable,
            reconciled=machine.reconciled,
            leaving=machine.spot_notice_s is not None
            or machine.slow
            or machine.unreachable
            or machine.draining,
            faulty=self._health.is_faulty(machine),
        )

    def _machine_activity(self, now: Seconds) -> _MachineActivity:
        """Find the machines without contact and the idle ones in one pass over all machines."""
        without_contact: dict[MachineId, MachineContactGap] = {}
        idle: dict[MachineId, Seconds] = {}
        last_contact_age_s = -1.0
        accepting_heartbeats_since = self._health.accepting_heartbeats_since
        for machine in self._machines.by_id.values():
            record = self._cache.machines.get(machine.id)
            if record is None:
                continue
            # A machine that never receives this shard's token receives no commands either, so only
            # heartbeats with the token count as contact. Time in which this controller did not
            # accept heartbeats, as in a long outage, does not count. Without this rule, all
            # machines were deleted as soon as the state service was available again.
            no_contact_s = now - max(machine.last_confirmed_at, accepting_heartbeats_since)
            if no_contact_s > CONTACT_TIMEOUT_S:
                # Replicas and tasks of cancelled jobs make the contact gap urgent. Replicas can
                # start elsewhere only after the machine is deleted, so the leader waits a shorter
                # time for it.
                is_urgent = self._may_have_cancelled(machine) or machine.has_replicas()
                without_contact[machine.id] = MachineContactGap(round(no_contact_s, 1), is_urgent)
            is_up = record.up and not record.terminating
            if is_up and (last_contact_age_s < 0.0 or no_contact_s < last_contact_age_s):
                last_contact_age_s = no_contact_s
            is_empty = not machine.task_attempts and not machine.slots
            if is_empty and now - machine.idle_since > MIN_IDLE_S:
                idle[machine.id] = round(now - machine.idle_since, 1)
        return _MachineActivity(without_contact, idle, round(last_contact_age_s, 1))

    def _may_have_cancelled(self, machine: Machine) -> bool:
        """Whether a task of a cancelled job is or may be on this machine."""
        for task, task_attempt in machine.task_attempts.items():
            job = self._cache.jobs.get(task.job)
            if task_attempt.stage != EXITED and (job is None or not job.open):
                return True
        if machine.id not in self._unreconciled:
            return False
        return any(
            not job.open and (self._shard in job.assignments or job.gang is not None)
            for _, job in self._cache.iter_live_jobs()
        )

    def _drained_machines(self) -> list[MachineId]:
        """Machines that a transfer drains and that are empty and will stay so.

        Each has sent a heartbeat with this shard's token, and gets no new work while the transfer
        exists.
        """
        return [
            machine_id
            for machine_id in self._cache.transfers.draining_machines()
            if (machine := self._machines.by_id.get(machine_id)) is not None
            and machine.reconciled
            and machine_id not in self._unreconciled
            and not machine.task_attempts
            and not machine.slots
            and not self._reservations.may_still_launch(machine_id)
        ]

    # Jobs

    def _job_status(self, job_id: JobId) -> JobStatus:
        placed = running = 0
        released: list[int] = []
        done: list[int] = []
        for index, array_task in self._tasks.by_job[job_id].items():
            state = array_task.state
            if state == ON_MACHINE:
                placed += 1
                running += 1
            elif state == ASSIGNED:
                placed += 1
            elif state == FINISHED:
                done.append(index)
            elif state == RELEASED:
                released.append(index)
        return JobStatus(
            placed=placed,
            running=running,
            done=done,
            released=released,
            version=self._cache.jobs[job_id].version,
        )

    def _drained_jobs(self) -> list[JobId]:
        """Ended jobs that are assigned to this shard and have no task on its machines."""
        ended = [
            job_id
            for job_id, job in self._cache.iter_live_jobs()
            if not job.open and self._shard in job.assignments
        ]
        if not ended or self._unreconciled:
            return []
        present = {t.job for m in self._machines.by_id.values() for t in m.task_attempts}
        return [job_id for job_id in ended if job_id not in present]

    def running_counts(self) -> Iterator[tuple[JobId, int]]:
        """The number of running tasks on this shard's machines by job, for display."""
        counts: dict[JobId, int] = {}
        for machine in self._machines.by_id.values():
            for task, task_attempt in machine.task_attempts.items():
                if task_attempt.stage == RUNNING:
                    counts[task.job] = counts.get(task.job, 0) + 1
        yield from counts.items()

    # Gangs

    def _record_gang_changes(self, now: Seconds) -> None:
        """Record the gangs whose status differs from the last report.

        All gangs are compared, because their state depends on many events outside the reservation
        and a shard has few gangs.
        """
        changes, reservations = self._changes, self._reservations.by_job
        for job_id in [j for j in changes.gang_statuses if j not in reservations]:
            del changes.gang_statuses[job_id]
            changes.record_gang(job_id)
        for job_id, reservation in reservations.items():
            state = self._gang_state(job_id, reservation)
            remaining_wait_s = self._remaining_wait(now, reservation, state)
            status = GangStatus(reservation.attempt, state, remaining_wait_s)
            if changes.gang_statuses.get(job_id) != status:
                changes.gang_statuses[job_id] = status
                changes.record_gang(job_id)

    def _gang_state(self, job_id: JobId, reservation: GangReservation) -> GangState:
        """The state of a gang's attempt in this shard."""
        job = self._cache.jobs.get(job_id)
        # The result of a cancelled gang is not needed, but the leader must be notified when its
        # tasks have ended. Reported as done, the gang would count against its team's limit forever.
        is_open = job is not None and job.open
        if is_open and self._reservations.is_done(job_id, reservation):
            return GANG_DONE
        if not self._reservations.is_active(job_id):
            return GANG_STOPPING if self._may_be_on_machine(job_id, reservation) else GANG_STOPPED
        if reservation.failure_reason or any(self._is_failing(m) for m in reservation.indices_on):
            return GANG_FAILED
        if reservation.launched_indices >= reservation.placements.keys():
            return GANG_STARTED
        if any(
            (m := self._machines.by_id.get(i)) is not None and m.slow
            for i in reservation.indices_on
        ):
            # A slow machine starts no tasks, so its slots would stay reserved forever.
            return GANG_FAILED
        return GANG_RESERVED

    def _is_failing(self, machine_id: MachineId) -> bool:
        machine = self._machines.by_id.get(machine_id)
        return machine is not None and (machine.spot_notice_s is not None or machine.unreachable)

    def _may_be_on_machine(self, job_id: JobId, reservation: GangReservation) -> bool:
        for machine_id in reservation.indices_on:
            if machine_id not in self._cache.machines:
                continue
            if machine_id in self._unreconciled:
                return True
            machine = self._machines.by_id.get(machine_id)
            if machine is not None and any(t.job == job_id for t in machine.task_attempts):
                return True
        return False

    def _remaining_wait(
        self, now: Seconds, reservation: GangReservation, state: GangState
    ) -> Seconds:
        if state != GANG_RESERVED or reservation.ready:
            return 0.0
        remaining_wait_s = reservation.remaining_wait_s
        if now - reservation.wait_computed_at > WAIT_REFRESH_INTERVAL_S:
            remaining_wait_s = self._backfill.remaining_wait(now, reservation)
        return round(remaining_wait_s)


def _changed_since(numbers: dict[K, int], base: int) -> list[K]:
    return [key for key, number in numbers.items() if number > base]


def _prune(numbers: dict[K, int], present: Container[K], base: int) -> None:
    """Remove entries that no longer exist and whose removal the leader has confirmed."""
    for key in [k for k, number in numbers.items() if number <= base and k not in present]:
        del numbers[key]
