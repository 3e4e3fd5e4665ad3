"""What a part tells the leader: what changed since the last status that the leader has."""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING, TypeVar

from msgspec import UNSET

from dapplewick.core.leader.machine_capacity import GANG_PRIORITY
from dapplewick.core.shard.state import (
    ASSIGNED,
    FINISHED,
    ON_MACHINE,
    RELEASED,
    GangReservation,
    Machine,
)
from dapplewick.protocol.peers import (
    GangStatus,
    JobStatus,
    MachineStatus,
    ShardStatus,
    SilentMachine,
    TaskEnd,
)
from dapplewick.types import JobId, MachineId, Seconds

if TYPE_CHECKING:
    from dapplewick.core.shard.scheduler import ShardScheduler

QUIET_S = 4.0  # a machine that was silent for longer is named in each status
WAIT_S = 1.0  # the remaining wait of a held gang is counted anew after this time

K = TypeVar("K", MachineId, JobId)


class Touched:
    """The number of the status in which each machine, job and gang changed last.

    A status tells all that changed after a number that the leader has confirmed, so one that
    is lost costs nothing: the next starts from the same number.
    """

    def __init__(self) -> None:
        self.number = 1
        self.machines: dict[MachineId, int] = {}
        self.jobs: dict[JobId, int] = {}
        self.gangs: dict[JobId, int] = {}
        self.gang_said: dict[JobId, GangStatus] = {}

    def machine(self, machine_id: MachineId) -> None:
        self.machines[machine_id] = self.number

    def job(self, job_id: JobId) -> None:
        self.jobs[job_id] = self.number

    def gang(self, job_id: JobId) -> None:
        self.gangs[job_id] = self.number


def _since(numbers: dict[K, int], base: int) -> list[K]:
    return [key for key, number in numbers.items() if number > base]


def _forget(numbers: dict[K, int], there: Container[K], base: int) -> None:
    """What is gone, and known by the leader to be, needs no mention any more."""
    for key in [k for k, number in numbers.items() if number <= base and k not in there]:
        del numbers[key]


def full_status(scheduler: ShardScheduler, now: Seconds, base: int) -> ShardStatus:
    """All that changed after the status with number `base`; everything if that is 0."""
    touched = scheduler.touched
    _touch_gangs(scheduler, now)
    known = scheduler.cache.machines
    machines = {
        m: _machine(scheduler, now, scheduler.machines[m])
        if m in scheduler.machines and m in known
        else None
        for m in _since(touched.machines, base)
    }
    jobs = {
        j: _job(scheduler, j) if j in scheduler.array_tasks else None
        for j in _since(touched.jobs, base)
    }
    gangs = {j: touched.gang_said.get(j) for j in _since(touched.gangs, base)}
    _forget(touched.machines, scheduler.machines, base)
    _forget(touched.jobs, scheduler.array_tasks, base)
    _forget(touched.gangs, scheduler.reservations, base)
    number = touched.number
    touched.number += 1
    silent: dict[MachineId, SilentMachine] = {}
    idle: dict[MachineId, float] = {}
    heard_ago = -1.0
    for m in scheduler.machines.values():
        record = known.get(m.id)
        if record is None:
            continue
        # What never learns our token hears nothing of what we say, however often it reports.
        # While reports are not heard here, as in a long outage, no machine is silent for that: all
        # of them were deleted when the state service was back.
        quiet = now - max(m.last_confirmed_at, scheduler.listening_since)
        if quiet > QUIET_S:
            # Replicas can start elsewhere only once it is gone: it is waited for less.
            hasty = scheduler.cancelled_there(m) or m.has_replicas()
            silent[m.id] = SilentMachine(round(quiet, 1), hasty)
        if record.up and not record.terminating and (heard_ago < 0.0 or quiet < heard_ago):
            heard_ago = quiet
        if not m.task_attempts and not m.slots and now - m.idle_since > 1.0:
            idle[m.id] = round(now - m.idle_since, 1)
    return ShardStatus(
        shard=scheduler.shard,
        token=scheduler.token,
        number=number,
        base=base,
        at=now,
        seen_revision=scheduler.cache.revision,
        machines=machines,
        jobs=jobs,
        gangs=gangs,
        silent=silent,
        idle=idle,
        heard_ago_s=round(heard_ago, 1),
        drained_jobs=scheduler.clear_jobs(),
        unreconciled=len(scheduler.unreconciled),
        estimates=scheduler.estimates.dump(),
        drained=scheduler.drained() if scheduler.cache.transfers else UNSET,
    )


def _machine(scheduler: ShardScheduler, now: Seconds, machine: Machine) -> MachineStatus:
    ends = [
        (
            round(now + scheduler.expected_left(now, task_attempt), 1),
            *task_attempt.resources,
            GANG_PRIORITY
            if task_attempt.spec.is_gang or task_attempt.spec.is_service
            else task_attempt.spec.priority,
            task.job if task_attempt.spec.is_gang else "",
        )
        for task, task_attempt in machine.task_attempts.items()
        if task_attempt.stage != "exited" and task_attempt.spec is not None
    ]
    ends.sort()
    return MachineStatus(
        free=machine.free().minus(scheduler.reserved_resources(machine.id)),
        ends=[TaskEnd(*end) for end in ends],
        images=list(machine.images),
        queued=sum(len(s.queue) for s in machine.slots),
        usable=machine.was_usable,
        reconciled=machine.reconciled,
        leaving=machine.spot_notice_s is not None
        or machine.slow
        or machine.unreachable
        or machine.drain,
        faulty=scheduler.faulty(now, machine),
    )


def _job(scheduler: ShardScheduler, job_id: JobId) -> JobStatus:
    placed = running = 0
    done, released = [], []
    for index, array_task in scheduler.array_tasks[job_id].items():
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
        version=scheduler.cache.jobs[job_id].version,
    )


def _touch_gangs(scheduler: ShardScheduler, now: Seconds) -> None:
    """Gangs change with much that happens elsewhere; there are few, so all are compared."""
    touched = scheduler.touched
    for job_id in [j for j in touched.gang_said if j not in scheduler.reservations]:
        del touched.gang_said[job_id]
        touched.gang(job_id)
    for job_id, reservation in scheduler.reservations.items():
        state = scheduler.gang_state(job_id, reservation)
        wait = _wait(scheduler, now, job_id, reservation, state)
        status = GangStatus(reservation.attempt, state, wait)
        if touched.gang_said.get(job_id) != status:
            touched.gang_said[job_id] = status
            touched.gang(job_id)


def _wait(
    scheduler: ShardScheduler, now: Seconds, job_id: JobId, reservation: GangReservation, state: str
) -> float:
    if state != "held" or reservation.ready:
        return 0.0
    at, wait = reservation.wait
    if now - at > WAIT_S:
        wait = scheduler.remaining_wait(now, job_id, reservation)
    return round(wait)
