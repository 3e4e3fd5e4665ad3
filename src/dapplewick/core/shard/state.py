"""What a shard knows of its array tasks, slots, machines and gang reservations."""

from __future__ import annotations

import enum
from collections import deque
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

MAX_IMAGES = 64  # images remembered of a machine, the newest ones
SLOW_SAMPLES = 12  # run times that are compared before a machine is called slow

# The stages of a task attempt, as plain strings: they are compared for each task of each heartbeat,
# and a member of an enum costs more.
FETCHING: Final = TaskStage.FETCHING.value
GATHERING: Final = TaskStage.GATHERING.value
RUNNING: Final = TaskStage.RUNNING.value
FLUSHING: Final = TaskStage.FLUSHING.value
EXITED: Final = TaskStage.EXITED.value


class TaskState(enum.IntEnum):
    """Where an array task stands that is assigned to this shard."""

    WAITING = 0  # unqueued, in a slot's queue, or paused after a failure
    ASSIGNED = 1  # a slot's current task, whose start was not sent yet
    ON_MACHINE = 2
    UNCONFIRMED = 3  # from before this ownership: it may be on a machine that is not heard yet
    RELEASED = 4  # given back to the leader
    FINISHED = 5  # its result is on the machine, until the leader has stored it


# The states under names of their own: read through their class, each costs several times as much
# on Python 3.11, and they are compared for each task of each heartbeat and tick.
WAITING: Final = TaskState.WAITING
ASSIGNED: Final = TaskState.ASSIGNED
ON_MACHINE: Final = TaskState.ON_MACHINE
UNCONFIRMED: Final = TaskState.UNCONFIRMED
RELEASED: Final = TaskState.RELEASED
FINISHED: Final = TaskState.FINISHED


class ArrayTask:
    """A task of an array that is assigned to this shard."""

    __slots__ = (
        "failures",
        "machine",
        "not_before",
        "released_version",
        "since",
        "slot",
        "state",
    )

    def __init__(self, state: TaskState, now: Seconds) -> None:
        self.state = state
        self.machine: MachineId | None = None
        self.slot: Slot | None = None  # whose current task it is, or where it waits
        self.since = now  # when it began to wait
        self.failures = 0  # in a row
        self.not_before = 0.0  # the end of its pause after a failure
        self.released_version = 0  # of its record or chunk, under which it was given back


class Slot:
    """A piece of a machine, carved to the size of its task, with a queue of array tasks."""

    __slots__ = ("current", "holds_replica", "image", "machine", "queue", "resources")

    def __init__(self, machine: MachineId) -> None:
        self.machine = machine
        self.current: TaskRef | None = None
        self.resources = NO_RESOURCES  # what the current task takes
        self.image = ""  # and the image that it needs
        self.holds_replica = False  # a replica's: no queue waits behind it
        self.queue: deque[TaskRef] = deque()


class TaskAttempt:
    """An attempt of a task that is, or may be, on a machine."""

    __slots__ = (
        "attempt",
        "resources",
        "running_at",
        "since",
        "spec",
        "stage",
        "start_unseen",
        "stopped",
    )

    def __init__(
        self,
        attempt: Attempt,
        stage: str,
        now: Seconds,
        *,
        start_unseen: bool,
        spec: JobSpec | None,
    ) -> None:
        self.attempt = attempt
        self.stage = stage
        self.since = now
        self.start_unseen = start_unseen  # told to start, but not yet seen in a heartbeat
        self.running_at: Seconds | None = None
        self.stopped = False
        self.describe(spec)

    def describe(self, spec: JobSpec | None) -> None:
        """Note what its job asks for; None while the job's record is not here yet."""
        self.spec = spec
        self.resources = spec.resources if spec is not None else NO_RESOURCES


class Machine:
    """A machine as its heartbeats tell it."""

    __slots__ = (
        "address",
        "capacity",
        "drain",
        "failures",
        "id",
        "idle_since",
        "images",
        "incarnation_ended_at",
        "last_confirmed_at",
        "last_heartbeat_at",
        "lateness",
        "lost_starts",
        "lost_starts_at",
        "newest_heartbeat",
        "reconciled",
        "slots",
        "slow",
        "spot",
        "spot_notice_s",
        "stored",
        "task_attempts",
        "type",
        "unreachable",
        "used",
        "was_usable",
    )

    def __init__(self, machine_id: MachineId, now: Seconds) -> None:
        self.id = machine_id
        self.capacity = NO_RESOURCES
        self.type = ""
        self.spot = False
        self.address = ""
        self.reconciled = False  # a heartbeat has carried this shard's fencing token
        self.newest_heartbeat = (0, 0)  # its incarnation and sequence number
        self.last_heartbeat_at = now
        self.last_confirmed_at = now  # the last heartbeat with this shard's fencing token
        self.lost_starts = 0  # heartbeats in a row without the starts that were sent before
        self.lost_starts_at = now  # when there was the last of them
        self.incarnation_ended_at = NEVER_S  # when one ended last, as far as it is known here
        self.unreachable = False  # its lease ended although its heartbeats were answered
        self.spot_notice_s: Seconds | None = None
        self.task_attempts: dict[TaskRef, TaskAttempt] = {}
        self.slots: list[Slot] = []
        self.stored: dict[TaskRef, Seconds] = {}  # results that may be forgotten, since when
        self.images: dict[str, None] = {}
        self.idle_since = now
        self.failures: dict[JobId, Seconds] = {}
        self.lateness: deque[float] = deque(maxlen=SLOW_SAMPLES)
        self.drain = False  # only replicas are left here, and there is room for them elsewhere
        self.slow = False  # tasks take much longer here than elsewhere
        self.used: Resources | None = None  # what its tasks take; None: to be counted anew
        self.was_usable = False

    def taken(self) -> Resources:
        """What its tasks take, and those that are about to start."""
        if self.used is None:
            self.used = self._count_taken()
        return self.used

    def _count_taken(self) -> Resources:
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

    def free(self) -> Resources:
        """The free capacity."""
        return self.capacity.minus(self.taken())

    def has_replicas(self) -> bool:
        """Whether replicas of services, which are wanted elsewhere, are here."""
        return any(
            task_attempt.spec is not None
            and task_attempt.spec.is_service
            and task_attempt.stage != EXITED
            for task_attempt in self.task_attempts.values()
        )

    def fetches(self) -> int:
        """How many images are being fetched, or will be: they may share the rate of one."""
        images = {
            task_attempt.spec.image
            for task_attempt in self.task_attempts.values()
            if task_attempt.stage == FETCHING and task_attempt.spec is not None
        }
        images.update(s.image for s in self.slots if s.current not in self.task_attempts)
        return len(images)

    def slot_of(self, task: TaskRef) -> Slot | None:
        """The slot whose current task this is."""
        for slot in self.slots:
            if slot.current == task:
                return slot
        return None


class GangReservation:
    """Slots of this shard reserved for an attempt of a gang."""

    __slots__ = (
        "attempt",
        "failure",
        "indices_on",
        "inherited",
        "launched",
        "placements",
        "preempt",
        "ready",
        "seen",
        "since",
        "wait_at",
        "wait_s",
    )

    def __init__(self, attempt: int, placements: dict[int, MachineId], now: Seconds) -> None:
        self.attempt = attempt
        self.placements = placements
        self.indices_on: dict[MachineId, list[int]] = {}  # of the tasks to be on each machine
        for index, machine_id in placements.items():
            self.indices_on.setdefault(machine_id, []).append(index)
        self.inherited = False  # taken over with the shard from an earlier owner
        self.ready = False  # all its slots are idle: the starts go out
        self.launched: set[int] = set()  # indices of tasks whose start was sent
        self.seen: set[int] = set()  # and of those that a heartbeat has listed
        self.failure = ""  # why this attempt can't succeed; empty while it may
        self.preempt = False  # whether work of lower priority is stopped for it
        self.since = now
        self.wait_at = -1.0  # when the remaining wait was last counted
        self.wait_s = 0.0  # and what it was
