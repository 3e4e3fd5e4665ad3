"""What follows from a task's exit: its result is kept until it is stored, or it is forgotten."""

from __future__ import annotations

import logging
from typing import Final

from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.slow_machines import SpeedComparison
from dapplewick.core.shard.state import (
    EXITED,
    FINISHED,
    ON_MACHINE,
    ArrayTask,
    Machine,
    TaskAttempt,
)
from dapplewick.protocol.workers import Command, ExitCause, TaskStatus
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, TaskRef

log = logging.getLogger(__name__)

FORGET_S = 5.0  # a stored result is forgotten with the next commands, or after this time
MAX_STORED_RESULTS = 16  # or when there are so many
STEADY_S = 30.0  # a replica that ran for as long did not fail at once
LEAST_RUN_S = 0.5  # of a run time that is learned from

MACHINE_FAILURES: Final = (ExitCause.ERROR, ExitCause.NOT_FOUND)  # these count against the machine
NO_FAILURES: Final = (
    ExitCause.STOPPED,
    ExitCause.INSUFFICIENT_RESOURCES,
    ExitCause.GANG_MEMBER_LOST,
)  # not the task's fault: it is not paused


class TaskExits:
    """Takes over the exits that heartbeats list."""

    def __init__(
        self,
        cache: WatchCache,
        estimates: Estimates,
        tasks: ArrayTasks,
        reservations: GangReservations,
        speed: SpeedComparison,
        changes: ChangeLog,
    ) -> None:
        self._cache = cache
        self._estimates = estimates
        self._tasks = tasks
        self._reservations = reservations
        self._speed = speed
        self._changes = changes

    def exited(
        self, now: Seconds, machine: Machine, item: TaskStatus, task_attempt: TaskAttempt
    ) -> list[Command]:
        """Keep an exited task's result until it is stored, forget everything else.

        Returns:
            The command to forget it, or none.
        """
        job = self._cache.jobs.get(item.task.job)
        is_replica = job is not None and job.open and job.spec.is_service
        if item.cause == ExitCause.DONE and not is_replica:
            is_kept = self._keep_result(now, machine, item, task_attempt, job)
        else:
            self._note_failure(now, machine, item, task_attempt, is_replica)
            is_kept = False
        return [] if is_kept else [Command("forget", item.task, item.attempt)]

    def _keep_result(
        self,
        now: Seconds,
        machine: Machine,
        item: TaskStatus,
        task_attempt: TaskAttempt,
        job: JobRecord | None,
    ) -> bool:
        """Note a task's result; False if nothing here accounts for it: it is not used."""
        task = item.task
        machine.failures.clear()
        if job is None or not job.open or task.task_index in job.done:
            self._tasks.leave_slot(machine, task)
            machine.stored.setdefault(task, now)
            return True
        array_task = self._tasks.get(task)
        if array_task is not None:
            if array_task.state != FINISHED:
                self._learn(now, machine, task, task_attempt, array_task)
                self._tasks.leave_slot(machine, task)
                self._tasks.set_state(task, array_task, FINISHED)
                array_task.machine = machine.id
            return True
        reservation = self._reservations.by_job.get(task.job)
        if reservation is not None and reservation.attempt == item.attempt:
            if not self._reservations.is_done(task.job, reservation):
                self._reservations.note_done(task.job, reservation)
                self._learn(now, machine, task, task_attempt, None)
                self._changes.dirty = True
            return True
        self._tasks.remove_attempt(machine, task)
        return False

    def _note_failure(
        self,
        now: Seconds,
        machine: Machine,
        item: TaskStatus,
        task_attempt: TaskAttempt,
        is_replica: bool,
    ) -> None:
        task = item.task
        log.debug(
            "event=task_exited task=%s/%d attempt=%d machine=%s cause=%s",
            task.job,
            task.task_index,
            item.attempt,
            machine.id,
            item.cause,
        )
        reservation = self._reservations.by_job.get(task.job)
        if (
            reservation is not None
            and reservation.attempt == item.attempt
            and not reservation.failure
        ):
            reservation.failure = item.cause or EXITED
            log.info("event=gang_failed job=%s reason=%s", task.job, reservation.failure)
        if item.cause in MACHINE_FAILURES:
            machine.failures[task.job] = now
        self._tasks.remove_attempt(machine, task)
        array_task = self._tasks.get(task)
        if (
            array_task is not None
            and array_task.machine == machine.id
            and array_task.state == ON_MACHINE
        ):
            running_at = task_attempt.running_at
            if is_replica and running_at is not None and now - running_at > STEADY_S:
                array_task.failures = 0
            self._tasks.requeue(now, task, array_task, failed=item.cause not in NO_FAILURES)
        self._changes.dirty = True

    def _learn(
        self,
        now: Seconds,
        machine: Machine,
        task: TaskRef,
        task_attempt: TaskAttempt,
        array_task: ArrayTask | None,
    ) -> None:
        """Learn from a run time: how long such jobs take, and how fast the machine is."""
        spec = self._tasks.spec(task)
        if (
            spec is None
            or spec.is_service
            or task_attempt.running_at is None
            or (array_task is not None and array_task.failures)
        ):
            return
        ran_s = max(LEAST_RUN_S, now - task_attempt.running_at)
        self._estimates.learn(spec.job_class, spec.estimated_run_s, ran_s)
        if array_task is None or spec.estimated_run_s <= 0.0:
            return
        self._speed.note(machine, task.job, ran_s, spec.estimated_run_s)

    def forget_stored(self, now: Seconds, machine: Machine, at_once: bool) -> list[Command]:
        """Forget results that are stored.

        Each change of its tasks makes a worker send a heartbeat, so what need not be forgotten at
        once waits for commands that change something anyway.

        Args:
            now: The time.
            machine: The machine that has the results.
            at_once: Whether there are such commands, or the machine is to be empty soon.
        """
        stored = machine.stored
        for task in [t for t in stored if t not in machine.task_attempts]:
            del stored[task]
        oldest_at = min(stored.values(), default=now)
        if not (at_once or len(stored) >= MAX_STORED_RESULTS or now - oldest_at > FORGET_S):
            return []
        commands = [Command("forget", t, machine.task_attempts[t].attempt) for t in stored]
        for task in stored:
            self._tasks.remove_attempt(machine, task)
        machine.stored = {}
        return commands
