"""Work stealing: free capacity takes array tasks from the shard's longest queues.

A slot without a reservation whose queue is empty takes the last array task of the shard's longest
queue: the first point of the design (`docs/design.md`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.candidates import Candidates
from dapplewick.core.shard.queues import Queues
from dapplewick.core.shard.state import Machine, Slot
from dapplewick.types import JobId, Seconds, TaskRef

MIN_FREE_CPUS = 1e-6  # with less free nothing fits on a machine


class WorkStealing:
    """Fills a machine's free capacity from the queues of other slots, and from no queue."""

    def __init__(self, queues: Queues, tasks: ArrayTasks, candidates: Candidates) -> None:
        self._queues = queues
        self._tasks = tasks
        self._candidates = candidates

    def steal(self, now: Seconds, machine: Machine) -> None:
        """Carve slots of a machine for waiting tasks, until none fits there any more."""
        fitting: Iterable[JobId] = self._queues.waiting_jobs()
        while machine.free().cpus > MIN_FREE_CPUS:
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
        """Take the last task that fits out of the longest queue with such a task."""
        for source in self._queues.longest_first(fits):
            queue = self._queues.unqueued if source is None else source.queue
            task = self._candidates.next_task(now, machine, reversed(queue), fits)
            if task is None:
                continue
            if source is None:
                self._queues.unqueued.remove(task)
            else:
                self._queues.remove(source, task)
            return task
        return None
