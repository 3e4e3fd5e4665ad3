"""The array tasks that are assigned to a shard, from their assignment until they leave it."""

from __future__ import annotations

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.images import Images
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.queues import Queues
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

LONG_WAIT_S = 15.0  # an array task that waited this long goes back to the leader
REPLICA_WAIT_S = 4.0  # and a replica sooner
RETRY_S = 2.0  # first pause after a failure, doubled with each further one
LONGEST_PAUSE_S = 60.0


class ArrayTasks:
    """Moves a shard's array tasks between their states, their slots and the queues.

    Replicas of services are array tasks too.
    """

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        queues: Queues,
        images: Images,
        changes: ChangeLog,
    ) -> None:
        self.by_job: dict[JobId, dict[int, ArrayTask]] = {}
        self._cache = cache
        self._machines = machines
        self._queues = queues
        self._images = images
        self._changes = changes
        self._paused: list[TaskRef] = []  # after a failure
        self._has_unconfirmed = False  # whether any may be on a machine that is not heard yet

    def get(self, task: TaskRef) -> ArrayTask | None:
        """What is known of a task; None if it is not assigned here, as with those of gangs."""
        array_tasks = self.by_job.get(task.job)
        return array_tasks.get(task.task_index) if array_tasks is not None else None

    def spec(self, task: TaskRef) -> JobSpec | None:
        """What a task's job asks for; None while its record is not here."""
        job = self._cache.jobs.get(task.job)
        return job.spec if job is not None else None

    # Assignments, and their ends

    def follow_record(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, assigned: set[int], failover: bool
    ) -> bool:
        """Take over what a job's record assigns to this shard.

        Args:
            now: The time.
            job_id: The job.
            job: Its record; None if it is gone.
            assigned: The tasks that are assigned to this shard and have no result yet.
            failover: Whether an earlier owner may have started any of them.

        Returns:
            Whether replicas have come that are to be started.
        """
        array_tasks = self.by_job.get(job_id)
        if not assigned and not array_tasks:
            return False
        array_tasks = self.by_job.setdefault(job_id, {})
        for index in [i for i in array_tasks if i not in assigned]:
            self.leave_place(TaskRef(job_id, TaskIndex(index)), array_tasks.pop(index))
        self._has_unconfirmed = self._has_unconfirmed or (failover and bool(assigned))
        if job is not None:
            self._requeue_assigned_anew(now, job_id, job, array_tasks)
        new_indices = sorted(assigned - array_tasks.keys())
        for index in new_indices:
            state = UNCONFIRMED if failover else WAITING
            array_tasks[index] = ArrayTask(state, now)
            if not failover:
                self._queues.unqueued.append(TaskRef(job_id, TaskIndex(index)))
        if not array_tasks:
            del self.by_job[job_id]
        self._changes.job(job_id)
        return not failover and bool(new_indices) and job is not None and job.spec.is_service

    def _requeue_assigned_anew(
        self, now: Seconds, job_id: JobId, job: JobRecord, array_tasks: dict[int, ArrayTask]
    ) -> None:
        # What was given back under an older version of the record and is assigned in this one
        # was assigned anew, or was not yet heard: the leader only takes back what was said of
        # the version that it changes. So it may run here again. That is the version of its own
        # key: another chunk of the same job may be written in the same pass, before the one in
        # which this task is taken back.
        for index, array_task in array_tasks.items():
            if (
                array_task.state == RELEASED
                and job.task_version(index) != array_task.released_version
            ):
                self.requeue(now, TaskRef(job_id, TaskIndex(index)), array_task, failed=False)

    def set_state(self, task: TaskRef, array_task: ArrayTask, state: TaskState) -> None:
        """Note a task's new state, for the leader too."""
        array_task.state = state
        self._changes.job(task.job)
        self._changes.dirty = True

    def leave_place(self, task: TaskRef, array_task: ArrayTask) -> None:
        """Take a task out of its slot or queue: it is done, given back, or not wanted."""
        if array_task.slot is not None:
            slot = array_task.slot
            if slot.current == task and array_task.state == ASSIGNED:
                slot.current = None
                self._machines.note_slot_change(slot)
            elif task in slot.queue:
                self._queues.leave(slot, task)
            array_task.slot = None

    def release_long_waits(self, now: Seconds) -> None:
        """Give back to the leader, which may know better, what finds no room here."""
        for job_id, array_tasks in self.by_job.items():
            job = self._cache.jobs.get(job_id)
            is_service = job is not None and job.spec.is_service
            for index, array_task in array_tasks.items():
                if array_task.state not in (WAITING, ASSIGNED):
                    continue
                is_hasty = is_service and array_task.state == WAITING
                patience_s = REPLICA_WAIT_S if is_hasty else LONG_WAIT_S
                if now - max(array_task.since, array_task.not_before) > patience_s:
                    self._release(job, TaskRef(job_id, TaskIndex(index)), array_task)

    def _release(self, job: JobRecord | None, task: TaskRef, array_task: ArrayTask) -> None:
        self.leave_place(task, array_task)
        array_task.released_version = job.task_version(task.task_index) if job is not None else 0
        self.set_state(task, array_task, RELEASED)

    # Waiting

    def requeue(self, now: Seconds, task: TaskRef, array_task: ArrayTask, failed: bool) -> None:
        """Let a task wait anew that was on a machine; after a failure it is paused first."""
        self.set_state(task, array_task, WAITING)
        array_task.machine = None
        array_task.since = now
        array_task.slot = None
        if not failed:
            self._queues.unqueued.append(task)
            return
        array_task.failures += 1
        # A replica is wanted back at once; only one that fails again and again is paused.
        spec = self.spec(task)
        power = array_task.failures - (2 if spec is not None and spec.is_service else 1)
        pause_s = min(LONGEST_PAUSE_S, RETRY_S * 2.0**power) if power >= 0 else 0.0
        array_task.not_before = now + pause_s
        self._paused.append(task)

    def resume_paused(self, now: Seconds) -> None:
        """Let the tasks join queues again whose pause after a failure is over."""
        if not self._paused:
            return
        ready = [t for t in self._paused if self._not_before(t) <= now]
        if ready:
            self._paused = [t for t in self._paused if self._not_before(t) > now]
            self._queues.unqueued.extend(ready)

    def _not_before(self, task: TaskRef) -> Seconds:
        array_task = self.get(task)
        return array_task.not_before if array_task is not None else 0.0

    def requeue_unconfirmed(self, now: Seconds) -> None:
        """Let those wait to be started that no machine has listed, now that all are heard."""
        if not self._has_unconfirmed:
            return
        self._has_unconfirmed = False
        for job_id, array_tasks in self.by_job.items():
            for index, array_task in array_tasks.items():
                if array_task.state == UNCONFIRMED:
                    task = TaskRef(job_id, TaskIndex(index))
                    self.set_state(task, array_task, WAITING)
                    array_task.since = now
                    self._queues.unqueued.append(task)

    def unqueue(self, task: TaskRef) -> None:
        """Let a task look for another queue, if it was not started."""
        array_task = self.get(task)
        if array_task is not None and array_task.state in (WAITING, ASSIGNED):
            self.set_state(task, array_task, WAITING)
            array_task.slot = None
            array_task.machine = None
            self._queues.unqueued.append(task)

    # Slots

    def assign(self, task: TaskRef, slot: Slot) -> None:
        """Make a task the current one of a slot: it starts with the machine's next heartbeat."""
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
        self._machines.note_slot_change(slot)

    def assign_new_slot(self, now: Seconds, task: TaskRef, machine: Machine) -> None:
        """Carve a slot out of a machine's free capacity for a task that joins there."""
        slot = Slot(machine.id)
        machine.slots.append(slot)
        self.assign(task, slot)
        machine.idle_since = now

    def requeue_slots(self, machine: Machine) -> None:
        """Let what was only meant for a machine join anew: it takes no new work."""
        for slot in machine.slots:
            for task in self._queues.empty(slot):
                self.unqueue(task)
            if slot.current is not None and slot.current not in machine.task_attempts:
                self.unqueue(slot.current)
        machine.slots = [s for s in machine.slots if s.current in machine.task_attempts]
        self._machines.note_change(machine)

    def remove_attempt(self, machine: Machine, task: TaskRef) -> None:
        """Forget an attempt that is no longer on its machine."""
        if machine.task_attempts.pop(task, None) is not None:
            self._machines.note_change(machine)
        self.leave_slot(machine, task)

    def leave_slot(self, machine: Machine, task: TaskRef) -> None:
        """Free the slot of a task that is over, or not on its machine any more."""
        slot = machine.slot_of(task)
        if slot is None:
            return
        # An old attempt whose `forget` was lost is listed again after its task was assigned
        # anew to the same machine: that slot stays the task's.
        array_task = self.get(task)
        if array_task is None or array_task.slot is not slot:
            slot.current = None
            self._machines.note_change(machine)
