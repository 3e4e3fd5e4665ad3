"""Which tasks of lower priority are stopped so that others find room on a machine."""

from __future__ import annotations

from dapplewick.core.shard.state import EXITED, Machine, TaskAttempt
from dapplewick.types import Resources, TaskRef


def may_be_stopped(task_attempt: TaskAttempt, priority: int) -> bool:
    """Whether a task may be stopped for work of this rank. Gangs and services are not."""
    spec = task_attempt.spec
    return (
        spec is not None
        and not spec.is_gang
        and not spec.is_service
        and spec.priority < priority
        and task_attempt.stage != EXITED
        and not task_attempt.stopped
    )


def leaves(task: TaskRef, task_attempt: TaskAttempt, stopping: set[TaskRef]) -> bool:
    """Whether a task's room is about to be free: it was told to stop, or will be."""
    return task in stopping or (task_attempt.stopped and task_attempt.stage != EXITED)


def stop_until_fits(
    machine: Machine, need: Resources, priority: int, stopping: set[TaskRef]
) -> None:
    """Add tasks to `stopping` until `need` fits beside what is left.

    Those of the lowest rank go first, and among them those that began last lose least.
    """
    room = machine.free()
    for task, task_attempt in machine.task_attempts.items():
        if leaves(task, task_attempt, stopping):
            room = room.plus(task_attempt.resources)
    victims = sorted(
        (task_attempt.spec.priority, -task_attempt.since, task)
        for task, task_attempt in machine.task_attempts.items()
        if task_attempt.spec is not None
        and task not in stopping
        and may_be_stopped(task_attempt, priority)
    )
    for _, _, task in victims:
        if need.fits_in(room):
            break
        room = room.plus(machine.task_attempts[task].resources)
        stopping.add(task)
