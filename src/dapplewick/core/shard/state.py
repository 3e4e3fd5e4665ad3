"""State of a shard: array tasks, slots, task attempts, machines and gang reservations."""

from __future__ import annotations

import enum
from collections import Counter, deque
from typing import Final

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.workers import TaskStage
from dapplewick.types import (
    NEVER_S,
    NO_RESOURCES,
    Attempt,
    JobId,
    MachineId,
    Resources,
    Seconds,
    TaskRef,
)

MAX_IMAGES = 64  # images recorded per machine; the oldest entry is removed first
SLOWDOWN_SAMPLES = 12  # run times needed before a machine is compared with others

# Stages of a task attempt as plain strings. They are compared for each task of each heartbeat, and
# enum members are slower to access.
FETCHING: Final = TaskStage.FETCHING.value
GATHERING: Final = TaskStage.GATHERING.value
RUNNING: Final = TaskStage.RUNNING.value
FLUSHING: Final = TaskStage.FLUSHING.value
EXITED: Final = TaskStage.EXITED.value


class TaskState(enum.IntEnum):
    """State of an array task that is assigned to this shard."""

    WAITING = 0  # unqueued, in a slot's queue, or in its retry delay after a failure
    ASSIGNED = 1  # the current task of a slot; its start has not been sent
    ON_MACHINE = 2
    UNCONFIRMED = 3  # assigned before this owner took over; may be on a machine not yet reconciled
    RELEASED = 4  # released to the leader for reassignment
    FINISHED = 5  # the machine keeps its result until the leader has stored it


# Module-level aliases of the states. Access through the enum class costs several times as much on
# Python 3.11, and the states are compared for each task of each heartbeat and tick.
WAITING: Final = TaskState.WAITING
ASSIGNED: Final = TaskState.ASSIGNED
ON_MACHINE: Final = TaskState.ON_MACHINE
UNCONFIRMED: Final = TaskState.UNCONFIRMED
RELEASED: Final = TaskState.RELEASED
FINISHED: Final = TaskState.FINISHED


class ArrayTask:
    """An array task that is assigned to this shard."""

    __slots__ = (
        "failures",
        "machine",
        "not_before",
        "released_version",
        "slot",
        "state",
        "waiting_since",
    )

    def __init__(self, state: TaskState, now: Seconds) -> None:
        self.state = state
        self.machine: MachineId | None = None
        self.slot: Slot | None = None  # slot it is assigned to or queued for
        self.waiting_since = now
        self.failures = 0  # consecutive failures
        self.not_before = 0.0  # end of the retry delay after a failure
        self.released_version = 0  # version of its record or chunk when it was released


class Slot:
    """Part of a machine's capacity, sized for its current task, with a queue of array tasks."""

    __slots__ = ("current", "holds_replica", "image", "machine", "queue", "resources")

    def __init__(self, machine: MachineId) -> None:
        self.machine = machine
        self.current: TaskRef | None = None
        self.resources = NO_RESOURCES  # resources of the current task
        self.image = ""  # image of the current task
        self.holds_replica = False  # a slot with a replica has no queue
        self.queue: deque[TaskRef] = deque()


class TaskAttempt:
    """A task attempt that is or may be on a machine."""

    __slots__ = (
        "attempt",
        "created_at",
        "resources",
        "running_at",
        "spec",
        "stage",
        "start_unconfirmed",
        "stop_sent",
    )

    def __init__(
        self,
        attempt: Attempt,
        stage: str,
        now: Seconds,
        *,
        start_unconfirmed: bool,
        spec: JobSpec | None,
    ) -> None:
        self.attempt = attempt
        self.stage = stage
        self.created_at = now
        self.start_unconfirmed = start_unconfirmed  # start sent, not yet listed in a heartbeat
        self.running_at: Seconds | None = None
        self.stop_sent = False
        self.set_spec(spec)

    def set_spec(self, spec: JobSpec | None) -> None:
        """Set the job's specification; None if the job has no record in the cache yet."""
        self.spec = spec
        self.resources = spec.resources if spec is not None else NO_RESOURCES


class Machine:
    """State of a machine, from its record, its heartbeats and the tasks assigned to it."""

    __slots__ = (
        "address",
        "cached_task_counts",
        "cached_usage",
        "capacity",
        "draining",
        "failures",
        "id",
        "idle_since",
        "images",
        "incarnation_ended_at",
        "last_confirmed_at",
        "last_heartbeat_at",
        "lost_starts",
        "lost_starts_at",
        "newest_heartbeat",
        "reconciled",
        "slots",
        "slow",
        "slowdown_samples",
        "spot",
        "spot_notice_s",
        "stored_results",
        "task_attempts",
        "type",
        "unreachable",
        "was_usable",
    )

    def __init__(self, machine_id: MachineId, now: Seconds) -> None:
        self.id = machine_id
        self.capacity = NO_RESOURCES
        self.type = ""
        self.spot = False
        self.address = ""
        self.reconciled = False  # a heartbeat has carried this shard's fencing token
        self.newest_heartbeat = (0, 0)  # incarnation and sequence number
        self.last_heartbeat_at = now
        self.last_confirmed_at = now  # time of the last heartbeat with this shard's fencing token
        self.lost_starts = 0  # consecutive heartbeats that list none of the sent starts
        self.lost_starts_at = now  # time of the last of these heartbeats
        self.incarnation_ended_at = NEVER_S  # last known end of an incarnation
        self.unreachable = False  # its lease ended although its heartbeats were answered
        self.spot_notice_s: Seconds | None = None
        self.task_attempts: dict[TaskRef, TaskAttempt] = {}
        self.slots: list[Slot] = []
        # Tasks whose results are stored, so that the machine may delete them, with the time when
        # the shard found this.
        self.stored_results: dict[TaskRef, Seconds] = {}
        self.images: dict[str, None] = {}
        self.idle_since = now
        self.failures: dict[JobId, Seconds] = {}  # last failure by job, since the last success
        self.slowdown_samples: deque[float] = deque(maxlen=SLOWDOWN_SAMPLES)
        # Expensive and with replicas only, which fit on other machines and should move there.
        self.draining = False
        self.slow = False  # its tasks take much longer than on other machines
        # Derived from the attempts and slots; None: must be recomputed.
        self.cached_usage: Resources | None = None
        self.cached_task_counts: Counter[JobId] | None = None
        self.was_usable = False  # result of the last check whether it may get new work

    def usage(self) -> Resources:
        """The resources of its running tasks and of tasks that are about to start."""
        if self.cached_usage is None:
            self.cached_usage = self._compute_usage()
        return self.cached_usage

    def _compute_usage(self) -> Resources:
        cpus = gpus = ram_gb = 0.0
        for task_attempt in self.task_attempts.values():
            if task_attempt.stage != EXITED:
                resources = task_attempt.resources
                cpus += resources.cpus
                gpus += resources.gpus
                ram_gb += resources.ram_gb
        for slot in self.slots:
            if slot.current is not None and slot.current not in self.task_attempts:
                cpus += slot.resources.cpus
                gpus += slot.resources.gpus
                ram_gb += slot.resources.ram_gb
        return Resources(cpus, gpus, ram_gb)

    def task_counts(self) -> Counter[JobId]:
        """The number of task attempts and current tasks of slots on the machine, by job."""
        if self.cached_task_counts is None:
            self.cached_task_counts = Counter(task.job for task in self.task_attempts)
            self.cached_task_counts.update(
                slot.current.job for slot in self.slots if slot.current is not None
            )
        return self.cached_task_counts

    def free(self) -> Resources:
        """The free capacity."""
        return self.capacity.minus(self.usage())

    def has_replicas(self) -> bool:
        """Whether the machine has replicas of services, which must run elsewhere if it is lost."""
        return any(
            task_attempt.spec is not None
            and task_attempt.spec.is_service
            and task_attempt.stage != EXITED
            for task_attempt in self.task_attempts.values()
        )

    def pending_image_fetches(self) -> int:
        """The number of images being fetched or about to be, which may share one download rate."""
        images = {
            task_attempt.spec.image
            for task_attempt in self.task_attempts.values()
            if task_attempt.stage == FETCHING and task_attempt.spec is not None
        }
        images.update(s.image for s in self.slots if s.current not in self.task_attempts)
        return len(images)

    def slot_of(self, task: TaskRef) -> Slot | None:
        """The slot whose current task is this one."""
        for slot in self.slots:
            if slot.current == task:
                return slot
        return None


class GangReservation:
    """Slots of this shard that are reserved for an attempt of a gang."""

    __slots__ = (
        "attempt",
        "created_at",
        "failure_reason",
        "indices_on",
        "inherited",
        "launched_indices",
        "listed_indices",
        "placements",
        "preempt",
        "ready",
        "remaining_wait_s",
        "unlaunched_on",
        "wait_computed_at",
    )

    def __init__(self, attempt: int, placements: dict[int, MachineId], now: Seconds) -> None:
        self.attempt = attempt
        self.placements = placements  # machine by task index
        self.indices_on: dict[MachineId, list[int]] = {}  # task indices by machine
        for index, machine_id in placements.items():
            self.indices_on.setdefault(machine_id, []).append(index)
        # The number of tasks by machine whose start was not sent: the slots still reserved there.
        self.unlaunched_on = {machine: len(indices) for machine, indices in self.indices_on.items()}
        self.inherited = False  # the shard's previous owner may have started the attempt
        self.ready = False  # all slots are idle, so all starts may be sent
        self.launched_indices: set[int] = set()  # tasks whose start was sent
        self.listed_indices: set[int] = set()  # tasks that a heartbeat has listed
        self.failure_reason = ""  # why this attempt cannot succeed; empty if it may
        self.preempt = False  # whether tasks of lower priority are preempted for it
        self.created_at = now
        self.wait_computed_at = -1.0  # when `remaining_wait_s` was computed
        self.remaining_wait_s = 0.0  # estimated time until all slots are idle

    def record_launch(self, index: int) -> None:
        """Record that the start of a task was sent."""
        if index not in self.launched_indices:
            self.launched_indices.add(index)
            self.unlaunched_on[self.placements[index]] -= 1

    def record_lost_launch(self, index: int) -> None:
        """Record that the start of a task did not arrive, so that it must be sent again."""
        if index in self.launched_indices:
            self.launched_indices.remove(index)
            self.unlaunched_on[self.placements[index]] += 1

    def inherit(self) -> None:
        """Record that a previous owner of the shard may have started all tasks."""
        self.inherited = self.ready = True
        self.launched_indices = set(self.placements)
        self.unlaunched_on = dict.fromkeys(self.indices_on, 0)
