"""Where a waiting gang goes: the design's second point, over the leader's picture of the parts."""

from __future__ import annotations

from collections.abc import Iterable

from dapplewick.core.leader.capacity import (
    ONE_GROUP_TIMES,
    MachineCapacity,
    ShardCapacity,
    fit_all,
    fit_behind,
    fit_reserved,
)
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds, Zone

LONG_RESERVATION_S = 10.0  # gangs that hold slots for longer want more machines


def place_gang(
    spec: JobSpec, shards: Iterable[ShardCapacity], limit: Seconds, patience: Seconds
) -> tuple[list[MachineCapacity], bool] | None:
    """Machines for a gang's tasks, and whether singles of lower priority stop for it: one
    part's idle slots, else slots of one part to be held, else idle slots of several parts.

    Counts come first, and they are kept for gangs that are alike; machines are chosen only
    once it is known that there are enough.
    """
    shards, count, placement_key = list(shards), spec.task_count, spec.placement_key
    one_shard = spec.zone_cap >= count
    if one_shard:
        best: tuple[float, list[MachineCapacity]] | None = None
        for shard in shards:
            if shard.idle(spec, placement_key) < count:
                continue
            chosen = fit_all(shard.candidates(spec), spec, count)
            if chosen is not None:
                spare = sum(v.total.gpus for v in chosen) if spec.gpus == 0 else 0.0
                if best is None or spare < best[0]:
                    best = (spare, chosen)
        if best is not None:
            return best[1], False
        held = _held(spec, shards, limit, patience)
        if held is not None:
            return held
    if not spec.same_zone:
        spanning = _spanning(spec, shards)
        return (spanning, False) if spanning is not None else None
    for zone in dict.fromkeys(shard.zone for shard in shards):
        spanning = _spanning(spec, [shard for shard in shards if shard.zone == zone])
        if spanning is not None:
            return spanning, False
    return None


def _spanning(spec: JobSpec, shards: list[ShardCapacity]) -> list[MachineCapacity] | None:
    """Idle slots of several parts, in each zone no more than the gang may have there."""
    placement_key = spec.placement_key
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle(spec, placement_key)
    if sum(min(slots, spec.zone_cap) for slots in idle.values()) < spec.task_count:
        return None
    chosen: list[MachineCapacity] = []
    left = dict.fromkeys(idle, spec.zone_cap)
    for shard in sorted(shards, key=lambda p: -p.idle(spec, placement_key)):
        most = min(spec.task_count - len(chosen), left[shard.zone], shard.idle(spec, placement_key))
        if most > 0:
            found = fit_all(shard.candidates(spec), spec, most) or []
            left[shard.zone] -= len(found)
            chosen += found
        if len(chosen) == spec.task_count:
            return chosen
    return None


def _held(
    spec: JobSpec, shards: list[ShardCapacity], limit: Seconds, patience: Seconds
) -> tuple[list[MachineCapacity], bool] | None:
    # Slots behind long work are no place to wait: those that are idle already would stay so.
    placement_key = spec.placement_key
    best: tuple[float, list[MachineCapacity], bool] | None = None
    for shard in shards:
        if not shard.preemptable(spec.priority):
            if shard.held(spec, placement_key, ONE_GROUP_TIMES * limit) < spec.task_count:
                continue
            overload_s = fit_behind(*shard.groups(spec, placement_key), spec.task_count, limit)
            if overload_s is not None:
                wait = _wait(spec, overload_s)
                if best is None or wait < best[0]:
                    best = (wait, overload_s, False)
            continue
        if shard.held(spec, placement_key, limit) < spec.task_count:
            continue
        option = fit_reserved(shard.capacities, spec, spec.task_count, patience, limit)
        if option is None:
            continue
        wait = _wait(spec, option[0], option[1])
        if best is None or wait < best[0]:
            best = (wait, option[0], option[1])
    return (best[1], best[2]) if best is not None else None


def _wait(spec: JobSpec, capacities: list[MachineCapacity], preempt: bool = False) -> Seconds:
    wait = 0.0
    for capacity in capacities:
        times = capacity.room_in(spec)
        if times is not None:
            wait = max(wait, times[1] if preempt else times[0])
    return wait
