"""How far this process is behind with what is due."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from dapplewick.types import Seconds

SAMPLE_INTERVAL_S = 0.25
MAX_LAG_S = 1.0  # a controller that is later than this takes nothing from users
LAG_DECAY = 0.8  # what is left of a delay after each sample without one
NO_TIMER_DUE_AT = 1e18


class OverloadMonitor:
    """Measures by how much a timer of this process is late.

    Attributes:
        lag_s: how late it was, fading.
    """

    def __init__(self, now: Callable[[], Seconds]) -> None:
        self._now = now
        self.lag_s: Seconds = 0.0
        self._due_at: Seconds = NO_TIMER_DUE_AT

    async def run(self) -> None:
        """Measure for ever."""
        while True:
            self._due_at = self._now() + SAMPLE_INTERVAL_S
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self.lag_s = max(self._now() - self._due_at, self.lag_s * LAG_DECAY)

    def current_lag_s(self) -> Seconds:
        """How far this process is behind: it stood still, or has more to do than it can.

        It is known at once, in the turn in which the process goes on.
        """
        return max(self.lag_s, self._now() - self._due_at)

    def is_overloaded(self) -> bool:
        """Whether this process is too far behind to take anything from users."""
        return self.current_lag_s() > MAX_LAG_S
