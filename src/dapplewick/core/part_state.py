"""What a part knows: its singles, slots, machines and holds."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from dapplewick.protocol.wire import JobSpec
from dapplewick.types import (
    NOTHING,
    Attempt,
    JobId,
    MachineId,
    Seconds,
    Size,
    TaskRef,
)

SLOW_SAMPLES = 12  # run times that are compared before a machine is called slow

WAITING, ASSIGNED, ON, UNSURE, RETURNED, FINISHED = range(6)


class Single:
    """A task of an array that is granted to this part."""

    __slots__ = ("fails", "machine", "not_before", "queue", "since", "state")

    def __init__(self, state: int, now: Seconds) -> None:
        self.state = state
        self.machine: MachineId | None = None
        self.queue: Slot | None = None
        self.since = now
        self.fails = 0
        self.not_before = 0.0


class Slot:
    """A share of a machine, carved to the size of its task, with a queue of singles."""

    __slots__ = ("current", "machine", "queue", "size")

    def __init__(self, machine: MachineId) -> None:
        self.machine = machine
        self.current: TaskRef | None = None
        self.size = NOTHING  # what the current task takes
        self.queue: deque[TaskRef] = deque()


class Live:
    """A task that is, or may be, on a machine."""

    __slots__ = ("attempt", "running_at", "sent", "since", "size", "spec", "stage", "stopped")

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
        self.size = spec.size if spec is not None else NOTHING


class Machine:
    """A machine as its reports tell it."""

    __slots__ = (
        "address", "capacity", "deaf", "failures", "heard", "id", "idle_since", "images", "last",
        "lateness", "live", "lost_at", "lost_starts", "newest", "notice", "renewed", "settled",
        "slots", "slow", "spot", "type", "used", "was_usable",
    )  # fmt: skip

    def __init__(self, machine: MachineId, now: Seconds) -> None:
        self.id = machine
        self.capacity = NOTHING
        self.type = ""
        self.spot = False
        self.address = ""
        self.heard = False  # has reported under this part's token
        self.newest = (0, 0)
        self.last = now  # when it reported last
        self.settled = now  # and when it last did so under this part's token
        self.lost_starts = 0  # reports in a row without the starts that were sent before
        self.lost_at = now  # when there was the last of them
        self.renewed = -1e9  # when a session of it ended last, as far as we know
        self.deaf = False  # its lease ended although its reports were answered
        self.notice: Seconds | None = None
        self.live: dict[TaskRef, Live] = {}
        self.slots: list[Slot] = []
        self.images: dict[str, None] = {}
        self.idle_since = now
        self.failures: dict[JobId, Seconds] = {}
        self.lateness: deque[float] = deque(maxlen=SLOW_SAMPLES)
        self.slow = False  # tasks take much longer here than elsewhere
        self.used: Size | None = None  # what its tasks take; None: to be counted anew
        self.was_usable = False

    def slot_of(self, task: TaskRef) -> Slot | None:
        for slot in self.slots:
            if slot.current == task:
                return slot
        return None


class Hold:
    """Slots of this part held for an attempt of a gang."""

    __slots__ = (
        "attempt", "bad", "inherited", "launched", "on", "places", "preempt", "ready", "seen",
        "since", "wait",
    )  # fmt: skip

    def __init__(self, attempt: int, places: dict[int, MachineId], now: Seconds) -> None:
        self.attempt = attempt
        self.places = places
        self.on: dict[MachineId, list[int]] = {}  # the tasks to be on each machine
        for index, machine in places.items():
            self.on.setdefault(machine, []).append(index)
        self.inherited = False  # taken over with the part from an earlier owner
        self.ready = False  # all its slots are idle: the starts go out
        self.launched: set[int] = set()
        self.seen: set[int] = set()
        self.bad = ""
        self.preempt = False
        self.since = now
        self.wait = (-1.0, 0.0)  # when the remaining wait was last counted, and what it was


class Queues:
    """The part's queues that are not empty, by length, beside the singles that found none."""

    def __init__(self) -> None:
        self.loose: deque[TaskRef] = deque()
        self.jobs: dict[JobId, int] = {}  # tasks in queues, not the loose ones
        self._by_length: dict[int, dict[Slot, None]] = {}

    def _moved(self, slot: Slot, before: int) -> None:
        if before:
            level = self._by_length[before]
            del level[slot]
            if not level:
                del self._by_length[before]
        if slot.queue:
            self._by_length.setdefault(len(slot.queue), {})[slot] = None

    def _left(self, job: JobId) -> None:
        count = self.jobs[job] - 1
        if count:
            self.jobs[job] = count
        else:
            del self.jobs[job]

    def join(self, slot: Slot, task: TaskRef) -> None:
        slot.queue.append(task)
        self.jobs[task.job] = self.jobs.get(task.job, 0) + 1
        self._moved(slot, len(slot.queue) - 1)

    def leave(self, slot: Slot, task: TaskRef) -> None:
        slot.queue.remove(task)
        self._left(task.job)
        self._moved(slot, len(slot.queue) + 1)

    def empty(self, slot: Slot) -> list[TaskRef]:
        tasks = list(slot.queue)
        slot.queue.clear()
        if tasks:
            self._moved(slot, len(tasks))
            for task in tasks:
                self._left(task.job)
        return tasks

    def waiting_jobs(self) -> set[JobId]:
        return self.jobs.keys() | {task.job for task in self.loose}

    def longest_first(self) -> Iterator[Slot | None]:
        """The slots with queues, the longest first; None stands for the loose singles."""
        loose = len(self.loose)
        for length in sorted(self._by_length, reverse=True):
            if loose >= length:
                yield None
                loose = 0
            yield from self._by_length[length]
        if loose:
            yield None
