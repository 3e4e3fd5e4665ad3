"""Reconciliation of what a shard expects on a machine with what its heartbeats list."""

from __future__ import annotations

import logging
from typing import Final

from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.images import Images
from dapplewick.core.shard.machine_health import MachineHealth
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import (
    ASSIGNED,
    EXITED,
    FETCHING,
    FINISHED,
    GATHERING,
    ON_MACHINE,
    RELEASED,
    RUNNING,
    WAITING,
    GangReservation,
    Machine,
    TaskAttempt,
)
from dapplewick.core.shard.task_exits import TaskExits
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.types import MachineId, Seconds, TaskIndex, TaskRef

log = logging.getLogger(__name__)

# Compared for each task of each heartbeat: an enum's members are slow to look up.
WITH_IMAGE: Final = (FETCHING, RUNNING, GATHERING)  # stages that tell of an image


class HeartbeatReconciler:
    """Finds what a heartbeat confirms, what has exited, and what is missing.

    Tasks that were assigned before this ownership may be on any machine that the old owner could
    use. Until each of those was heard under this shard's fencing token, or is deleted, they wait:
    started without that, they ran twice.
    """

    def __init__(
        self,
        unreconciled: set[MachineId],
        machines: MachineTable,
        tasks: ArrayTasks,
        reservations: GangReservations,
        images: Images,
        health: MachineHealth,
        exits: TaskExits,
        changes: ChangeLog,
    ) -> None:
        self.unreconciled = unreconciled  # the machines that are not heard yet
        self._machines = machines
        self._tasks = tasks
        self._reservations = reservations
        self._images = images
        self._health = health
        self._exits = exits
        self._changes = changes

    def requeue_if_all_reconciled(self, now: Seconds) -> None:
        """Let those be started that no machine has listed, once all machines are heard."""
        if not self.unreconciled:
            self._tasks.requeue_unconfirmed(now)

    def note_confirmed(self, now: Seconds, machine: Machine) -> None:
        """Note that a heartbeat carries this shard's fencing token: its list is complete."""
        machine.last_confirmed_at = now
        if not machine.reconciled:
            machine.reconciled = True
            self._changes.dirty = True
            self._changes.machine(machine.id)
            self.unreconciled.discard(machine.id)

    def reconcile_tasks(
        self,
        now: Seconds,
        machine: Machine,
        heartbeat: Heartbeat,
        is_current: bool,
        is_new_incarnation: bool,
    ) -> list[Command]:
        """Take over what a heartbeat lists.

        One from before this shard's token may be a late copy, and the task may long be elsewhere:
        it settles nothing, neither that a task is here nor that it is gone. What it shows counts
        as room taken until a newer one tells.

        Args:
            now: The time.
            machine: The machine that has sent the heartbeat.
            heartbeat: The heartbeat.
            is_current: Whether it carries this shard's fencing token.
            is_new_incarnation: Whether it is the first of an incarnation of its machine.

        Returns:
            The commands for what has exited.
        """
        commands: list[Command] = []
        if is_current:
            listed = {item.task for item in heartbeat.tasks}
            self._health.count_lost_starts(now, machine, listed)
            for task in [t for t in machine.task_attempts if t not in listed]:
                self.note_gone(now, machine, task, "not on its machine")
        for item in heartbeat.tasks:
            task_attempt = self._update_attempt(now, machine, item)
            if is_current and item.stage == EXITED:
                commands += self._exits.exited(now, machine, item, task_attempt)
            elif is_current:
                self.record_present(machine, item)
        if is_current:
            self._find_lost_starts(machine, is_new_incarnation)
        return commands

    def _update_attempt(self, now: Seconds, machine: Machine, item: TaskStatus) -> TaskAttempt:
        task = item.task
        task_attempt = machine.task_attempts.get(task)
        if task_attempt is None or task_attempt.attempt != item.attempt:
            spec = self._tasks.spec(task)
            task_attempt = TaskAttempt(item.attempt, item.stage, now, start_unseen=False, spec=spec)
            machine.task_attempts[task] = task_attempt
            self._machines.note_change(machine)
        elif task_attempt.stage != item.stage or task_attempt.start_unseen:
            self._machines.note_change(machine)
        if task_attempt.spec is None:
            task_attempt.describe(self._tasks.spec(task))
            machine.used = None
        task_attempt.start_unseen = False
        task_attempt.stage = item.stage
        spec = task_attempt.spec
        if spec is not None and spec.image not in machine.images and item.stage in WITH_IMAGE:
            self._images.add(machine, spec.image)
        if task_attempt.running_at is None and item.stage == RUNNING:
            task_attempt.running_at = now
        return task_attempt

    def record_present(self, machine: Machine, item: TaskStatus) -> None:
        """Note that a task that has not exited is on a machine."""
        task = item.task
        array_task = self._tasks.get(task)
        if array_task is not None:
            if array_task.state == ON_MACHINE:
                if array_task.machine != machine.id:
                    log.error("event=task_on_two_machines task=%s/%d", task.job, task.task_index)
                return
            if array_task.state in (WAITING, ASSIGNED, RELEASED):
                log.error("event=task_unexpected task=%s/%d", task.job, task.task_index)
            if array_task.state != FINISHED:
                self._tasks.leave_place(task, array_task)
                self._tasks.set_state(task, array_task, ON_MACHINE)
                array_task.machine = machine.id
            return
        reservation = self._reservations.by_job.get(task.job)
        if (
            reservation is not None
            and reservation.attempt == item.attempt
            and reservation.placements.get(task.task_index) == machine.id
        ):
            reservation.launched.add(task.task_index)
            reservation.seen.add(task.task_index)

    def note_gone(self, now: Seconds, machine: Machine, task: TaskRef, reason: str) -> None:
        """Note that a task is known not to be on its machine any more.

        Args:
            now: The time.
            machine: The machine where it was.
            task: The task.
            reason: Why its gang's attempt ends, if it is a gang's.
        """
        task_attempt = machine.task_attempts.get(task)
        self._tasks.remove_attempt(machine, task)
        self._changes.dirty = True
        array_task = self._tasks.get(task)
        if array_task is not None and array_task.machine == machine.id:
            if array_task.state in (ON_MACHINE, FINISHED):
                # A result that vanished before it was stored has to be made again.
                self._tasks.requeue(now, task, array_task, failed=False)
            return
        reservation = self._reservations.by_job.get(task.job)
        if (
            reservation is not None
            and task_attempt is not None
            and reservation.attempt == task_attempt.attempt
            and not task_attempt.start_unseen
            and not reservation.failure
            and not self._reservations.is_done(task.job, reservation)
        ):
            reservation.failure = reason

    def _find_lost_starts(self, machine: Machine, is_new_incarnation: bool) -> None:
        """Find the gangs whose tasks were started on this machine and are not listed."""
        for job_id, reservation in self._reservations.on_machine(machine.id).items():
            if reservation.failure or self._reservations.is_done(job_id, reservation):
                continue
            for index in reservation.indices_on[machine.id]:
                if (
                    index in reservation.launched
                    and TaskRef(job_id, TaskIndex(index)) not in machine.task_attempts
                ):
                    self._note_lost_start(reservation, index, is_new_incarnation)
                    self._machines.note_change(machine)

    @staticmethod
    def _note_lost_start(
        reservation: GangReservation, index: int, is_new_incarnation: bool
    ) -> None:
        # A start that was never seen was dropped with its answer, unless a new incarnation of
        # the machine has begun: then it may have run, and attempts are not repeated.
        if index in reservation.seen or reservation.inherited or is_new_incarnation:
            reservation.failure = "start lost"
        else:
            reservation.launched.discard(index)
