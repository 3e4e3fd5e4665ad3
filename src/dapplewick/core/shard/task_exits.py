"""Handling of task exits: a result is kept on its machine until the leader has stored it."""

from __future__ import annotations

import logging
from typing import Final

from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.slow_machines import SlowMachineDetector
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

MAX_FORGET_DELAY_S = 5.0  # stored results are deleted with the next commands, or after this time
MAX_STORED_RESULTS = 16  # with this many stored results, a machine is sent the deletions at once
MIN_STABLE_RUN_S = 30.0  # a longer run resets the consecutive failures of a replica
MIN_RUN_S = 0.5  # lower bound of a learned run time

# Exit causes that count against the machine.
MACHINE_FAILURE_CAUSES: Final = (ExitCause.ERROR, ExitCause.NOT_FOUND)
# Exit causes that are not the task's fault; the task is requeued without a retry delay.
NON_FAILURE_CAUSES: Final = (
    ExitCause.STOPPED,
    ExitCause.INSUFFICIENT_RESOURCES,
    ExitCause.GANG_MEMBER_LOST,
)


class TaskExitHandler:
    """Handles the exited tasks that heartbeats list."""

    def __init__(
        self,
        cache: WatchCache,
        estimates: Estimates,
        tasks: ArrayTaskTable,
        reservations: GangReservationTable,
        slow_machine_detector: SlowMachineDetector,
        changes: ChangeLog,
    ) -> None:
        self._cache = cache
        self._estimates = estimates
        self._tasks = tasks
        self._reservations = reservations
        self._slow_machine_detector = slow_machine_detector
        self._changes = changes

    def handle_exit(
        self, now: Seconds, machine: Machine, item: TaskStatus, task_attempt: TaskAttempt
    ) -> list[Command]:
        """Keep the result of a successful task; requeue any other task if it must run again.

        Returns:
            The command to delete the exited task from its machine, or none.
        """
        job = self._cache.jobs.get(item.task.job)
        is_replica = job is not None and job.open and job.spec.is_service
        if item.cause == ExitCause.DONE and not is_replica:
            is_kept = self._keep_result(now, machine, item, task_attempt, job)
        else:
            self._record_failure(now, machine, item, task_attempt, is_replica)
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
        """Record a task's result.

        Returns:
            Whether the result is kept; False if no assignment or reservation of this shard
            belongs to the attempt, so the result is not used.
        """
        task = item.task
        machine.failures.clear()
        if job is None or not job.open or task.task_index in job.done:
            self._tasks.release_slot(machine, task)
            machine.stored_results.setdefault(task, now)
            return True
        array_task = self._tasks.get(task)
        if array_task is not None:
            if array_task.state != FINISHED:
                self._learn_run_time(now, machine, task, task_attempt, array_task)
                self._tasks.release_slot(machine, task)
                self._tasks.set_state(task, array_task, FINISHED)
                array_task.machine = machine.id
            return True
        reservation = self._reservations.by_job.get(task.job)
        if reservation is not None and reservation.attempt == item.attempt:
            if not self._reservations.is_done(task.job, reservation):
                self._reservations.record_done(task.job, reservation)
                self._learn_run_time(now, machine, task, task_attempt, None)
                self._changes.dirty = True
            return True
        self._tasks.remove_attempt(machine, task)
        return False

    def _record_failure(
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
            and not reservation.failure_reason
        ):
            reservation.failure_reason = item.cause or EXITED
            log.info("event=gang_failed job=%s reason=%s", task.job, reservation.failure_reason)
        if item.cause in MACHINE_FAILURE_CAUSES:
            machine.failures[task.job] = now
        self._tasks.remove_attempt(machine, task)
        array_task = self._tasks.get(task)
        if (
            array_task is not None
            and array_task.machine == machine.id
            and array_task.state == ON_MACHINE
        ):
            running_at = task_attempt.running_at
            if is_replica and running_at is not None and now - running_at > MIN_STABLE_RUN_S:
                array_task.failures = 0
            self._tasks.requeue(now, task, array_task, failed=item.cause not in NON_FAILURE_CAUSES)
        self._changes.dirty = True

    def _learn_run_time(
        self,
        now: Seconds,
        machine: Machine,
        task: TaskRef,
        task_attempt: TaskAttempt,
        array_task: ArrayTask | None,
    ) -> None:
        """Update the run-time estimate of the job class and the machine's slowdown samples."""
        spec = self._tasks.spec(task)
        if (
            spec is None
            or spec.is_service
            or task_attempt.running_at is None
            or (array_task is not None and array_task.failures)
        ):
            return
        run_s = max(MIN_RUN_S, now - task_attempt.running_at)
        self._estimates.learn(spec.job_class, spec.estimated_run_s, run_s)
        if array_task is None or spec.estimated_run_s <= 0.0:
            return
        self._slow_machine_detector.record_run_time(machine, task.job, run_s, spec.estimated_run_s)

    def forget_stored(self, now: Seconds, machine: Machine, forget_now: bool) -> list[Command]:
        """The commands to delete results that the leader has stored.

        A worker sends a heartbeat after each change of its tasks. Deletions are therefore delayed
        until other commands change its tasks anyway.

        Args:
            now: The monotonic clock, in seconds.
            machine: The machine that has the results.
            forget_now: Whether there are other commands or the machine is being drained.
        """
        stored = machine.stored_results
        for task in [t for t in stored if t not in machine.task_attempts]:
            del stored[task]
        oldest_at = min(stored.values(), default=now)
        if not (
            forget_now or len(stored) >= MAX_STORED_RESULTS or now - oldest_at > MAX_FORGET_DELAY_S
        ):
            return []
        commands = [Command("forget", t, machine.task_attempts[t].attempt) for t in stored]
        for task in stored:
            self._tasks.remove_attempt(machine, task)
        machine.stored_results = {}
        return commands
