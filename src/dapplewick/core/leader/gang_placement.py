"""Placement of one waiting gang by the leader (point 2 of `docs/design.md`)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.slot_selection import (
    ONE_GROUP_LIMIT_FACTOR,
    ChosenSlots,
    fit_all,
    fit_behind,
    fit_reserved,
)
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds, Zone

# More machines are provisioned for a gang whose reserved slots stay busy for longer than this.
LONG_RESERVATION_S = 10.0


class _ReservationOption(NamedTuple):
    """Slots that a gang could reserve, and the time until all of them are idle."""

    wait_s: Seconds
    slots: ChosenSlots


def place_gang(
    spec: JobSpec,
    shards: Iterable[ShardCapacity],
    limit_s: Seconds,
    preemption_threshold_s: Seconds,
) -> ChosenSlots | None:
    """Choose machines for a gang's tasks, or return None if the gang has to wait; reserves nothing.

    The order of preference is: idle slots of one shard, then busy slots of one shard that are
    reserved until all are idle, then idle slots of several shards. Slot totals, which are memoized
    by slot shape, are checked first; machines are chosen only if there are enough slots.

    Args:
        spec: The gang.
        shards: The shards in which the gang may be placed.
        limit_s: Slots that are busy for longer than this are not reserved.
        preemption_threshold_s: Work of lower priority is preempted if the gang would otherwise wait
            for longer than this.
    """
    shards = list(shards)
    if spec.max_tasks_per_zone >= spec.task_count:
        slots = _place_in_one_shard(spec, shards, limit_s, preemption_threshold_s)
        if slots is not None:
            return slots
    if not spec.same_zone:
        return _span_shards(spec, shards)
    for zone in dict.fromkeys(shard.zone for shard in shards):
        slots = _span_shards(spec, [shard for shard in shards if shard.zone == zone])
        if slots is not None:
            return slots
    return None


def _place_in_one_shard(
    spec: JobSpec, shards: list[ShardCapacity], limit_s: Seconds, preemption_threshold_s: Seconds
) -> ChosenSlots | None:
    idle = _idle_in_one_shard(spec, shards)
    return (
        idle
        if idle is not None
        else _soonest_reservation(spec, shards, limit_s, preemption_threshold_s)
    )


def _idle_in_one_shard(spec: JobSpec, shards: list[ShardCapacity]) -> ChosenSlots | None:
    """Choose idle slots in the shard where they leave the fewest accelerators unused."""
    best: list[MachineCapacity] | None = None
    best_gpus = 0.0
    for shard in shards:
        if shard.idle_slots(spec) < spec.task_count:
            continue
        chosen = fit_all(shard.machines_for(spec), spec, spec.task_count)
        if chosen is None:
            continue
        unneeded_gpus = sum(c.total.gpus for c in chosen) if spec.gpus == 0 else 0.0
        if best is None or unneeded_gpus < best_gpus:
            best, best_gpus = chosen, unneeded_gpus
    return ChosenSlots(best, False) if best is not None else None


def _soonest_reservation(
    spec: JobSpec, shards: list[ShardCapacity], limit_s: Seconds, preemption_threshold_s: Seconds
) -> ChosenSlots | None:
    """Choose slots to reserve in the shard where all of them become idle soonest."""
    best: _ReservationOption | None = None
    for shard in shards:
        slots = _reservable_slots(spec, shard, limit_s, preemption_threshold_s)
        if slots is None:
            continue
        wait_s = _wait_s(spec, slots)
        if best is None or wait_s < best.wait_s:
            best = _ReservationOption(wait_s, slots)
    return best.slots if best is not None else None


def _reservable_slots(
    spec: JobSpec, shard: ShardCapacity, limit_s: Seconds, preemption_threshold_s: Seconds
) -> ChosenSlots | None:
    # Slots that are busy with long work are not reserved: the gang's slots that are already idle
    # would stay unused until that work ends.
    count = spec.task_count
    if shard.runs_lower_priority_than(spec.priority):
        if shard.slots_within(spec, limit_s) < count:
            return None
        return fit_reserved(shard.capacities, spec, count, preemption_threshold_s, limit_s)
    if shard.slots_within(spec, ONE_GROUP_LIMIT_FACTOR * limit_s) < count:
        return None
    capacities = fit_behind(*shard.slot_groups(spec), count, limit_s)
    return ChosenSlots(capacities, False) if capacities is not None else None


def _wait_s(spec: JobSpec, slots: ChosenSlots) -> Seconds:
    """Return the time until the last of these machines has a slot."""
    longest_s = 0.0
    for capacity in dict.fromkeys(slots.capacities):
        wait = capacity.slot_wait(spec)
        if wait is not None:
            longest_s = max(
                longest_s, wait.with_preemption_s if slots.preempt else wait.without_preemption_s
            )
    return longest_s


def _span_shards(spec: JobSpec, shards: list[ShardCapacity]) -> ChosenSlots | None:
    """Choose idle slots across shards, in each zone at most the gang's limit per zone."""
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle_slots(spec)
    if sum(min(slots, spec.max_tasks_per_zone) for slots in idle.values()) < spec.task_count:
        return None
    chosen: list[MachineCapacity] = []
    zone_remaining = dict.fromkeys(idle, spec.max_tasks_per_zone)
    for shard in sorted(shards, key=lambda s: -s.idle_slots(spec)):
        limit = min(
            spec.task_count - len(chosen), zone_remaining[shard.zone], shard.idle_slots(spec)
        )
        if limit > 0:
            found = fit_all(shard.machines_for(spec), spec, limit) or []
            zone_remaining[shard.zone] -= len(found)
            chosen += found
        if len(chosen) == spec.task_count:
            return ChosenSlots(chosen, False)
    return None
