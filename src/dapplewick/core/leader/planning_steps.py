"""The steps of a planning pass, for an observer that times them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum


class PlanningStep(StrEnum):
    """A step of a planning pass; the values are those in the log."""

    RECONCILE = "reconcile"
    COUNT_CAPACITY = "count_capacity"
    PLACE_GANGS = "place_gangs"
    ASSIGN_ARRAYS = "assign_arrays"
    EXPLAIN_WAITS = "explain_waits"
    SCALE = "scale"
    DRAFT_WRITES = "draft_writes"


StepObserver = Callable[[PlanningStep], None]
"""Called at the beginning of each step; the core itself reads no clock."""


def ignore_step(_: PlanningStep) -> None:
    """Observe nothing."""
