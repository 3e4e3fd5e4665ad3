"""State of the array tasks assigned to a shard, from assignment until removal."""

from __future__ import annotations

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.images import ImageIndex
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.queues import TaskQueues
from dapplewick.core.shard.state import (
    ASSIGNED,
    RELEASED,
    UNCONFIRMED,
    WAITING,
    ArrayTask,
    Machine,
    Slot,
    TaskState,
)
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Seconds, TaskIndex, TaskRef

MAX_TASK_WAIT_S = 15.0  # after waiting this long, an array task is released to the leader
MAX_REPLICA_WAIT_S = 4.0  # the same limit for a replica that has no slot yet
INITIAL_RETRY_DELAY_S = 2.0  # delay after the first failure, doubled with each further one
MAX_RETRY_DELAY_S = 60.0


class ArrayTaskTable:
    """Holds a shard's array tasks and moves them between states, slots and queues.

    Replicas of services are handled as array tasks, too.
    """

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        queues: TaskQueues,
        images: ImageIndex,
        changes: ChangeLog,
    ) -> None:
        self.by_job: dict[JobId, dict[int, ArrayTask]] = {}
        self._cache = cache
        self._machines = machines
        self._queues = queues
        self._images = images
        self._changes = changes
        self._delayed: list[TaskRef] = []  # tasks in their retry delay after a failure
        self._has_unconfirmed = False  # whether any task may be in the state UNCONFIRMED

    def get(self, task: TaskRef) -> ArrayTask | None:
        """The state of an array task; None for tasks of gangs and of other shards."""
        array_tasks = self.by_job.get(task.job)
        return array_tasks.get(task.task_index) if array_tasks is not None else None

    def spec(self, task: TaskRef) -> JobSpec | None:
        """The specification of a task's job; None if the job has no record in the cache."""
        job = self._cache.jobs.get(task.job)
        return job.spec if job is not None else None

    # Assignment and release

    def apply_record(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, assigned: set[int], failover: bool
    ) -> bool:
        """Apply the assignments in a job's record to this shard.

        Args:
            now: The monotonic clock, in seconds.
            job_id: The job.
            job: The job's record; None if it was deleted.
            assigned: Indices of the tasks assigned to this shard that have no result yet.
            failover: Whether a previous owner of the shard may have started any of them.

        Returns:
            Whether replicas were newly assigned and must be started.
        """
        array_tasks = self.by_job.get(job_id)
        if not assigned and not array_tasks:
            return False
        array_tasks = self.by_job.setdefault(job_id, {})
        for index in [i for i in array_tasks if i not in assigned]:
            self.detach(TaskRef(job_id, TaskIndex(index)), array_tasks.pop(index))
        self._has_unconfirmed = self._has_unconfirmed or (failover and bool(assigned))
        if job is not None:
            self._requeue_reassigned(now, job_id, job, array_tasks)
        new_indices = sorted(assigned - array_tasks.keys())
        for index in new_indices:
            state = UNCONFIRMED if failover else WAITING
            array_tasks[index] = ArrayTask(state, now)
            if not failover:
                self._queues.unqueued.append(TaskRef(job_id, TaskIndex(index)))
        if not array_tasks:
            del self.by_job[job_id]
        self._changes.record_job(job_id)
        return not failover and bool(new_indices) and job is not None and job.spec.is_service

    def _requeue_reassigned(
        self, now: Seconds, job_id: JobId, job: JobRecord, array_tasks: dict[int, ArrayTask]
    ) -> None:
        # A task that was released under an older record version and is still assigned in this
        # version was reassigned, or the leader has not received its release: the leader only
        # accepts a release that names the version it changes. The task may therefore run here
        # again. The version compared is that of the key that holds the task: another chunk of the
        # same job may be written in the same pass before the chunk that removes this assignment.
        for index, array_task in array_tasks.items():
            if (
                array_task.state == RELEASED
                and job.task_version(index) != array_task.released_version
            ):
                self.requeue(now, TaskRef(job_id, TaskIndex(index)), array_task, failed=False)

    def set_state(self, task: TaskRef, array_task: ArrayTask, state: TaskState) -> None:
        """Set a task's state and mark it as changed for the next status to the leader."""
        array_task.state = state
        self._changes.record_job(task.job)
        self._changes.dirty = True

    def detach(self, task: TaskRef, array_task: ArrayTask) -> None:
        """Remove a task that is done, released or unassigned from its slot or queue."""
        if array_task.slot is not None:
            slot = array_task.slot
            if slot.current == task and array_task.state == ASSIGNED:
                slot.current = None
                self._machines.record_slot_change(slot)
            elif task in slot.queue:
                self._queues.remove(slot, task)
            array_task.slot = None

    def release_overdue(self, now: Seconds) -> None:
        """Release tasks that waited too long to the leader, which may assign them elsewhere."""
        for job_id, array_tasks in self.by_job.items():
            job = self._cache.jobs.get(job_id)
            is_service = job is not None and job.spec.is_service
            for index, array_task in array_tasks.items():
                if array_task.state not in (WAITING, ASSIGNED):
                    continue
                is_unassigned_replica = is_service and array_task.state == WAITING
                max_wait_s = MAX_REPLICA_WAIT_S if is_unassigned_replica else MAX_TASK_WAIT_S
                if now - max(array_task.waiting_since, array_task.not_before) > max_wait_s:
                    self._release(job, TaskRef(job_id, TaskIndex(index)), array_task)

    def _release(self, job: JobRecord | None, task: TaskRef, array_task: ArrayTask) -> None:
        self.detach(task, array_task)
        array_task.released_version = job.task_version(task.task_index) if job is not None else 0
        self.set_state(task, array_task, RELEASED)

    # Waiting

    def requeue(self, now: Seconds, task: TaskRef, array_task: ArrayTask, failed: bool) -> None:
        """Return a task to the unqueued tasks, after a failure with a delay."""
        self.set_state(task, array_task, WAITING)
        array_task.machine = None
        array_task.waiting_since = now
        array_task.slot = None
        if not failed:
            self._queues.unqueued.append(task)
            return
        array_task.failures += 1
        # Users wait for a replica, so its first retry is immediate; only repeated failures
        # delay it.
        spec = self.spec(task)
        power = array_task.failures - (2 if spec is not None and spec.is_service else 1)
        retry_delay_s = (
            min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2.0**power) if power >= 0 else 0.0
        )
        array_task.not_before = now + retry_delay_s
        self._delayed.append(task)

    def requeue_delayed(self, now: Seconds) -> None:
        """Return the tasks whose retry delay has ended to the unqueued tasks."""
        if not self._delayed:
            return
        ready = [t for t in self._delayed if self._not_before(t) <= now]
        if ready:
            self._delayed = [t for t in self._delayed if self._not_before(t) > now]
            self._queues.unqueued.extend(ready)

    def _not_before(self, task: TaskRef) -> Seconds:
        array_task = self.get(task)
        return array_task.not_before if array_task is not None else 0.0

    def requeue_unconfirmed(self, now: Seconds) -> None:
        """Return unconfirmed tasks to waiting: all machines have reported and none listed them."""
        if not self._has_unconfirmed:
            return
        self._has_unconfirmed = False
        for job_id, array_tasks in self.by_job.items():
            for index, array_task in array_tasks.items():
                if array_task.state == UNCONFIRMED:
                    task = TaskRef(job_id, TaskIndex(index))
                    self.set_state(task, array_task, WAITING)
                    array_task.waiting_since = now
                    self._queues.unqueued.append(task)

    def move_to_unqueued(self, task: TaskRef) -> None:
        """Return a task that was not started to the unqueued tasks."""
        array_task = self.get(task)
        if array_task is not None and array_task.state in (WAITING, ASSIGNED):
            self.set_state(task, array_task, WAITING)
            array_task.slot = None
            array_task.machine = None
            self._queues.unqueued.append(task)

    # Slots

    def assign(self, task: TaskRef, slot: Slot) -> None:
        """Assign a task to a slot; the response to the machine's next heartbeat starts it."""
        array_task = self.get(task)
        assert array_task is not None
        spec, machine = self.spec(task), self._machines.by_id.get(slot.machine)
        slot.current = task
        slot.resources = spec.resources if spec is not None else NO_RESOURCES
        self.set_state(task, array_task, ASSIGNED)
        array_task.machine = slot.machine
        array_task.slot = slot
        if spec is not None and machine is not None:
            slot.image = spec.image
            slot.holds_replica = spec.is_service
            self._images.add(machine, spec.image)
        self._machines.record_assignment(slot, task)

    def assign_new_slot(self, now: Seconds, task: TaskRef, machine: Machine) -> None:
        """Create a slot in a machine's free capacity and assign a task to it."""
        slot = Slot(machine.id)
        machine.slots.append(slot)
        self.assign(task, slot)
        machine.idle_since = now

    def requeue_slots(self, machine: Machine) -> None:
        """Return tasks that are assigned to or queued on an unusable machine to the unqueued."""
        for slot in machine.slots:
            for task in self._queues.pop_all(slot):
                self.move_to_unqueued(task)
            if slot.current is not None and slot.current not in machine.task_attempts:
                self.move_to_unqueued(slot.current)
        machine.slots = [s for s in machine.slots if s.current in machine.task_attempts]
        self._machines.record_change(machine)

    def remove_attempt(self, machine: Machine, task: TaskRef) -> None:
        """Remove an attempt that is no longer on its machine, and release its slot."""
        if machine.task_attempts.pop(task, None) is not None:
            self._machines.record_change(machine)
        self.release_slot(machine, task)

    def release_slot(self, machine: Machine, task: TaskRef) -> None:
        """Release the slot of a task that has ended or is no longer on its machine."""
        slot = machine.slot_of(task)
        if slot is None:
            return
        # If a `forget` command was lost, the old attempt is still listed after its task was
        # reassigned to the same machine; the slot must then stay with the task.
        array_task = self.get(task)
        if array_task is None or array_task.slot is not slot:
            slot.current = None
            self._machines.record_change(machine)
