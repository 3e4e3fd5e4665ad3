"""A token bucket that keeps calls within a service's limits."""

from __future__ import annotations

import anyio


class RateLimiter:
    """A bucket of requests, filled at a rate, that holds a second's worth or a least burst.

    Attributes:
        rate_per_s: requests that come back to the bucket in a second.
    """

    def __init__(self, rate_per_s: float, min_burst: float = 0.0) -> None:
        self.rate_per_s = rate_per_s
        self._min_burst = min_burst
        self._level = max(rate_per_s, min_burst)
        self._level_at = -1e9  # by the event loop's clock, in seconds

    def available(self) -> float:
        """How many requests may be made now; negative after more were made than there were."""
        capacity = max(self.rate_per_s, self._min_burst)
        elapsed_s = anyio.current_time() - self._level_at
        return min(capacity, self._level + elapsed_s * self.rate_per_s)

    def exhaust(self) -> None:
        """The service itself says that it is too much: nothing is left for now."""
        self._level = min(0.0, self.available())
        self._level_at = anyio.current_time()

    def acquire_unconditionally(self, amount: float) -> None:
        """Take an amount whether it is there or not; what is missing delays later requests."""
        self._level = self.available() - amount
        self._level_at = anyio.current_time()

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take an amount if it is there; False, and nothing taken, if it is not."""
        self._level = self.available()
        self._level_at = anyio.current_time()
        if self._level < amount:
            return False
        self._level -= amount
        return True
