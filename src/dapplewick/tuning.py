"""Settings that operators may change by a script, with their defaults and limits.

All values within the limits are safe: none can violate an invariant of the scheduler.
"""

from __future__ import annotations

import msgspec


class Tuning(msgspec.Struct, frozen=True):
    """The settings of an operators' script, with their defaults."""

    threshold_s: float = 0.0  # backfill threshold T, see `core/shard/backfill.py`
    patience_s: float = 4.0  # longest gang wait without preemption of lower-priority work
    horizon_s: float = 25.0  # time within which all waiting array tasks should start
    horizon_accelerator_s: float = 60.0  # the same for array tasks that need accelerators
    spare_slots: float = 1.0  # factor on the measured number of idle slots for expected gangs
    idle_s: float = 40.0  # idle time before a machine of average price is terminated
    spend_cap: float = 0.0  # maximum price per hour of all rented machines; 0: no limit
    class_weights: dict[str, float] = {}  # within a priority, heavier classes go first


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
