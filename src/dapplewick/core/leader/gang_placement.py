"""Where a waiting gang goes: the design's second point, over the leader's view of the shards."""

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

LONG_RESERVATION_S = 10.0  # after a longer one, more machines are wanted for the gang


class _ReservedSlots(NamedTuple):
    """Slots that a gang could reserve, and how long until all are idle."""

    wait_s: Seconds
    slots: ChosenSlots


def place_gang(
    spec: JobSpec, shards: Iterable[ShardCapacity], limit_s: Seconds, patience_s: Seconds
) -> ChosenSlots | None:
    """Choose the machines of a gang's tasks, or None if it has to wait; takes nothing yet.

    The design's order: the idle slots of one shard, else busy slots of one shard that are reserved
    until all are idle, else idle slots of several shards. Sums over machines come first, and they
    are kept for gangs that are alike; machines are chosen only where there are enough slots.

    Args:
        spec: The gang.
        shards: The shards in which it may be placed.
        limit_s: No slot is reserved that is busy for longer than this.
        patience_s: A longer wait is cut short by preempting work of lower priority.
    """
    shards = list(shards)
    if spec.zone_cap >= spec.task_count:
        slots = _place_in_one_shard(spec, shards, limit_s, patience_s)
        if slots is not None:
            return slots
    if not spec.same_zone:
        return _span(spec, shards)
    for zone in dict.fromkeys(shard.zone for shard in shards):
        slots = _span(spec, [shard for shard in shards if shard.zone == zone])
        if slots is not None:
            return slots
    return None


def _place_in_one_shard(
    spec: JobSpec, shards: list[ShardCapacity], limit_s: Seconds, patience_s: Seconds
) -> ChosenSlots | None:
    idle = _idle_in_one_shard(spec, shards)
    return idle if idle is not None else _reserve(spec, shards, limit_s, patience_s)


def _idle_in_one_shard(spec: JobSpec, shards: list[ShardCapacity]) -> ChosenSlots | None:
    """Idle slots of the shard in which fewest accelerators stand beside them unneeded."""
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


def _reserve(
    spec: JobSpec, shards: list[ShardCapacity], limit_s: Seconds, patience_s: Seconds
) -> ChosenSlots | None:
    """Slots of the shard in which all of them are idle soonest."""
    best: _ReservedSlots | None = None
    for shard in shards:
        slots = _reservable_slots(spec, shard, limit_s, patience_s)
        if slots is None:
            continue
        wait_s = _wait_s(spec, slots)
        if best is None or wait_s < best.wait_s:
            best = _ReservedSlots(wait_s, slots)
    return best.slots if best is not None else None


def _reservable_slots(
    spec: JobSpec, shard: ShardCapacity, limit_s: Seconds, patience_s: Seconds
) -> ChosenSlots | None:
    # Slots behind long work are no place to wait: those that are idle already would stay so.
    count = spec.task_count
    if shard.runs_lower_priority_than(spec.priority):
        if shard.slots_within(spec, limit_s) < count:
            return None
        return fit_reserved(shard.capacities, spec, count, patience_s, limit_s)
    if shard.slots_within(spec, ONE_GROUP_LIMIT_FACTOR * limit_s) < count:
        return None
    capacities = fit_behind(*shard.slot_groups(spec), count, limit_s)
    return ChosenSlots(capacities, False) if capacities is not None else None


def _wait_s(spec: JobSpec, slots: ChosenSlots) -> Seconds:
    """How long until the last of these machines has a slot."""
    longest_s = 0.0
    for capacity in slots.capacities:
        wait = capacity.slot_wait(spec)
        if wait is not None:
            longest_s = max(
                longest_s, wait.with_preemption_s if slots.preempt else wait.without_preemption_s
            )
    return longest_s


def _span(spec: JobSpec, shards: list[ShardCapacity]) -> ChosenSlots | None:
    """Idle slots of several shards, in each zone no more than the gang may have there."""
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle_slots(spec)
    if sum(min(slots, spec.zone_cap) for slots in idle.values()) < spec.task_count:
        return None
    chosen: list[MachineCapacity] = []
    left = dict.fromkeys(idle, spec.zone_cap)
    for shard in sorted(shards, key=lambda s: -s.idle_slots(spec)):
        most = min(spec.task_count - len(chosen), left[shard.zone], shard.idle_slots(spec))
        if most > 0:
            found = fit_all(shard.machines_for(spec), spec, most) or []
            left[shard.zone] -= len(found)
            chosen += found
        if len(chosen) == spec.task_count:
            return ChosenSlots(chosen, False)
    return None
