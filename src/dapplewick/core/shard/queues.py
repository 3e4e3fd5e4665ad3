"""Queues of a shard's slots, and the array tasks in no queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from dapplewick.core.shard.state import Slot
from dapplewick.types import JobId, TaskRef


class TaskQueues:
    """Tracks the shard's non-empty slot queues and its unqueued array tasks."""

    def __init__(self) -> None:
        self.unqueued: deque[TaskRef] = deque()
        self._counts: dict[JobId, dict[Slot, int]] = {}  # queued tasks by job and slot

    def _decrement_count(self, slot: Slot, task: TaskRef) -> None:
        slots = self._counts[task.job]
        slots[slot] -= 1
        if not slots[slot]:
            del slots[slot]
            if not slots:
                del self._counts[task.job]

    def enqueue(self, slot: Slot, task: TaskRef) -> None:
        """Append an array task to a slot's queue."""
        slot.queue.append(task)
        slots = self._counts.setdefault(task.job, {})
        slots[slot] = slots.get(slot, 0) + 1

    def remove(self, slot: Slot, task: TaskRef) -> None:
        """Remove an array task from a slot's queue.

        Raises:
            ValueError: The task is not in this queue.
        """
        slot.queue.remove(task)
        self._decrement_count(slot, task)

    def remove_unqueued(self, task: TaskRef) -> None:
        """Remove an unqueued task; the last one at once, without a search.

        Raises:
            ValueError: The task is not unqueued.
        """
        if self.unqueued and self.unqueued[-1] == task:
            self.unqueued.pop()
        else:
            self.unqueued.remove(task)

    def pop_all(self, slot: Slot) -> list[TaskRef]:
        """Remove and return all array tasks of a slot's queue, in queue order."""
        tasks = list(slot.queue)
        slot.queue.clear()
        for task in tasks:
            self._decrement_count(slot, task)
        return tasks

    def waiting_jobs(self) -> dict[JobId, None]:
        """The jobs with waiting array tasks, queued or unqueued, in a deterministic order."""
        return dict.fromkeys([*self._counts, *(task.job for task in self.unqueued)])

    def longest_first(self, jobs: Collection[JobId]) -> list[Slot | None]:
        """The slots with queued array tasks of these jobs, longest queue first.

        None stands for the unqueued tasks.
        """
        lengths: dict[Slot | None, int] = {}
        for job_id in jobs:
            for slot in self._counts.get(job_id, ()):
                lengths[slot] = len(slot.queue)
        if any(task.job in jobs for task in self.unqueued):
            lengths[None] = len(self.unqueued)
        return sorted(lengths, key=lengths.__getitem__, reverse=True)
