"""The machines of a shard."""

from __future__ import annotations

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.state import Machine, Slot
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds


class MachineTable:
    """The machines of which a shard has heard or has a record, in the order of their coming."""

    def __init__(self, cache: WatchCache, changes: ChangeLog) -> None:
        self.by_id: dict[MachineId, Machine] = {}
        self._cache = cache
        self._changes = changes

    def get_or_add(self, machine_id: MachineId, now: Seconds) -> Machine:
        """The machine of this name; one not known yet is described by its record, if any."""
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
        """Note that what is on this machine, or meant for it, has changed."""
        machine.cached_usage = None
        self._changes.record_machine(machine.id)
        self._changes.dirty = True

    def record_slot_change(self, slot: Slot) -> None:
        """Note a change of a slot, unless its machine is gone."""
        machine = self.by_id.get(slot.machine)
        if machine is not None:
            self.record_change(machine)
