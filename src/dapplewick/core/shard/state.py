"""What a part knows: its singles, slots, machines and holds."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import (
    NO_RESOURCES,
    Attempt,
    JobId,
    MachineId,
    Resources,
    Seconds,
    TaskRef,
)

IMAGES_MOST = 64  # images remembered of a machine, the newest ones
SLOW_SAMPLES = 12  # run times that are compared before a machine is called slow

WAITING, ASSIGNED, ON_MACHINE, UNCONFIRMED, RELEASED, FINISHED = range(6)


class ArrayTask:
    """A task of an array that is granted to this part."""

    __slots__ = ("fails", "machine", "not_before", "queue", "released", "since", "state")

    def __init__(self, state: int, now: Seconds) -> None:
        self.state = state
        self.machine: MachineId | None = None
        self.queue: Slot | None = None
        self.since = now
        self.fails = 0
        self.not_before = 0.0
        self.released = 0  # the version of its record or chunk under which it was given back


class Slot:
    """A share of a machine, carved to the size of its task, with a queue of singles."""

    __slots__ = ("current", "endless", "image", "machine", "queue", "resources")

    def __init__(self, machine: MachineId) -> None:
        self.machine = machine
        self.current: TaskRef | None = None
        self.resources = NO_RESOURCES  # what the current task takes
        self.image = ""  # and the image that it needs
        self.endless = False  # a replica's: no queue waits behind it
        self.queue: deque[TaskRef] = deque()


class TaskAttempt:
    """A task that is, or may be, on a machine."""

    __slots__ = ("attempt", "resources", "running_at", "sent", "since", "spec", "stage", "stopped")

    def __init__(
        self, attempt: Attempt, stage: str, now: Seconds, sent: bool, spec: JobSpec | None
    ) -> None:
        self.attempt = attempt
        self.stage = stage
        self.since = now
        self.sent = sent  # told to start, but not yet seen in a report
        self.running_at: Seconds | None = None
        self.stopped = False
        self.describe(spec)

    def describe(self, spec: JobSpec | None) -> None:
        """What its job asks for; None while the job's record is not here yet."""
        self.spec = spec
        self.resources = spec.resources if spec is not None else NO_RESOURCES


class Machine:
    """A machine as its reports tell it."""

    __slots__ = (
        "address",
        "capacity",
        "drain",
        "failures",
        "id",
        "idle_since",
        "images",
        "last_confirmed_at",
        "last_heartbeat_at",
        "lateness",
        "lost_at",
        "lost_starts",
        "newest",
        "reconciled",
        "renewed",
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

    def __init__(self, machine: MachineId, now: Seconds) -> None:
        self.id = machine
        self.capacity = NO_RESOURCES
        self.type = ""
        self.spot = False
        self.address = ""
        self.reconciled = False  # has reported under this part's token
        self.newest = (0, 0)
        self.last_heartbeat_at = now  # when it reported last
        self.last_confirmed_at = now  # and when it last did so under this part's token
        self.lost_starts = 0  # reports in a row without the starts that were sent before
        self.lost_at = now  # when there was the last of them
        self.renewed = -1e9  # when a session of it ended last, as far as we know
        self.unreachable = False  # its lease ended although its reports were answered
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
            if task_attempt.stage != "exited":
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
            and task_attempt.stage != "exited"
            for task_attempt in self.task_attempts.values()
        )

    def fetches(self) -> int:
        """How many images are being fetched, or will be: they may share the rate of one."""
        images = {
            task_attempt.spec.image
            for task_attempt in self.task_attempts.values()
            if task_attempt.stage == "fetching" and task_attempt.spec is not None
        }
        images.update(s.image for s in self.slots if s.current not in self.task_attempts)
        return len(images)

    def slot_of(self, task: TaskRef) -> Slot | None:
        for slot in self.slots:
            if slot.current == task:
                return slot
        return None


class GangReservation:
    """Slots of this part held for an attempt of a gang."""

    __slots__ = (
        "attempt",
        "bad",
        "inherited",
        "launched",
        "on",
        "placements",
        "preempt",
        "ready",
        "seen",
        "since",
        "wait",
    )

    def __init__(self, attempt: int, placements: dict[int, MachineId], now: Seconds) -> None:
        self.attempt = attempt
        self.placements = placements
        self.on: dict[MachineId, list[int]] = {}  # the tasks to be on each machine
        for index, machine in placements.items():
            self.on.setdefault(machine, []).append(index)
        self.inherited = False  # taken over with the part from an earlier owner
        self.ready = False  # all its slots are idle: the starts go out
        self.launched: set[int] = set()
        self.seen: set[int] = set()
        self.bad = ""
        self.preempt = False
        self.since = now
        self.wait = (-1.0, 0.0)  # when the remaining wait was last counted, and what it was


class Images:
    """Which machines have which image, or fetch it, or are about to.

    A job's tasks join together, before the first of them is reported: what is only meant for
    a machine counts, or each of them would have the image fetched by another machine.
    """

    def __init__(self) -> None:
        self._where: dict[str, dict[MachineId, None]] = {}

    def add(self, machine: Machine, image: str) -> None:
        images = machine.images
        if image in images:
            return
        images[image] = None
        self._where.setdefault(image, {})[machine.id] = None
        while len(images) > IMAGES_MOST:
            self._remove(machine, next(iter(images)))

    def _remove(self, machine: Machine, image: str) -> None:
        del machine.images[image]
        there = self._where[image]
        del there[machine.id]
        if not there:
            del self._where[image]

    def clear(self, machine: Machine) -> None:
        for image in list(machine.images):
            self._remove(machine, image)

    def where(self, image: str) -> Collection[MachineId]:
        return self._where.get(image, {}).keys()


class Queues:
    """The part's queues that are not empty, beside the singles that found none."""

    def __init__(self) -> None:
        self.unqueued: deque[TaskRef] = deque()
        self._of_job: dict[JobId, dict[Slot, int]] = {}  # how many of its tasks wait where

    def _left(self, slot: Slot, task: TaskRef) -> None:
        slots = self._of_job[task.job]
        slots[slot] -= 1
        if not slots[slot]:
            del slots[slot]
            if not slots:
                del self._of_job[task.job]

    def join(self, slot: Slot, task: TaskRef) -> None:
        slot.queue.append(task)
        slots = self._of_job.setdefault(task.job, {})
        slots[slot] = slots.get(slot, 0) + 1

    def leave(self, slot: Slot, task: TaskRef) -> None:
        slot.queue.remove(task)
        self._left(slot, task)

    def empty(self, slot: Slot) -> list[TaskRef]:
        tasks = list(slot.queue)
        slot.queue.clear()
        for task in tasks:
            self._left(slot, task)
        return tasks

    def waiting_jobs(self) -> dict[JobId, None]:
        return dict.fromkeys([*self._of_job, *(task.job for task in self.unqueued)])

    def longest_first(self, jobs: Collection[JobId]) -> list[Slot | None]:
        """Where singles of these jobs wait, the longest queue first; None stands for those
        that found no queue."""
        slots: dict[Slot | None, int] = {}
        for job in jobs:
            for slot in self._of_job.get(job, ()):
                slots[slot] = len(slot.queue)
        if any(task.job in jobs for task in self.unqueued):
            slots[None] = len(self.unqueued)
        return sorted(slots, key=slots.__getitem__, reverse=True)
