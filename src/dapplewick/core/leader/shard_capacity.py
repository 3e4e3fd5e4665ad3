"""The capacity of one shard's machines within a planning pass, with memoized totals."""

from __future__ import annotations

import itertools
import math
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.demand import MIN_GANG_SLOTS, AcceleratorDemand, GangDemand
from dapplewick.core.leader.machine_capacity import (
    RESOURCE_TOLERANCE,
    MachineCapacity,
    best_fit_key,
)
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.types import Resources, Seconds, ShardName, zone_of


class MachineSlots(NamedTuple):
    """A number of slots of one machine."""

    capacity: MachineCapacity
    slots: int


class EndGroup(NamedTuple):
    """Slots that become idle together, with the end of one gang or of one array task.

    Attributes:
        wait_s: The time until they are idle.
        slot_count: The number of slots, over all machines.
        machines: The slots of each machine.
    """

    wait_s: Seconds
    slot_count: int
    machines: list[MachineSlots]


class SlotGroups(NamedTuple):
    """The slots of a shard for one job.

    Attributes:
        idle: The idle slots of each machine.
        groups: The groups of busy slots.
    """

    idle: list[MachineSlots]
    groups: list[EndGroup]


class _WaitTotals(NamedTuple):
    """The waits until slots are idle, ascending, and the number of slots up to each of them."""

    waits_s: list[Seconds]
    totals: list[int]


class ShardCapacity:
    """One shard's capacity within a planning pass.

    Attributes:
        teams: The teams whose work may be placed here; None means all teams.
        capacities: All machines.
        open_capacities: The machines that had free CPUs at the start of the pass.
    """

    def __init__(self, shard: ShardName, capacities: list[MachineCapacity]) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.teams: frozenset[str] | None = None
        self.capacities = capacities
        self.open_capacities = [c for c in capacities if c.free.cpus > RESOURCE_TOLERANCE]
        # Memo tables by the placement key of a job, valid until resources are reserved here.
        self._idle_totals: dict[PlacementKey, int] = {}
        self._waits: dict[PlacementKey, _WaitTotals] = {}
        self._groups: dict[PlacementKey, SlotGroups] = {}
        self._idle_gang_slots: int | None = None
        self._lowest_priority: int | None = None
        self._gang_demand: GangDemand | None = None
        self._has_small_machines: bool | None = None

    def clear_memos(self) -> None:
        """Clear the memo tables, after a change of their inputs."""
        self._idle_totals.clear()
        self._waits.clear()
        self._groups.clear()
        self._idle_gang_slots = None

    def add(self, capacity: MachineCapacity) -> None:
        """Add a machine to the shard."""
        self.capacities.append(capacity)
        self.open_capacities.append(capacity)
        self.clear_memos()

    def restrict_to_teams(self, teams: frozenset[str] | None) -> None:
        """Restrict this shard to the work of some teams for this pass; None permits all."""
        self.teams = teams
        for capacity in self.capacities:
            capacity.teams = teams

    def accepts(self, spec: JobSpec) -> bool:
        """Whether work of the job's team may be placed here."""
        return self.teams is None or spec.team in self.teams

    def idle_slots(self, spec: JobSpec) -> int:
        """The number of tasks of a job for which there are idle slots."""
        if not self.accepts(spec):
            return 0  # not memoized: teams with equal placement keys share the memo table
        placement_key = spec.placement_key
        total = self._idle_totals.get(placement_key)
        if total is None:
            cpus = spec.cpus - RESOURCE_TOLERANCE
            total = sum(c.idle_slots(spec) for c in self.open_capacities if c.free.cpus >= cpus)
            self._idle_totals[placement_key] = total
        return total

    def slots_within(self, spec: JobSpec, limit_s: Seconds) -> int:
        """The number of tasks of a job for which slots become idle within a time."""
        if not self.accepts(spec):
            return 0
        placement_key = spec.placement_key
        waits = self._waits.get(placement_key)
        if waits is None:
            waits = self._waits[placement_key] = self._total_waits(spec)
        position = bisect_right(waits.waits_s, limit_s)
        return waits.totals[position - 1] if position else 0

    def _total_waits(self, spec: JobSpec) -> _WaitTotals:
        counts = sorted(
            (wait.with_preemption_s, slots)
            for capacity in self.capacities
            for wait, slots in capacity.slot_waits(spec)
        )
        return _WaitTotals(
            [wait_s for wait_s, _ in counts],
            list(itertools.accumulate(slots for _, slots in counts)),
        )

    def could_hold_all(self, spec: JobSpec) -> bool:
        """Whether all tasks of a gang would fit on this shard's machines if these were empty."""
        slots = (spec.resources.fit_count(c.total) for c in self.capacities if c.allows(spec))
        return sum(slots) >= spec.task_count

    def slot_groups(self, spec: JobSpec) -> SlotGroups:
        """The idle slots for a job, and the groups of slots that become idle together."""
        if not self.accepts(spec):
            return SlotGroups([], [])
        placement_key = spec.placement_key
        slot_groups = self._groups.get(placement_key)
        if slot_groups is None:
            slot_groups = self._groups[placement_key] = self._group_slots(spec)
        return slot_groups

    def _group_slots(self, spec: JobSpec) -> SlotGroups:
        idle: list[MachineSlots] = []
        by_name: dict[str, EndGroup] = {}
        for capacity in self.capacities:
            for wait_s, name, slots in capacity.slot_ends(spec):
                if not name:
                    idle.append(MachineSlots(capacity, slots))
                    continue
                # A gang's tasks all end at the same time: the wait on its first machine is kept.
                group = by_name.get(name) or EndGroup(wait_s, 0, [])
                group.machines.append(MachineSlots(capacity, slots))
                by_name[name] = group._replace(slot_count=group.slot_count + slots)
        return SlotGroups(idle, list(by_name.values()))

    def set_demand(self, demand: AcceleratorDemand | None) -> None:
        """Reserve CPUs and memory for accelerator work by this demand; None reserves nothing."""
        for capacity in self.capacities:
            if capacity.total.gpus > 0:
                capacity.demand = demand
                capacity.clear_memos()
        self.clear_memos()

    def runs_lower_priority_than(self, priority: int) -> bool:
        """Whether any task here has a priority below this one, so that it may be preempted."""
        if self._lowest_priority is None:
            self._lowest_priority = min(
                (end.priority for c in self.capacities for end in c.ends),
                default=NON_PREEMPTIBLE_PRIORITY,
            )
        return self._lowest_priority < priority

    def machines_for(self, spec: JobSpec) -> list[MachineCapacity]:
        """The machines where a job may run that have CPUs and accelerators free for one task."""
        cpus, gpus = spec.cpus - RESOURCE_TOLERANCE, spec.gpus - RESOURCE_TOLERANCE
        return [
            c
            for c in self.open_capacities
            if c.free.cpus >= cpus and c.free.gpus >= gpus and c.allows(spec)
        ]

    def reserve(self, capacities: Iterable[MachineCapacity], resources: Resources) -> None:
        """Reserve a slot of this size on each of these machines."""
        for capacity in capacities:
            capacity.reserve(resources)
        self.clear_memos()

    def reserve_up_to(self, spec: JobSpec, max_tasks: int, only_with_image: bool = False) -> int:
        """Reserve idle slots for up to `max_tasks` tasks.

        Args:
            spec: The job specification.
            max_tasks: The maximum number of tasks.
            only_with_image: Whether to use only machines that have the job's image.

        Returns:
            The number of tasks for which slots were reserved.
        """
        if max_tasks <= 0:
            return 0
        capacities = self.machines_for(spec)
        if only_with_image:
            capacities = [c for c in capacities if spec.image in c.images]
        if not capacities:
            return 0
        capacities.sort(key=lambda c: best_fit_key(c, spec))
        reserved = 0
        for capacity in capacities:
            count = min(max_tasks - reserved, capacity.slot_count(spec))
            if count > 0:
                capacity.reserve(spec.resources.times(count))
                reserved += count
                if reserved == max_tasks:
                    break
        if reserved:
            self.clear_memos()
        return reserved

    def reserve_by_preemption(self, spec: JobSpec, max_tasks: int) -> int:
        """Reserve slots that are idle at once if lower priorities are preempted, one per machine.

        Args:
            spec: The specification of a service.
            max_tasks: The maximum number of replicas.

        Returns:
            The number of replicas for which slots were reserved.
        """
        reserved = 0
        for capacity in self.capacities:
            if reserved >= max_tasks:
                break
            if capacity.allows(spec):
                wait = capacity.slot_wait(spec)
                if (
                    wait is not None
                    and min(wait.without_preemption_s, wait.with_preemption_s) <= 0.0
                ):
                    capacity.reserve(spec.resources)
                    reserved += 1
        if reserved:
            self.clear_memos()
        return reserved

    def reserve_idle_slots_for_gangs(self, gangs: GangDemand, fraction: float) -> None:
        """Reserve all idle slots for gangs if there are no more than the expected gangs need.

        Args:
            gangs: The gang demand, with the number of slots reserved in all shards together.
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
                gangs.resources.fit_count(c.free) for c in self.open_capacities
            )
        gang_demand = gangs if self._idle_gang_slots <= math.ceil(slots * fraction) else None
        if gang_demand is self._gang_demand:
            return
        self._gang_demand = gang_demand
        self._idle_totals.clear()
        self._waits.clear()
        self._groups.clear()
        for capacity in self.capacities:
            capacity.gang_demand = gang_demand
            capacity.clear_memos()
