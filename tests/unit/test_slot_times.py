"""Counts of a machine's slots, compared with a plain model."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from dapplewick.core.leader.slot_times import (
    ExpectedEnd,
    SlotWait,
    count_slot_ends,
    count_slot_waits,
)
from dapplewick.types import Resources


class ModelSlot(NamedTuple):
    """A slot of the plain model: when it is idle, and the end that makes it idle, if any."""

    wait: SlotWait
    end: int | None


def model_slots(
    slot: Resources, free: Resources, ends: Sequence[ExpectedEnd], priority: int, now: float
) -> list[ModelSlot]:
    """Take one slot after the other, as long as one fits after any of the ends."""
    slots: list[ModelSlot] = []
    while True:
        available = preempting = free
        first = None if not slot.fits_in(free) else -1
        for number, end in enumerate(ends):
            available = available.plus(end.resources)
            if end.priority < priority:
                preempting = preempting.plus(end.resources)
            if first is None and slot.fits_in(available):
                first = number
        if first is None:
            return slots
        wait_s = 0.0 if first < 0 else max(0.0, ends[first].at - now)
        with_preemption_s = 0.0 if slot.fits_in(preempting) else wait_s
        slots.append(ModelSlot(SlotWait(wait_s, with_preemption_s), first if first >= 0 else None))
        free = free.minus(slot)


QUARTERS = st.integers(0, 24).map(lambda n: n / 4)
SOME_RESOURCES = st.builds(Resources, QUARTERS, st.integers(0, 2).map(float), QUARTERS)


@given(
    slot=SOME_RESOURCES.filter(lambda r: r.cpus > 0),
    free=SOME_RESOURCES,
    overused=st.sampled_from([0.0, 0.0, 1.0]),
    ends=st.lists(
        st.builds(
            ExpectedEnd,
            st.integers(0, 60).map(float),
            SOME_RESOURCES,
            st.integers(0, 3),
            st.sampled_from(["", "", "run-g"]),
        ),
        max_size=8,
    ),
    priority=st.integers(0, 3),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_counted_slots_are_those_of_a_model_that_takes_one_after_the_other(
    slot: Resources, free: Resources, overused: float, ends: list[ExpectedEnd], priority: int
) -> None:
    ends.sort(key=lambda end: end.at)
    free = free._replace(gpus=free.gpus - overused)
    model = model_slots(slot, free, ends, priority, 5.0)
    waits = count_slot_waits(slot, free, ends, priority, 5.0)
    assert [wait for wait, slots in waits for _ in range(slots)] == [m.wait for m in model]
    if free.gpus < 0:
        return
    counted = count_slot_ends(slot, free, ends, "vm-1", 5.0)
    expected = [
        ("" if m.end is None else ends[m.end].group or f"vm-1/{m.end}", m.wait.without_preemption_s)
        for m in model
    ]
    assert [(c.group, c.wait_s) for c in counted for _ in range(c.slots)] == expected
