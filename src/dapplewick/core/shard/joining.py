"""Assignment of array tasks to slots and queues: the first point of the design.

An array task joins an idle slot with an empty queue. If there is none, it joins a reserved slot if
the backfill rule allows it, and otherwise the shortest queue (`docs/design.md`).
"""

from __future__ import annotations

import random

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.backfill import BackfillPolicy
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.free_capacity import FreeCapacity
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.images import ImageIndex
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.queues import TaskQueues
from dapplewick.core.shard.replicas import ReplicaPlacement
from dapplewick.core.shard.state import WAITING, ArrayTask, Machine, Slot
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.types import Seconds, TaskRef

MAX_SAMPLED_MACHINES = 12  # machines compared when an array task joins
MAX_QUEUE_LENGTH = 8  # array tasks that wait for one slot
# Machines inspected in one call, after which the other tasks wait for the next tick. Users choose
# how many tasks there are; without a limit, heartbeats would wait until all of them are assigned.
MAX_INSPECTED_MACHINES = 12_000


class TaskAssigner:
    """Assigns unqueued array tasks to slots and queues."""

    def __init__(
        self,
        machines: MachineTable,
        tasks: ArrayTaskTable,
        queues: TaskQueues,
        images: ImageIndex,
        constraints: PlacementConstraints,
        free_capacity: FreeCapacity,
        reservations: GangReservationTable,
        backfill: BackfillPolicy,
        replicas: ReplicaPlacement,
        generator: random.Random,
    ) -> None:
        self._machines = machines
        self._tasks = tasks
        self._queues = queues
        self._images = images
        self._constraints = constraints
        self._free_capacity = free_capacity
        self._reservations = reservations
        self._backfill = backfill
        self._replicas = replicas
        self._random = generator

    def assign_unqueued(self, now: Seconds) -> None:
        """Assign unqueued array tasks, in order, until `MAX_INSPECTED_MACHINES` were inspected.

        Tasks without a suitable slot stay unqueued, and so do those for the next call.
        """
        unqueued = self._queues.unqueued
        if not unqueued:
            return
        usable = [m for m in self._machines.by_id.values() if m.was_usable]
        waiting = list(unqueued)
        unqueued.clear()
        unplaceable: set[PlacementKey] = set()
        eligible: dict[PlacementKey, list[Machine]] = {}
        inspected = 0
        for position, task in enumerate(waiting):
            if inspected >= MAX_INSPECTED_MACHINES:
                unqueued.extend(waiting[position:])
                return
            array_task = self._tasks.get(task)
            if array_task is None or array_task.state != WAITING or array_task.slot is not None:
                continue
            spec = self._tasks.spec(task)
            # If one task finds no slot or queue, others with the same placement key do not either.
            if spec is None or spec.placement_key in unplaceable:
                unqueued.append(task)
                continue
            machines = eligible.get(spec.placement_key)
            if machines is None:
                machines = eligible[spec.placement_key] = self._eligible_machines(spec, usable)
            inspected += 1 + (
                len(machines) if spec.is_service else min(len(machines), MAX_SAMPLED_MACHINES)
            )
            if not self._join(now, task, array_task, spec, machines):
                unplaceable.add(spec.placement_key)
                unqueued.append(task)

    def _eligible_machines(self, spec: JobSpec, usable: list[Machine]) -> list[Machine]:
        """The allowed machines whose total capacity is enough for a task of this job."""
        resources = spec.resources
        return [
            m for m in usable if self._constraints.allow(spec, m) and resources.fits_in(m.capacity)
        ]

    def _join(
        self,
        now: Seconds,
        task: TaskRef,
        array_task: ArrayTask,
        spec: JobSpec,
        eligible: list[Machine],
    ) -> bool:
        """Assign a task to an idle slot, a reserved slot by backfill, or the shortest queue.

        Returns:
            Whether the task was assigned or queued.
        """
        if spec.is_service:
            # Replicas do not wait in queues, because the tasks ahead of them may run long.
            machine = self._replicas.best_machine(now, spec, task.job, eligible)
            if machine is not None:
                self._tasks.assign_new_slot(now, task, machine)
            return machine is not None
        if len(eligible) > MAX_SAMPLED_MACHINES:
            eligible = self._sample(spec, eligible)
        machine = self._machine_with_capacity(now, spec, eligible)
        if machine is not None:
            self._tasks.assign_new_slot(now, task, machine)
            return True
        slot = self._slot_with_shortest_queue(spec, eligible)
        if slot is None:
            return False
        self._queues.enqueue(slot, task)
        array_task.slot = slot
        return True

    def _sample(self, spec: JobSpec, eligible: list[Machine]) -> list[Machine]:
        """A random sample: up to half from machines with the image, the others from all."""
        machine_ids = self._images.machines_with(spec.image)
        chosen: list[Machine] = []
        if machine_ids:
            count = min(len(machine_ids), MAX_SAMPLED_MACHINES // 2)
            for machine_id in self._random.sample(list(machine_ids), count):
                machine = self._machines.by_id.get(machine_id)
                if (
                    machine is not None
                    and machine.was_usable
                    and self._constraints.allow(spec, machine)
                    and spec.resources.fits_in(machine.capacity)
                ):
                    chosen.append(machine)
        others = self._random.sample(eligible, MAX_SAMPLED_MACHINES - len(chosen))
        return chosen + [m for m in others if m not in chosen]

    def _machine_with_capacity(
        self, now: Seconds, spec: JobSpec, eligible: list[Machine]
    ) -> Machine | None:
        """The best machine with unreserved capacity, else the first where the task may backfill."""
        resources = spec.resources
        best: Machine | None = None
        best_key = (0.0, 0.0, 0.0)
        fits: list[Machine] = []
        for machine in eligible:
            free = self._free_capacity.usable_by(spec, machine)
            if not resources.fits_in(free):
                continue
            fits.append(machine)
            if not resources.fits_in(free.minus(self._reservations.reserved_resources(machine.id))):
                continue
            unused_gpus = machine.capacity.gpus if spec.gpus == 0 else 0.0
            fetch_cost = (
                0.0 if spec.image in machine.images else 1.0 + machine.pending_image_fetches()
            )
            key = (unused_gpus, fetch_cost, free.cpus)
            if best is None or key < best_key:
                best, best_key = machine, key
        if best is not None:
            return best
        return next((m for m in fits if self._backfill.may_backfill(now, spec, m)), None)

    def _slot_with_shortest_queue(self, spec: JobSpec, eligible: list[Machine]) -> Slot | None:
        queues = [
            (len(slot.queue), lacks_image, slot)
            for machine in eligible
            for lacks_image in [spec.image not in machine.images]
            for slot in machine.slots
            if len(slot.queue) < MAX_QUEUE_LENGTH and not slot.holds_replica
        ]
        if not queues:
            return None
        # Among equal lengths, prefer a machine with the image: fetching takes longer than many
        # tasks run.
        return min(queues, key=lambda queue: queue[:2])[2]
