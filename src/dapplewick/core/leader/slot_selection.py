"""Selection of the slots in a shard that a gang uses or reserves."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.leader.machine_capacity import BestFitKey, MachineCapacity, best_fit_key
from dapplewick.core.leader.shard_capacity import EndGroup, MachineSlots
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

# The wait limit is multiplied by this if all slots become idle with the end of one group of tasks.
ONE_GROUP_LIMIT_FACTOR = 4.0


class ChosenSlots(NamedTuple):
    """The machine of each task, and whether work of lower priority is preempted there."""

    capacities: list[MachineCapacity]
    preempt: bool


def fit_all(
    capacities: Iterable[MachineCapacity], spec: JobSpec, count: int
) -> list[MachineCapacity] | None:
    """Choose machines with idle slots for `count` tasks, or return None; reserves nothing."""
    eligible = sorted(
        (c for c in capacities if c.allows(spec) and c.slot_count(spec) > 0),
        key=lambda c: best_fit_key(c, spec),
    )
    chosen: list[MachineCapacity] = []
    for capacity in eligible:
        chosen.extend([capacity] * min(count - len(chosen), capacity.slot_count(spec)))
        if len(chosen) == count:
            return chosen
    return None


class _ReservableMachine(NamedTuple):
    """A machine on which a gang may reserve slots; lowest-comparing machines are used first."""

    unneeded_gpus: float
    wait_s: Seconds
    best_fit_key: BestFitKey
    position: int  # index in the shard; breaks ties, so that `capacity` is not compared
    capacity: MachineCapacity


def fit_reserved(
    capacities: Iterable[MachineCapacity],
    spec: JobSpec,
    count: int,
    preemption_threshold_s: Seconds,
    limit_s: Seconds,
) -> ChosenSlots | None:
    """Choose slots to reserve for `count` tasks until all are idle, or return None.

    The slots are not reserved yet.

    Args:
        capacities: The machines of one shard.
        spec: The gang.
        count: The number of tasks.
        preemption_threshold_s: Work of lower priority is preempted if the gang would otherwise wait
            for longer than this.
        limit_s: Slots that are busy for longer than this are not used.
    """
    options = _reservable_machines(capacities, spec, preemption_threshold_s, limit_s)
    chosen: list[MachineCapacity] = []
    preempt = False
    for option in options:
        for wait, slots in option.capacity.slot_waits(spec):
            missing = count - len(chosen)
            if not missing or wait.with_preemption_s > limit_s:
                break
            if (
                wait.without_preemption_s > preemption_threshold_s
                and wait.with_preemption_s < wait.without_preemption_s
            ):
                preempt = True
            chosen.extend([option.capacity] * min(slots, missing))
        if len(chosen) == count:
            return ChosenSlots(chosen, preempt)
    return None


def _reservable_machines(
    capacities: Iterable[MachineCapacity],
    spec: JobSpec,
    preemption_threshold_s: Seconds,
    limit_s: Seconds,
) -> list[_ReservableMachine]:
    options: list[_ReservableMachine] = []
    for position, capacity in enumerate(capacities):
        if not capacity.allows(spec):
            continue
        wait = capacity.slot_wait(spec)
        if wait is None:
            continue
        without_preemption_s, with_preemption_s = wait
        wait_s = (
            without_preemption_s
            if without_preemption_s <= preemption_threshold_s
            else max(with_preemption_s, preemption_threshold_s)
        )
        if wait_s > limit_s:
            continue
        if with_preemption_s >= without_preemption_s:
            # Without preemption, the tasks queued on the machine have to wait for longer; tasks
            # that are preempted do not.
            wait_s += capacity.queue_length
        unneeded_gpus = capacity.total.gpus if spec.gpus == 0 else 0.0
        options.append(
            _ReservableMachine(
                unneeded_gpus, wait_s, best_fit_key(capacity, spec), position, capacity
            )
        )
    options.sort()
    return options


def fit_behind(
    idle: list[MachineSlots], groups: list[EndGroup], count: int, limit_s: Seconds
) -> list[MachineCapacity] | None:
    """Choose slots for a gang to reserve behind running gangs, or return None.

    All slots of one large enough gang become idle together, so that no reserved slot stays idle
    even if the run time estimate is wrong. Otherwise the fewest and largest groups are chosen: with
    more groups, the slots of those that end early stay idle for longer until the last group ends.
    """
    enough = [
        group
        for group in groups
        if group.slot_count >= count and group.wait_s <= ONE_GROUP_LIMIT_FACTOR * limit_s
    ]
    if enough:
        # The smallest of these groups, so that larger groups stay available for larger gangs.
        smallest = min(enough, key=lambda g: (g.slot_count, g.wait_s))
        return _take_slots(smallest.machines, count)
    chosen: list[MachineCapacity] = []
    idle_count = sum(machine.slots for machine in idle)
    for group in sorted(groups, key=lambda g: (-g.slot_count, g.wait_s)):
        missing = count - len(chosen)
        if missing <= idle_count:
            break
        if group.wait_s <= limit_s:
            chosen.extend(_take_slots(group.machines, missing))
    chosen.extend(_take_slots(idle, count - len(chosen)))
    return chosen if len(chosen) == count else None


def _take_slots(machines: Iterable[MachineSlots], count: int) -> list[MachineCapacity]:
    """Return the machines of the first `count` slots, or of all slots if there are fewer."""
    taken: list[MachineCapacity] = []
    for capacity, slots in machines:
        if len(taken) >= count:
            break
        taken.extend([capacity] * min(slots, count - len(taken)))
    return taken
