"""The free capacity that a job's tasks may use, beside what is kept for other work."""

from __future__ import annotations

import math

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import Machine
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, Resources, Seconds


class FreeCapacity:
    """Keeps capacity for work with accelerators, and idle slots for gangs to come."""

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        accelerators: AcceleratorDemand,
        gangs: GangDemand,
    ) -> None:
        self._cache = cache
        self._machines = machines
        self._accelerators = accelerators
        self._gangs = gangs
        self._has_few_slots = False  # whether few idle slots of the gangs' size are left

    def update(self, now: Seconds, wall_time: Seconds) -> None:
        """Count anew what is wanted and what is left.

        Args:
            now: The time by this process's clock.
            wall_time: The time by the clock under which jobs are submitted.
        """
        self._accelerators.update(now, wall_time)
        self._gangs.update(now)
        self._has_few_slots = self._few_slots_left()

    def _few_slots_left(self) -> bool:
        """Whether no more idle slots are left here than are kept for gangs."""
        machines = self._machines.by_id.values()
        resources = self._gangs.resources
        elsewhere = any(m.was_usable and not resources.fits_in(m.capacity) for m in machines)
        kept = self._gangs.reserved_slots(elsewhere)
        if kept < 0.5:
            return False
        idle = sum(resources.fit_count(m.free()) for m in machines)
        return idle <= math.ceil(kept / max(1, len(self._cache.shards)))

    def usable_by(self, spec: JobSpec, machine: Machine) -> Resources:
        """The free capacity of a machine that tasks of this job may use."""
        free = machine.free()
        if spec.gpus > 0 or spec.is_service:
            return free
        reserve = self._accelerators.resources_to_reserve(machine.capacity, free)
        if self._has_few_slots and self._gangs.is_restricted(spec):
            free = self._gangs.outside_reserved_slots(free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)
