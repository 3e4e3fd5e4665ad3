"""One shard's machines within a pass, with sums over them that are kept by shape of slot."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.demand import MIN_GANG_SLOTS, AcceleratorDemand, GangDemand
from dapplewick.core.leader.machine_capacity import (
    CPU_ROUNDING,
    MachineCapacity,
    spare_key,
)
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.types import Resources, Seconds, ShardName, zone_of


class EndGroup(NamedTuple):
    """Slots that become idle together, named by their machines."""

    wait_s: Seconds
    capacities: list[MachineCapacity]


class SlotGroups(NamedTuple):
    """The machines of idle slots, one entry for each, and the groups of busy ones."""

    idle: list[MachineCapacity]
    groups: list[EndGroup]


class ShardCapacity:
    """One shard's capacity within a pass.

    Attributes:
        teams: Whose work may come here; None means everybody's.
        capacities: All machines.
        open_capacities: Those on which some CPU was free when the pass began.
    """

    def __init__(self, shard: ShardName, capacities: list[MachineCapacity]) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.teams: frozenset[str] | None = None
        self.capacities = capacities
        self.open_capacities = [c for c in capacities if c.free.cpus > CPU_ROUNDING]
        # Memo tables by shape of slot, valid until resources are taken here.
        self._idle_totals: dict[PlacementKey, int] = {}
        self._waits: dict[PlacementKey, list[Seconds]] = {}
        self._groups: dict[PlacementKey, SlotGroups] = {}
        self._idle_gang_slots: int | None = None
        self._lowest_priority: int | None = None
        self._kept_for: GangDemand | None = None
        self._has_small_machines: bool | None = None

    def clear_memos(self) -> None:
        """Clear the memo tables: what they rest on has changed."""
        self._idle_totals.clear()
        self._waits.clear()
        self._groups.clear()
        self._idle_gang_slots = None

    def add(self, capacity: MachineCapacity) -> None:
        """Count with one more machine."""
        self.capacities.append(capacity)
        self.open_capacities.append(capacity)
        self.clear_memos()

    def serve_only(self, teams: frozenset[str] | None) -> None:
        """Keep this shard for the work of some teams, in this pass."""
        self.teams = teams
        for capacity in self.capacities:
            capacity.teams = teams

    def serves(self, spec: JobSpec) -> bool:
        """Whether work of this team may come here."""
        return self.teams is None or spec.team in self.teams

    def idle_slots(self, spec: JobSpec) -> int:
        """For how many tasks there are idle slots."""
        if not self.serves(spec):
            return 0  # the memo below is shared by teams whose work is alike
        placement_key = spec.placement_key
        total = self._idle_totals.get(placement_key)
        if total is None:
            cpus = spec.cpus - CPU_ROUNDING
            total = sum(c.idle_slots(spec) for c in self.open_capacities if c.free.cpus >= cpus)
            self._idle_totals[placement_key] = total
        return total

    def slots_within(self, spec: JobSpec, limit_s: Seconds) -> int:
        """For how many tasks slots become idle within a time."""
        if not self.serves(spec):
            return 0
        placement_key = spec.placement_key
        waits = self._waits.get(placement_key)
        if waits is None:
            waits = self._waits[placement_key] = sorted(
                wait for capacity in self.capacities for wait in capacity.slot_waits(spec)
            )
        return bisect_right(waits, limit_s)

    def could_hold_all(self, spec: JobSpec) -> bool:
        """Whether these machines, if they were empty, would take all tasks of a gang."""
        slots = (spec.resources.count_in(c.total) for c in self.capacities if c.allows(spec))
        return sum(slots) >= spec.task_count

    def slot_groups(self, spec: JobSpec) -> SlotGroups:
        """The idle slots of this shape, and those that become idle together."""
        if not self.serves(spec):
            return SlotGroups([], [])
        placement_key = spec.placement_key
        found = self._groups.get(placement_key)
        if found is None:
            found = self._groups[placement_key] = self._group_slots(spec)
        return found

    def _group_slots(self, spec: JobSpec) -> SlotGroups:
        idle: list[MachineCapacity] = []
        by_name: dict[str, EndGroup] = {}
        for capacity in self.capacities:
            for wait_s, name in capacity.slot_ends(spec):
                if not name:
                    idle.append(capacity)
                    continue
                group = by_name.get(name)
                if group is None:
                    group = by_name[name] = EndGroup(wait_s, [])
                group.capacities.append(capacity)
        return SlotGroups(idle, list(by_name.values()))

    def set_demand(self, demand: AcceleratorDemand | None) -> None:
        """Keep resources beside accelerators for the work that needs these, or no longer."""
        for capacity in self.capacities:
            if capacity.total.gpus > 0:
                capacity.demand = demand
                capacity.clear_memos()
        self.clear_memos()

    def runs_lower_priority_than(self, priority: int) -> bool:
        """Whether any work here has a lower priority, and so may be preempted for this one."""
        if self._lowest_priority is None:
            self._lowest_priority = min(
                (end.priority for c in self.capacities for end in c.ends),
                default=NON_PREEMPTIBLE_PRIORITY,
            )
        return self._lowest_priority < priority

    def machines_for(self, spec: JobSpec) -> list[MachineCapacity]:
        """Machines that allow this work and have CPUs and accelerators for a task of it."""
        cpus, gpus = spec.cpus - CPU_ROUNDING, spec.gpus - CPU_ROUNDING
        return [
            c
            for c in self.open_capacities
            if c.free.cpus >= cpus and c.free.gpus >= gpus and c.allows(spec)
        ]

    def reserve(self, capacities: Iterable[MachineCapacity], resources: Resources) -> None:
        """Take a slot of this size on each of these machines."""
        for capacity in capacities:
            capacity.reserve(resources)
        self.clear_memos()

    def reserve_up_to(self, spec: JobSpec, most: int, only_with_image: bool = False) -> int:
        """Take idle slots for up to `most` tasks.

        Args:
            spec: The work.
            most: For how many tasks.
            only_with_image: Only on machines that have its image.

        Returns:
            For how many tasks there were slots.
        """
        if most <= 0:
            return 0
        capacities = self.machines_for(spec)
        if only_with_image:
            capacities = [c for c in capacities if spec.image in c.images]
        if not capacities:
            return 0
        capacities.sort(key=lambda c: spare_key(c, spec))
        taken = 0
        for capacity in capacities:
            count = min(most - taken, capacity.slot_count(spec))
            if count > 0:
                capacity.reserve(spec.resources.times(count))
                taken += count
                if taken == most:
                    break
        if taken:
            self.clear_memos()
        return taken

    def reserve_by_preemption(self, spec: JobSpec, most: int) -> int:
        """Take slots for replicas that preempt work of lower priority, one on each machine.

        Returns:
            For how many replicas there were slots.
        """
        taken = 0
        for capacity in self.capacities:
            if taken >= most:
                break
            if capacity.allows(spec):
                wait = capacity.slot_wait(spec)
                if (
                    wait is not None
                    and min(wait.without_preemption_s, wait.with_preemption_s) <= 0.0
                ):
                    capacity.reserve(spec.resources)
                    taken += 1
        if taken:
            self.clear_memos()
        return taken

    def reserve_idle_slots_for_gangs(self, gangs: GangDemand, fraction: float) -> None:
        """Keep the idle slots for gangs if there are no more than gangs need.

        Args:
            gangs: How many slots are kept in all shards together.
            fraction: This shard's fraction of them.
        """
        if self._has_small_machines is None:
            self._has_small_machines = any(
                not gangs.resources.fits_in(c.total) for c in self.capacities
            )
        slots = gangs.reserved_slots(self._has_small_machines)
        if slots < MIN_GANG_SLOTS:
            return
        if self._idle_gang_slots is None:
            self._idle_gang_slots = sum(
                gangs.resources.count_in(c.free) for c in self.open_capacities
            )
        kept_for = gangs if self._idle_gang_slots <= math.ceil(slots * fraction) else None
        if kept_for is self._kept_for:
            return
        self._kept_for = kept_for
        self._idle_totals.clear()
        self._waits.clear()
        self._groups.clear()
        for capacity in self.capacities:
            capacity.kept_for = kept_for
            capacity.clear_memos()
