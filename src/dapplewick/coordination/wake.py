"""A resettable event that wakes one loop."""

from __future__ import annotations

import anyio


class WakeSignal:
    """A resettable event for one waiting loop; a signal set before the loop waits is kept."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the loop now; if it is not waiting, its next wait returns at once."""
        self._event.set()

    def clear(self) -> None:
        """Reset the signal."""
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Return as soon as the signal is set."""
        await self._event.wait()
