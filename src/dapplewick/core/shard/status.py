"""What a shard tells the leader: what changed since the last status that the leader has."""

from __future__ import annotations

from collections.abc import Container, Iterator, Set
from typing import NamedTuple, TypeVar

from msgspec import UNSET

from dapplewick.core.estimates import Estimates
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.backfill import Backfill
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservations
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

QUIET_S = 4.0  # a machine that was silent for longer is named in each status
WAIT_S = 1.0  # the remaining wait of a gang with a reservation is counted anew after this time
IDLE_S = 1.0  # a machine that was idle for longer is named in each status

K = TypeVar("K", MachineId, JobId)


class _Unused(NamedTuple):
    """Machines that are not heard, or have nothing to do."""

    silent: dict[MachineId, MachineContactGap]
    idle: dict[MachineId, Seconds]
    heard_ago_s: Seconds  # since the last heartbeat of any machine; -1 if there is no machine


class StatusReporter:
    """Tells the leader of a shard's machines, jobs and gangs."""

    def __init__(
        self,
        shard: ShardName,
        token: FencingToken,
        cache: WatchCache,
        estimates: Estimates,
        machines: MachineTable,
        tasks: ArrayTasks,
        reservations: GangReservations,
        health: MachineHealth,
        backfill: Backfill,
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
        """All that changed after the status with number `base`; everything if that is 0."""
        changes = self._changes
        changes.dirty = False
        self._note_gang_changes(now)
        machines = {m: self._machine_if_known(now, m) for m in _since(changes.machines, base)}
        jobs = {
            j: self._job(j) if j in self._tasks.by_job else None for j in _since(changes.jobs, base)
        }
        gangs = {j: changes.gang_statuses.get(j) for j in _since(changes.gangs, base)}
        _forget(changes.machines, self._machines.by_id, base)
        _forget(changes.jobs, self._tasks.by_job, base)
        _forget(changes.gangs, self._reservations.by_job, base)
        number = changes.number
        changes.number += 1
        unused = self._unused(now)
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
            machine_contact_gaps=unused.silent,
            idle=unused.idle,
            last_contact_age_s=unused.heard_ago_s,
            drained_jobs=self._drained_jobs(),
            unreconciled=len(self._unreconciled),
            estimates=self._estimates.dump(),
            drained=self._drained_machines() if self._cache.transfers else UNSET,
        )

    # Machines

    def _machine_if_known(self, now: Seconds, machine_id: MachineId) -> MachineStatus | None:
        machine = self._machines.by_id.get(machine_id)
        if machine is None or machine_id not in self._cache.machines:
            return None
        return self._machine(now, machine)

    def _machine(self, now: Seconds, machine: Machine) -> MachineStatus:
        ends = [
            (
                round(now + self._backfill.expected_left(now, task_attempt), 1),
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
            or machine.drain,
            faulty=self._health.is_faulty(machine),
        )

    def _unused(self, now: Seconds) -> _Unused:
        """One pass over all machines: which are silent, and which are idle."""
        silent: dict[MachineId, MachineContactGap] = {}
        idle: dict[MachineId, Seconds] = {}
        heard_ago_s = -1.0
        listening_since = self._health.listening_since
        for machine in self._machines.by_id.values():
            record = self._cache.machines.get(machine.id)
            if record is None:
                continue
            # What never learns our token hears nothing of what we say, however often its
            # heartbeats come. While heartbeats are not heard here, as in a long outage, no machine
            # is silent for that: all of them were deleted when the state service was back.
            silent_s = now - max(machine.last_confirmed_at, listening_since)
            if silent_s > QUIET_S:
                # Replicas can start elsewhere only once it is gone: it is waited for less.
                is_urgent = self._may_have_cancelled(machine) or machine.has_replicas()
                silent[machine.id] = MachineContactGap(round(silent_s, 1), is_urgent)
            is_up = record.up and not record.terminating
            if is_up and (heard_ago_s < 0.0 or silent_s < heard_ago_s):
                heard_ago_s = silent_s
            is_empty = not machine.task_attempts and not machine.slots
            if is_empty and now - machine.idle_since > IDLE_S:
                idle[machine.id] = round(now - machine.idle_since, 1)
        return _Unused(silent, idle, round(heard_ago_s, 1))

    def _may_have_cancelled(self, machine: Machine) -> bool:
        """Whether a task of a cancelled job is, or may be, on this machine."""
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
        """Machines that a transfer drains, and on which nothing is nor may come.

        Each was heard under our token, and no new work goes there as long as the transfer stands.
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

    def _job(self, job_id: JobId) -> JobStatus:
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
        """Jobs that are over, are assigned here, and of which nothing is on a machine."""
        over = [
            job_id
            for job_id, job in self._cache.iter_live_jobs()
            if not job.open and self._shard in job.assignments
        ]
        if not over or self._unreconciled:
            return []
        present = {t.job for m in self._machines.by_id.values() for t in m.task_attempts}
        return [job_id for job_id in over if job_id not in present]

    def running_counts(self) -> Iterator[tuple[JobId, int]]:
        """The jobs with running tasks on machines here, and how many, for display."""
        counts: dict[JobId, int] = {}
        for machine in self._machines.by_id.values():
            for task, task_attempt in machine.task_attempts.items():
                if task_attempt.stage == RUNNING:
                    counts[task.job] = counts.get(task.job, 0) + 1
        yield from counts.items()

    # Gangs

    def _note_gang_changes(self, now: Seconds) -> None:
        """Gangs change with much that happens elsewhere; there are few, so all are compared."""
        changes, reservations = self._changes, self._reservations.by_job
        for job_id in [j for j in changes.gang_statuses if j not in reservations]:
            del changes.gang_statuses[job_id]
            changes.gang(job_id)
        for job_id, reservation in reservations.items():
            state = self._gang_state(job_id, reservation)
            wait_s = self._wait(now, reservation, state)
            status = GangStatus(reservation.attempt, state, wait_s)
            if changes.gang_statuses.get(job_id) != status:
                changes.gang_statuses[job_id] = status
                changes.gang(job_id)

    def _gang_state(self, job_id: JobId, reservation: GangReservation) -> GangState:
        """How a gang's attempt stands here."""
        job = self._cache.jobs.get(job_id)
        # Of a cancelled gang nobody wants the result; what counts is that it is gone. Else it
        # would count against its team's limit for ever.
        is_open = job is not None and job.open
        if is_open and self._reservations.is_done(job_id, reservation):
            return GANG_DONE
        if not self._reservations.is_wanted(job_id):
            return GANG_STOPPING if self._may_be_there(job_id, reservation) else GANG_STOPPED
        if reservation.failure or any(self._is_failing(m) for m in reservation.indices_on):
            return GANG_FAILED
        if reservation.launched >= reservation.placements.keys():
            return GANG_STARTED
        if any(
            (m := self._machines.by_id.get(i)) is not None and m.slow
            for i in reservation.indices_on
        ):
            # Nothing more is started there, and it would be kept for this gang for ever.
            return GANG_FAILED
        return GANG_RESERVED

    def _is_failing(self, machine_id: MachineId) -> bool:
        machine = self._machines.by_id.get(machine_id)
        return machine is not None and (machine.spot_notice_s is not None or machine.unreachable)

    def _may_be_there(self, job_id: JobId, reservation: GangReservation) -> bool:
        for machine_id in reservation.indices_on:
            if machine_id not in self._cache.machines:
                continue
            if machine_id in self._unreconciled:
                return True
            machine = self._machines.by_id.get(machine_id)
            if machine is not None and any(t.job == job_id for t in machine.task_attempts):
                return True
        return False

    def _wait(self, now: Seconds, reservation: GangReservation, state: GangState) -> Seconds:
        if state != GANG_RESERVED or reservation.ready:
            return 0.0
        wait_s = reservation.wait_s
        if now - reservation.wait_at > WAIT_S:
            wait_s = self._backfill.remaining_wait(now, reservation)
        return round(wait_s)


def _since(numbers: dict[K, int], base: int) -> list[K]:
    return [key for key, number in numbers.items() if number > base]


def _forget(numbers: dict[K, int], present: Container[K], base: int) -> None:
    """What is gone, and known by the leader to be, needs no mention any more."""
    for key in [k for k, number in numbers.items() if number <= base and k not in present]:
        del numbers[key]
