"""Which tasks of lower priority are preempted so that others find room on a machine."""

from __future__ import annotations

from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.state import EXITED, Machine, TaskAttempt
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, Resources, TaskRef


def may_be_preempted(task_attempt: TaskAttempt, priority: int) -> bool:
    """Whether a task may be stopped for work of this priority. Gangs and services are not."""
    spec = task_attempt.spec
    return (
        spec is not None
        and not spec.is_gang
        and not spec.is_service
        and spec.priority < priority
        and task_attempt.stage != EXITED
        and not task_attempt.stopped
    )


def is_stopping(task: TaskRef, task_attempt: TaskAttempt, preempted: set[TaskRef]) -> bool:
    """Whether a task's room is about to be free: it was told to stop, or will be."""
    return task in preempted or (task_attempt.stopped and task_attempt.stage != EXITED)


def preempt_until_fits(
    machine: Machine, need: Resources, priority: int, preempted: set[TaskRef]
) -> None:
    """Add tasks to `preempted` until `need` fits beside what is left.

    Those of the lowest priority go first, and among them those that began last lose least.

    Args:
        machine: The machine.
        need: What is to be free there.
        priority: Of the work that needs it: only tasks below are preempted.
        preempted: The tasks that are to be stopped on this machine so far; it is added to.
    """
    room = machine.free()
    for task, task_attempt in machine.task_attempts.items():
        if is_stopping(task, task_attempt, preempted):
            room = room.plus(task_attempt.resources)
    victims = sorted(
        (task_attempt.spec.priority, -task_attempt.since, task)
        for task, task_attempt in machine.task_attempts.items()
        if task_attempt.spec is not None
        and task not in preempted
        and may_be_preempted(task_attempt, priority)
    )
    for _, _, task in victims:
        if need.fits_in(room):
            break
        room = room.plus(machine.task_attempts[task].resources)
        preempted.add(task)


class Preemption:
    """Preempts for gangs that were granted this right, and for replicas without room."""

    def __init__(
        self, cache: WatchCache, tasks: ArrayTasks, reservations: GangReservations
    ) -> None:
        self._cache = cache
        self._tasks = tasks
        self._reservations = reservations

    def preempted_on(self, machine: Machine) -> set[TaskRef]:
        """The array tasks of lower priority to stop on a machine."""
        preempted: set[TaskRef] = set()
        for job_id, reservation, _ in self._reservations.slots_on(machine.id):
            job = self._cache.jobs.get(job_id)
            if not reservation.preempt or reservation.ready or job is None:
                continue
            reserved = self._reservations.reserved_resources(machine.id)
            preempt_until_fits(machine, reserved, job.spec.priority, preempted)
        self._preempt_for_replicas(machine, preempted)
        return preempted

    def _preempt_for_replicas(self, machine: Machine, preempted: set[TaskRef]) -> None:
        """Work of lower priority to stop for replicas that joined here without room."""
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
        # Their slots are counted as taken, so less than nothing is free before the stops.
        priority = max(spec.priority for spec in waiting)
        preempt_until_fits(machine, NO_RESOURCES, priority, preempted)
