"""One part: the machines of one zone, their slots and queues, holds, backfill and stealing.

A state machine without I/O: it is given reports and changed records together with the time,
and answers with orders for the machine that reported and with a status for the leader.
"""

from __future__ import annotations

import logging
import math
import random
import statistics
from collections import deque
from collections.abc import Iterator
from typing import Any

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.protocol.wire import JobSpec, Order, Report, TaskReport
from dapplewick.storage.records import JobRecord, Mirror
from dapplewick.tuning import Tuning
from dapplewick.types import (
    NOTHING,
    PER_TOKEN,
    Attempt,
    JobId,
    MachineId,
    Seconds,
    Size,
    TaskIndex,
    TaskRef,
    Token,
    Zone,
)

log = logging.getLogger("dapplewick.part")

SAMPLE = 12  # machines looked at when a single joins
MAX_QUEUE = 8  # singles waiting behind one slot
LONG_WAIT_S = 15.0  # a single that waited this long goes back to the leader
FRESH_S = 6.0  # a machine silent for longer takes no new work
GRACE_S = 5.0  # over a task's own saving time, when it is stopped in order
RETRY_S = 2.0  # first pause after a failure, doubled with each further one
SLOW_SAMPLES = 12  # run times that are compared before a machine is called slow
SLOW_BY = 0.6  # above the other machines' mean logarithm of run time over expected
SLOW_LEAST = 3  # machines to compare with
FAULTY = 4  # failures in a row, of different jobs, that make a machine suspect

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

    __slots__ = ("current", "machine", "queue")

    def __init__(self, machine: MachineId) -> None:
        self.machine = machine
        self.current: TaskRef | None = None
        self.queue: deque[TaskRef] = deque()


class Live:
    """A task that is, or may be, on a machine."""

    __slots__ = ("attempt", "running_at", "sent", "since", "stage", "stopped")

    def __init__(self, attempt: Attempt, stage: str, now: Seconds, sent: bool) -> None:
        self.attempt = attempt
        self.stage = stage
        self.since = now
        self.sent = sent  # told to start, but not yet seen in a report
        self.running_at: Seconds | None = None
        self.stopped = False


class Machine:
    """A machine as its reports tell it."""

    def __init__(self, machine: MachineId, now: Seconds) -> None:
        self.id = machine
        self.capacity = NOTHING
        self.type = ""
        self.spot = False
        self.address = ""
        self.heard = False  # has reported under this part's token
        self.newest = (0, 0)
        self.last = now
        self.notice: Seconds | None = None
        self.live: dict[TaskRef, Live] = {}
        self.slots: list[Slot] = []
        self.images: dict[str, None] = {}
        self.idle_since = now
        self.failures: dict[JobId, Seconds] = {}
        self.lateness: deque[float] = deque(maxlen=SLOW_SAMPLES)
        self.slow = False  # tasks take much longer here than elsewhere

    def slot_of(self, task: TaskRef) -> Slot | None:
        for slot in self.slots:
            if slot.current == task:
                return slot
        return None


class Hold:
    """Slots of this part held for an attempt of a gang."""

    __slots__ = (
        "attempt", "bad", "inherited", "launched", "places", "preempt", "ready", "seen", "since",
    )  # fmt: skip

    def __init__(self, attempt: int, places: dict[int, MachineId], now: Seconds) -> None:
        self.attempt = attempt
        self.places = places
        self.inherited = False  # taken over with the part from an earlier owner
        self.ready = False  # all its slots are idle: the starts go out
        self.launched: set[int] = set()
        self.seen: set[int] = set()
        self.bad = ""
        self.preempt = False
        self.since = now


class PartCore:
    """The owner's view of one part."""

    def __init__(
        self,
        zone: Zone,
        token: Token,
        mirror: Mirror,
        estimates: Estimates,
        now: Seconds,
        *,
        tuning: Tuning | None = None,
        seed: int = 0,
    ) -> None:
        self.zone = zone
        self.token = token
        self.mirror = mirror
        self.estimates = estimates
        self.threshold = (tuning or Tuning()).threshold_s
        self.started = now
        self.random = random.Random(seed ^ token)
        self.machines: dict[MachineId, Machine] = {}
        self.singles: dict[JobId, dict[int, Single]] = {}
        self.holds: dict[JobId, Hold] = {}
        self.loose: deque[TaskRef] = deque()
        self.later: list[TaskRef] = []
        self.done_gangs: dict[JobId, int] = {}
        self.strangers: dict[MachineId, Report] = {}
        self._pace: dict[JobId, tuple[float, int]] = {}
        self.dirty = True
        self.demand = AcceleratorDemand(mirror)
        self.gang_demand = GangDemand(mirror, (tuning or Tuning()).spare_slots)
        self.demand.update(now)
        self._attempts = 0
        # Tasks granted before this ownership may be on any machine the old owner could use:
        # until each of those was heard under our token, or is deleted, they wait.
        self.unheard: set[MachineId] = {
            m for m, r in mirror.machines.items() if r.zone == zone and r.up
        }
        for machine in self.unheard:
            self._machine(machine, now)
        for job_id in list(mirror.live_jobs):
            self.job_changed(now, job_id, takeover=True)
        self._settle_unsure(now)

    # Inputs

    def job_changed(self, now: Seconds, job_id: JobId, takeover: bool = False) -> None:
        """A job's record has changed."""
        job = self.mirror.jobs.get(job_id)
        granted = job.granted(self.zone) - job.done if job is not None and job.open else set()
        singles = self.singles.get(job_id)
        if granted or singles:
            singles = self.singles.setdefault(job_id, {})
            for index in [i for i in singles if i not in granted]:
                self._drop(TaskRef(job_id, TaskIndex(index)), singles.pop(index))
            for index, single in singles.items():
                # What was given back under an older version of the record and is granted in
                # this one was granted anew, or was not yet heard: the leader only takes back
                # what was said of the version that it changes. So it may run here again.
                if single.state == RETURNED:
                    self._again(now, TaskRef(job_id, TaskIndex(index)), single, failed=False)
            for index in sorted(granted - singles.keys()):
                task = TaskRef(job_id, TaskIndex(index))
                singles[index] = Single(UNSURE if takeover else WAITING, now)
                if not takeover:
                    self.loose.append(task)
            if not singles:
                del self.singles[job_id]
        self._gang_changed(now, job_id, job, takeover)
        self.dirty = True

    def _gang_changed(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, takeover: bool
    ) -> None:
        hold = self.holds.get(job_id)
        gang = job.gang if job is not None else None
        if gang is None or self.zone not in gang.zones():
            if hold is not None:
                del self.holds[job_id]
            self.done_gangs.pop(job_id, None)
            return
        if hold is None or hold.attempt != gang.attempt:
            places = {
                i: MachineId(m) for i, (zone, m) in enumerate(gang.places) if zone == self.zone
            }
            hold = Hold(gang.attempt, places, now)
            if takeover:
                # Whether the old owner has sent the starts is unknown. An attempt is never
                # started twice, so what is not found on its machine ends this attempt.
                hold.inherited = hold.ready = True
                hold.launched = set(places)
            self.holds[job_id] = hold
        hold.preempt = gang.preempt

    def machine_changed(self, now: Seconds, machine_id: MachineId) -> None:
        """A machine's record has changed; without one it is gone, with all that was on it."""
        record = self.mirror.machines.get(machine_id)
        if record is not None:
            self.strangers.pop(machine_id, None)
            return
        self.unheard.discard(machine_id)
        machine = self.machines.pop(machine_id, None)
        if machine is not None:
            self._requeue_slots(machine)
            for task in list(machine.live):
                self._gone(now, machine, task, "machine gone")
        for job_id, hold in self.holds.items():
            if not hold.bad and machine_id in hold.places.values():
                hold.bad = "machine gone"
                log.info("event=gang_broken job=%s reason=machine_gone", job_id)
        self._settle_unsure(now)
        self.dirty = True

    def report(self, now: Seconds, report: Report, may_launch: bool) -> list[Order]:
        """Handle a worker's report; gives the orders for its machine."""
        record = self.mirror.machines.get(report.machine)
        if record is None:
            self.strangers[report.machine] = report
        machine = self._machine(report.machine, now)
        if (report.session, report.seq) <= machine.newest:
            return []
        new_session = report.session > machine.newest[0]
        machine.newest = (report.session, report.seq)
        machine.last = now
        machine.type = report.type
        machine.spot = report.spot
        machine.address = report.address
        machine.notice = report.notice
        known = self.mirror.types.get(report.type)
        if known is not None:
            machine.capacity = known.size
        # A report from before our token was seen may miss starts of the old owner that are
        # still under way; only one that carries our token settles what is not there.
        settles = report.token == self.token
        if settles and not machine.heard:
            machine.heard = True
            self.dirty = True
            self.unheard.discard(report.machine)
        if new_session:
            machine.images.clear()
        orders = self._take_tasks(now, machine, report, settles, new_session)
        if settles:
            self._settle_unsure(now)
        self._join_all(now)
        self._check_holds(now)
        orders += self._stops(now, machine)
        usable = may_launch and settles and self._usable(now, machine)
        if usable:
            orders += self._launches(now, machine)
        busy = any(live.stage != "exited" for live in machine.live.values())
        if busy or self._held_on(machine.id):
            machine.idle_since = now
        return orders

    def tick(self, now: Seconds) -> None:
        """Time has passed."""
        self.demand.update(now)
        self.gang_demand.update(now)
        if self.later:
            ready = [t for t in self.later if self._not_before(t) <= now]
            if ready:
                self.later = [t for t in self.later if self._not_before(t) > now]
                self.loose.extend(ready)
        for machine in self.machines.values():
            if machine.slots and not self._usable(now, machine):
                self._requeue_slots(machine)
        self._join_all(now)
        self._check_holds(now)
        self._return_long_waits(now)

    # Bookkeeping of what is where

    def _machine(self, machine_id: MachineId, now: Seconds) -> Machine:
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = self.machines[machine_id] = Machine(machine_id, now)
            record = self.mirror.machines.get(machine_id)
            if record is not None:
                machine.type, machine.spot = record.type, record.spot
                known = self.mirror.types.get(record.type)
                if known is not None:
                    machine.capacity = known.size
        return machine

    def _single(self, task: TaskRef) -> Single | None:
        singles = self.singles.get(task.job)
        return singles.get(task.number) if singles is not None else None

    def _not_before(self, task: TaskRef) -> Seconds:
        single = self._single(task)
        return single.not_before if single is not None else 0.0

    def _spec(self, task: TaskRef) -> JobSpec | None:
        job = self.mirror.jobs.get(task.job)
        return job.spec if job is not None else None

    def _usable(self, now: Seconds, machine: Machine) -> bool:
        """Whether new work may go to this machine."""
        record = self.mirror.machines.get(machine.id)
        return (
            record is not None
            and record.up
            and not record.doomed
            and machine.heard
            and machine.notice is None
            and now - machine.last < FRESH_S
            and not self.faulty(now, machine)
            and not machine.slow
        )

    def faulty(self, now: Seconds, machine: Machine) -> bool:
        """Whether tasks of several jobs have failed here and none has completed since."""
        return len(machine.failures) >= FAULTY

    def _size(self, task: TaskRef) -> Size:
        spec = self._spec(task)
        return spec.size if spec is not None else NOTHING

    def _used(self, machine: Machine) -> Size:
        used = NOTHING
        for task, live in machine.live.items():
            if live.stage != "exited":
                used = used.plus(self._size(task))
        for slot in machine.slots:
            if slot.current is not None and slot.current not in machine.live:
                used = used.plus(self._size(slot.current))
        return used

    def _free(self, machine: Machine) -> Size:
        return machine.capacity.minus(self._used(machine))

    def _free_for(self, machine: Machine, spec: JobSpec) -> Size:
        """The free room that this work may use."""
        free = self._free(machine)
        if spec.gpus > 0:
            return free
        reserve = self.demand.reserve(machine.capacity, free)
        if self.gang_demand.applies(spec) and self._few_slots():
            free = self.gang_demand.rest(free)
        return free.minus(reserve)

    def _few_slots(self) -> bool:
        """Whether no more idle slots are left here than are kept for gangs."""
        share = self.gang_demand.slots / max(1, len(self.mirror.parts))
        idle = 0
        for machine in self.machines.values():
            idle += self.gang_demand.size.times_in(self._free(machine))
            if idle > math.ceil(share):
                return False
        return True

    def _held_on(self, machine_id: MachineId) -> list[tuple[JobId, Hold, int]]:
        """Held slots of this machine whose start has not gone out."""
        return [
            (job_id, hold, index)
            for job_id, hold in self.holds.items()
            if not hold.bad and self._gang_wanted(job_id)
            for index, where in hold.places.items()
            if where == machine_id and index not in hold.launched
        ]

    def _gang_wanted(self, job_id: JobId) -> bool:
        job = self.mirror.jobs.get(job_id)
        return job is not None and job.open and job.gang is not None and not job.gang.over

    def _held_size(self, machine_id: MachineId) -> Size:
        size = NOTHING
        for job_id, _, index in self._held_on(machine_id):
            size = size.plus(self._size(TaskRef(job_id, TaskIndex(index))))
        return size

    def _drop(self, task: TaskRef, single: Single) -> None:
        """The grant of a single is over: it is done, given back, or not wanted."""
        if single.queue is not None:
            slot = single.queue
            if slot.current == task and single.state == ASSIGNED:
                slot.current = None
            elif task in slot.queue:
                slot.queue.remove(task)
            single.queue = None

    def _take_tasks(
        self, now: Seconds, machine: Machine, report: Report, settles: bool, new_session: bool
    ) -> list[Order]:
        orders: list[Order] = []
        listed = {t.task: t for t in report.tasks}
        if settles:
            for task in [t for t, live in machine.live.items() if t not in listed]:
                self._gone(now, machine, task, "not on its machine")
        for item in report.tasks:
            live = machine.live.get(item.task)
            if live is None or live.attempt != item.attempt:
                live = machine.live[item.task] = Live(item.attempt, item.stage, now, False)
            if live.stage != item.stage or live.sent:
                self.dirty = True
            live.sent = False
            live.stage = item.stage
            if item.stage in ("fetching", "running", "gathering"):
                spec = self._spec(item.task)
                if spec is not None:
                    machine.images[spec.image] = None
            if item.stage == "running" and live.running_at is None:
                live.running_at = now
            if item.stage == "exited":
                orders += self._exited(now, machine, item, live)
            else:
                self._present(now, machine, item)
        if settles:
            for job_id, hold in self.holds.items():
                for index, where in hold.places.items():
                    task = TaskRef(job_id, TaskIndex(index))
                    if (
                        where == machine.id
                        and index in hold.launched
                        and task not in machine.live
                        and not hold.bad
                        and self.done_gangs.get(job_id) != hold.attempt
                    ):
                        # A start that was never seen was dropped with its answer, unless the
                        # worker has begun a new session: then it may have run, and attempts
                        # are not repeated.
                        if index in hold.seen or hold.inherited or new_session:
                            hold.bad = "start lost"
                        else:
                            hold.launched.discard(index)
                        self.dirty = True
        return orders

    def _present(self, now: Seconds, machine: Machine, item: TaskReport) -> None:
        single = self._single(item.task)
        if single is not None:
            if single.state == ON and single.machine != machine.id:
                log.error("event=two_places task=%s/%d", item.task.job, item.task.number)
                return
            if single.state in (WAITING, ASSIGNED, RETURNED):
                log.error("event=unexpected_task task=%s/%d", item.task.job, item.task.number)
            if single.state != FINISHED:
                if single.state != ON:
                    self._drop(item.task, single)
                single.state = ON
                single.machine = machine.id
            return
        hold = self.holds.get(item.task.job)
        if (
            hold is not None
            and hold.attempt == item.attempt
            and hold.places.get(item.task.number) == machine.id
        ):
            hold.launched.add(item.task.number)
            hold.seen.add(item.task.number)

    def _exited(self, now: Seconds, machine: Machine, item: TaskReport, live: Live) -> list[Order]:
        """An exited task: keep a result until it is stored, forget everything else."""
        task = item.task
        job = self.mirror.jobs.get(task.job)
        single = self._single(task)
        forget = [Order("forget", task, item.attempt)]
        if item.cause == "done":
            machine.failures.clear()
            if job is None or not job.open or task.number in job.done:
                self._remove_live(machine, task)
                return forget
            hold = self.holds.get(task.job)
            if single is not None:
                if single.state != FINISHED:
                    self._learn(now, machine, task, live, single)
                    self._leave_slot(machine, task)
                    single.state = FINISHED
                    single.machine = machine.id
                    self.dirty = True
            elif hold is not None and hold.attempt == item.attempt:
                if self.done_gangs.get(task.job) != item.attempt:
                    self.done_gangs[task.job] = hold.attempt
                    self._learn(now, machine, task, live, None)
                    self.dirty = True
            else:
                # A result that nothing here accounts for: not used, and not kept.
                self._remove_live(machine, task)
                return forget
            return []
        hold = self.holds.get(task.job)
        if hold is not None and hold.attempt == item.attempt and not hold.bad:
            hold.bad = item.cause or "exited"
            log.info("event=gang_broken job=%s reason=%s", task.job, hold.bad)
        if item.cause in ("error", "no_such"):
            machine.failures[task.job] = now
        self._remove_live(machine, task)
        if single is not None and single.machine == machine.id and single.state == ON:
            self._again(now, task, single, failed=item.cause not in ("halted", "full", "peers"))
        self.dirty = True
        return forget

    def _learn(
        self, now: Seconds, machine: Machine, task: TaskRef, live: Live, single: Single | None
    ) -> None:
        spec = self._spec(task)
        if spec is None or live.running_at is None or (single is not None and single.fails):
            return
        ran = max(0.5, now - live.running_at)
        self.estimates.learn(spec.bundle, spec.estimate, ran)
        if single is None or spec.estimate <= 0.0:
            return
        # Compared with the other tasks of the same job, whose owner's estimate is as wrong.
        ratio = math.log(ran / spec.estimate)
        mean, count = self._pace.get(task.job, (0.0, 0))
        if count >= 2:
            machine.lateness.append(max(-1.5, min(1.5, ratio - mean)))
            self._compare_speed()
        self._pace[task.job] = (mean + (ratio - mean) / (count + 1), count + 1)
        while len(self._pace) > 500:
            del self._pace[next(iter(self._pace))]

    def _compare_speed(self) -> None:
        """Tasks that end first are the short ones, so later ones look late on any machine:
        a machine is slow only beside the others, and not for good."""
        means = {
            m.id: sum(m.lateness) / SLOW_SAMPLES
            for m in self.machines.values()
            if len(m.lateness) == SLOW_SAMPLES
        }
        if len(means) <= SLOW_LEAST:
            return
        middle = statistics.median(means.values())
        for machine_id, mean in means.items():
            machine = self.machines[machine_id]
            slow = mean > middle + SLOW_BY
            if slow and not machine.slow:
                log.info("event=machine_slow machine=%s", machine_id)
            machine.slow = slow

    def _remove_live(self, machine: Machine, task: TaskRef) -> None:
        machine.live.pop(task, None)
        self._leave_slot(machine, task)

    def _leave_slot(self, machine: Machine, task: TaskRef) -> None:
        slot = machine.slot_of(task)
        if slot is None:
            return
        # An old attempt whose `forget` was lost is reported again after its task was assigned
        # anew to the same machine: that slot stays the task's.
        single = self._single(task)
        if single is None or single.queue is not slot:
            slot.current = None

    def _gone(self, now: Seconds, machine: Machine, task: TaskRef, why: str) -> None:
        """A task is known not to be on its machine any more."""
        live = machine.live.get(task)
        self._remove_live(machine, task)
        self.dirty = True
        single = self._single(task)
        if single is not None and single.machine == machine.id:
            if single.state in (ON, FINISHED):
                # A result that vanished before it was stored has to be made again.
                self._again(now, task, single, failed=False)
            return
        hold = self.holds.get(task.job)
        if (
            hold is not None
            and live is not None
            and hold.attempt == live.attempt
            and not live.sent
            and not hold.bad
            and self.done_gangs.get(task.job) != hold.attempt
        ):
            hold.bad = why

    def _again(self, now: Seconds, task: TaskRef, single: Single, failed: bool) -> None:
        single.state = WAITING
        single.machine = None
        single.since = now
        single.queue = None
        if failed:
            single.fails += 1
            single.not_before = now + min(60.0, RETRY_S * 2.0 ** (single.fails - 1))
            self.later.append(task)
        else:
            self.loose.append(task)

    def _settle_unsure(self, now: Seconds) -> None:
        if self.unheard:
            return
        for job_id, singles in self.singles.items():
            for index, single in singles.items():
                if single.state == UNSURE:
                    single.state = WAITING
                    single.since = now
                    self.loose.append(TaskRef(job_id, TaskIndex(index)))

    # The design's first point: joining, queues and stealing

    def _allowed(self, spec: JobSpec, machine: Machine) -> bool:
        return (
            (spec.types is None or machine.type in spec.types)
            and (spec.spot or not machine.spot)
            and (spec.zone is None or spec.zone == self.zone)
        )

    def _join_all(self, now: Seconds) -> None:
        if not self.loose:
            return
        usable = [m for m in self.machines.values() if self._usable(now, m)]
        waiting, self.loose = self.loose, deque()
        stuck: set[tuple[JobId, int]] = set()
        for task in waiting:
            single = self._single(task)
            if single is None or single.state != WAITING or single.queue is not None:
                continue
            # Tasks of one job are alike: where one finds no queue, the next finds none either.
            if (task.job, single.fails) in stuck:
                self.loose.append(task)
            elif not self._join(now, task, single, usable):
                stuck.add((task.job, single.fails))
                self.loose.append(task)

    def _join(self, now: Seconds, task: TaskRef, single: Single, usable: list[Machine]) -> bool:
        """A single joins an idle slot, else a held one that it passes, else the shortest queue."""
        spec = self._spec(task)
        if spec is None:
            return False
        able = [m for m in usable if self._allowed(spec, m) and spec.size.fits(m.capacity)]
        if len(able) > SAMPLE:
            able = self.random.sample(able, SAMPLE)
        best: tuple[tuple[float, ...], Machine] | None = None
        for machine in able:
            free = self._free_for(machine, spec)
            if not spec.size.fits(free.minus(self._held_size(machine.id))):
                continue
            spare_gpus = machine.capacity.gpus if spec.gpus == 0 else 0.0
            key = (spare_gpus, 0.0 if spec.image in machine.images else 1.0, free.cpus)
            if best is None or key < best[0]:
                best = (key, machine)
        if best is None:
            for machine in able:
                if spec.size.fits(self._free_for(machine, spec)) and self._passes(
                    now, spec, machine
                ):
                    best = ((), machine)
                    break
        if best is not None:
            slot = Slot(best[1].id)
            slot.current = task
            best[1].slots.append(slot)
            single.state = ASSIGNED
            single.machine = best[1].id
            single.queue = slot
            best[1].idle_since = now
            return True
        queues = [s for m in able for s in m.slots if len(s.queue) < MAX_QUEUE]
        if not queues:
            return False
        shortest = min(queues, key=lambda s: len(s.queue))
        shortest.queue.append(task)
        single.queue = shortest
        return True

    def _passes(self, now: Seconds, spec: JobSpec, machine: Machine) -> bool:
        """The test of the design's fourth point, against every gang held on this machine."""
        holds = {job_id: hold for job_id, hold, _ in self._held_on(machine.id)}
        if any(hold.ready for hold in holds.values()):
            return False
        estimate = self.estimates.run_time(spec)
        return all(
            estimate <= self.remaining_wait(now, job_id, hold) + self.threshold
            for job_id, hold in holds.items()
        )

    def remaining_wait(self, now: Seconds, job_id: JobId, hold: Hold) -> Seconds:
        """Time until the latest estimated end among the gang's held slots, at least zero."""
        latest = 0.0
        for machine_id in set(hold.places.values()):
            machine = self.machines.get(machine_id)
            if machine is not None:
                latest = max(latest, self._room_in(now, machine))
        return latest

    def _room_in(self, now: Seconds, machine: Machine) -> Seconds:
        """Estimated time until all that is held on a machine is idle."""
        need = self._held_size(machine.id)
        room = self._free(machine)
        if need.fits(room):
            return 0.0
        ends = sorted(
            (self._left(now, task, live), self._size(task))
            for task, live in machine.live.items()
            if live.stage != "exited"
        )
        for left, size in ends:
            room = room.plus(size)
            if need.fits(room):
                return left
        return ends[-1][0] if ends else 0.0

    def _left(self, now: Seconds, task: TaskRef, live: Live) -> Seconds:
        spec = self._spec(task)
        if spec is None or live.stopped:
            return 0.0
        estimate = self.estimates.run_time(spec)
        if live.running_at is None:
            return estimate
        return max(0.0, estimate - (now - live.running_at))

    def _next(self, now: Seconds, machine: Machine, queue: deque[TaskRef]) -> TaskRef | None:
        """The first single of a queue that may start on this machine now, preferably one
        whose image is there."""
        cold: TaskRef | None = None
        held = self._held_size(machine.id)
        for task in queue:
            spec = self._spec(task)
            single = self._single(task)
            if spec is None or single is None or single.not_before > now:
                continue
            if not self._allowed(spec, machine):
                continue
            free = self._free_for(machine, spec)
            if spec.size.fits(free.minus(held)) or (
                spec.size.fits(free) and self._passes(now, spec, machine)
            ):
                if spec.image in machine.images:
                    return task
                cold = cold or task
        return cold

    def _launches(self, now: Seconds, machine: Machine) -> list[Order]:
        orders = self._gang_launches(now, machine)
        for slot in machine.slots:
            if slot.current is None and slot.queue:
                task = self._next(now, machine, slot.queue)
                if task is not None:
                    slot.queue.remove(task)
                    self._put_in(task, slot)
        self._steal(now, machine)
        for slot in machine.slots:
            task = slot.current
            if task is None or task in machine.live:
                continue
            single = self._single(task)
            if single is None or single.state != ASSIGNED:
                slot.current = None
                continue
            orders.append(self._start(now, machine, task, self._new_attempt()))
            single.state = ON
            single.queue = None
        for slot in machine.slots:
            if slot.current is None:
                for task in slot.queue:
                    self._unqueue(task)
        machine.slots = [s for s in machine.slots if s.current is not None]
        return orders

    def _put_in(self, task: TaskRef, slot: Slot) -> None:
        single = self._single(task)
        assert single is not None
        slot.current = task
        single.state = ASSIGNED
        single.machine = slot.machine
        single.queue = slot

    def _steal(self, now: Seconds, machine: Machine) -> None:
        """Room with a dry queue takes the last single of the part's longest queue."""
        queues = [s.queue for m in self.machines.values() for s in m.slots if s.queue]
        if self.loose:
            queues.append(self.loose)
        while queues:
            longest = max(queues, key=len)
            task = self._next(now, machine, deque(reversed(longest)))
            if task is None:
                queues.remove(longest)
                continue
            longest.remove(task)
            if not longest:
                queues.remove(longest)
            slot = Slot(machine.id)
            machine.slots.append(slot)
            self._put_in(task, slot)

    def _unqueue(self, task: TaskRef) -> None:
        single = self._single(task)
        if single is not None and single.state in (WAITING, ASSIGNED):
            single.state = WAITING
            single.queue = None
            single.machine = None
            self.loose.append(task)

    def _requeue_slots(self, machine: Machine) -> None:
        """A machine takes no new work: what was only meant for it joins anew."""
        for slot in machine.slots:
            for task in slot.queue:
                self._unqueue(task)
            if slot.current is not None and slot.current not in machine.live:
                self._unqueue(slot.current)
        machine.slots = [s for s in machine.slots if s.current in machine.live]
        for slot in machine.slots:
            slot.queue.clear()

    def _new_attempt(self) -> Attempt:
        self._attempts += 1
        return Attempt(self.token * PER_TOKEN + self._attempts)

    def _start(self, now: Seconds, machine: Machine, task: TaskRef, attempt: Attempt) -> Order:
        machine.live[task] = Live(attempt, "fetching", now, True)
        machine.idle_since = now
        self.dirty = True
        log.debug(
            "event=launch task=%s/%d attempt=%d machine=%s",
            task.job, task.number, attempt, machine.id,
        )  # fmt: skip
        return Order("start", task, attempt)

    def _return_long_waits(self, now: Seconds) -> None:
        """Singles that find no room here go back to the leader, which may know better."""
        for job_id, singles in self.singles.items():
            for index, single in singles.items():
                if single.state in (WAITING, ASSIGNED) and now - max(
                    single.since, single.not_before
                ) > (LONG_WAIT_S):
                    task = TaskRef(job_id, TaskIndex(index))
                    self._drop(task, single)
                    single.state = RETURNED
                    self.dirty = True

    # Gangs

    def _check_holds(self, now: Seconds) -> None:
        """A gang whose held slots are all idle starts on all of them together."""
        room: dict[MachineId, Size] = {}
        for job_id, hold in self.holds.items():
            if hold.ready or hold.bad or not self._gang_wanted(job_id):
                continue
            if any(self._useless(m) for m in hold.places.values()):
                hold.bad = "machine leaves"
                self.dirty = True
                continue
            need: dict[MachineId, Size] = {}
            for index, machine_id in hold.places.items():
                size = self._size(TaskRef(job_id, TaskIndex(index)))
                need[machine_id] = need.get(machine_id, NOTHING).plus(size)
            idle = True
            for machine_id, size in need.items():
                machine = self.machines.get(machine_id)
                if machine is None:
                    idle = False
                    continue
                free = room.get(machine_id)
                if free is None:
                    free = self._free(machine)
                    for other_id, other, index in self._held_on(machine_id):
                        if other.ready:
                            free = free.minus(self._size(TaskRef(other_id, TaskIndex(index))))
                idle = idle and size.fits(free)
                room[machine_id] = free.minus(size)
            if idle:
                hold.ready = True
                self.dirty = True

    def _useless(self, machine_id: MachineId) -> bool:
        record = self.mirror.machines.get(machine_id)
        machine = self.machines.get(machine_id)
        return (
            record is None or record.doomed or (machine is not None and machine.notice is not None)
        )

    def _gang_launches(self, now: Seconds, machine: Machine) -> list[Order]:
        orders = []
        for job_id, hold, index in self._held_on(machine.id):
            if hold.ready:
                hold.launched.add(index)
                task = TaskRef(job_id, TaskIndex(index))
                orders.append(self._start(now, machine, task, Attempt(hold.attempt)))
        return orders

    # Stops

    def _stops(self, now: Seconds, machine: Machine) -> list[Order]:
        orders = []
        preempt = self._preempted(now, machine)
        for task, live in machine.live.items():
            if live.stage == "exited" or live.sent:
                continue
            job = self.mirror.jobs.get(task.job)
            if job is None or not job.open:
                orders.append(Order("stop", task, live.attempt, 0.0))
                continue
            spec = job.spec
            if spec.gang:
                wanted = (
                    job.gang is not None
                    and not job.gang.over
                    and job.gang.attempt == live.attempt
                    and task.job in self.holds
                )
            else:
                single = self._single(task)
                wanted = single is not None and single.machine == machine.id
            orderly = spec.checkpoint > 0 and live.stage == "running"
            leaving = machine.notice is not None and orderly and not spec.gang
            if wanted and not leaving and task not in preempt:
                continue
            if live.stage == "flushing" or (live.stopped and orderly):
                continue
            live.stopped = True
            orders.append(
                Order("stop", task, live.attempt, spec.save + GRACE_S if orderly else 0.0)
            )
        return orders

    def _preempted(self, now: Seconds, machine: Machine) -> set[TaskRef]:
        """Lower-priority singles to stop for gangs that were granted this right."""
        stop: set[TaskRef] = set()
        for job_id, hold, _ in self._held_on(machine.id):
            job = self.mirror.jobs.get(job_id)
            if not hold.preempt or hold.ready or job is None:
                continue
            room = self._free(machine)
            for task, live in machine.live.items():
                if live.stopped and live.stage != "exited":
                    room = room.plus(self._size(task))
            for task in stop:
                room = room.plus(self._size(task))
            need = self._held_size(machine.id)
            victims = sorted(
                (
                    (spec.rank, -live.since, task)
                    for task, live in machine.live.items()
                    if live.stage != "exited" and not live.stopped and task not in stop
                    for spec in [self._spec(task)]
                    if spec is not None and not spec.gang and spec.rank < job.spec.rank
                ),
            )
            for _, _, task in victims:
                if need.fits(room):
                    break
                room = room.plus(self._size(task))
                stop.add(task)
        return stop

    # What the leader is told

    def _maybe_there(self, job_id: JobId) -> bool:
        """Whether a task of this job may be on a machine of this part."""
        if self.unheard:
            return True
        return any(t.job == job_id for m in self.machines.values() for t in m.live)

    def _gang_state(self, job_id: JobId, hold: Hold) -> str:
        job = self.mirror.jobs.get(job_id)
        # Of a cancelled gang nobody wants the result; what counts is that it is gone. Else it
        # would count against its team's limit for ever.
        if job is not None and job.open and self.done_gangs.get(job_id) == hold.attempt:
            return "done"
        if not self._gang_wanted(job_id):
            return "busy" if self._gang_there(job_id, hold) else "clear"
        if hold.bad:
            return "bad"
        if any(self._leaving(m) for m in hold.places.values()):
            return "bad"
        if hold.launched >= hold.places.keys():
            return "on"
        return "held"

    def _leaving(self, machine_id: MachineId) -> bool:
        machine = self.machines.get(machine_id)
        return machine is not None and machine.notice is not None

    def _gang_there(self, job_id: JobId, hold: Hold) -> bool:
        for machine_id in set(hold.places.values()):
            if machine_id not in self.mirror.machines:
                continue
            if machine_id in self.unheard:
                return True
            machine = self.machines.get(machine_id)
            if machine is not None and any(t.job == job_id for t in machine.live):
                return True
        return False

    def _machine_status(self, now: Seconds, machine: Machine) -> dict[str, Any]:
        held = self._held_size(machine.id)
        ends = []
        for task, live in machine.live.items():
            if live.stage == "exited":
                continue
            spec = self._spec(task)
            if spec is not None and not spec.gang:
                left = self._left(now, task, live)
                ends.append((round(left, 1), *spec.size, spec.rank))
        return {
            "free": tuple(self._free(machine).minus(held)),
            "ends": sorted(ends),
            "images": list(machine.images),
            "queued": sum(len(s.queue) for s in machine.slots),
            "usable": self._usable(now, machine),
            "heard": machine.heard,
            "silent": round(now - max(machine.last, self.started), 1),
            "idle": round(now - machine.idle_since, 1)
            if not machine.live and not machine.slots
            else 0.0,
            "leaving": machine.notice is not None or machine.slow,
            "faulty": self.faulty(now, machine),
            "wanted_gone": self._cancelled_there(machine),
        }

    def _cancelled_there(self, machine: Machine) -> bool:
        """Whether a task of a cancelled job is, or may be, on this machine."""
        for task, live in machine.live.items():
            job = self.mirror.jobs.get(task.job)
            if live.stage != "exited" and (job is None or not job.open):
                return True
        if machine.id not in self.unheard:
            return False
        return any(
            not job.open and (self.zone in job.grants or job.gang is not None)
            for _, job in self.mirror.each_live()
        )

    def status(self, now: Seconds) -> dict[str, Any]:
        """What the leader needs to know of this part: a state, not a change."""
        self.dirty = False
        jobs: dict[str, Any] = {}
        for job_id, singles in self.singles.items():
            placed = running = 0
            done, returned = [], []
            for index, single in singles.items():
                if single.state in (ON, ASSIGNED):
                    placed += 1
                    running += single.state == ON
                elif single.state == FINISHED:
                    done.append(index)
                elif single.state == RETURNED:
                    returned.append(index)
            jobs[job_id] = {
                "placed": placed,
                "running": running,
                "done": done,
                "returned": returned,
                "version": self.mirror.jobs[job_id].version,
            }
        clear = [
            job_id
            for job_id, job in self.mirror.each_live()
            if not job.open and self.zone in job.grants and not self._maybe_there(job_id)
        ]
        return {
            "kind": "part",
            "zone": self.zone,
            "token": self.token,
            "seen": self.mirror.revision,
            "machines": {
                m.id: self._machine_status(now, m)
                for m in self.machines.values()
                if m.id in self.mirror.machines
            },
            "jobs": jobs,
            "gangs": {
                job_id: (
                    hold.attempt,
                    self._gang_state(job_id, hold),
                    round(self.remaining_wait(now, job_id, hold), 1) if not hold.ready else 0.0,
                )
                for job_id, hold in self.holds.items()
            },
            "clear": clear,
            "unheard": len(self.unheard),
            "strangers": {
                m: (r.type, r.zone, r.spot, r.address) for m, r in self.strangers.items()
            },
            "estimates": self.estimates.dump(),
        }

    def running(self) -> Iterator[tuple[JobId, int]]:
        """Jobs with tasks on machines here, for display."""
        counts: dict[JobId, int] = {}
        for machine in self.machines.values():
            for task, live in machine.live.items():
                if live.stage == "running":
                    counts[task.job] = counts.get(task.job, 0) + 1
        yield from counts.items()
