"""A signal that wakes one loop, and that can be cleared again."""

from __future__ import annotations

import anyio


class WakeSignal:
    """An event for one waiting loop. What is set before the loop waits is not lost."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the loop, now or when it waits next."""
        self._event.set()

    def clear(self) -> None:
        """Forget what was set until now."""
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Return as soon as the signal is set."""
        await self._event.wait()
