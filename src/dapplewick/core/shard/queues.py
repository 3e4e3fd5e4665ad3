"""The queues behind a shard's slots, and the array tasks that wait in none of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from dapplewick.core.shard.state import Slot
from dapplewick.types import JobId, TaskRef


class Queues:
    """The shard's queues that are not empty, beside the array tasks that found none."""

    def __init__(self) -> None:
        self.unqueued: deque[TaskRef] = deque()
        self._counts: dict[JobId, dict[Slot, int]] = {}  # how many tasks of a job wait where

    def _decrement_count(self, slot: Slot, task: TaskRef) -> None:
        slots = self._counts[task.job]
        slots[slot] -= 1
        if not slots[slot]:
            del slots[slot]
            if not slots:
                del self._counts[task.job]

    def enqueue(self, slot: Slot, task: TaskRef) -> None:
        """Put an array task at the end of a slot's queue."""
        slot.queue.append(task)
        slots = self._counts.setdefault(task.job, {})
        slots[slot] = slots.get(slot, 0) + 1

    def remove(self, slot: Slot, task: TaskRef) -> None:
        """Take an array task out of a slot's queue.

        Raises:
            ValueError: The task does not wait there.
        """
        slot.queue.remove(task)
        self._decrement_count(slot, task)

    def pop_all(self, slot: Slot) -> list[TaskRef]:
        """Take all array tasks out of a slot's queue, the first one first."""
        tasks = list(slot.queue)
        slot.queue.clear()
        for task in tasks:
            self._decrement_count(slot, task)
        return tasks

    def waiting_jobs(self) -> dict[JobId, None]:
        """The jobs of which array tasks wait, in queues or in none, in a fixed order."""
        return dict.fromkeys([*self._counts, *(task.job for task in self.unqueued)])

    def longest_first(self, jobs: Collection[JobId]) -> list[Slot | None]:
        """Where array tasks of these jobs wait, the longest queue first.

        None stands for those that found no queue.
        """
        lengths: dict[Slot | None, int] = {}
        for job_id in jobs:
            for slot in self._counts.get(job_id, ()):
                lengths[slot] = len(slot.queue)
        if any(task.job in jobs for task in self.unqueued):
            lengths[None] = len(self.unqueued)
        return sorted(lengths, key=lengths.__getitem__, reverse=True)
