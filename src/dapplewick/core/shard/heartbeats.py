"""Reconciliation of a shard's expected tasks with the tasks listed in heartbeats."""

from __future__ import annotations

import logging
from typing import Final

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.images import ImageIndex
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
from dapplewick.core.shard.task_exits import TaskExitHandler
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.types import MachineId, Seconds, TaskIndex, TaskRef

log = logging.getLogger(__name__)

# Stages in which the machine has or fetches the task's image. Plain strings, because they are
# compared for each task of each heartbeat and enum members are slow to look up.
STAGES_WITH_IMAGE: Final = (FETCHING, RUNNING, GATHERING)


class HeartbeatReconciler:
    """Finds the tasks that a heartbeat confirms, that have exited and that are missing.

    Tasks that were assigned before this ownership began may be on any machine that the previous
    owner could use. They are not started until each of these machines has sent a heartbeat with
    this shard's fencing token or was deleted; without this wait, tasks ran twice.
    """

    def __init__(
        self,
        unreconciled: set[MachineId],
        machines: MachineTable,
        tasks: ArrayTaskTable,
        reservations: GangReservationTable,
        images: ImageIndex,
        health: MachineHealth,
        exit_handler: TaskExitHandler,
        changes: ChangeLog,
    ) -> None:
        self.unreconciled = unreconciled  # machines without a heartbeat with this shard's token
        self._machines = machines
        self._tasks = tasks
        self._reservations = reservations
        self._images = images
        self._health = health
        self._exit_handler = exit_handler
        self._changes = changes

    def requeue_if_all_reconciled(self, now: Seconds) -> None:
        """Return the unconfirmed tasks to waiting once all machines are reconciled."""
        if not self.unreconciled:
            self._tasks.requeue_unconfirmed(now)

    def record_confirmed(self, now: Seconds, machine: Machine) -> None:
        """Record a heartbeat with this shard's fencing token, whose task list is complete."""
        machine.last_confirmed_at = now
        if not machine.reconciled:
            machine.reconciled = True
            self._changes.dirty = True
            self._changes.record_machine(machine.id)
            self.unreconciled.discard(machine.id)

    def reconcile_tasks(
        self,
        now: Seconds,
        machine: Machine,
        heartbeat: Heartbeat,
        is_current: bool,
        is_new_incarnation: bool,
    ) -> list[Command]:
        """Update the state of tasks from the list in a heartbeat.

        A heartbeat without this shard's token may be a delayed copy, and its tasks may be on
        another machine by now. It therefore neither confirms that a task is on the machine nor
        that it is missing; its tasks only count as usage until a newer heartbeat arrives.

        Args:
            now: The monotonic clock, in seconds.
            machine: The machine that sent the heartbeat.
            heartbeat: The heartbeat.
            is_current: Whether it carries this shard's fencing token.
            is_new_incarnation: Whether it is the first heartbeat of a machine's incarnation.

        Returns:
            The commands for exited tasks.
        """
        commands: list[Command] = []
        if is_current:
            listed = {item.task for item in heartbeat.tasks}
            self._health.count_lost_starts(now, machine, listed)
            for task in [t for t in machine.task_attempts if t not in listed]:
                self.record_missing(now, machine, task, "not on its machine")
        for item in heartbeat.tasks:
            task_attempt = self._update_attempt(now, machine, item)
            if is_current and item.stage == EXITED:
                commands += self._exit_handler.handle_exit(now, machine, item, task_attempt)
            elif is_current:
                self.record_present(machine, item)
        if is_current:
            self._handle_lost_starts(machine, is_new_incarnation)
        return commands

    def _update_attempt(self, now: Seconds, machine: Machine, item: TaskStatus) -> TaskAttempt:
        task = item.task
        task_attempt = machine.task_attempts.get(task)
        if task_attempt is None or task_attempt.attempt != item.attempt:
            spec = self._tasks.spec(task)
            task_attempt = TaskAttempt(
                item.attempt, item.stage, now, start_unconfirmed=False, spec=spec
            )
            machine.task_attempts[task] = task_attempt
            self._machines.record_change(machine)
        elif task_attempt.stage != item.stage or task_attempt.start_unconfirmed:
            self._machines.record_change(machine)
        if task_attempt.spec is None:
            task_attempt.set_spec(self._tasks.spec(task))
            machine.cached_usage = None
        task_attempt.start_unconfirmed = False
        task_attempt.stage = item.stage
        spec = task_attempt.spec
        if (
            spec is not None
            and spec.image not in machine.images
            and item.stage in STAGES_WITH_IMAGE
        ):
            self._images.add(machine, spec.image)
        if task_attempt.running_at is None and item.stage == RUNNING:
            task_attempt.running_at = now
        return task_attempt

    def record_present(self, machine: Machine, item: TaskStatus) -> None:
        """Record that a task that has not exited is on a machine."""
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
                self._tasks.detach(task, array_task)
                self._tasks.set_state(task, array_task, ON_MACHINE)
                array_task.machine = machine.id
            return
        reservation = self._reservations.by_job.get(task.job)
        if (
            reservation is not None
            and reservation.attempt == item.attempt
            and reservation.placements.get(task.task_index) == machine.id
        ):
            reservation.record_launch(task.task_index)
            reservation.listed_indices.add(task.task_index)

    def record_missing(self, now: Seconds, machine: Machine, task: TaskRef, reason: str) -> None:
        """Record that a task is no longer on its machine.

        Args:
            now: The monotonic clock, in seconds.
            machine: The machine that had the task.
            task: The task.
            reason: The failure reason of the gang's attempt, if the task belongs to a gang.
        """
        task_attempt = machine.task_attempts.get(task)
        self._tasks.remove_attempt(machine, task)
        self._changes.dirty = True
        array_task = self._tasks.get(task)
        if array_task is not None and array_task.machine == machine.id:
            if array_task.state in (ON_MACHINE, FINISHED):
                # A result that was lost before it was stored must be computed again.
                self._tasks.requeue(now, task, array_task, failed=False)
            return
        reservation = self._reservations.by_job.get(task.job)
        if (
            reservation is not None
            and task_attempt is not None
            and reservation.attempt == task_attempt.attempt
            and not task_attempt.start_unconfirmed
            and not reservation.failure_reason
            and not self._reservations.is_done(task.job, reservation)
        ):
            reservation.failure_reason = reason

    def _handle_lost_starts(self, machine: Machine, is_new_incarnation: bool) -> None:
        """Handle gang tasks whose start was sent to this machine but which it does not list."""
        for job_id, reservation in self._reservations.on_machine(machine.id).items():
            if reservation.failure_reason or self._reservations.is_done(job_id, reservation):
                continue
            for index in reservation.indices_on[machine.id]:
                if (
                    index in reservation.launched_indices
                    and TaskRef(job_id, TaskIndex(index)) not in machine.task_attempts
                ):
                    self._record_lost_start(reservation, index, is_new_incarnation)
                    self._machines.record_change(machine)

    @staticmethod
    def _record_lost_start(
        reservation: GangReservation, index: int, is_new_incarnation: bool
    ) -> None:
        # If no heartbeat has listed the task, the response with its start command was lost, and the
        # command is sent again. However, a task that was listed, or that was started before a
        # failover or a new incarnation of the machine, may have run. An attempt must not be started
        # twice, so the attempt fails.
        if index in reservation.listed_indices or reservation.inherited or is_new_incarnation:
            reservation.failure_reason = "start lost"
        else:
            reservation.record_lost_launch(index)
