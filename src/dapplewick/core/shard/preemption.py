"""Preemption of tasks of lower priority to free capacity on a machine."""

from __future__ import annotations

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.state import EXITED, Machine, TaskAttempt
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, Resources, TaskRef


def may_be_preempted(task_attempt: TaskAttempt, priority: int) -> bool:
    """Whether a task may be stopped for work of this priority; never for gangs and services."""
    spec = task_attempt.spec
    return (
        spec is not None
        and not spec.is_gang
        and not spec.is_service
        and spec.priority < priority
        and task_attempt.stage != EXITED
        and not task_attempt.stop_sent
    )


def is_stopping(task: TaskRef, task_attempt: TaskAttempt, preempted: set[TaskRef]) -> bool:
    """Whether a task's resources will be free soon: a stop was sent or is about to be."""
    return task in preempted or (task_attempt.stop_sent and task_attempt.stage != EXITED)


def preempt_until_fits(
    machine: Machine, required: Resources, priority: int, preempted: set[TaskRef]
) -> None:
    """Add tasks to `preempted` until `required` fits in the capacity they leave free.

    Tasks of the lowest priority are preempted first, and among equals the newest ones, because
    they lose the least work.

    Args:
        machine: The machine.
        required: The resources that must become free on the machine.
        priority: The priority of the waiting work; only tasks of lower priority are preempted.
        preempted: The tasks already chosen to stop on this machine; extended in place.
    """
    available = machine.free()
    for task, task_attempt in machine.task_attempts.items():
        if is_stopping(task, task_attempt, preempted):
            available = available.plus(task_attempt.resources)
    victims = sorted(
        (task_attempt.spec.priority, -task_attempt.created_at, task)
        for task, task_attempt in machine.task_attempts.items()
        if task_attempt.spec is not None
        and task not in preempted
        and may_be_preempted(task_attempt, priority)
    )
    for _, _, task in victims:
        if required.fits_in(available):
            break
        available = available.plus(machine.task_attempts[task].resources)
        preempted.add(task)


class PreemptionSelector:
    """Selects the tasks to preempt for replicas and for gangs that may preempt."""

    def __init__(
        self, cache: WatchCache, tasks: ArrayTaskTable, reservations: GangReservationTable
    ) -> None:
        self._cache = cache
        self._tasks = tasks
        self._reservations = reservations

    def preempted_on(self, machine: Machine) -> set[TaskRef]:
        """The array tasks to preempt on a machine."""
        preempted: set[TaskRef] = set()
        reserved = self._reservations.reserved_resources(machine.id)
        for job_id, reservation, _ in self._reservations.waiting_on(machine.id):
            job = self._cache.jobs.get(job_id)
            if not reservation.preempt or reservation.ready or job is None:
                continue
            preempt_until_fits(machine, reserved, job.spec.priority, preempted)
        self._preempt_for_replicas(machine, preempted)
        return preempted

    def _preempt_for_replicas(self, machine: Machine, preempted: set[TaskRef]) -> None:
        """Add the tasks to preempt for replicas assigned here without enough free capacity."""
        waiting = [
            spec
            for slot in machine.slots
            if slot.holds_replica
            and slot.current is not None
            and slot.current not in machine.task_attempts
            for spec in [self._tasks.spec(slot.current)]
            if spec is not None
        ]
        if not waiting:
            return
        # The replicas' slots count as usage, so free capacity is negative until tasks stop.
        priority = max(spec.priority for spec in waiting)
        preempt_until_fits(machine, NO_RESOURCES, priority, preempted)
