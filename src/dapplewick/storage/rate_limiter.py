"""A token bucket that keeps calls within a service's limits."""

from __future__ import annotations

import anyio


class RateLimiter:
    """A bucket of requests, filled at `rate`, with a second's worth of burst, or a little."""

    def __init__(self, rate: float, least: float = 0.0) -> None:
        self.rate = rate
        self._least = least
        self._level = max(rate, least)
        self._at = -1e9

    def level(self) -> float:
        """What is left now."""
        most = max(self.rate, self._least)
        return min(most, self._level + (anyio.current_time() - self._at) * self.rate)

    def drain(self) -> None:
        """The service itself says that it is too much: nothing is left for now."""
        self._level = min(0.0, self.level())
        self._at = anyio.current_time()

    def overdraw(self, amount: float) -> None:
        """Take an amount whether it is there or not."""
        self._level = self.level() - amount
        self._at = anyio.current_time()

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take an amount; `reserve` is left for calls that matter more."""
        self._level = self.level()
        self._at = anyio.current_time()
        if self._level < amount + reserve:
            return False
        self._level -= amount
        return True
