"""A token bucket that keeps calls within the rate limits of a service."""

from __future__ import annotations

import anyio


class RateLimiter:
    """A token bucket whose capacity is one second of its rate, but at least a minimum burst.

    A request is whatever the limit counts: a call, or a key that is written.

    Attributes:
        rate_per_s: the number of requests added to the bucket per second.
    """

    def __init__(self, rate_per_s: float, min_burst: float = 0.0) -> None:
        self.rate_per_s = rate_per_s
        self._min_burst = min_burst
        self._available = max(rate_per_s, min_burst)
        self._updated_at = -1e9  # event loop time, in seconds

    def available(self) -> float:
        """The number of requests available now; negative if the bucket is overdrawn."""
        capacity = max(self.rate_per_s, self._min_burst)
        elapsed_s = anyio.current_time() - self._updated_at
        return min(capacity, self._available + elapsed_s * self.rate_per_s)

    def exhaust(self) -> None:
        """Empty the bucket, because the service itself rejected a request as over its limit."""
        self._available = min(0.0, self.available())
        self._updated_at = anyio.current_time()

    def acquire_unconditionally(self, count: float) -> None:
        """Acquire requests even if this overdraws the bucket, which delays later requests."""
        self._available = self.available() - count
        self._updated_at = anyio.current_time()

    def try_acquire(self, count: float = 1.0) -> bool:
        """Acquire requests if all are available; otherwise acquire none and return False."""
        self._available = self.available()
        self._updated_at = anyio.current_time()
        if self._available < count:
            return False
        self._available -= count
        return True
