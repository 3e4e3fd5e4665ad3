"""Table of a shard's machines."""

from __future__ import annotations

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.state import Machine, Slot
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, TaskRef


class MachineTable:
    """The machines with a heartbeat or a record in a shard, in the order of their addition."""

    def __init__(self, cache: WatchCache, changes: ChangeLog) -> None:
        self.by_id: dict[MachineId, Machine] = {}
        self._cache = cache
        self._changes = changes

    def get_or_add(self, machine_id: MachineId, now: Seconds) -> Machine:
        """The machine with this ID; a new one is initialised from its record, if any."""
        machine = self.by_id.get(machine_id)
        if machine is None:
            machine = self.by_id[machine_id] = Machine(machine_id, now)
            record = self._cache.machines.get(machine_id)
            if record is not None:
                machine.type, machine.spot = record.type, record.spot
                machine_type = self._cache.types.get(record.type)
                if machine_type is not None:
                    machine.capacity = machine_type.resources
        return machine

    def record_change(self, machine: Machine) -> None:
        """Record a change of the tasks or slots of a machine."""
        machine.cached_usage = machine.cached_task_counts = None
        self._changes.record_machine(machine.id)
        self._changes.dirty = True

    def record_slot_change(self, slot: Slot) -> None:
        """Record a change of a slot if its machine still exists."""
        machine = self.by_id.get(slot.machine)
        if machine is not None:
            self.record_change(machine)

    def record_assignment(self, slot: Slot, task: TaskRef) -> None:
        """Record that a task was assigned to a slot that had none.

        The usage and the counts are added up, not computed anew for each of many tasks.
        """
        machine = self.by_id.get(slot.machine)
        if machine is None:
            return
        usage, task_counts = machine.cached_usage, machine.cached_task_counts
        self.record_change(machine)
        if usage is not None and task not in machine.task_attempts:
            machine.cached_usage = usage.plus(slot.resources)
        if task_counts is not None:
            task_counts[task.job] += 1
            machine.cached_task_counts = task_counts
