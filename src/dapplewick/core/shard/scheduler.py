"""One part: the machines of one zone, their slots and queues, holds, backfill and stealing.

A state machine without I/O: it is given reports and changed records together with the time,
and answers with orders for the machine that reported and with a status for the leader. The
work for a report depends on the machine that sent it, not on how many there are.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Collection, Iterable, Iterator
from typing import Any

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import NEVER, Estimates
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.images import Images
from dapplewick.core.shard.preemption import stop_until_fits
from dapplewick.core.shard.queues import Queues
from dapplewick.core.shard.replicas import ReplicaPlacement
from dapplewick.core.shard.slow_machines import SpeedComparison
from dapplewick.core.shard.state import (
    EXITED,
    FETCHING,
    FLUSHING,
    GATHERING,
    RUNNING,
    ArrayTask,
    GangReservation,
    Machine,
    Slot,
    TaskAttempt,
    TaskState,
)
from dapplewick.core.shard.status import full_status
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.peers import ShardStatus
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import (
    IDS_PER_TOKEN,
    NO_RESOURCES,
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Resources,
    Seconds,
    ShardName,
    TaskIndex,
    TaskRef,
    zone_of,
)

log = logging.getLogger("dapplewick.part")

SAMPLE = 12  # machines looked at when a single joins
MAX_QUEUE = 8  # singles waiting behind one slot
LONG_WAIT_S = 15.0  # a single that waited this long goes back to the leader
MAX_HEARTBEAT_AGE_S = 6.0  # a machine silent for longer takes no new work
GRACE_S = 5.0  # over a task's own saving time, when it is stopped in order
RETRY_S = 2.0  # first pause after a failure, doubled with each further one
OVERRUN = 0.2  # a task that ran on beyond its estimate is expected to go on for this share
LOST_STARTS = 3  # reports in a row that miss what was sent, until no more is sent
UNREACHABLE_LEASE_FRACTION = (
    0.95  # of a lease: a session that ends within this time of a report was not silent
)
REPEATED_INCARNATION_LEASES = (
    4.0  # leases within which a second session ends on a machine that hears nothing
)
FORGET_S = 5.0  # a stored result is forgotten with the next orders, or after this time
MAX_STORED_RESULTS = 16  # or when there are so many
FAULTY = 4  # failures in a row, of different jobs, that make a machine suspect
REPLICA_WAIT_S = 4.0  # and a replica sooner
STEADY_S = 30.0  # a replica that ran for as long did not fail at once
STALL_S = 2.0  # a process that ticks later than this may have reports it has not read
SLOW_TICK_S = 1.0  # what looks at all machines, holds and waiting singles is done this often


class ShardScheduler:
    """The owner's view of one part."""

    def __init__(
        self,
        shard: ShardName,
        token: FencingToken,
        cache: WatchCache,
        estimates: Estimates,
        now: Seconds,
        *,
        tuning: Tuning | None = None,
        seed: int = 0,
        aimed: frozenset[str] = frozenset(),
        lease_s: Seconds = 15.0,
        report_s: Seconds = 2.5,
    ) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.token = token
        self.cache = cache
        self.estimates = estimates
        self.threshold = (tuning or Tuning()).threshold_s
        self._lease_s = lease_s
        # Since when silence counts: reports were refused before, or could not be read, or this
        # ownership had not begun.
        self.listening_since = now
        self._ticked_at = now
        self.random = random.Random(seed ^ token)
        self.machines: dict[MachineId, Machine] = {}
        self.array_tasks: dict[JobId, dict[int, ArrayTask]] = {}
        self.reservations: dict[JobId, GangReservation] = {}
        self._reservations_on: dict[MachineId, dict[JobId, GangReservation]] = {}
        self.queues = Queues()
        self.images = Images()
        self.later: list[TaskRef] = []
        self.done_gangs: dict[JobId, int] = {}
        self._speed = SpeedComparison()
        self._replicas = ReplicaPlacement(self, report_s)
        self._has_unconfirmed = False  # whether any single may be on a machine not yet heard
        self._slow_at = -1e9
        self._few = False  # whether few idle slots of the gangs' size are left
        self.touched = ChangeLog()
        self.demand = AcceleratorDemand(cache, aimed)
        self.gang_demand = GangDemand(cache, (tuning or Tuning()).spare_slots)
        self.demand.update(now, now)
        self._attempts = 0
        # Tasks granted before this ownership may be on any machine the old owner could use:
        # until each of those was heard under our token, or is deleted, they wait.
        self.unreconciled: set[MachineId] = {
            m for m, r in cache.machines.items() if r.shard == shard and r.up
        }
        for machine in cache.machines:
            if machine in self.unreconciled:
                self._machine(machine, now)
        for job_id in list(cache.live_jobs):
            self.job_changed(now, job_id, failover=True)
        self._release_unconfirmed(now)

    @property
    def dirty(self) -> bool:
        """Whether anything happened that the leader should hear of soon."""
        return self.touched.dirty

    @dirty.setter
    def dirty(self, dirty: bool) -> None:
        self.touched.dirty = dirty

    # Inputs

    def job_changed(self, now: Seconds, job_id: JobId, failover: bool = False) -> None:
        """A job's record has changed."""
        job = self.cache.jobs.get(job_id)
        assigned = job.assigned(self.shard) - job.done if job is not None and job.open else set()
        array_tasks = self.array_tasks.get(job_id)
        replicas = False
        if assigned or array_tasks:
            array_tasks = self.array_tasks.setdefault(job_id, {})
            for index in [i for i in array_tasks if i not in assigned]:
                self._drop(TaskRef(job_id, TaskIndex(index)), array_tasks.pop(index))
            self._has_unconfirmed = self._has_unconfirmed or (failover and bool(assigned))
            for index, array_task in array_tasks.items():
                # What was given back under an older version of the record and is granted in
                # this one was granted anew, or was not yet heard: the leader only takes back
                # what was said of the version that it changes. So it may run here again. That is
                # the version of its own key: another chunk of the same job may be written in
                # the same pass, before the one in which this task is taken back.
                if (
                    array_task.state == TaskState.RELEASED
                    and job is not None
                    and job.task_version(index) != array_task.released
                ):
                    self._requeue(now, TaskRef(job_id, TaskIndex(index)), array_task, failed=False)
            for index in sorted(assigned - array_tasks.keys()):
                task = TaskRef(job_id, TaskIndex(index))
                array_tasks[index] = ArrayTask(
                    TaskState.UNCONFIRMED if failover else TaskState.WAITING, now
                )
                if not failover:
                    self.queues.unqueued.append(task)
                    replicas = replicas or (job is not None and job.spec.is_service)
            if not array_tasks:
                del self.array_tasks[job_id]
            self.touched.job(job_id)
        self._gang_changed(now, job_id, job, failover)
        self.touched.dirty = True
        if replicas:
            self._join_all(now)  # not only with the next tick: users wait for them

    def _gang_changed(
        self, now: Seconds, job_id: JobId, job: JobRecord | None, failover: bool
    ) -> None:
        reservation = self.reservations.get(job_id)
        gang = job.gang if job is not None else None
        if gang is None or self.shard not in gang.shards():
            if reservation is not None:
                self._remove_reservation(job_id, reservation)
            self.done_gangs.pop(job_id, None)
            return
        if reservation is None or reservation.attempt != gang.attempt:
            placements = {
                i: MachineId(m)
                for i, (shard, m) in enumerate(gang.placements)
                if shard == self.shard
            }
            reservation = GangReservation(gang.attempt, placements, now)
            if failover:
                # Whether the old owner has sent the starts is unknown. An attempt is never
                # started twice, so what is not found on its machine ends this attempt.
                reservation.inherited = reservation.ready = True
                reservation.launched = set(placements)
            if job_id in self.reservations:
                self._remove_reservation(job_id, self.reservations[job_id])
            self.reservations[job_id] = reservation
            if any(m not in self.cache.machines for m in reservation.on):
                # Gone before this hold was known here: no change of its record will tell.
                reservation.bad = "machine gone"
            for machine_id in reservation.on:
                self._reservations_on.setdefault(machine_id, {})[job_id] = reservation
                self.touched.machine(machine_id)
        reservation.preempt = gang.preempt
        if not failover:
            self._check_reservation(now, job_id, reservation)

    def _remove_reservation(self, job_id: JobId, reservation: GangReservation) -> None:
        del self.reservations[job_id]
        for machine_id in reservation.on:
            there = self._reservations_on.get(machine_id)
            if there is not None:
                there.pop(job_id, None)
                if not there:
                    del self._reservations_on[machine_id]
            self.touched.machine(machine_id)

    def machine_changed(self, now: Seconds, machine_id: MachineId) -> None:
        """A machine's record has changed; without one it is gone, with all that was on it."""
        record = self.cache.machines.get(machine_id)
        self.touched.machine(machine_id)
        if record is not None:
            machine = self.machines.get(machine_id)
            if machine is not None and record.shard != self.shard:
                self._handed_over(machine)
            elif machine is not None:
                self._note_usable(now, machine)
            elif record.shard == self.shard and record.up and record.floor:
                # Handed over to us: if it never reports, it is to be seen as silent.
                self._machine(machine_id, now)
            return
        self.unreconciled.discard(machine_id)
        machine = self.machines.pop(machine_id, None)
        had_replicas = False
        if machine is not None:
            had_replicas = machine.has_replicas() or any(s.endless for s in machine.slots)
            self.images.clear(machine)
            self._requeue_slots(machine)
            for task in list(machine.task_attempts):
                self._gone(now, machine, task, "machine gone")
        for job_id, reservation in self._reservations_on.get(machine_id, {}).items():
            if not reservation.bad:
                reservation.bad = "machine gone"
                log.info("event=gang_failed job=%s reason=machine_gone", job_id)
        self._release_unconfirmed(now)
        self.touched.dirty = True
        if had_replicas:
            self._join_all(now)  # not only with the next tick: users wait for them

    def _handed_over(self, machine: Machine) -> None:
        """A machine belongs to another part now. It was told to be empty before, so nothing of
        ours can be on it; it is forgotten, and nothing is started elsewhere for that."""
        self.images.clear(machine)
        self._requeue_slots(machine)
        for task in machine.task_attempts:
            log.error("event=machine_transferred_with_task task=%s/%d", task.job, task.number)
        self.unreconciled.discard(machine.id)
        del self.machines[machine.id]
        self.touched.dirty = True

    def token_for(self, machine_id: MachineId) -> FencingToken:
        """The token that commands to a machine's worker carry."""
        return self.cache.token_for(machine_id, self.token)

    def drained(self) -> list[MachineId]:
        """Machines that a transfer drains, and on which nothing is nor may come: each was heard
        under our token, and no new work goes there as long as the transfer stands."""
        return [
            machine_id
            for machine_id in self.cache.transfers.drained()
            if (machine := self.machines.get(machine_id)) is not None
            and machine.reconciled
            and machine_id not in self.unreconciled
            and not machine.task_attempts
            and not machine.slots
            and not self._promised(machine_id)
        ]

    def _promised(self, machine_id: MachineId) -> bool:
        """Whether a gang that is not over names this machine: its start may still go out."""
        return any(
            (job := self.cache.jobs.get(job_id)) is not None and job.gang is not None
            for job_id in self._reservations_on.get(machine_id, ())
        )

    def refuse(self, now: Seconds) -> None:
        """Reports are refused now: that machines are not heard says nothing of them."""
        self.listening_since = now

    def handle_heartbeat(
        self, now: Seconds, heartbeat: Heartbeat, may_launch: bool
    ) -> list[Command]:
        """Handle a worker's report; gives the orders for its machine."""
        record = self.cache.machines.get(heartbeat.machine)
        if record is None or record.shard != self.shard:
            # Another part's. Or nothing was ever launched on a machine without a record, or it is
            # gone: a late copy of a report would otherwise bring it back with its tasks.
            return []
        machine = self._machine(heartbeat.machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= machine.newest_heartbeat:
            return []
        new_incarnation = heartbeat.incarnation > machine.newest_heartbeat[0]
        if (
            new_incarnation
            and machine.reconciled
            and machine.last_confirmed_at > self.listening_since
        ):
            # A lease that ended while we answered its reports: the answers don't reach it. It
            # asks all controllers in turn, so its reports here may also be a lease apart; then
            # the second end soon after the first tells.
            again = now - machine.incarnation_ended_at < self._lease_s * REPEATED_INCARNATION_LEASES
            if (
                again
                or now - machine.last_confirmed_at < self._lease_s * UNREACHABLE_LEASE_FRACTION
            ):
                machine.unreachable = True
                log.info("event=machine_unreachable machine=%s", machine.id)
            machine.incarnation_ended_at = now
        machine.newest_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
        machine.last_heartbeat_at = now
        machine.type = heartbeat.type
        machine.spot = heartbeat.spot
        machine.address = heartbeat.address
        machine.spot_notice_s = heartbeat.spot_notice_s
        known = self.cache.types.get(heartbeat.type)
        if known is not None:
            machine.capacity = known.resources
        # A report from before our token was seen may miss starts of the old owner that are
        # still under way; only one that carries our token settles what is not there.
        is_current = heartbeat.token == self.token_for(heartbeat.machine)
        if is_current:
            machine.last_confirmed_at = now
        if is_current and not machine.reconciled:
            machine.reconciled = True
            self.touched.dirty = True
            self.touched.machine(machine.id)
            self.unreconciled.discard(heartbeat.machine)
        if new_incarnation:
            self.images.clear(machine)
        had = bool(machine.task_attempts)
        commands = self._take_tasks(now, machine, heartbeat, is_current, new_incarnation)
        if is_current:
            self._release_unconfirmed(now)
        for job_id, reservation in self._reservations_on.get(machine.id, {}).items():
            self._check_reservation(now, job_id, reservation)
        commands += self._stops(now, machine)
        usable = self._note_usable(now, machine)
        if usable and may_launch and is_current:
            commands += self._launches(now, machine)
        elif may_launch and is_current and self._is_drained_only(now, machine):
            # A gang that is about to start gets its slots before the machine goes.
            commands += self._gang_launches(now, machine)
        if machine.stored:
            drained = self.cache.transfers.drains(machine.id) is not None
            commands = self._forget_stored(now, machine, drained or bool(commands)) + commands
        # Replicas alone keep a machine, but its time without other work counts.
        busy = any(
            task_attempt.stage != EXITED
            and not (task_attempt.spec is not None and task_attempt.spec.is_service)
            for task_attempt in machine.task_attempts.values()
        )
        # One that lost its tasks only now, as with its lease in an outage, is not idle yet.
        if busy or (had and not machine.task_attempts) or self._reserved_slots_on(machine.id):
            machine.idle_since = now
        return commands

    def _forget_stored(self, now: Seconds, machine: Machine, now_anyway: bool) -> list[Command]:
        """Each change of its tasks makes a worker report, so what need not be forgotten at once
        waits for orders that change something anyway."""
        stored = machine.stored
        for task in [t for t in stored if t not in machine.task_attempts]:
            del stored[task]
        oldest = min(stored.values(), default=now)
        if not (now_anyway or len(stored) >= MAX_STORED_RESULTS or now - oldest > FORGET_S):
            return []
        commands = [Command("forget", t, machine.task_attempts[t].attempt) for t in stored]
        for task in stored:
            self._remove_task_attempt(machine, task)
        machine.stored = {}
        return commands

    def _note_usable(self, now: Seconds, machine: Machine) -> bool:
        usable = self._usable(now, machine)
        if usable != machine.was_usable:
            machine.was_usable = usable
            self.touched.machine(machine.id)
            self.touched.dirty = True
        return usable

    def tick(self, now: Seconds, wall: Seconds = 0.0, followed: bool = True) -> None:
        """Time has passed. `followed`: the records are being followed, so the leader may be."""
        if now - self._ticked_at > STALL_S:
            # This process stood still, and the reports that came meanwhile are not read yet.
            # Without this, all machines with replicas were deleted as silent when it went on.
            self.listening_since = now
        self._ticked_at = now
        if self.later:
            ready = [t for t in self.later if self._not_before(t) <= now]
            if ready:
                self.later = [t for t in self.later if self._not_before(t) > now]
                self.queues.unqueued.extend(ready)
        if now - self._slow_at >= SLOW_TICK_S:
            self._slow_at = now
            self._speed.update(self.machines.values())
            self.demand.update(now, wall)
            self.gang_demand.update(now)
            self._few = self._few_slots()
            for machine in self.machines.values():
                if not self._note_usable(now, machine) and machine.slots:
                    self._requeue_slots(machine)
            for job_id, reservation in self.reservations.items():
                self._check_reservation(now, job_id, reservation)
            for machine in self._replicas.drain_dear(now, bool(self.queues.unqueued)):
                self._note_usable(now, machine)
            if followed:
                # In an outage nobody could give it to another part, and here it may still start.
                self._release_long_waits(now)
        self._join_all(now)

    # Bookkeeping of what is where

    def _machine(self, machine_id: MachineId, now: Seconds) -> Machine:
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = self.machines[machine_id] = Machine(machine_id, now)
            record = self.cache.machines.get(machine_id)
            if record is not None:
                machine.type, machine.spot = record.type, record.spot
                known = self.cache.types.get(record.type)
                if known is not None:
                    machine.capacity = known.resources
        return machine

    def _array_task(self, task: TaskRef) -> ArrayTask | None:
        array_tasks = self.array_tasks.get(task.job)
        return array_tasks.get(task.number) if array_tasks is not None else None

    def _not_before(self, task: TaskRef) -> Seconds:
        array_task = self._array_task(task)
        return array_task.not_before if array_task is not None else 0.0

    def _spec(self, task: TaskRef) -> JobSpec | None:
        job = self.cache.jobs.get(task.job)
        return job.spec if job is not None else None

    def _usable(self, now: Seconds, machine: Machine) -> bool:
        """Whether new work may go to this machine."""
        if self.cache.transfers.drains(machine.id) is not None:
            return False
        return self._fit_for_work(now, machine)

    def _is_drained_only(self, now: Seconds, machine: Machine) -> bool:
        """Whether nothing but a transfer keeps new work from this machine."""
        drained = self.cache.transfers.drains(machine.id) is not None
        return drained and self._fit_for_work(now, machine)

    def _fit_for_work(self, now: Seconds, machine: Machine) -> bool:
        """Whether a machine is ours, up, and takes what it is told."""
        record = self.cache.machines.get(machine.id)
        return (
            record is not None
            and record.shard == self.shard
            and record.up
            and not record.terminating
            and machine.reconciled
            and machine.spot_notice_s is None
            and now - machine.last_heartbeat_at < MAX_HEARTBEAT_AGE_S
            and not self.faulty(now, machine)
            and not machine.slow
            and not machine.drain
            and not machine.unreachable
            and machine.lost_starts < LOST_STARTS
        )

    def faulty(self, now: Seconds, machine: Machine) -> bool:
        """Whether tasks of several jobs have failed here and none has completed since."""
        return len(machine.failures) >= FAULTY

    def _size(self, task: TaskRef) -> Resources:
        job = self.cache.jobs.get(task.job)
        return job.resources if job is not None else NO_RESOURCES

    def _changed(self, machine: Machine) -> None:
        """What is on this machine, or meant for it, has changed."""
        machine.used = None
        self.touched.machine(machine.id)
        self.touched.dirty = True

    def _free_for(self, machine: Machine, spec: JobSpec) -> Resources:
        """The free room that this work may use."""
        free = machine.free()
        if spec.gpus > 0 or spec.is_service:
            return free
        reserve = self.demand.reserve(machine.capacity, free)
        if self._few and self.gang_demand.applies(spec):
            free = self.gang_demand.rest(free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)

    def _few_slots(self) -> bool:
        """Whether no more idle slots are left here than are kept for gangs."""
        resources = self.gang_demand.resources
        elsewhere = any(
            m.was_usable and not resources.fits_in(m.capacity) for m in self.machines.values()
        )
        kept = self.gang_demand.kept_slots(elsewhere)
        if kept < 0.5:
            return False
        idle = sum(resources.count_in(m.free()) for m in self.machines.values())
        return idle <= math.ceil(kept / max(1, len(self.cache.shards)))

    def _reserved_slots_on(self, machine_id: MachineId) -> list[tuple[JobId, GangReservation, int]]:
        """Held slots of this machine whose start has not gone out."""
        reservations = self._reservations_on.get(machine_id)
        if not reservations:
            return []
        return [
            (job_id, reservation, index)
            for job_id, reservation in reservations.items()
            if not reservation.bad and self._gang_wanted(job_id)
            for index in reservation.on[machine_id]
            if index not in reservation.launched
        ]

    def _gang_wanted(self, job_id: JobId) -> bool:
        job = self.cache.jobs.get(job_id)
        return job is not None and job.open and job.gang is not None and not job.gang.over

    def reserved_resources(self, machine_id: MachineId) -> Resources:
        if machine_id not in self._reservations_on:
            return NO_RESOURCES
        resources = NO_RESOURCES
        for job_id, _, _ in self._reserved_slots_on(machine_id):
            resources = resources.plus(self.cache.jobs[job_id].resources)
        return resources

    def _drop(self, task: TaskRef, array_task: ArrayTask) -> None:
        """The grant of a single is over: it is done, given back, or not wanted."""
        if array_task.queue is not None:
            slot = array_task.queue
            if slot.current == task and array_task.state == TaskState.ASSIGNED:
                slot.current = None
                self._slot_changed(slot)
            elif task in slot.queue:
                self.queues.leave(slot, task)
            array_task.queue = None

    def _slot_changed(self, slot: Slot) -> None:
        machine = self.machines.get(slot.machine)
        if machine is not None:
            self._changed(machine)

    def _set(self, task: TaskRef, array_task: ArrayTask, state: TaskState) -> None:
        array_task.state = state
        self.touched.job(task.job)
        self.touched.dirty = True

    def _take_tasks(
        self,
        now: Seconds,
        machine: Machine,
        heartbeat: Heartbeat,
        is_current: bool,
        new_incarnation: bool,
    ) -> list[Command]:
        """Take over what a report lists. One from before our token may be a late copy, and the
        task may long be elsewhere: it settles nothing, neither that a task is here nor that it
        is gone. What it shows counts as room taken until a newer one tells."""
        commands: list[Command] = []
        task_attempts = machine.task_attempts
        if is_current:
            listed = {t.task for t in heartbeat.tasks}
            self._count_lost_starts(now, machine, listed)
            for task in [t for t in task_attempts if t not in listed]:
                self._gone(now, machine, task, "not on its machine")
        for item in heartbeat.tasks:
            task = item.task
            task_attempt = task_attempts.get(task)
            if task_attempt is None or task_attempt.attempt != item.attempt:
                spec = self._spec(task)
                task_attempt = task_attempts[task] = TaskAttempt(
                    item.attempt, item.stage, now, False, spec
                )
                self._changed(machine)
            elif task_attempt.stage != item.stage or task_attempt.sent:
                self._changed(machine)
            if task_attempt.spec is None:
                task_attempt.describe(self._spec(task))
                machine.used = None
            task_attempt.sent = False
            task_attempt.stage = item.stage
            if task_attempt.spec is not None and item.stage in (FETCHING, RUNNING, GATHERING):
                self.images.add(machine, task_attempt.spec.image)
            if item.stage == RUNNING and task_attempt.running_at is None:
                task_attempt.running_at = now
            if is_current and item.stage == EXITED:
                commands += self._exited(now, machine, item, task_attempt)
            elif is_current:
                self._present(now, machine, item)
        if is_current:
            for job_id, reservation in self._reservations_on.get(machine.id, {}).items():
                if reservation.bad or self.done_gangs.get(job_id) == reservation.attempt:
                    continue
                for index in reservation.on[machine.id]:
                    if (
                        index not in reservation.launched
                        or TaskRef(job_id, TaskIndex(index)) in task_attempts
                    ):
                        continue
                    # A start that was never seen was dropped with its answer, unless the
                    # worker has begun a new session: then it may have run, and attempts
                    # are not repeated.
                    if index in reservation.seen or reservation.inherited or new_incarnation:
                        reservation.bad = "start lost"
                    else:
                        reservation.launched.discard(index)
                    self._changed(machine)
        return commands

    def _count_lost_starts(self, now: Seconds, machine: Machine, listed: set[TaskRef]) -> None:
        """A machine that reports but never shows what it is told to start hears nothing."""
        sent = [task for task, task_attempt in machine.task_attempts.items() if task_attempt.sent]
        if any(task in listed for task in sent):
            machine.lost_starts = 0
        elif sent:
            machine.lost_starts += 1
            machine.lost_starts_at = now
        elif now - machine.lost_starts_at > self._lease_s:
            # Its lease would have ended by now if no answer had reached it.
            machine.lost_starts = 0

    def _present(self, now: Seconds, machine: Machine, item: TaskStatus) -> None:
        array_task = self._array_task(item.task)
        if array_task is not None:
            if array_task.state == TaskState.ON_MACHINE:
                if array_task.machine != machine.id:
                    log.error(
                        "event=task_on_two_machines task=%s/%d", item.task.job, item.task.number
                    )
                return
            if array_task.state in (TaskState.WAITING, TaskState.ASSIGNED, TaskState.RELEASED):
                log.error("event=task_unexpected task=%s/%d", item.task.job, item.task.number)
            if array_task.state != TaskState.FINISHED:
                self._drop(item.task, array_task)
                self._set(item.task, array_task, TaskState.ON_MACHINE)
                array_task.machine = machine.id
            return
        reservation = self.reservations.get(item.task.job)
        if (
            reservation is not None
            and reservation.attempt == item.attempt
            and reservation.placements.get(item.task.number) == machine.id
        ):
            reservation.launched.add(item.task.number)
            reservation.seen.add(item.task.number)

    def _exited(
        self, now: Seconds, machine: Machine, item: TaskStatus, task_attempt: TaskAttempt
    ) -> list[Command]:
        """An exited task: keep a result until it is stored, forget everything else."""
        task = item.task
        job = self.cache.jobs.get(task.job)
        array_task = self._array_task(task)
        forget = [Command("forget", task, item.attempt)]
        replica = job is not None and job.open and job.spec.is_service
        if item.cause == "done" and not replica:
            machine.failures.clear()
            if job is None or not job.open or task.number in job.done:
                self._leave_slot(machine, task)
                machine.stored.setdefault(task, now)
                return []
            reservation = self.reservations.get(task.job)
            if array_task is not None:
                if array_task.state != TaskState.FINISHED:
                    self._learn(now, machine, task, task_attempt, array_task)
                    self._leave_slot(machine, task)
                    self._set(task, array_task, TaskState.FINISHED)
                    array_task.machine = machine.id
            elif reservation is not None and reservation.attempt == item.attempt:
                if self.done_gangs.get(task.job) != item.attempt:
                    self.done_gangs[task.job] = reservation.attempt
                    self._learn(now, machine, task, task_attempt, None)
                    self.touched.dirty = True
            else:
                # A result that nothing here accounts for: not used, and not kept.
                self._remove_task_attempt(machine, task)
                return forget
            return []
        log.debug(
            "event=task_exited task=%s/%d attempt=%d machine=%s cause=%s",
            task.job,
            task.number,
            item.attempt,
            machine.id,
            item.cause,
        )
        reservation = self.reservations.get(task.job)
        if reservation is not None and reservation.attempt == item.attempt and not reservation.bad:
            reservation.bad = item.cause or "exited"
            log.info("event=gang_failed job=%s reason=%s", task.job, reservation.bad)
        if item.cause in ("error", "no_such"):
            machine.failures[task.job] = now
        self._remove_task_attempt(machine, task)
        if (
            array_task is not None
            and array_task.machine == machine.id
            and array_task.state == TaskState.ON_MACHINE
        ):
            if (
                replica
                and task_attempt.running_at is not None
                and now - task_attempt.running_at > STEADY_S
            ):
                array_task.fails = 0
            self._requeue(
                now, task, array_task, failed=item.cause not in ("halted", "full", "peers")
            )
        self.touched.dirty = True
        return forget

    def _learn(
        self,
        now: Seconds,
        machine: Machine,
        task: TaskRef,
        task_attempt: TaskAttempt,
        array_task: ArrayTask | None,
    ) -> None:
        spec = self._spec(task)
        if (
            spec is None
            or task_attempt.running_at is None
            or (array_task is not None and array_task.fails)
        ):
            return
        if spec.is_service:
            return
        ran = max(0.5, now - task_attempt.running_at)
        self.estimates.learn(spec.job_class, spec.estimated_run_s, ran)
        if array_task is None or spec.estimated_run_s <= 0.0:
            return
        self._speed.note(machine, task.job, ran, spec.estimated_run_s)

    def _remove_task_attempt(self, machine: Machine, task: TaskRef) -> None:
        if machine.task_attempts.pop(task, None) is not None:
            self._changed(machine)
        self._leave_slot(machine, task)

    def _leave_slot(self, machine: Machine, task: TaskRef) -> None:
        slot = machine.slot_of(task)
        if slot is None:
            return
        # An old attempt whose `forget` was lost is reported again after its task was assigned
        # anew to the same machine: that slot stays the task's.
        array_task = self._array_task(task)
        if array_task is None or array_task.queue is not slot:
            slot.current = None
            self._changed(machine)

    def _gone(self, now: Seconds, machine: Machine, task: TaskRef, why: str) -> None:
        """A task is known not to be on its machine any more."""
        task_attempt = machine.task_attempts.get(task)
        self._remove_task_attempt(machine, task)
        self.touched.dirty = True
        array_task = self._array_task(task)
        if array_task is not None and array_task.machine == machine.id:
            if array_task.state in (TaskState.ON_MACHINE, TaskState.FINISHED):
                # A result that vanished before it was stored has to be made again.
                self._requeue(now, task, array_task, failed=False)
            return
        reservation = self.reservations.get(task.job)
        if (
            reservation is not None
            and task_attempt is not None
            and reservation.attempt == task_attempt.attempt
            and not task_attempt.sent
            and not reservation.bad
            and self.done_gangs.get(task.job) != reservation.attempt
        ):
            reservation.bad = why

    def _requeue(self, now: Seconds, task: TaskRef, array_task: ArrayTask, failed: bool) -> None:
        self._set(task, array_task, TaskState.WAITING)
        array_task.machine = None
        array_task.since = now
        array_task.queue = None
        if failed:
            array_task.fails += 1
            # A replica is wanted back at once; only one that fails again and again is paused.
            spec = self._spec(task)
            power = array_task.fails - (2 if spec is not None and spec.is_service else 1)
            pause = min(60.0, RETRY_S * 2.0**power) if power >= 0 else 0.0
            array_task.not_before = now + pause
            self.later.append(task)
        else:
            self.queues.unqueued.append(task)

    def _release_unconfirmed(self, now: Seconds) -> None:
        if self.unreconciled or not self._has_unconfirmed:
            return
        self._has_unconfirmed = False
        for job_id, array_tasks in self.array_tasks.items():
            for index, array_task in array_tasks.items():
                if array_task.state == TaskState.UNCONFIRMED:
                    task = TaskRef(job_id, TaskIndex(index))
                    self._set(task, array_task, TaskState.WAITING)
                    array_task.since = now
                    self.queues.unqueued.append(task)

    # The design's first point: joining, queues and stealing

    def allowed(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a job may use a machine of this type and kind, in this zone."""
        return (
            (spec.types is None or machine.type in spec.types)
            and (spec.spot or not machine.spot)
            and (spec.zone is None or spec.zone == self.zone)
        )

    def _join_all(self, now: Seconds) -> None:
        if not self.queues.unqueued:
            return
        usable = [m for m in self.machines.values() if m.was_usable]
        waiting = list(self.queues.unqueued)
        unqueued = self.queues.unqueued
        unqueued.clear()
        stuck: set[Any] = set()
        able: dict[Any, list[Machine]] = {}
        for task in waiting:
            array_task = self._array_task(task)
            if (
                array_task is None
                or array_task.state != TaskState.WAITING
                or array_task.queue is not None
            ):
                continue
            spec = self._spec(task)
            if spec is None:
                unqueued.append(task)
                continue
            # Where one task finds no queue, the next that is alike finds none either.
            placement_key = spec.placement_key
            if placement_key in stuck:
                unqueued.append(task)
                continue
            machines = able.get(placement_key)
            if machines is None:
                resources = spec.resources
                machines = able[placement_key] = [
                    m for m in usable if self.allowed(spec, m) and resources.fits_in(m.capacity)
                ]
            if not self._join(now, task, array_task, spec, machines):
                stuck.add(placement_key)
                unqueued.append(task)

    def _join(
        self, now: Seconds, task: TaskRef, array_task: ArrayTask, spec: JobSpec, able: list[Machine]
    ) -> bool:
        """A single joins an idle slot, else a held one that it passes, else the shortest queue."""
        if spec.is_service:
            return self._join_replica(now, task, spec, able)
        if len(able) > SAMPLE:
            able = self._sample(spec, able)
        resources = spec.resources
        best: tuple[tuple[float, ...], Machine] | None = None
        fits: list[Machine] = []
        for machine in able:
            free = self._free_for(machine, spec)
            if not resources.fits_in(free):
                continue
            fits.append(machine)
            if not resources.fits_in(free.minus(self.reserved_resources(machine.id))):
                continue
            spare_gpus = machine.capacity.gpus if spec.gpus == 0 else 0.0
            cold = 0.0 if spec.image in machine.images else 1.0 + machine.fetches()
            key = (spare_gpus, cold, free.cpus)
            if best is None or key < best[0]:
                best = (key, machine)
        if best is None:
            for machine in fits:
                if self._passes(now, spec, machine):
                    best = ((), machine)
                    break
        if best is not None:
            machine = best[1]
            slot = Slot(machine.id)
            machine.slots.append(slot)
            self._put_in(task, slot)
            machine.idle_since = now
            return True
        queues = [
            (len(s.queue), cold, s)
            for m in able
            for cold in [spec.image not in m.images]
            for s in m.slots
            if len(s.queue) < MAX_QUEUE and not s.endless
        ]
        if not queues:
            return False
        # Of the shortest, one where the image is: fetching takes longer than many tasks run.
        shortest = min(queues, key=lambda q: q[:2])[2]
        self.queues.join(shortest, task)
        array_task.queue = shortest
        return True

    # Replicas of services: singles of their priority that are not expected to end

    def _join_replica(
        self, now: Seconds, task: TaskRef, spec: JobSpec, able: list[Machine]
    ) -> bool:
        """A replica joins the idle slot where it will run soonest, away from the others of its
        service and from machines that may be taken; else, by its priority, one that work of
        lower priority is stopped for. It waits in no queue: a slot's tasks may take long."""
        machine = self._replicas.best_machine(now, spec, task.job, able)
        if machine is None:
            return False
        slot = Slot(machine.id)
        machine.slots.append(slot)
        self._put_in(task, slot)
        machine.idle_since = now
        return True

    def _sample(self, spec: JobSpec, able: list[Machine]) -> list[Machine]:
        """Some machines to look at: of those with the image, and of all."""
        there = self.images.where(spec.image)
        chosen: list[Machine] = []
        if there:
            for machine_id in self.random.sample(list(there), min(len(there), SAMPLE // 2)):
                machine = self.machines.get(machine_id)
                if (
                    machine is not None
                    and machine.was_usable
                    and self.allowed(spec, machine)
                    and spec.resources.fits_in(machine.capacity)
                ):
                    chosen.append(machine)
        rest = self.random.sample(able, SAMPLE - len(chosen))
        return chosen + [m for m in rest if m not in chosen]

    def _passes(self, now: Seconds, spec: JobSpec, machine: Machine) -> bool:
        """The test of the design's fourth point, against every gang held on this machine."""
        if spec.is_service:
            return False  # it does not end before any gang's start
        reservations = {
            job_id: reservation for job_id, reservation, _ in self._reserved_slots_on(machine.id)
        }
        # Where singles are stopped for a gang, its wait ends with the last of them: one that
        # passed by its estimate was stopped with the next report, over and over.
        if any(reservation.ready or reservation.preempt for reservation in reservations.values()):
            return False
        estimate = self.estimates.run_time(spec)
        return all(
            estimate <= self.remaining_wait(now, job_id, reservation) + self.threshold
            for job_id, reservation in reservations.items()
        )

    def remaining_wait(self, now: Seconds, job_id: JobId, reservation: GangReservation) -> Seconds:
        """Time until the latest estimated end among the gang's held slots, at least zero."""
        if reservation.wait_at != now:
            latest = 0.0
            for machine_id in reservation.on:
                machine = self.machines.get(machine_id)
                if machine is not None:
                    latest = max(latest, self._room_in(now, machine))
            reservation.wait_at, reservation.wait_s = now, latest
        return reservation.wait_s

    def _room_in(self, now: Seconds, machine: Machine) -> Seconds:
        """Estimated time until all that is held on a machine is idle."""
        need = self.reserved_resources(machine.id)
        room = machine.free()
        if need.fits_in(room):
            return 0.0
        ends = sorted(
            (self.left(now, task_attempt), task_attempt.resources)
            for task_attempt in machine.task_attempts.values()
            if task_attempt.stage != EXITED
        )
        for left, resources in ends:
            room = room.plus(resources)
            if need.fits_in(room):
                return left
        return ends[-1][0] if ends else 0.0

    def left(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """How much longer a task is estimated to run."""
        if task_attempt.spec is None or task_attempt.stopped:
            return 0.0
        estimate = self.estimates.run_time(task_attempt.spec)
        if task_attempt.running_at is None or estimate >= NEVER:
            return estimate
        return max(0.0, estimate - (now - task_attempt.running_at))

    def expected_left(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """The same where slots are chosen: what runs for longer than estimated goes on for a
        while more often than it ends now."""
        left = self.left(now, task_attempt)
        if task_attempt.running_at is None or task_attempt.stopped:
            return left
        return max(left, OVERRUN * (now - task_attempt.running_at))

    def _fitting(self, now: Seconds, machine: Machine, jobs: Iterable[JobId]) -> dict[JobId, None]:
        """The jobs of which a single may start on this machine now, those first whose image
        is there: among queues that are equally long it decides."""
        held = self.reserved_resources(machine.id)
        shard_capacities: dict[tuple[bool, int, bool], Resources] = {}
        warm: dict[JobId, None] = {}
        cold: dict[JobId, None] = {}
        for job_id in jobs:
            job = self.cache.jobs.get(job_id)
            if job is None or not self.allowed(job.spec, machine):
                continue
            spec = job.spec
            if spec.is_service and any(t.job == job_id for t in machine.task_attempts):
                continue  # away from the others of its service, where there is a choice
            kind = (spec.gpus > 0, spec.priority, spec.is_service)
            room = shard_capacities.get(kind)
            if room is None:
                room = shard_capacities[kind] = self._free_for(machine, spec)
            if not job.resources.fits_in(room):
                continue
            beside = held is NO_RESOURCES or job.resources.fits_in(room.minus(held))
            if beside or self._passes(now, spec, machine):
                (warm if spec.image in machine.images else cold)[job_id] = None
        return warm | cold

    def _next(
        self,
        now: Seconds,
        machine: Machine,
        queue: Iterable[TaskRef],
        fitting: Collection[JobId],
    ) -> TaskRef | None:
        """The first single of a queue that may start on this machine now, preferably one
        whose image is there."""
        cold: TaskRef | None = None
        for task in queue:
            if task.job not in fitting:
                continue
            spec = self._spec(task)
            array_task = self._array_task(task)
            if spec is None or array_task is None or array_task.not_before > now:
                continue
            if spec.image in machine.images:
                return task
            cold = cold or task
        return cold

    def _launches(self, now: Seconds, machine: Machine) -> list[Command]:
        commands = self._gang_launches(now, machine)
        if machine.free().cpus > 1e-6:
            for slot in machine.slots:
                if slot.current is None and slot.queue:
                    fitting = self._fitting(now, machine, dict.fromkeys(t.job for t in slot.queue))
                    task = self._next(now, machine, slot.queue, fitting)
                    if task is not None:
                        self.queues.leave(slot, task)
                        self._put_in(task, slot)
            self._steal(now, machine)
        kept: list[Slot] = []
        for slot in machine.slots:
            task = slot.current
            if task is not None and task not in machine.task_attempts:
                array_task = self._array_task(task)
                if slot.endless and not NO_RESOURCES.fits_in(machine.free()):
                    kept.append(slot)  # what is stopped for it is not gone yet
                    continue
                if array_task is not None and array_task.state == TaskState.ASSIGNED:
                    commands.append(self._start(now, machine, task, self._new_attempt()))
                    self._set(task, array_task, TaskState.ON_MACHINE)
                    array_task.queue = None
                else:
                    slot.current = None
                    self._changed(machine)
            if slot.current is not None:
                kept.append(slot)
            else:
                for queued in self.queues.empty(slot):
                    self._unqueue(queued)
        machine.slots = kept
        return commands

    def _put_in(self, task: TaskRef, slot: Slot) -> None:
        array_task = self._array_task(task)
        assert array_task is not None
        slot.current = task
        slot.resources = self._size(task)
        self._set(task, array_task, TaskState.ASSIGNED)
        array_task.machine = slot.machine
        array_task.queue = slot
        spec, machine = self._spec(task), self.machines.get(slot.machine)
        if spec is not None and machine is not None:
            slot.image = spec.image
            slot.endless = spec.is_service
            self.images.add(machine, spec.image)
        self._slot_changed(slot)

    def _steal(self, now: Seconds, machine: Machine) -> None:
        """Room with a dry queue takes the last single of the part's longest queue."""
        queues = self.queues
        fitting: Iterable[JobId] = queues.waiting_jobs()
        while machine.free().cpus > 1e-6:
            fits = fitting = self._fitting(now, machine, fitting)
            if not fits:
                return
            source: Slot | None = None
            task: TaskRef | None = None
            for source in queues.longest_first(fits):
                queue = queues.unqueued if source is None else source.queue
                task = self._next(now, machine, reversed(queue), fits)
                if task is not None:
                    break
            if task is None:
                return
            if source is None:
                queues.unqueued.remove(task)
            else:
                queues.leave(source, task)
            slot = Slot(machine.id)
            machine.slots.append(slot)
            self._put_in(task, slot)

    def _unqueue(self, task: TaskRef) -> None:
        array_task = self._array_task(task)
        if array_task is not None and array_task.state in (TaskState.WAITING, TaskState.ASSIGNED):
            self._set(task, array_task, TaskState.WAITING)
            array_task.queue = None
            array_task.machine = None
            self.queues.unqueued.append(task)

    def _requeue_slots(self, machine: Machine) -> None:
        """A machine takes no new work: what was only meant for it joins anew."""
        for slot in machine.slots:
            for task in self.queues.empty(slot):
                self._unqueue(task)
            if slot.current is not None and slot.current not in machine.task_attempts:
                self._unqueue(slot.current)
        machine.slots = [s for s in machine.slots if s.current in machine.task_attempts]
        self._changed(machine)

    def _new_attempt(self) -> Attempt:
        self._attempts += 1
        return Attempt(self.token * IDS_PER_TOKEN + self._attempts)

    def _start(self, now: Seconds, machine: Machine, task: TaskRef, attempt: Attempt) -> Command:
        spec = self._spec(task)
        machine.task_attempts[task] = TaskAttempt(attempt, FETCHING, now, True, spec)
        if spec is not None:
            self.images.add(machine, spec.image)
        machine.idle_since = now
        self._changed(machine)
        log.debug(
            "event=task_launched task=%s/%d attempt=%d machine=%s",
            task.job,
            task.number,
            attempt,
            machine.id,
        )
        return Command("start", task, attempt)

    def _release_long_waits(self, now: Seconds) -> None:
        """Singles that find no room here go back to the leader, which may know better."""
        for job_id, array_tasks in self.array_tasks.items():
            job = self.cache.jobs.get(job_id)
            replica = job is not None and job.spec.is_service
            for index, array_task in array_tasks.items():
                if array_task.state not in (TaskState.WAITING, TaskState.ASSIGNED):
                    continue
                patience = (
                    REPLICA_WAIT_S
                    if replica and array_task.state == TaskState.WAITING
                    else LONG_WAIT_S
                )
                if now - max(array_task.since, array_task.not_before) > patience:
                    self._release(job, TaskRef(job_id, TaskIndex(index)), array_task)

    def _release(self, job: JobRecord | None, task: TaskRef, array_task: ArrayTask) -> None:
        self._drop(task, array_task)
        array_task.released = job.task_version(task.number) if job is not None else 0
        self._set(task, array_task, TaskState.RELEASED)

    # Gangs

    def _check_reservation(self, now: Seconds, job_id: JobId, reservation: GangReservation) -> None:
        """A gang whose held slots are all idle starts on all of them together."""
        if reservation.ready or reservation.bad or not self._gang_wanted(job_id):
            return
        if any(self._useless(m) for m in reservation.on):
            reservation.bad = "machine leaves"
            self.touched.dirty = True
            return
        each = self.cache.jobs[job_id].resources
        for machine_id, indices in reservation.on.items():
            machine = self.machines.get(machine_id)
            if machine is None:
                return
            room = machine.free()
            # Slots are promised to gangs that are about to start, and to older holds.
            older = True
            for other_id, other in self._reservations_on[machine_id].items():
                if other is reservation:
                    older = False
                elif (older or other.ready) and not other.bad and self._gang_wanted(other_id):
                    resources = self.cache.jobs[other_id].resources
                    room = room.minus(
                        resources.times(sum(i not in other.launched for i in other.on[machine_id]))
                    )
            if not each.times(len(indices)).fits_in(room):
                return
        reservation.ready = True
        self.touched.dirty = True

    def _useless(self, machine_id: MachineId) -> bool:
        record = self.cache.machines.get(machine_id)
        machine = self.machines.get(machine_id)
        return (
            record is None
            or record.terminating
            or record.shard != self.shard
            or self.cache.transfers.drains(machine_id) is not None
            or (machine is not None and machine.spot_notice_s is not None)
        )

    def _gang_launches(self, now: Seconds, machine: Machine) -> list[Command]:
        commands = []
        for job_id, reservation, index in self._reserved_slots_on(machine.id):
            if reservation.ready:
                reservation.launched.add(index)
                task = TaskRef(job_id, TaskIndex(index))
                commands.append(self._start(now, machine, task, Attempt(reservation.attempt)))
        return commands

    # Stops

    def _stops(self, now: Seconds, machine: Machine) -> list[Command]:
        commands = []
        preempt = self._preempted(now, machine)
        for task, task_attempt in machine.task_attempts.items():
            if task_attempt.stage == EXITED or task_attempt.sent:
                continue
            job = self.cache.jobs.get(task.job)
            if job is None or not job.open:
                commands.append(Command("stop", task, task_attempt.attempt, 0.0))
                continue
            spec = job.spec
            if spec.is_gang:
                wanted = (
                    job.gang is not None
                    and not job.gang.over
                    and job.gang.attempt == task_attempt.attempt
                    and task.job in self.reservations
                )
            else:
                array_task = self._array_task(task)
                # What was granted before this ownership may be this one, until all are heard.
                wanted = array_task is not None and (
                    array_task.machine == machine.id or array_task.state == TaskState.UNCONFIRMED
                )
            if (
                spec.is_service
                and wanted
                and self._replicas.must_leave(now, machine, task.job, spec)
            ):
                wanted = False
            orderly = spec.checkpoint_interval_s > 0 and task_attempt.stage == RUNNING
            leaving = (
                machine.spot_notice_s is not None
                and orderly
                and not (spec.is_gang or spec.is_service)
            )
            if wanted and not leaving and task not in preempt:
                continue
            if task_attempt.stage == FLUSHING or (task_attempt.stopped and orderly):
                continue
            task_attempt.stopped = True
            commands.append(
                Command(
                    "stop", task, task_attempt.attempt, spec.save_s + GRACE_S if orderly else 0.0
                )
            )
        return commands

    def _preempted(self, now: Seconds, machine: Machine) -> set[TaskRef]:
        """Lower-priority singles to stop for gangs that were granted this right."""
        stop: set[TaskRef] = set()
        for job_id, reservation, _ in self._reserved_slots_on(machine.id):
            job = self.cache.jobs.get(job_id)
            if not reservation.preempt or reservation.ready or job is None:
                continue
            stop_until_fits(machine, self.reserved_resources(machine.id), job.spec.priority, stop)
        self._make_room(machine, stop)
        return stop

    def _make_room(self, machine: Machine, stop: set[TaskRef]) -> None:
        """Work of lower priority to stop for replicas that joined here without room."""
        waiting = [
            spec
            for slot in machine.slots
            if slot.endless
            and slot.current is not None
            and slot.current not in machine.task_attempts
            for spec in [self._spec(slot.current)]
            if spec is not None
        ]
        if not waiting:
            return
        # Their slots are counted as taken, so less than nothing is free before the stops.
        priority = max(spec.priority for spec in waiting)
        stop_until_fits(machine, NO_RESOURCES, priority, stop)

    # What the leader is told

    def status(self, now: Seconds, base: int = 0) -> ShardStatus:
        """What the leader needs to know of this part, if it has the status numbered `base`."""
        self.touched.dirty = False
        return full_status(self, now, base)

    def clear_jobs(self) -> list[JobId]:
        """Jobs that are over, have grants here, and of which nothing is on a machine."""
        over = [
            job_id
            for job_id, job in self.cache.each_live()
            if not job.open and self.shard in job.assignments
        ]
        if not over or self.unreconciled:
            return []
        there = {t.job for m in self.machines.values() for t in m.task_attempts}
        return [job_id for job_id in over if job_id not in there]

    def gang_state(self, job_id: JobId, reservation: GangReservation) -> str:
        job = self.cache.jobs.get(job_id)
        # Of a cancelled gang nobody wants the result; what counts is that it is gone. Else it
        # would count against its team's limit for ever.
        if job is not None and job.open and self.done_gangs.get(job_id) == reservation.attempt:
            return "done"
        if not self._gang_wanted(job_id):
            return "busy" if self._gang_there(job_id, reservation) else "clear"
        if reservation.bad:
            return "bad"
        if any(self._leaving(m) for m in reservation.on):
            return "bad"
        if reservation.launched >= reservation.placements.keys():
            return "on"
        if any((m := self.machines.get(i)) is not None and m.slow for i in reservation.on):
            # Nothing more is started there, and it would be kept for this gang for ever.
            return "bad"
        return "held"

    def _leaving(self, machine_id: MachineId) -> bool:
        machine = self.machines.get(machine_id)
        return machine is not None and (machine.spot_notice_s is not None or machine.unreachable)

    def _gang_there(self, job_id: JobId, reservation: GangReservation) -> bool:
        for machine_id in reservation.on:
            if machine_id not in self.cache.machines:
                continue
            if machine_id in self.unreconciled:
                return True
            machine = self.machines.get(machine_id)
            if machine is not None and any(t.job == job_id for t in machine.task_attempts):
                return True
        return False

    def cancelled_there(self, machine: Machine) -> bool:
        """Whether a task of a cancelled job is, or may be, on this machine."""
        for task, task_attempt in machine.task_attempts.items():
            job = self.cache.jobs.get(task.job)
            if task_attempt.stage != EXITED and (job is None or not job.open):
                return True
        if machine.id not in self.unreconciled:
            return False
        return any(
            not job.open and (self.shard in job.assignments or job.gang is not None)
            for _, job in self.cache.each_live()
        )

    def running(self) -> Iterator[tuple[JobId, int]]:
        """Jobs with tasks on machines here, for display."""
        counts: dict[JobId, int] = {}
        for machine in self.machines.values():
            for task, task_attempt in machine.task_attempts.items():
                if task_attempt.stage == RUNNING:
                    counts[task.job] = counts.get(task.job, 0) + 1
        yield from counts.items()
