"""Measures the event loop's lag to detect overload."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from dapplewick.types import Seconds

SAMPLE_INTERVAL_S = 0.25
MAX_LAG_S = 1.0  # with more lag, users' requests are refused
LAG_DECAY = 0.8  # factor by which the recorded lag decays with each sample
NO_TIMER_DUE_AT = 1e18  # later than any time: no timer is running


class OverloadMonitor:
    """Measures how late a periodic timer of this process fires.

    Attributes:
        lag_s: the delay of the timer at the last sample, or the decayed delay of earlier samples if
            that is longer.
    """

    def __init__(self, now: Callable[[], Seconds]) -> None:
        self._now = now
        self.lag_s: Seconds = 0.0
        self._due_at: Seconds = NO_TIMER_DUE_AT

    async def run(self) -> None:
        """Sample the lag until cancelled."""
        while True:
            self._due_at = self._now() + SAMPLE_INTERVAL_S
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self.lag_s = max(self._now() - self._due_at, self.lag_s * LAG_DECAY)

    def current_lag_s(self) -> Seconds:
        """Return the event loop's lag, caused by a suspended process or by overload.

        Includes the delay of a timer that is overdue now, so that the first code that runs after a
        suspension already detects the lag.
        """
        return max(self.lag_s, self._now() - self._due_at)

    def is_overloaded(self) -> bool:
        """Whether the lag is too high to accept users' requests."""
        return self.current_lag_s() > MAX_LAG_S
