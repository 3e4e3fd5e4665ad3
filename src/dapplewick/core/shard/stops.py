"""Stop commands in the response to a machine's heartbeat."""

from __future__ import annotations

from collections.abc import Set

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.preemption import PreemptionSelector
from dapplewick.core.shard.replicas import ReplicaPlacement
from dapplewick.core.shard.state import (
    EXITED,
    FLUSHING,
    RUNNING,
    UNCONFIRMED,
    Machine,
    TaskAttempt,
)
from dapplewick.protocol.workers import Command
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, TaskRef

STOP_GRACE_S = 5.0  # added to the time that a task needs to save its state


class TaskStopper:
    """Issues stop commands for tasks that are not needed, must move, or are preempted."""

    def __init__(
        self,
        cache: WatchCache,
        tasks: ArrayTaskTable,
        reservations: GangReservationTable,
        replicas: ReplicaPlacement,
        preemption_selector: PreemptionSelector,
    ) -> None:
        self._cache = cache
        self._tasks = tasks
        self._reservations = reservations
        self._replicas = replicas
        self._preemption_selector = preemption_selector

    def stop_commands(self, now: Seconds, machine: Machine) -> list[Command]:
        """The stop commands for a machine's tasks.

        A task that can save its state gets one stop command. Any other task, and any task of an
        ended job, gets one with each heartbeat until it is gone.
        """
        commands = []
        preempted = self._preemption_selector.preempted_on(machine)
        for task, task_attempt in machine.task_attempts.items():
            if task_attempt.stage == EXITED or task_attempt.start_unconfirmed:
                continue
            job = self._cache.jobs.get(task.job)
            if job is None or not job.open:
                commands.append(Command("stop", task, task_attempt.attempt, 0.0))
                continue
            if not self._must_stop(now, machine, task, task_attempt, job, preempted):
                continue
            can_checkpoint = _can_checkpoint(task_attempt, job)
            if task_attempt.stage == FLUSHING or (task_attempt.stop_sent and can_checkpoint):
                continue
            task_attempt.stop_sent = True
            grace_s = job.spec.save_s + STOP_GRACE_S if can_checkpoint else 0.0
            commands.append(Command("stop", task, task_attempt.attempt, grace_s))
        return commands

    def _must_stop(
        self,
        now: Seconds,
        machine: Machine,
        task: TaskRef,
        task_attempt: TaskAttempt,
        job: JobRecord,
        preempted: Set[TaskRef],
    ) -> bool:
        """Whether a task of an open job must stop, either for good or to run elsewhere."""
        spec = job.spec
        if spec.is_gang:
            is_needed = self._is_gang_attempt_active(task, task_attempt, job)
        else:
            array_task = self._tasks.get(task)
            # An unconfirmed task was assigned before this owner took over the shard, possibly to
            # this machine. It may run until all machines are reconciled.
            is_needed = array_task is not None and (
                array_task.machine == machine.id or array_task.state == UNCONFIRMED
            )
        if not is_needed or task in preempted:
            return True
        if spec.is_service:
            return self._replicas.must_leave(now, machine, task.job, spec)
        # A task that can save its state does so before its spot machine is reclaimed.
        is_evicted = machine.spot_notice_s is not None and _can_checkpoint(task_attempt, job)
        return is_evicted and not spec.is_gang

    def _is_gang_attempt_active(
        self, task: TaskRef, task_attempt: TaskAttempt, job: JobRecord
    ) -> bool:
        return (
            job.gang is not None
            and not job.gang.ending
            and job.gang.attempt == task_attempt.attempt
            and task.job in self._reservations.by_job
        )


def _can_checkpoint(task_attempt: TaskAttempt, job: JobRecord) -> bool:
    """Whether a task can save its state before it stops."""
    return job.spec.checkpoint_interval_s > 0 and task_attempt.stage == RUNNING
