"""Which tasks of lower priority are stopped so that others find room on a machine."""

from __future__ import annotations

from dapplewick.core.part_state import Live, Machine
from dapplewick.types import Resources, TaskRef


def may_be_stopped(live: Live, rank: int) -> bool:
    """Whether a task may be stopped for work of this rank. Gangs and services are not."""
    spec = live.spec
    return (
        spec is not None
        and not spec.gang
        and not spec.daemon
        and spec.rank < rank
        and live.stage != "exited"
        and not live.stopped
    )


def leaves(task: TaskRef, live: Live, stopping: set[TaskRef]) -> bool:
    """Whether a task's room is about to be free: it was told to stop, or will be."""
    return task in stopping or (live.stopped and live.stage != "exited")


def stop_until_fits(machine: Machine, need: Resources, rank: int, stopping: set[TaskRef]) -> None:
    """Add tasks to `stopping` until `need` fits beside what is left.

    Those of the lowest rank go first, and among them those that began last lose least.
    """
    room = machine.free()
    for task, live in machine.live.items():
        if leaves(task, live, stopping):
            room = room.plus(live.resources)
    victims = sorted(
        (live.spec.rank, -live.since, task)
        for task, live in machine.live.items()
        if live.spec is not None and task not in stopping and may_be_stopped(live, rank)
    )
    for _, _, task in victims:
        if need.fits_in(room):
            break
        room = room.plus(machine.live[task].resources)
        stopping.add(task)
