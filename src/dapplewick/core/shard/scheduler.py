"""One part: the machines of one zone, their slots and queues, holds, backfill and stealing.

A state machine without I/O: it is given reports and changed records together with the time,
and answers with orders for the machine that reported and with a status for the leader. The
work for a report depends on the machine that sent it, not on how many there are.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Collection, Iterable, Iterator
from typing import Any

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.backfill import Backfill
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.free_capacity import FreeCapacity
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.images import Images
from dapplewick.core.shard.machine_health import MachineHealth
from dapplewick.core.shard.machines import MachineTable
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
    Machine,
    Slot,
    TaskAttempt,
    TaskState,
)
from dapplewick.core.shard.status import full_status
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.peers import ShardStatus
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
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
GRACE_S = 5.0  # over a task's own saving time, when it is stopped in order
FORGET_S = 5.0  # a stored result is forgotten with the next orders, or after this time
MAX_STORED_RESULTS = 16  # or when there are so many
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
        self._ticked_at = now
        self.random = random.Random(seed ^ token)
        self.touched = ChangeLog()
        self.queues = Queues()
        self.images = Images()
        self.unreconciled: set[MachineId] = set()
        self._constraints = PlacementConstraints(self.zone)
        self._machines = MachineTable(cache, self.touched)
        self.machines = self._machines.by_id
        self._tasks = ArrayTasks(cache, self._machines, self.queues, self.images, self.touched)
        self.array_tasks = self._tasks.by_job
        self._gangs = GangReservations(
            shard, cache, self._machines, self.touched, self.unreconciled
        )
        self.reservations = self._gangs.by_job
        self._health = MachineHealth(shard, cache, self.touched, lease_s, now)
        self.backfill = Backfill(
            estimates, self._machines, self._gangs, (tuning or Tuning()).threshold_s
        )
        self._accelerator_demand = AcceleratorDemand(cache, aimed)
        gang_demand = GangDemand(cache, (tuning or Tuning()).spare_slots)
        self._free_capacity = FreeCapacity(
            cache, self._machines, self._accelerator_demand, gang_demand
        )
        self._speed = SpeedComparison()
        self._replicas = ReplicaPlacement(
            cache, self._machines, self._constraints, self._gangs, report_s
        )
        self._slow_at = -1e9
        self._attempts = 0
        self._accelerator_demand.update(now, now)
        # Tasks granted before this ownership may be on any machine the old owner could use:
        # until each of those was heard under our token, or is deleted, they wait.
        self.unreconciled.update(m for m, r in cache.machines.items() if r.shard == shard and r.up)
        for machine in cache.machines:
            if machine in self.unreconciled:
                self._machines.get_or_add(machine, now)
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
        replicas = self._tasks.follow_record(now, job_id, job, assigned, failover)
        self._gangs.follow_record(now, job_id, job, failover)
        self.touched.dirty = True
        if replicas:
            self._join_all(now)  # not only with the next tick: users wait for them

    def machine_changed(self, now: Seconds, machine_id: MachineId) -> None:
        """A machine's record has changed; without one it is gone, with all that was on it."""
        record = self.cache.machines.get(machine_id)
        self.touched.machine(machine_id)
        if record is not None:
            machine = self.machines.get(machine_id)
            if machine is not None and record.shard != self.shard:
                self._handed_over(machine)
            elif machine is not None:
                self._health.note_usable(now, machine)
            elif record.shard == self.shard and record.up and record.floor:
                # Handed over to us: if it never reports, it is to be seen as silent.
                self._machines.get_or_add(machine_id, now)
            return
        self.unreconciled.discard(machine_id)
        machine = self.machines.pop(machine_id, None)
        had_replicas = False
        if machine is not None:
            had_replicas = machine.has_replicas() or any(s.endless for s in machine.slots)
            self.images.clear(machine)
            self._tasks.requeue_slots(machine)
            for task in list(machine.task_attempts):
                self._gone(now, machine, task, "machine gone")
        self._gangs.machine_gone(machine_id)
        self._release_unconfirmed(now)
        self.touched.dirty = True
        if had_replicas:
            self._join_all(now)  # not only with the next tick: users wait for them

    def _handed_over(self, machine: Machine) -> None:
        """A machine belongs to another part now. It was told to be empty before, so nothing of
        ours can be on it; it is forgotten, and nothing is started elsewhere for that."""
        self.images.clear(machine)
        self._tasks.requeue_slots(machine)
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
            and not self._gangs.may_still_launch(machine_id)
        ]

    def refuse(self, now: Seconds) -> None:
        """Reports are refused now: that machines are not heard says nothing of them."""
        self._health.listening_since = now

    def handle_heartbeat(
        self, now: Seconds, heartbeat: Heartbeat, may_launch: bool
    ) -> list[Command]:
        """Handle a worker's report; gives the orders for its machine."""
        record = self.cache.machines.get(heartbeat.machine)
        if record is None or record.shard != self.shard:
            # Another part's. Or nothing was ever launched on a machine without a record, or it is
            # gone: a late copy of a report would otherwise bring it back with its tasks.
            return []
        machine = self._machines.get_or_add(heartbeat.machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= machine.newest_heartbeat:
            return []
        new_incarnation = self._health.take_heartbeat(now, machine, heartbeat)
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
        self._gangs.check_on(machine.id)
        commands += self._stops(now, machine)
        usable = self._health.note_usable(now, machine)
        if usable and may_launch and is_current:
            commands += self._launches(now, machine)
        elif may_launch and is_current and self._health.is_only_drained(now, machine):
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
        if busy or (had and not machine.task_attempts) or self._gangs.slots_on(machine.id):
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
            self._tasks.remove_attempt(machine, task)
        machine.stored = {}
        return commands

    def tick(self, now: Seconds, wall: Seconds = 0.0, followed: bool = True) -> None:
        """Time has passed. `followed`: the records are being followed, so the leader may be."""
        if now - self._ticked_at > STALL_S:
            # This process stood still, and the reports that came meanwhile are not read yet.
            # Without this, all machines with replicas were deleted as silent when it went on.
            self._health.listening_since = now
        self._ticked_at = now
        self._tasks.resume_paused(now)
        if now - self._slow_at >= SLOW_TICK_S:
            self._slow_at = now
            self._speed.update(self.machines.values())
            self._free_capacity.update(now, wall)
            for machine in self.machines.values():
                if not self._health.note_usable(now, machine) and machine.slots:
                    self._tasks.requeue_slots(machine)
            self._gangs.check_all()
            for machine in self._replicas.drain_dear(now, bool(self.queues.unqueued)):
                self._health.note_usable(now, machine)
            if followed:
                # In an outage nobody could give it to another part, and here it may still start.
                self._tasks.release_long_waits(now)
        self._join_all(now)

    # Bookkeeping of what is where

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
            self._health.count_lost_starts(now, machine, listed)
            for task in [t for t in task_attempts if t not in listed]:
                self._gone(now, machine, task, "not on its machine")
        for item in heartbeat.tasks:
            task = item.task
            task_attempt = task_attempts.get(task)
            if task_attempt is None or task_attempt.attempt != item.attempt:
                spec = self._tasks.spec(task)
                task_attempt = task_attempts[task] = TaskAttempt(
                    item.attempt, item.stage, now, False, spec
                )
                self._machines.note_change(machine)
            elif task_attempt.stage != item.stage or task_attempt.sent:
                self._machines.note_change(machine)
            if task_attempt.spec is None:
                task_attempt.describe(self._tasks.spec(task))
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
            for job_id, reservation in self._gangs.on_machine(machine.id).items():
                if reservation.bad or self._gangs.done_attempts.get(job_id) == reservation.attempt:
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
                    self._machines.note_change(machine)
        return commands

    def _present(self, now: Seconds, machine: Machine, item: TaskStatus) -> None:
        array_task = self._tasks.get(item.task)
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
                self._tasks.leave_place(item.task, array_task)
                self._tasks.set_state(item.task, array_task, TaskState.ON_MACHINE)
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
        array_task = self._tasks.get(task)
        forget = [Command("forget", task, item.attempt)]
        replica = job is not None and job.open and job.spec.is_service
        if item.cause == "done" and not replica:
            machine.failures.clear()
            if job is None or not job.open or task.number in job.done:
                self._tasks.leave_slot(machine, task)
                machine.stored.setdefault(task, now)
                return []
            reservation = self.reservations.get(task.job)
            if array_task is not None:
                if array_task.state != TaskState.FINISHED:
                    self._learn(now, machine, task, task_attempt, array_task)
                    self._tasks.leave_slot(machine, task)
                    self._tasks.set_state(task, array_task, TaskState.FINISHED)
                    array_task.machine = machine.id
            elif reservation is not None and reservation.attempt == item.attempt:
                if self._gangs.done_attempts.get(task.job) != item.attempt:
                    self._gangs.done_attempts[task.job] = reservation.attempt
                    self._learn(now, machine, task, task_attempt, None)
                    self.touched.dirty = True
            else:
                # A result that nothing here accounts for: not used, and not kept.
                self._tasks.remove_attempt(machine, task)
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
        self._tasks.remove_attempt(machine, task)
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
            self._tasks.requeue(
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
        spec = self._tasks.spec(task)
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

    def _gone(self, now: Seconds, machine: Machine, task: TaskRef, why: str) -> None:
        """A task is known not to be on its machine any more."""
        task_attempt = machine.task_attempts.get(task)
        self._tasks.remove_attempt(machine, task)
        self.touched.dirty = True
        array_task = self._tasks.get(task)
        if array_task is not None and array_task.machine == machine.id:
            if array_task.state in (TaskState.ON_MACHINE, TaskState.FINISHED):
                # A result that vanished before it was stored has to be made again.
                self._tasks.requeue(now, task, array_task, failed=False)
            return
        reservation = self.reservations.get(task.job)
        if (
            reservation is not None
            and task_attempt is not None
            and reservation.attempt == task_attempt.attempt
            and not task_attempt.sent
            and not reservation.bad
            and self._gangs.done_attempts.get(task.job) != reservation.attempt
        ):
            reservation.bad = why

    def _release_unconfirmed(self, now: Seconds) -> None:
        if not self.unreconciled:
            self._tasks.requeue_unconfirmed(now)

    # The design's first point: joining, queues and stealing

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
            array_task = self._tasks.get(task)
            if (
                array_task is None
                or array_task.state != TaskState.WAITING
                or array_task.queue is not None
            ):
                continue
            spec = self._tasks.spec(task)
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
                    m
                    for m in usable
                    if self._constraints.allow(spec, m) and resources.fits_in(m.capacity)
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
            free = self._free_capacity.usable_by(spec, machine)
            if not resources.fits_in(free):
                continue
            fits.append(machine)
            if not resources.fits_in(free.minus(self._gangs.reserved_resources(machine.id))):
                continue
            spare_gpus = machine.capacity.gpus if spec.gpus == 0 else 0.0
            cold = 0.0 if spec.image in machine.images else 1.0 + machine.fetches()
            key = (spare_gpus, cold, free.cpus)
            if best is None or key < best[0]:
                best = (key, machine)
        if best is None:
            for machine in fits:
                if self.backfill.passes(now, spec, machine):
                    best = ((), machine)
                    break
        if best is not None:
            machine = best[1]
            slot = Slot(machine.id)
            machine.slots.append(slot)
            self._tasks.assign(task, slot)
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
        self._tasks.assign(task, slot)
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
                    and self._constraints.allow(spec, machine)
                    and spec.resources.fits_in(machine.capacity)
                ):
                    chosen.append(machine)
        rest = self.random.sample(able, SAMPLE - len(chosen))
        return chosen + [m for m in rest if m not in chosen]

    def _fitting(self, now: Seconds, machine: Machine, jobs: Iterable[JobId]) -> dict[JobId, None]:
        """The jobs of which a single may start on this machine now, those first whose image
        is there: among queues that are equally long it decides."""
        held = self._gangs.reserved_resources(machine.id)
        shard_capacities: dict[tuple[bool, int, bool], Resources] = {}
        warm: dict[JobId, None] = {}
        cold: dict[JobId, None] = {}
        for job_id in jobs:
            job = self.cache.jobs.get(job_id)
            if job is None or not self._constraints.allow(job.spec, machine):
                continue
            spec = job.spec
            if spec.is_service and any(t.job == job_id for t in machine.task_attempts):
                continue  # away from the others of its service, where there is a choice
            kind = (spec.gpus > 0, spec.priority, spec.is_service)
            room = shard_capacities.get(kind)
            if room is None:
                room = shard_capacities[kind] = self._free_capacity.usable_by(spec, machine)
            if not job.resources.fits_in(room):
                continue
            beside = held is NO_RESOURCES or job.resources.fits_in(room.minus(held))
            if beside or self.backfill.passes(now, spec, machine):
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
            spec = self._tasks.spec(task)
            array_task = self._tasks.get(task)
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
                        self._tasks.assign(task, slot)
            self._steal(now, machine)
        kept: list[Slot] = []
        for slot in machine.slots:
            task = slot.current
            if task is not None and task not in machine.task_attempts:
                array_task = self._tasks.get(task)
                if slot.endless and not NO_RESOURCES.fits_in(machine.free()):
                    kept.append(slot)  # what is stopped for it is not gone yet
                    continue
                if array_task is not None and array_task.state == TaskState.ASSIGNED:
                    commands.append(self._start(now, machine, task, self._new_attempt()))
                    self._tasks.set_state(task, array_task, TaskState.ON_MACHINE)
                    array_task.queue = None
                else:
                    slot.current = None
                    self._machines.note_change(machine)
            if slot.current is not None:
                kept.append(slot)
            else:
                for queued in self.queues.empty(slot):
                    self._tasks.unqueue(queued)
        machine.slots = kept
        return commands

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
            self._tasks.assign(task, slot)

    def _new_attempt(self) -> Attempt:
        self._attempts += 1
        return Attempt(self.token * IDS_PER_TOKEN + self._attempts)

    def _start(self, now: Seconds, machine: Machine, task: TaskRef, attempt: Attempt) -> Command:
        spec = self._tasks.spec(task)
        machine.task_attempts[task] = TaskAttempt(attempt, FETCHING, now, True, spec)
        if spec is not None:
            self.images.add(machine, spec.image)
        machine.idle_since = now
        self._machines.note_change(machine)
        log.debug(
            "event=task_launched task=%s/%d attempt=%d machine=%s",
            task.job,
            task.number,
            attempt,
            machine.id,
        )
        return Command("start", task, attempt)

    # Gangs

    def _gang_launches(self, now: Seconds, machine: Machine) -> list[Command]:
        commands = []
        for job_id, reservation, index in self._gangs.slots_on(machine.id):
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
                array_task = self._tasks.get(task)
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
        for job_id, reservation, _ in self._gangs.slots_on(machine.id):
            job = self.cache.jobs.get(job_id)
            if not reservation.preempt or reservation.ready or job is None:
                continue
            stop_until_fits(
                machine, self._gangs.reserved_resources(machine.id), job.spec.priority, stop
            )
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
            for spec in [self._tasks.spec(slot.current)]
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
