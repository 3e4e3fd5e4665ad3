"""Work stealing: machines with free capacity take array tasks from the longest queues.

An unreserved slot with an empty queue takes the last array task of the shard's longest queue. This
is part of the first point of the design (`docs/design.md`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.candidates import CandidateSelector
from dapplewick.core.shard.queues import TaskQueues
from dapplewick.core.shard.state import Machine, Slot
from dapplewick.types import JobId, Seconds, TaskRef

MIN_FREE_CPUS = 1e-6  # below this free capacity, no task fits on a machine
# Tasks that a machine takes with one heartbeat; it may take more with the next. Any number of tasks
# fits on a machine if they require little or nothing.
MAX_STOLEN_TASKS = 256


class WorkStealer:
    """Fills a machine's free capacity with tasks queued at other slots and unqueued tasks."""

    def __init__(
        self, queues: TaskQueues, tasks: ArrayTaskTable, candidates: CandidateSelector
    ) -> None:
        self._queues = queues
        self._tasks = tasks
        self._candidates = candidates

    def steal(self, now: Seconds, machine: Machine) -> None:
        """Create slots on a machine for up to `MAX_STOLEN_TASKS` waiting tasks that fit."""
        fitting: Iterable[JobId] = self._queues.waiting_jobs()
        for _ in range(MAX_STOLEN_TASKS):
            if machine.free().cpus <= MIN_FREE_CPUS:
                return
            fits = fitting = self._candidates.fitting_jobs(now, machine, fitting)
            if not fits:
                return
            task = self._dequeue_last(now, machine, fits)
            if task is None:
                return
            slot = Slot(machine.id)
            machine.slots.append(slot)
            self._tasks.assign(task, slot)

    def _dequeue_last(
        self, now: Seconds, machine: Machine, fits: Collection[JobId]
    ) -> TaskRef | None:
        """Remove and return the last fitting task of the longest queue that has one."""
        for source in self._queues.longest_first(fits):
            queue = self._queues.unqueued if source is None else source.queue
            task = self._candidates.next_task(now, machine, reversed(queue), fits)
            if task is None:
                continue
            if source is None:
                self._queues.remove_unqueued(task)
            else:
                self._queues.remove(source, task)
            return task
        return None
