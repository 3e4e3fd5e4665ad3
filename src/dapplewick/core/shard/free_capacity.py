"""Free capacity of a machine that a job's tasks may use, without reserves for other work."""

from __future__ import annotations

import math

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import Machine
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, Resources, Seconds


class FreeCapacity:
    """Computes usable free capacity, less reserves for accelerator tasks and future gangs."""

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        accelerators: AcceleratorDemand,
        gang_demand: GangDemand,
    ) -> None:
        self._cache = cache
        self._machines = machines
        self._accelerators = accelerators
        self._gang_demand = gang_demand
        # Whether the idle slots of gang size do not exceed this shard's part of the gang reserve.
        self._has_few_idle_slots = False

    def update(self, now: Seconds, wall_time: Seconds) -> None:
        """Update the demand for accelerators and gang slots, and the count of idle slots.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds, which is compared with submission times.
        """
        self._accelerators.update(now, wall_time)
        self._gang_demand.update(now)
        self._has_few_idle_slots = self._few_idle_slots_left()

    def _few_idle_slots_left(self) -> bool:
        """Whether at most this shard's part of the slots reserved for gangs is idle."""
        machines = self._machines.by_id.values()
        resources = self._gang_demand.resources
        has_small_machines = any(
            m.was_usable and not resources.fits_in(m.capacity) for m in machines
        )
        reserved_slots = self._gang_demand.reserved_slots(has_small_machines)
        if reserved_slots < 0.5:
            return False
        idle = sum(resources.fit_count(m.free()) for m in machines)
        return idle <= math.ceil(reserved_slots / max(1, len(self._cache.shards)))

    def usable_by(self, spec: JobSpec, machine: Machine) -> Resources:
        """The free capacity of a machine that tasks of this job may use, after reserves."""
        free = machine.free()
        if spec.gpus > 0 or spec.is_service:
            return free
        reserve = self._accelerators.resources_to_reserve(machine.capacity, free)
        if self._has_few_idle_slots and self._gang_demand.is_restricted(spec):
            free = self._gang_demand.outside_reserved_slots(free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)
