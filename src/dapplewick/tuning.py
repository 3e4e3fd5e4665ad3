"""What operators may set beyond the platform's file. No value here can break a rule."""

from __future__ import annotations

import msgspec


class Tuning(msgspec.Struct, frozen=True):
    """The settings of an operators' script, with their defaults."""

    threshold_s: float = 0.0  # T of the backfill test
    patience_s: float = 4.0  # a gang's wait before work of lower priority is stopped for it
    horizon_s: float = 25.0  # waiting array tasks should all have started within this time
    horizon_accelerator_s: float = 60.0  # and those with accelerators
    spare_slots: float = 1.0  # idle slots kept for gangs to come, times what was measured
    idle_s: float = 40.0  # an idle machine of middling price is kept this long
    spend_cap: float = 0.0  # no renting beyond this price an hour of all machines; 0: no cap
    class_weights: dict[str, float] = {}  # heavier classes are served first within a priority


LIMITS: dict[str, tuple[float, float]] = {
    "threshold_s": (0.0, 600.0),
    "patience_s": (0.0, 3600.0),
    "horizon_s": (1.0, 3600.0),
    "horizon_accelerator_s": (1.0, 3600.0),
    "spare_slots": (0.0, 10.0),
    "idle_s": (0.0, 86400.0),
    "spend_cap": (0.0, 1e9),
}
WEIGHT_LIMITS = (0.0, 1000.0)
