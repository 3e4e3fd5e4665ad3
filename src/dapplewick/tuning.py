"""Settings that operators may change by a script, with their defaults and limits.

All values within the limits are safe: none can violate an invariant of the scheduler.
"""

from __future__ import annotations

import msgspec


class Tuning(msgspec.Struct, frozen=True):
    """The settings of an operators' script, with their defaults."""

    # A task may be backfilled on a machine with slots reserved for a gang if the task's estimated
    # run time is at most the gang's remaining wait plus this threshold.
    threshold_s: float = 0.0
    patience_s: float = 4.0  # a gang that would wait longer preempts tasks of lower priority
    horizon_s: float = 25.0  # time within which all waiting array tasks should have started
    horizon_accelerator_s: float = 60.0  # the same time for array tasks that need accelerators
    # Factor on the number of idle slots that are reserved for expected gangs; the number follows
    # from the measured arrivals of gang tasks.
    spare_slots: float = 1.0
    idle_s: float = 40.0  # idle time before a machine of average price is terminated
    spend_cap: float = 0.0  # maximum price per hour of all rented machines; 0: no limit
    class_weights: dict[str, float] = {}  # by class; in a priority, higher weights have precedence


SETTING_LIMITS: dict[str, tuple[float, float]] = {
    "threshold_s": (0.0, 600.0),
    "patience_s": (0.0, 3600.0),
    "horizon_s": (1.0, 3600.0),
    "horizon_accelerator_s": (1.0, 3600.0),
    "spare_slots": (0.0, 10.0),
    "idle_s": (0.0, 86400.0),
    "spend_cap": (0.0, 1e9),
}
CLASS_WEIGHT_LIMITS = (0.0, 1000.0)
