"""When the slots of a machine become idle, as counts of slots with the same time.

The number of slots of a machine follows from the amounts that users ask for, and has no bound: any
number of tasks that require nothing fit on a machine. The results therefore have at most two
entries, with a count, for each end of a running task, and never one entry for each slot.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.types import Resources, Seconds


class ExpectedEnd(NamedTuple):
    """The estimated end of a task on a machine, and the resources that it then releases.

    Attributes:
        at: The estimated time of the end, by the leader's monotonic clock.
        resources: The resources that the task releases.
        priority: The priority of the task's job.
        group: The gang, whose tasks all end together; empty for an array task.
    """

    at: Seconds
    resources: Resources
    priority: int
    group: str


class SlotWait(NamedTuple):
    """The time until a slot becomes idle.

    Attributes:
        without_preemption_s: The time if all running tasks run to their estimated end.
        with_preemption_s: The time if tasks of lower priority are preempted; never the longer one.
    """

    without_preemption_s: Seconds
    with_preemption_s: Seconds


IDLE_NOW = SlotWait(0.0, 0.0)


class SlotWaitCount(NamedTuple):
    """The number of slots of a machine that have the same wait."""

    wait: SlotWait
    slots: int


class SlotEndCount(NamedTuple):
    """The number of slots of a machine that become idle with the same end.

    Attributes:
        wait_s: The time until the slots are idle; 0 if they are idle now.
        group: The group of tasks whose end makes them idle; empty if they are idle.
        slots: The number of slots.
    """

    wait_s: Seconds
    group: str
    slots: int


def count_slot_waits(
    slot: Resources, free: Resources, ends: Iterable[ExpectedEnd], priority: int, now: Seconds
) -> list[SlotWaitCount]:
    """Count the slots of a machine by the time until they are idle, shortest wait first.

    Args:
        slot: The resources of one slot.
        free: The free resources that the slots may use.
        ends: The expected ends of running tasks whose resources the slots may use, earliest first.
        priority: Tasks of lower priority may be preempted for the slots.
        now: The leader's monotonic clock.
    """
    ends = list(ends)
    counted = slot.fitting_slots(free)
    waits = [SlotWaitCount(IDLE_NOW, counted)] if counted else []
    preempting = _count_with_preemption(slot, free, ends, priority)
    for end in ends:
        free = free.plus(end.resources)
        total = slot.fitting_slots(free)
        if total <= counted:
            continue
        wait_s = max(0.0, end.at - now)
        by_preemption = max(0, min(total, preempting) - counted)
        if by_preemption:
            waits.append(SlotWaitCount(SlotWait(wait_s, 0.0), by_preemption))
        if total > counted + by_preemption:
            waits.append(SlotWaitCount(SlotWait(wait_s, wait_s), total - counted - by_preemption))
        counted = total
    return waits


def _count_with_preemption(
    slot: Resources, free: Resources, ends: Iterable[ExpectedEnd], priority: int
) -> int:
    """Count the slots that are idle at once if tasks of lower priority are preempted."""
    for end in ends:
        if end.priority < priority:
            free = free.plus(end.resources)
    return slot.fitting_slots(free)


def count_slot_ends(
    slot: Resources, free: Resources, ends: Iterable[ExpectedEnd], machine_id: str, now: Seconds
) -> list[SlotEndCount]:
    """Count the slots of a machine by the group of tasks whose end makes them idle.

    Args:
        slot: The resources of one slot.
        free: The free resources that the slots may use.
        ends: The expected ends of running tasks whose resources the slots may use, earliest first.
        machine_id: The machine; with a number it names the group of an array task.
        now: The leader's monotonic clock.
    """
    counted = slot.fit_count(free)
    slots = [SlotEndCount(0.0, "", counted)] if counted else []
    for number, end in enumerate(ends):
        free = free.plus(end.resources)
        total = slot.fitting_slots(free)
        if total > counted:
            group = end.group or f"{machine_id}/{number}"
            slots.append(SlotEndCount(max(0.0, end.at - now), group, total - counted))
            counted = total
    return slots
