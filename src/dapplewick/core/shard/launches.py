"""Start commands in the response to a machine's heartbeat."""

from __future__ import annotations

import logging

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.candidates import CandidateSelector
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.images import ImageIndex
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.queues import TaskQueues
from dapplewick.core.shard.state import (
    ASSIGNED,
    FETCHING,
    ON_MACHINE,
    Machine,
    Slot,
    TaskAttempt,
)
from dapplewick.core.shard.work_stealing import MIN_FREE_CPUS, WorkStealer
from dapplewick.protocol.workers import Command
from dapplewick.types import (
    IDS_PER_TOKEN,
    NO_RESOURCES,
    Attempt,
    FencingToken,
    Seconds,
    TaskIndex,
    TaskRef,
)

log = logging.getLogger(__name__)


class TaskLauncher:
    """Assigns waiting tasks to a machine's slots and starts the assigned tasks."""

    def __init__(
        self,
        token: FencingToken,
        machines: MachineTable,
        tasks: ArrayTaskTable,
        queues: TaskQueues,
        images: ImageIndex,
        reservations: GangReservationTable,
        candidates: CandidateSelector,
        stealer: WorkStealer,
    ) -> None:
        self._token = token
        self._machines = machines
        self._tasks = tasks
        self._queues = queues
        self._images = images
        self._reservations = reservations
        self._candidates = candidates
        self._stealer = stealer
        self._attempt_count = 0

    def launch(self, now: Seconds, machine: Machine) -> list[Command]:
        """Start all tasks that may start on a machine now: gangs first, then array tasks."""
        commands = self.launch_gangs(now, machine)
        if machine.free().cpus > MIN_FREE_CPUS:
            self._fill_from_queues(now, machine)
            self._stealer.steal(now, machine)
        self._launch_assigned(now, machine, commands)
        return commands

    def launch_gangs(self, now: Seconds, machine: Machine) -> list[Command]:
        """Start the tasks of ready gangs, whose slots are all idle."""
        commands = []
        for job_id, reservation, index in self._reservations.ready_slots_on(machine.id):
            reservation.record_launch(index)
            task = TaskRef(job_id, TaskIndex(index))
            commands.append(self._start(now, machine, task, Attempt(reservation.attempt)))
        return commands

    def _fill_from_queues(self, now: Seconds, machine: Machine) -> None:
        """Assign to each idle slot the next task of its queue that may start."""
        for slot in machine.slots:
            if slot.current is None and slot.queue:
                jobs = dict.fromkeys(t.job for t in slot.queue)
                fitting = self._candidates.fitting_jobs(now, machine, jobs)
                task = self._candidates.next_task(now, machine, slot.queue, fitting)
                if task is not None:
                    self._queues.remove(slot, task)
                    self._tasks.assign(task, slot)

    def _launch_assigned(self, now: Seconds, machine: Machine, commands: list[Command]) -> None:
        """Start the tasks assigned to slots and remove the slots without a task."""
        occupied_slots: list[Slot] = []
        for slot in machine.slots:
            task = slot.current
            if task is not None and task not in machine.task_attempts:
                self._launch_slot(now, machine, slot, task, commands)
            if slot.current is not None:
                occupied_slots.append(slot)
            else:
                for queued in self._queues.pop_all(slot):
                    self._tasks.move_to_unqueued(queued)
        machine.slots = occupied_slots

    def _launch_slot(
        self, now: Seconds, machine: Machine, slot: Slot, task: TaskRef, commands: list[Command]
    ) -> None:
        if slot.holds_replica and not NO_RESOURCES.fits_in(machine.free()):
            return  # the tasks preempted for this replica have not stopped yet
        array_task = self._tasks.get(task)
        if array_task is not None and array_task.state == ASSIGNED:
            commands.append(self._start(now, machine, task, self._new_attempt()))
            self._tasks.set_state(task, array_task, ON_MACHINE)
            array_task.slot = None
        else:
            slot.current = None
            self._machines.record_change(machine)

    def _new_attempt(self) -> Attempt:
        self._attempt_count += 1
        return Attempt(self._token * IDS_PER_TOKEN + self._attempt_count)

    def _start(self, now: Seconds, machine: Machine, task: TaskRef, attempt: Attempt) -> Command:
        spec = self._tasks.spec(task)
        machine.task_attempts[task] = TaskAttempt(
            attempt, FETCHING, now, start_unconfirmed=True, spec=spec
        )
        if spec is not None:
            self._images.add(machine, spec.image)
        machine.idle_since = now
        self._machines.record_change(machine)
        log.debug(
            "event=task_launched task=%s/%d attempt=%d machine=%s",
            task.job,
            task.task_index,
            attempt,
            machine.id,
        )
        return Command("start", task, attempt)
